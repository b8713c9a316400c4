//! A cell in simulated time in which teams run urgent and batch jobs.

use {
    super::{Leader, Sent, queue},
    fuchsiatack_jobs::{
        CellCall, Configuration, EndedRun, HoldKind, HoldReport, JobId, ListedEnd, ListedRun, Queue, RunId,
        StepSpec, Team,
    },
    fuchsiatack_model::{QueueName, Resources, TeamName, WorkerName},
    std::collections::BTreeMap,
};

/// Time between two ticks in milliseconds.
pub const TICK_MS: u64 = 10;
/// Interval between two heartbeats of the workers, in milliseconds.
const HEARTBEAT_MS: u64 = 500;

/// What the cell keeps of a submitted job.
#[derive(Clone, Debug)]
struct Submitted {
    /// Duration of a task in milliseconds.
    duration_ms: u64,
    submitted_ms: u64,
    started_ms: Option<u64>,
    team: String,
}

/// A leader with workers, an urgent queue at `/urgent/` and a batch queue at `/batch/`. Tasks run for the
/// estimated duration of their first step.
pub struct TeamCell {
    ended: BTreeMap<WorkerName, u64>,
    ends: BTreeMap<(u64, u64), (WorkerName, RunId)>,
    jobs: BTreeMap<JobId, Submitted>,
    pub leader: Leader,
    orders: u64,
    /// Number of runs that were stopped, by job.
    pub stops: BTreeMap<JobId, usize>,
    workers: Vec<String>,
}

impl TeamCell {
    /// Creates a cell with workers of 16 processors. The key of a team is its name.
    pub fn new(workers: usize, teams: &[Team]) -> Self {
        let workers: Vec<_> = (0..workers).map(|number| format!("w-{number:02}")).collect();
        let names: Vec<_> = workers.iter().map(String::as_str).collect();
        let mut leader = Leader::new(queue(), &names);
        let urgent = Queue {
            name: QueueName::new("urgent"),
            path_prefix: "/urgent/".into(),
            ..queue()
        };
        let batch = Queue {
            name: QueueName::new("batch"),
            path_prefix: "/batch/".into(),
            priority: 1,
            ..queue()
        };
        leader.call(CellCall::Configure(Box::new(Configuration {
            queues: vec![urgent, batch],
            teams: teams.to_vec(),
            version: 2,
            ..super::configuration(queue())
        })));
        leader.take_calls();
        Self {
            ended: BTreeMap::new(),
            ends: BTreeMap::new(),
            jobs: BTreeMap::new(),
            leader,
            orders: 0,
            stops: BTreeMap::new(),
            workers,
        }
    }

    /// Returns a team that may use some processors; 0 for no limit.
    pub fn team(name: &str, processors: u32, weight: u32) -> Team {
        Team {
            keys: vec![name.into()],
            limit: Resources {
                processors_millis: processors * 1_000,
                ..Resources::NONE
            },
            name: TeamName::new(name),
            weight,
        }
    }

    /// Submits a job of one step, and returns its identifier.
    pub fn submit(&mut self, team: &str, queue: &str, step: StepSpec) -> JobId {
        let job = JobId(self.jobs.len() as u64 + 1);
        let submitted = Submitted {
            duration_ms: step.estimated_ms,
            submitted_ms: self.leader.now_ms,
            started_ms: None,
            team: team.to_owned(),
        };
        self.jobs.insert(job, submitted);
        self.leader.submit_with_key(team, queue, job, vec![step]);
        job
    }

    /// Advances the time by one tick, and responds to the leader's calls.
    pub fn tick(&mut self) {
        self.leader.advance(TICK_MS);
        let now_ms = self.leader.now_ms;
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            for worker in &self.workers {
                self.leader.heartbeat(worker);
            }
        }
        while let Some(entry) = self.ends.first_entry().filter(|entry| entry.key().0 <= now_ms) {
            let (worker, run) = entry.remove();
            self.report_end(run, &worker, ListedEnd::Done);
        }
        for call in self.leader.take_calls() {
            self.handle(call);
        }
    }

    /// Runs for `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            self.tick();
        }
    }

    /// Returns the time from the submission of a job to its first start, in milliseconds; `None` if it has
    /// not started.
    pub fn wait_ms(&self, job: JobId) -> Option<u64> {
        let job = &self.jobs[&job];
        Some(job.started_ms? - job.submitted_ms)
    }

    /// Returns the number of present runs of a team.
    pub fn runs_of(&self, team: &str) -> usize {
        let runs = self.ends.values();
        runs.filter(|(_, run)| self.jobs[&run.task.step.job].team == team)
            .count()
    }

    /// Returns the number of present runs of a job.
    pub fn runs_of_job(&self, job: JobId) -> usize {
        let runs = self.ends.values();
        runs.filter(|(_, run)| run.task.step.job == job).count()
    }

    fn handle(&mut self, call: Sent) {
        let now_ms = self.leader.now_ms;
        match call {
            Sent::Start { run, worker } => {
                let job = self.jobs.get_mut(&run.task.step.job).expect("it was submitted");
                job.started_ms.get_or_insert(now_ms);
                let end_ms = now_ms + job.duration_ms;
                self.leader.started(&worker, run, Ok(now_ms));
                self.orders += 1;
                self.ends.insert((end_ms, self.orders), (worker, run));
            }
            Sent::Stop { run, worker } => {
                self.ends.retain(|_, (_, present)| *present != run);
                self.leader.stopped(&worker, run);
                self.report_end(run, &worker, ListedEnd::Interrupted);
                *self.stops.entry(run.task.step.job).or_default() += 1;
            }
            Sent::Renew { worker, .. } => self.report(&worker, HoldKind::Renewal, Vec::new()),
            Sent::Advise { .. } | Sent::Check(_) | Sent::Pace { .. } => {}
        }
    }

    /// Reports the end of a run, and the runs that its worker still has.
    fn report_end(&mut self, run: RunId, worker: &WorkerName, end: ListedEnd) {
        let number = self.ended.entry(worker.clone()).or_default();
        *number += 1;
        let ended = EndedRun {
            checkpoint: "checkpoint".into(),
            end,
            reason: "ended".into(),
            run,
            sequence: *number,
        };
        self.report(worker, HoldKind::Check, vec![ended]);
    }

    fn report(&mut self, worker: &WorkerName, kind: HoldKind, ended: Vec<EndedRun>) {
        let now_ms = self.leader.now_ms;
        let present = self.ends.iter().filter(|(_, (on, _))| on == worker);
        let running = present.map(|((end_ms, _), (_, run))| {
            let duration_ms = self.jobs[&run.task.step.job].duration_ms;
            let left_ms = end_ms.saturating_sub(now_ms);
            ListedRun {
                checkpoint: "".into(),
                percent: (duration_ms.saturating_sub(left_ms) * 100 / duration_ms) as u32,
                run: *run,
                usage: 0,
            }
        });
        let report = HoldReport {
            started_unix_ms: Some(1),
            clock_ms: self.leader.now_ms,
            ended,
            running: running.collect(),
            unreadable_rows: Vec::new(),
        };
        self.leader.complete_hold(worker.as_str(), kind, Ok(report));
    }
}
