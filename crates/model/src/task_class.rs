//! Requirements of a task that affect its placement.

use {
    crate::{Policy, Resources},
    fuchsiatack_derives::message,
};

/// Properties of a task that decide where and when it may run.
#[message]
pub struct TaskClass {
    /// Declared resources. Actual use can be up to ten times lower or higher.
    pub demand: Resources,
    /// Whether the task may safely run more than once.
    pub idempotent: bool,
    /// Scheduling policy of the task's queue or work.
    pub policy: Policy,
}
