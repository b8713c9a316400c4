//! Specification of a job.

use {
    crate::StepSpec,
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
};

/// Due times of a job whose steps run more than once or at a later time.
#[key]
pub struct Schedule {
    /// Time between two occurrences in milliseconds.
    pub interval_ms: u64,
    /// Number of times that the steps run.
    pub occurrences: u32,
    /// Due time of occurrence 0 in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
}

/// A job as its caller submits it.
#[message]
pub struct JobSpec {
    /// Text that every start order passes to the worker unchanged.
    pub payload: SmolStr,
    /// Due times; `None` runs the steps once, immediately.
    pub schedule: Option<Schedule>,
    /// Steps in order. A step depends only on earlier ones.
    pub steps: Vec<StepSpec>,
}

impl JobSpec {
    /// Creates the specification of a job that was cancelled before it was submitted. It has no steps, so
    /// that no submitted job equals it.
    pub(crate) fn placeholder() -> Self {
        Self {
            payload: SmolStr::default(),
            schedule: None,
            steps: Vec::new(),
        }
    }
}
