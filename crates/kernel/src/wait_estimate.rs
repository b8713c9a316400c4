//! Expected waiting times of interactive work.

use {
    crate::{
        Kernel,
        task::TaskKey,
        team::{Team, TeamKey},
    },
    fuchsiatack_model::{Policy, Refusal},
};

const INTERACTIVE: usize = Policy::Interactive as usize;
/// Weight of a new run time in the mean of interactive tasks.
const RUN_TIME_GAIN: f32 = 0.05;
/// Bounds of retry hints, and the hint when nothing is measured, in milliseconds.
const RETRY_DEFAULT_MS: u32 = 1_000;
const RETRY_MAX_MS: u32 = 60_000;
const RETRY_MIN_MS: u32 = 100;

/// Measured flow of interactive tasks.
#[derive(Default)]
pub(crate) struct InteractiveLoad {
    /// Sum of the weights of teams with waiting interactive tasks.
    pub(crate) backlog_weight: u64,
    /// Mean run time in microseconds; 0 before the first end.
    pub(crate) mean_run_us: f32,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

impl InteractiveLoad {
    /// Notes the run time of a task.
    pub(crate) fn record_run_time(&mut self, run_us: f32) {
        match self.mean_run_us > 0.0 {
            true => self.mean_run_us += RUN_TIME_GAIN * (run_us - self.mean_run_us),
            false => self.mean_run_us = run_us,
        }
    }

    /// Notes that `count` tasks of a team began to wait.
    pub(crate) fn add_waiting(&mut self, team: &mut Team, count: u32) {
        if team.backlog_weight == 0 {
            team.backlog_weight = u64::from(team.weight_millis.max(1));
            self.backlog_weight += team.backlog_weight;
        }
        self.waiting += count;
    }

    /// Notes that `count` tasks of a team no longer wait; `team.waiting` is already lower.
    pub(crate) fn remove_waiting(&mut self, team: &mut Team, count: u32) {
        if team.waiting[INTERACTIVE] == 0 {
            self.backlog_weight -= team.backlog_weight;
            team.backlog_weight = 0;
        }
        self.waiting -= count;
    }
}

impl Kernel {
    /// Expected time until the last waiting interactive task of a team starts, in
    /// microseconds. `None` if no interactive task runs or has ended, so that no rate is known.
    ///
    /// Slots become free at the rate running tasks / mean run time, and a backlogged team
    /// gets a part of them by its weight. A team short of tokens waits for its own tasks.
    pub(crate) fn expected_wait_us(&self, key: TeamKey) -> Option<u64> {
        let team = &self.teams[key];
        if self.interactive.mean_run_us <= 0.0 || self.interactive.running == 0 {
            return None;
        }
        let position = f64::from(team.waiting[INTERACTIVE].max(1));
        let weight = team.backlog_weight.max(1) as f64;
        let by_share = position * self.interactive.backlog_weight.max(1) as f64 / weight;
        let ahead = by_share.min(f64::from(self.interactive.waiting.max(1)));
        let shared = ahead * f64::from(self.interactive.mean_run_us) / f64::from(self.interactive.running);
        let own = match team.startable() {
            0 => position * f64::from(team.mean_run_us) / f64::from(team.running.max(1)),
            _ => 0.0,
        };
        Some(shared.max(own) as u64)
    }

    /// Returns whether a waiting task cannot start before its deadline by the measured rate.
    pub(crate) fn misses_deadline(&self, key: TaskKey) -> bool {
        let task = &self.tasks[key];
        let wait_us = self.expected_wait_us(task.team);
        match (task.deadline_us, wait_us) {
            (Some(deadline_us), Some(wait_us)) => self.now_us + wait_us > deadline_us,
            _ => false,
        }
    }

    /// Hint for a caller when a retry may succeed, in milliseconds.
    pub(crate) fn retry_after_ms(&self, team: Option<TeamKey>, reason: Refusal) -> u32 {
        if !reason.can_retry() {
            return 0;
        }
        let wait_us = team.and_then(|team| self.expected_wait_us(team));
        match wait_us {
            Some(wait_us) => ((wait_us / 1_000) as u32).clamp(RETRY_MIN_MS, RETRY_MAX_MS),
            None => RETRY_DEFAULT_MS,
        }
    }
}
