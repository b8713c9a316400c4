//! Output of the planner.

use {
    crate::{CellReport, Effect, JobCommand, LogEvent},
    fuchsiatack_derives::value,
};

/// Commands to replicate, effects to carry out and events to log since the last output.
#[derive(Default)]
#[value]
pub struct Output {
    /// Effects to carry out once `commands` and all earlier commands are committed.
    pub after_commit: Vec<Effect>,
    /// Commands to replicate, in order. The planner has already applied them to its own copy of the
    /// state.
    pub commands: Vec<JobCommand>,
    /// Effects to carry out without waiting for a commit.
    pub immediate: Vec<Effect>,
    /// Events to log.
    pub log_events: Vec<LogEvent>,
    /// Report on the cell, if one was due.
    pub report: Option<CellReport>,
}
