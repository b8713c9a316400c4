//! Settings of the planner.

use fuchsiatack_derives::value;

/// Times and limits of the planner.
#[value]
pub struct PlannerSettings {
    /// Lease of the runs on a worker in milliseconds. Every renewal extends it to this much.
    pub lease_ms: u64,
    /// Longest lease that a worker grants, in milliseconds. It shortens longer ones.
    pub max_lease_ms: u64,
    /// Longest time that a renewal waits at the worker for an end, in milliseconds, while tasks that
    /// take long run there. What stands still there is found out a renewal later.
    pub hold_wait_ms: u64,
    /// The same while brief tasks run there.
    pub brief_hold_wait_ms: u64,
    /// Pause after a renewal that brought ends, so that the next one brings several.
    pub hold_pause_ms: u64,
    /// Time after the end of a job for which its state is kept, in milliseconds.
    pub retention_ms: u64,
    /// Share of a worker's processors that the most urgent queues keep for themselves, in percent.
    pub urgent_reserve_percent: u32,
    /// Retry-After of a job that is not accepted, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 4_000,
            max_lease_ms: 10_000,
            hold_wait_ms: 1_000,
            brief_hold_wait_ms: 500,
            hold_pause_ms: 120,
            retention_ms: 150_000,
            urgent_reserve_percent: 10,
            retry_after_ms: 1_000,
        }
    }
}
