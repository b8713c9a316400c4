//! What a caller submits.

use {
    crate::StepSpec,
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
};

/// When the steps of a job run.
#[key]
pub struct Schedule {
    /// Time between two occurrences in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
    /// Due time of occurrence 0 in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
}

/// A job as its caller submits it.
#[message]
pub struct JobSpec {
    /// Text that is passed to each task unchanged.
    pub payload: SmolStr,
    /// Due times; `None` runs the steps once, at once.
    pub schedule: Option<Schedule>,
    /// The steps. A step depends on earlier ones only.
    pub steps: Vec<StepSpec>,
}
