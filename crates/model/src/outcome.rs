//! What became of a request.

use {
    fuchsiatack_derives::key,
    std::fmt::{Display, Formatter, Result},
};

/// Outcome that every answer to a caller carries.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The worker ran the task and returned its answer.
    Done,
    /// The worker ran the task and reported a failure.
    Failed,
    /// No byte of the task reached a worker that could start it.
    NotRun,
    /// The task may have run; its answer is lost.
    Unknown,
}

impl Outcome {
    /// Text of the outcome in the `fuchsiatack-outcome` header.
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
