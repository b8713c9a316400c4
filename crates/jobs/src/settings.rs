//! Settings of the planner.

use fuchsiatack_derives::value;

/// Times and limits that the planner applies.
#[value]
pub struct PlannerSettings {
    /// Factor on the rate of starts that a cold worker can handle up to which a span may exceed it, in
    /// thousandths. Values above 1,000 do not raise the rate at which starts are ordered.
    pub cold_overage_thousandths: u64,
    /// Number of starts by which any span may exceed what a cold worker can handle in it.
    pub cold_slack: u64,
    /// Lease of the runs on a worker in milliseconds. Every renewal extends the lease to this
    /// length.
    pub lease_ms: u64,
    /// Maximum lease that a worker grants, in milliseconds. A worker shortens longer ones.
    pub max_lease_ms: u64,
    /// Number of ends in one report of a worker from which it may leave out later ones.
    pub max_listed_ends: usize,
    /// Maximum time that a renewal waits at a worker for the end of a run, in milliseconds, while
    /// only long tasks run there. A stalled run is detected one renewal later.
    pub hold_wait_ms: u64,
    /// Maximum time that a renewal waits at a worker while brief tasks run there, in milliseconds.
    pub brief_hold_wait_ms: u64,
    /// Pause after a renewal that returned ends, in milliseconds, so that the next one returns
    /// several.
    pub hold_pause_ms: u64,
    /// Time for which a job is kept after its end, in milliseconds.
    pub retention_ms: u64,
    /// Share of each worker's processors that is reserved for the queues of the first priority, in
    /// percent.
    pub urgent_reserve_percent: u32,
    /// Retry-After time of a job that is not accepted, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            cold_overage_thousandths: 1_500,
            cold_slack: 5,
            lease_ms: 4_000,
            max_lease_ms: 10_000,
            max_listed_ends: 500,
            hold_wait_ms: 1_000,
            brief_hold_wait_ms: 500,
            hold_pause_ms: 120,
            retention_ms: 150_000,
            urgent_reserve_percent: 10,
            retry_after_ms: 1_000,
        }
    }
}
