//! Reasons for refusing a request.

use {displaydoc::Display, fuchsiatack_derives::key};

/// Reason why a request was not run. The doc comment of a variant is its message to the caller.
#[derive(Display)]
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// the request was cancelled before it started
    Cancelled,
    /// the deadline passes before a worker can become free
    DeadlineTooShort,
    /// a request with this identifier was already submitted with a different body
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
    /// Returns whether the same request may succeed if the caller sends it again later.
    pub fn can_retry(self) -> bool {
        !matches!(self, Self::Cancelled | Self::DifferentBody | Self::NeverFits)
    }
}
