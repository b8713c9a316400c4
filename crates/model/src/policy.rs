//! Scheduling policies of tasks.

use fuchsiatack_derives::key;

/// Scheduling policy of a task. The variants are in order of precedence, highest first.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Tasks whose caller waits for the result.
    Interactive,
    /// Long-running tasks, spread over racks and data centres.
    Service,
    /// Tasks that start together or not at all.
    Gang,
    /// Tasks that use spare capacity. Idempotent ones are preempted for interactive tasks and gangs.
    Batch,
}
