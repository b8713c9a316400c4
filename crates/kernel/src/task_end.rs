//! Ends of running tasks, and the run times measured from them.

use {
    crate::{
        Decision, Kernel, TaskEnd,
        task::{Stage, TaskKey},
        worker::WorkerKey,
    },
    fuchsiatack_model::{Policy, Refusal, TaskId},
};

/// Bounds of one measured slowdown, since declared and measured run times are wrong by a factor
/// of up to ten.
const SLOWDOWN_MAX: f32 = 10.0;
const SLOWDOWN_MIN: f32 = 0.1;
/// Weight of a new run time in the moving average of a team.
const TEAM_GAIN: f32 = 0.05;
/// Weight of a new run time in the moving average of a worker's slowdown.
const WORKER_GAIN: f32 = 0.05;

impl Kernel {
    /// Handles the end of the call that ran a task.
    pub(crate) fn task_ended(
        &mut self,
        id: TaskId,
        end: TaskEnd,
        run_us: u64,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(key) = self.task_index.get(&id) else {
            return;
        };
        let task = &self.tasks[key];
        let preempted = task.preempted && task.idempotent;
        match (task.stage, end) {
            (Stage::Running(worker), TaskEnd::ConnectionLost) => {
                self.remove_victim(key);
                self.workers[worker].ending_by_report += u32::from(!self.tasks[key].ends_by_report());
                self.tasks[key].stage = Stage::ConnectionLost(worker);
                self.measure(key, worker, end, run_us);
                self.offer_changed(worker);
            }
            (Stage::Running(worker), _) => {
                self.measure(key, worker, end, run_us);
                self.release_resources(key, decisions);
                match end {
                    TaskEnd::Failed if preempted => self.requeue(key, true, decisions),
                    TaskEnd::Refused => self.requeue(key, false, decisions),
                    _ => self.remove_task(key),
                }
            }
            (Stage::Detached { .. }, TaskEnd::Refused) => self.requeue(key, false, decisions),
            (Stage::Detached { ended: true }, TaskEnd::ConnectionLost) => {
                self.end_lost_attempt(key, decisions)
            }
            (Stage::Detached { ended: false }, TaskEnd::ConnectionLost) => self.abandon(key, decisions),
            (Stage::Detached { .. }, _) => self.remove_task(key),
            (Stage::ConnectionLost(_) | Stage::Waiting(_), _) => {}
        }
    }

    /// Ends an attempt whose connection was lost and that certainly no longer runs. The task waits
    /// again if it is idempotent.
    pub(crate) fn end_lost_attempt(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let task = &self.tasks[key];
        match task.idempotent {
            true => self.requeue(key, true, decisions),
            false => self.abandon(key, decisions),
        }
    }

    /// Gives up a task that may still run on a worker which this daemon no longer observes. A task
    /// that is not idempotent needs no decision, since the daemon reports its outcome when the
    /// connection is lost.
    pub(crate) fn abandon(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let task = &self.tasks[key];
        if task.idempotent && !task.inherited {
            decisions.push(Decision::Abandon { task: task.id });
        }
        self.remove_task(key);
    }

    /// Releases the worker's resources and the token that a task holds. The token is frozen while
    /// the worker is being released.
    pub(crate) fn release_resources(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let task = &mut self.tasks[key];
        let (Stage::Running(worker_key) | Stage::ConnectionLost(worker_key)) = task.stage else {
            return;
        };
        if task.policy == Policy::Interactive {
            self.interactive.running -= 1;
        }
        self.victims.remove(&(task.started_us, key));
        if task.preempted {
            self.preempting -= 1;
        }
        let ends_by_report = task.ends_by_report();
        task.stage = Stage::Detached { ended: true };
        let team_key = task.team;
        let worker = &mut self.workers[worker_key];
        worker.ending_by_report -= u32::from(ends_by_report);
        worker.used = worker.used.saturating_sub(&task.demand);
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
        self.clear_probe(key, worker_key);
        self.offer_changed(worker_key);
    }

    /// Updates the reservation and the search for workers after a worker's offer has become smaller.
    pub(crate) fn offer_lowered(&mut self, key: WorkerKey) {
        self.adjust_reservation(key);
        self.workers.refresh(key);
    }

    /// Updates the reservation and the search for workers after a worker's offer has changed, and
    /// marks waiting work as ready that the offer covers.
    pub(crate) fn offer_changed(&mut self, key: WorkerKey) {
        self.offer_lowered(key);
        if let Some(offer) = self.workers[key].offer() {
            self.waiting.mark_covered_ready(&offer);
        }
    }

    /// Puts a task back into its lane for another attempt. Refuses or abandons it instead if it is
    /// cancelled, past its deadline, of a deleted team, or interactive while the daemon has no lease.
    /// `started` is whether a worker may have started it in the attempt that ended.
    fn requeue(&mut self, key: TaskKey, started: bool, decisions: &mut Vec<Decision>) {
        let has_record = self.teams[self.tasks[key].team].has_record;
        let task = &mut self.tasks[key];
        task.preempted = false;
        task.started |= started;
        let task = &self.tasks[key];
        let is_lease_missing = task.policy == Policy::Interactive && !self.lease_valid;
        let reason = match task.deadline_us {
            _ if task.cancelled || !has_record => Refusal::Cancelled,
            _ if is_lease_missing => Refusal::LeaseLapsed,
            Some(deadline_us) if deadline_us <= self.now_us => Refusal::DeadlineTooShort,
            _ => {
                self.enter_lane(key);
                self.restart_watch(key);
                return;
            }
        };
        decisions.push(match task.started {
            true => Decision::Abandon { task: task.id },
            false => self.refusal(task.id, task.team, reason),
        });
        self.remove_task(key);
    }

    /// Records how a task ended in the health of its worker, unless the task was preempted or
    /// cancelled. The run time of a completed task updates the averages of its team and its worker.
    fn measure(&mut self, key: TaskKey, worker: WorkerKey, end: TaskEnd, run_us: u64) {
        let task = &self.tasks[key];
        let policy = task.policy;
        if !task.preempted && !task.cancelled {
            self.record_end(key, worker, end);
        }
        if end != TaskEnd::Done || run_us == 0 {
            return;
        }
        if policy == Policy::Interactive {
            self.interactive.record_run_time(run_us as f32);
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
