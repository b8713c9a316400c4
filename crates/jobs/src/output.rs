//! What one turn of the planner produced.

use {
    crate::{Effect, JobCommand, LogEvent},
    fuchsiatack_derives::value,
};

/// Commands to replicate and effects to carry out.
#[derive(Default)]
#[value]
pub struct Output {
    /// Effects to carry out once `commands` and all earlier ones are committed.
    pub after_commit: Vec<Effect>,
    /// Commands for the log, in order. The planner has applied them already.
    pub commands: Vec<JobCommand>,
    /// Effects that need no commit.
    pub immediate: Vec<Effect>,
    /// Lines for the log.
    pub log_events: Vec<LogEvent>,
}
