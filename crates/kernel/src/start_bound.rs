//! Start bound of interactive tasks: batch tasks are preempted for those that are close to it.

use {
    crate::{
        Decision, Kernel,
        task::{Stage, Task, TaskKey},
        team::TeamKey,
        timer::Timer,
    },
    fuchsiatack_model::Policy,
};

/// Maximum number of urgent tasks for which batch tasks are preempted at a time.
const URGENT_BATCH: usize = 32;
/// Entries in `Kernel::urgent_tasks`, beyond twice the waiting tasks, that cause the removal of
/// those whose tasks no longer wait.
const STALE_URGENT_LIMIT: usize = 64;
/// Time from submission within which an interactive task should start.
const START_BOUND_US: u64 = 6_700_000;
/// Time before the start bound at which batch tasks are preempted. A stop takes up to a few
/// seconds, since the task may save its progress.
const PREEMPT_LEAD_US: u64 = 3_700_000;
/// Time between attempts to preempt batch tasks for the same task.
const PREEMPT_RETRY_US: u64 = 1_000_000;

impl Kernel {
    /// Sets a timer for the start bound of a waiting interactive task. Preempts batch tasks at once
    /// if the task is estimated to miss the bound, or if there is no estimate. Returns whether
    /// tasks were preempted.
    pub(crate) fn watch_start_bound(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) -> bool {
        let task = &self.tasks[key];
        if task.policy != Policy::Interactive {
            return false;
        }
        let team = task.team;
        let bound_us = self.bound_us(key);
        let late = match self.expected_wait_us(team) {
            Some(wait_us) => self.now_us + wait_us > bound_us,
            None => true,
        };
        if late && self.may_preempt_for(team) {
            let demand = self.tasks[key].demand;
            if self.preempt_for(&demand, decisions) {
                self.timers
                    .insert((self.now_us + PREEMPT_RETRY_US, Timer::Urgent(key)));
                return true;
            }
        }
        let due_us = bound_us.saturating_sub(PREEMPT_LEAD_US).max(self.now_us + 1);
        self.timers.insert((due_us, Timer::Urgent(key)));
        false
    }

    /// Preempts batch tasks for a task that still waits close to its start bound, and has this
    /// repeated by `Timer::RetryUrgent`.
    pub(crate) fn handle_urgent(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        if !self.preempt_for_task(key, decisions) {
            return;
        }
        if self.urgent_tasks.len() > 2 * self.interactive.waiting as usize + STALE_URGENT_LIMIT {
            let tasks = &self.tasks;
            self.urgent_tasks
                .retain(|key| tasks.get(*key).is_some_and(Task::is_waiting));
        }
        if self.urgent_tasks.is_empty() {
            self.timers
                .insert((self.now_us + PREEMPT_RETRY_US, Timer::RetryUrgent));
        }
        self.urgent_tasks.push_back(key);
    }

    /// Preempts batch tasks for some of the tasks that wait close to their start bound or past it.
    /// The number is bounded, so that the cost under overload does not grow with the backlog.
    pub(crate) fn retry_urgent(&mut self, decisions: &mut Vec<Decision>) {
        for _ in 0..self.urgent_tasks.len().min(URGENT_BATCH) {
            let Some(key) = self.urgent_tasks.pop_front() else {
                break;
            };
            if self.preempt_for_task(key, decisions) {
                self.urgent_tasks.push_back(key);
            }
        }
        if !self.urgent_tasks.is_empty() {
            self.timers
                .insert((self.now_us + PREEMPT_RETRY_US, Timer::RetryUrgent));
        }
    }

    /// Tries to place an urgent task on reserved resources, and preempts batch tasks for it.
    /// Returns whether it still waits.
    fn preempt_for_task(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) -> bool {
        let Some(task) = self.tasks.get(key) else {
            return false;
        };
        let Stage::Waiting(lane) = task.stage else {
            return false;
        };
        let (demand, team) = (task.demand, task.team);
        if self.reservation.is_some() {
            self.waiting.mark_ready(self.waiting.lanes[lane].group);
        }
        if self.may_preempt_for(team) {
            self.preempt_for(&demand, decisions);
        }
        true
    }

    /// Sets the timer for the start bound of a task that waits for another attempt.
    pub(crate) fn restart_watch(&mut self, key: TaskKey) {
        if self.tasks[key].policy == Policy::Interactive {
            self.timers
                .insert((self.now_us + PREEMPT_RETRY_US, Timer::Urgent(key)));
        }
    }

    /// Returns whether the team has free tokens and fewer tasks are being preempted than
    /// interactive tasks wait.
    fn may_preempt_for(&self, team: TeamKey) -> bool {
        self.teams[team].startable() > 0 && self.preempting < self.interactive.waiting
    }

    /// Returns whether an interactive task is so close to its start bound that it may use resources
    /// which are reserved for a gang.
    pub(crate) fn is_close_to_bound(&self, key: TaskKey) -> bool {
        self.now_us + PREEMPT_LEAD_US >= self.bound_us(key)
    }

    /// Returns the earlier of start bound and deadline, in microseconds on the kernel's clock.
    fn bound_us(&self, key: TaskKey) -> u64 {
        let task = &self.tasks[key];
        let bound_us = task.submitted_us + START_BOUND_US;
        task.deadline_us
            .map_or(bound_us, |deadline_us| bound_us.min(deadline_us))
    }
}
