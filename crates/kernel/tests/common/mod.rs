//! Kernel with a simulated clock, and builders of its events, for the tests of this package.
#![allow(dead_code)]

use {
    fuchsiatack_kernel::{Decision, Event, Kernel, PeerLoad, Submission, TaskEnd},
    fuchsiatack_model::{
        Epoch, Policy, Resources, RunningTask, SessionId, TaskClass, TaskId, TeamName, WorkerName,
    },
};

/// A kernel with a simulated clock. Methods that send an event return the decisions for it.
pub struct TestKernel {
    pub inner: Kernel,
    pub now_us: u64,
    epoch: u64,
}

impl TestKernel {
    pub fn new() -> Self {
        let mut kernel = Self {
            inner: Kernel::default(),
            now_us: 1_000_000,
            epoch: 0,
        };
        kernel.step(Event::LeaseChanged { valid: true });
        kernel
    }

    pub fn step(&mut self, event: Event) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.inner.handle(self.now_us, event, &mut decisions);
        decisions
    }

    pub fn after_ms(&mut self, milliseconds: u64) -> Vec<Decision> {
        self.now_us += milliseconds * 1_000;
        self.step(Event::Tick)
    }

    pub fn team(mut self, name: &str, weight_millis: u32) -> Self {
        self.step(team_set(name, false, weight_millis));
        self
    }

    pub fn limited_team(mut self, name: &str, tokens: u32) -> Self {
        self.step(team_set(name, true, 1_000));
        self.step(tokens_set(name, tokens));
        self
    }

    pub fn worker(mut self, name: &str, slots: u32) -> Self {
        self.attach(name, slots, 1_000, Vec::new());
        self
    }

    pub fn attach(
        &mut self,
        name: &str,
        slots: u32,
        speed_millis: u32,
        running: Vec<RunningTask>,
    ) -> Vec<Decision> {
        self.epoch += 1;
        self.step(Event::WorkerAttached {
            capacity: slots_only(slots),
            data_center: "casablanca-1".into(),
            epoch: Epoch(self.epoch),
            rack: "rack-1".into(),
            running,
            speed_millis,
            worker: name.into(),
        })
    }

    pub fn peer(mut self, name: &str, free_slots: u32, token_teams: &[&str]) -> Self {
        self.step(Event::PeerLoadReceived(PeerLoad {
            daemon: name.into(),
            free_slots,
            token_teams: token_teams.iter().map(TeamName::new).collect(),
            waiting: 0,
        }));
        self
    }

    pub fn submit(&mut self, task: u64, team: &str, policy: Policy) -> Vec<Decision> {
        self.step(Event::Submit(submission(&[task], team, policy)))
    }

    pub fn end(&mut self, task: u64, end: TaskEnd) -> Vec<Decision> {
        self.step(Event::TaskEnded {
            end,
            run_us: 10_000,
            task: id(task),
        })
    }

    pub fn report(&mut self, worker: &str, running: &[u64]) -> Vec<Decision> {
        self.step(Event::WorkerReported {
            running: running.iter().map(|task| id(*task)).collect(),
            worker: worker.into(),
        })
    }
}

pub fn id(sequence: u64) -> TaskId {
    TaskId {
        session: SessionId(1),
        sequence,
    }
}

pub fn slots_only(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::NONE
    }
}

pub fn submission(tasks: &[u64], team: &str, policy: Policy) -> Submission {
    Submission {
        class: TaskClass {
            demand: slots_only(1),
            idempotent: true,
            policy,
        },
        deadline_us: None,
        may_forward: true,
        tasks: tasks.iter().map(|task| id(*task)).collect(),
        team: team.into(),
    }
}

pub fn inherited(task: u64, team: &str) -> RunningTask {
    RunningTask {
        demand: slots_only(1),
        task: id(task),
        team: team.into(),
        work: None,
    }
}

pub fn team_set(name: &str, limited: bool, weight_millis: u32) -> Event {
    Event::TeamSet {
        limited,
        max_waiting: 1_000,
        team: name.into(),
        weight_millis,
    }
}

pub fn tokens_set(name: &str, tokens: u32) -> Event {
    Event::TokensSet {
        team: name.into(),
        tokens,
    }
}

pub fn started(decisions: &[Decision]) -> Vec<(u64, WorkerName)> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Start { task, worker, .. } => Some((task.sequence, worker.clone())),
            _ => None,
        })
        .collect()
}

pub fn started_tasks(decisions: &[Decision]) -> Vec<u64> {
    started(decisions).into_iter().map(|(task, _)| task).collect()
}

pub fn stopped_tasks(decisions: &[Decision]) -> Vec<u64> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Stop { task, .. } => Some(task.sequence),
            _ => None,
        })
        .collect()
}
