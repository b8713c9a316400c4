//! Why a request was not run.

use {displaydoc::Display, fuchsiatack_derives::key};

/// Reason of a `not run` answer.
#[derive(Display)]
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// the request was cancelled before it started
    Cancelled,
    /// the deadline passes before a worker could be free
    DeadlineTooShort,
    /// the request with this identifier was submitted with another body
    DifferentBody,
    /// this daemon has lost contact with the store; retry on another daemon
    LeaseLapsed,
    /// no worker is large enough for this task
    NeverFits,
    /// the team has too many requests waiting
    QueueFull,
    /// this daemon is stopping; retry on another daemon
    Stopping,
    /// the worker refused the task before it started
    WorkerRefused,
}

impl Refusal {
    /// Returns whether the same request may succeed when it is sent again later.
    pub fn can_retry(self) -> bool {
        !matches!(self, Self::Cancelled | Self::DifferentBody | Self::NeverFits)
    }
}
