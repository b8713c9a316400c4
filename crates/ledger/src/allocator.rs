//! Allocation of workers, tokens and queued work to sessions.

use {
    crate::{Advice, Command, Ledger, Renewal},
    fuchsiatack_derives::value,
};

/// Times and sizes of the allocator.
#[value]
pub struct AllocatorSettings {
    /// Session lease in milliseconds.
    pub lease_ms: u64,
    /// Time past the lease after which a session is ended, in milliseconds.
    pub margin_ms: u64,
    /// Task lease of a worker in milliseconds.
    pub task_lease_ms: u64,
}

impl Default for AllocatorSettings {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            margin_ms: 1_000,
            task_lease_ms: 10_000,
        }
    }
}

/// Soft state of the leader: the last renewal of each session and the demand it showed.
pub struct Allocator {}

impl Allocator {
    /// Creates the allocator of a member that became leader at `now_ms`.
    pub fn new(_settings: AllocatorSettings, _now_ms: u64) -> Self {
        todo!()
    }

    /// Returns the commands that bring the ledger closer to the demand.
    pub fn plan(&mut self, _now_ms: u64, _ledger: &Ledger) -> Vec<Command> {
        todo!()
    }

    /// Notes a renewal and returns the leader's advice. The caller fills in `Advice::commit`.
    pub fn renewed(&mut self, _now_ms: u64, _renewal: &Renewal, _ledger: &Ledger) -> Advice {
        todo!()
    }
}
