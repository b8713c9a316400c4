//! Estimates of the waiting time of interactive tasks, for deadlines and retry hints.

use {
    crate::{
        Kernel,
        task::TaskKey,
        team::{Team, TeamKey},
    },
    fuchsiatack_model::{Policy, Refusal},
};

const INTERACTIVE: usize = Policy::Interactive as usize;
/// Weight of a new run time in the moving average over interactive tasks.
const RUN_TIME_GAIN: f32 = 0.05;
/// Retry hint while no waiting time can be estimated.
const RETRY_DEFAULT_MS: u32 = 1_000;
/// Bounds of retry hints.
const RETRY_MAX_MS: u32 = 60_000;
const RETRY_MIN_MS: u32 = 100;

/// Counts and mean run time of the interactive tasks of all teams.
#[derive(Default)]
pub(crate) struct InteractiveLoad {
    /// Sum of the weights of the teams that have waiting interactive tasks.
    pub(crate) backlog_weight: u64,
    /// Moving average of the run time in microseconds; 0 before the first task has ended.
    pub(crate) mean_run_us: f32,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

impl InteractiveLoad {
    /// Adds the run time of a task to the average.
    pub(crate) fn record_run_time(&mut self, run_us: f32) {
        match self.mean_run_us > 0.0 {
            true => self.mean_run_us += RUN_TIME_GAIN * (run_us - self.mean_run_us),
            false => self.mean_run_us = run_us,
        }
    }

    /// Counts `count` tasks of a team that began to wait.
    pub(crate) fn add_waiting(&mut self, team: &mut Team, count: u32) {
        if team.backlog_weight == 0 {
            team.backlog_weight = u64::from(team.weight_millis.max(1));
            self.backlog_weight += team.backlog_weight;
        }
        self.waiting += count;
    }

    /// Subtracts `count` tasks of a team that no longer wait. `team.waiting` must already be lower.
    pub(crate) fn remove_waiting(&mut self, team: &mut Team, count: u32) {
        if team.waiting[INTERACTIVE] == 0 {
            self.backlog_weight -= team.backlog_weight;
            team.backlog_weight = 0;
        }
        self.waiting -= count;
    }
}

impl Kernel {
    /// Estimates the time in microseconds until the last waiting interactive task of a team
    /// starts. Returns `None` while no interactive task runs or none has ended yet.
    ///
    /// The estimate assumes that slots become free at the rate of running tasks divided by mean
    /// run time, and that they are shared by weight among the teams with waiting tasks. A team
    /// without free tokens also waits for its own tasks to end.
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

    /// Returns whether a waiting task is estimated to start after its deadline. False if it has
    /// no deadline or there is no estimate.
    pub(crate) fn misses_deadline(&self, key: TaskKey) -> bool {
        let task = &self.tasks[key];
        let wait_us = self.expected_wait_us(task.team);
        match (task.deadline_us, wait_us) {
            (Some(deadline_us), Some(wait_us)) => self.now_us + wait_us > deadline_us,
            _ => false,
        }
    }

    /// Returns the time in milliseconds after which a caller may retry, or 0 if a retry cannot
    /// succeed.
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
