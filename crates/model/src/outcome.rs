//! Outcomes of requests, as reported to callers.

use {
    fuchsiatack_derives::key,
    std::fmt::{Display, Formatter, Result},
};

/// Outcome of a request, sent with every response to a caller.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The worker ran the task and returned its result.
    Done,
    /// The worker ran the task and reported a failure.
    Failed,
    /// The task did not run: no byte of it reached a worker that could have started it.
    NotRun,
    /// The task may have run, but its result was lost.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `fuchsiatack-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for Outcome {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str(self.as_str())
    }
}
