//! Scheduling policies.

use fuchsiatack_derives::key;

/// Policy under which a task is placed, in order of precedence.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A caller waits for the answer.
    Interactive,
    /// Long-running tasks, spread over racks and data centres.
    Service,
    /// Tasks that start all at once or not at all.
    Gang,
    /// Tasks that use what is free and are preempted first.
    Batch,
}
