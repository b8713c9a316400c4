//! What a task asks of a worker.

use {
    crate::{Policy, Resources},
    fuchsiatack_derives::message,
};

/// Properties of a task that decide where and when it may run.
#[message]
pub struct TaskClass {
    /// Declared need. It can be wrong by ten times either way.
    pub demand: Resources,
    /// Whether a second run would do no harm.
    pub idempotent: bool,
    /// Policy under which the task is placed.
    pub policy: Policy,
}
