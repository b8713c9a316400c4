//! Ends of running tasks.

use {
    crate::{
        Decision, Kernel, TaskEnd,
        task::{Stage, TaskKey},
        worker::WorkerKey,
    },
    fuchsiatack_model::{Policy, Refusal, TaskId},
};

/// Bounds of one measured slowdown, since declared and measured run times are wrong by up
/// to ten times.
const SLOWDOWN_MAX: f32 = 10.0;
const SLOWDOWN_MIN: f32 = 0.1;
/// Weight of a new run time in a team's mean.
const TEAM_GAIN: f32 = 0.05;
/// Weight of a new run time in a worker's measured slowdown.
const WORKER_GAIN: f32 = 0.05;

impl Kernel {
    /// Reacts to the end of a call to a worker.
    pub(crate) fn ended(&mut self, id: TaskId, end: TaskEnd, run_us: u64, decisions: &mut Vec<Decision>) {
        let Some(key) = self.by_id.get(&id) else {
            return;
        };
        let task = &self.tasks[key];
        let preempted = task.preempted && task.idempotent;
        match (task.stage, end) {
            (Stage::Running(worker), TaskEnd::Lost) => {
                self.unlist_victim(key);
                self.workers[worker].doubtful += u32::from(!self.tasks[key].is_doubtful());
                self.tasks[key].stage = Stage::Lost(worker);
                self.measure(key, worker, end, run_us);
                self.offer_changed(worker);
            }
            (Stage::Running(worker), _) => {
                self.measure(key, worker, end, run_us);
                self.release(key, decisions);
                match end {
                    TaskEnd::Failed if preempted => self.wait_again(key, true, decisions),
                    TaskEnd::Refused => self.wait_again(key, false, decisions),
                    _ => self.forget(key),
                }
            }
            (Stage::Detached { .. }, TaskEnd::Refused) => self.wait_again(key, false, decisions),
            (Stage::Detached { over: true }, TaskEnd::Lost) => self.lost_attempt_over(key, decisions),
            (Stage::Detached { over: false }, TaskEnd::Lost) => self.abandon(key, decisions),
            (Stage::Detached { .. }, _) => self.forget(key),
            (Stage::Lost(_) | Stage::Waiting(_), _) => {}
        }
    }

    /// Ends an attempt whose connection was lost and that certainly no longer runs.
    pub(crate) fn lost_attempt_over(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let task = &self.tasks[key];
        match task.idempotent {
            true => self.wait_again(key, true, decisions),
            false => self.abandon(key, decisions),
        }
    }

    /// Gives up a task that may still run out of this daemon's sight.
    pub(crate) fn abandon(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let task = &self.tasks[key];
        if task.idempotent && !task.inherited {
            decisions.push(Decision::Abandon { task: task.id });
        }
        self.forget(key);
    }

    /// Frees what a running or lost task holds on its worker and of its team's tokens.
    pub(crate) fn release(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let task = &mut self.tasks[key];
        let (Stage::Running(worker_key) | Stage::Lost(worker_key)) = task.stage else {
            return;
        };
        if task.policy == Policy::Interactive {
            self.flow.running -= 1;
        }
        self.victims.remove(&(task.started_us, key));
        if task.preempted {
            self.stopping -= 1;
        }
        let doubtful = task.is_doubtful();
        task.stage = Stage::Detached { over: true };
        let team_key = task.team;
        let worker = &mut self.workers[worker_key];
        worker.doubtful -= u32::from(doubtful);
        worker.used = worker.used.minus(&task.demand);
        worker.tasks.retain(|other| *other != key);
        if task.policy == Policy::Service {
            self.spread.subtract(team_key, worker.data_center, worker.rack);
        }
        let team = &mut self.teams[team_key];
        team.running -= 1;
        if worker.releasing {
            team.frozen += 1;
            worker.freeze(team_key);
        }
        self.tokens_changed(team_key, decisions);
        self.forget_probe(key, worker_key);
        self.offer_changed(worker_key);
    }

    /// Publishes an offer that has only become smaller.
    pub(crate) fn offer_lowered(&mut self, key: WorkerKey) {
        self.adjust_reservation(key);
        self.workers.refresh(key);
    }

    /// Publishes a worker's offer and has waiting work looked at that it covers.
    pub(crate) fn offer_changed(&mut self, key: WorkerKey) {
        self.offer_lowered(key);
        if let Some(offer) = self.workers[key].offer() {
            self.waiting.wake_covered(&offer);
        }
    }

    /// Has a task wait for another attempt. `started` tells whether a worker may have
    /// started it in the attempt that is over.
    fn wait_again(&mut self, key: TaskKey, started: bool, decisions: &mut Vec<Decision>) {
        let present = self.teams[self.tasks[key].team].present;
        let task = &mut self.tasks[key];
        task.preempted = false;
        task.started |= started;
        let task = &self.tasks[key];
        let lapsed = task.policy == Policy::Interactive && !self.lease_valid;
        let reason = match task.deadline_us {
            _ if task.cancelled || !present => Refusal::Cancelled,
            _ if lapsed => Refusal::LeaseLapsed,
            Some(deadline_us) if deadline_us <= self.now_us => Refusal::DeadlineTooShort,
            _ => {
                self.enter_lane(key);
                self.watch_again(key);
                return;
            }
        };
        decisions.push(match task.started {
            true => Decision::Abandon { task: task.id },
            false => self.refusal(task.id, task.team, reason),
        });
        self.forget(key);
    }

    /// Learns the team's run time and the worker's speed from a completed task.
    fn measure(&mut self, key: TaskKey, worker: WorkerKey, end: TaskEnd, run_us: u64) {
        let task = &self.tasks[key];
        let policy = task.policy;
        if !task.preempted && !task.cancelled {
            self.judge(key, worker, end);
        }
        if end != TaskEnd::Done || run_us == 0 {
            return;
        }
        if policy == Policy::Interactive {
            self.flow.ran(run_us as f32);
        }
        let team = &mut self.teams[self.tasks[key].team];
        let worker = &mut self.workers[worker];
        let run_us = run_us as f32;
        if team.mean_run_us > 0.0 {
            let slowdown = (run_us / team.mean_run_us).clamp(SLOWDOWN_MIN, SLOWDOWN_MAX);
            worker.slowdown += WORKER_GAIN * (slowdown - worker.slowdown);
        } else {
            team.mean_run_us = run_us / worker.slowdown;
        }
        team.mean_run_us += TEAM_GAIN * (run_us / worker.slowdown - team.mean_run_us);
    }
}
