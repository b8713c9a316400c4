//! Start bound of interactive work.

use {
    crate::{
        Decision, Kernel,
        task::{Stage, TaskKey},
        team::TeamKey,
        timer::Timer,
    },
    fuchsiatack_model::Policy,
};

/// Time within which urgent work starts.
const START_BOUND_US: u64 = 6_700_000;
/// Time left before the bound at which batch work is stopped; a stop takes up to a few
/// seconds, since the task may save its progress.
const STOP_LEAD_US: u64 = 3_700_000;
/// Time between attempts to make room for the same task.
const STOP_RETRY_US: u64 = 1_000_000;

impl Kernel {
    /// Watches the start bound of an interactive task that waits, and makes room at once if
    /// the measured rate says that it would miss the bound. Returns whether room is made.
    pub(crate) fn watch_bound(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) -> bool {
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
        if late && self.may_stop_for(team) {
            let demand = self.tasks[key].demand;
            if self.make_room(&demand, decisions) {
                self.timers
                    .insert((self.now_us + STOP_RETRY_US, Timer::Urgent(key)));
                return true;
            }
        }
        let due_us = bound_us.saturating_sub(STOP_LEAD_US).max(self.now_us + 1);
        self.timers.insert((due_us, Timer::Urgent(key)));
        false
    }

    /// Makes room for a task that still waits close to its bound.
    pub(crate) fn urgent(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let Some(task) = self.tasks.get(key) else { return };
        let Stage::Waiting(lane) = task.stage else { return };
        let (demand, team) = (task.demand, task.team);
        self.waiting.wake(self.waiting.lanes[lane].group);
        if self.may_stop_for(team) {
            self.make_room(&demand, decisions);
        }
        self.timers
            .insert((self.now_us + STOP_RETRY_US, Timer::Urgent(key)));
    }

    /// Watches the bound of a task that waits for another attempt.
    pub(crate) fn watch_again(&mut self, key: TaskKey) {
        if self.tasks[key].policy == Policy::Interactive {
            self.timers
                .insert((self.now_us + STOP_RETRY_US, Timer::Urgent(key)));
        }
    }

    /// Returns whether stopping batch work can help a team, and not enough is stopping yet.
    fn may_stop_for(&self, team: TeamKey) -> bool {
        self.teams[team].startable() > 0 && self.stopping < self.flow.waiting
    }

    /// Returns whether an interactive task is so close to its bound that it may use room
    /// which is kept for a gang.
    pub(crate) fn is_urgent(&self, key: TaskKey) -> bool {
        self.now_us + STOP_LEAD_US >= self.bound_us(key)
    }

    fn bound_us(&self, key: TaskKey) -> u64 {
        let task = &self.tasks[key];
        let bound_us = task.submitted_us + START_BOUND_US;
        task.deadline_us
            .map_or(bound_us, |deadline_us| bound_us.min(deadline_us))
    }
}
