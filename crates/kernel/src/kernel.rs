//! The kernel.

use crate::{Decision, Event, KernelSettings};

/// Placement state of one entry daemon.
pub struct Kernel {}

impl Kernel {
    /// Creates a kernel without workers or teams.
    pub fn new(_settings: KernelSettings) -> Self {
        Self {}
    }

    /// Applies an event at `now_us` on a monotonic clock and appends what follows from it.
    pub fn handle(&mut self, _now_us: u64, _event: Event, _decisions: &mut Vec<Decision>) {
        todo!()
    }

    /// Free amounts on usable workers, added up.
    pub fn free(&self) -> fuchsiatack_model::Resources {
        todo!()
    }

    /// Use of each team with running or waiting tasks: team, running, waiting.
    pub fn usage(&self) -> Vec<(fuchsiatack_model::TeamName, u32, u32)> {
        todo!()
    }
}
