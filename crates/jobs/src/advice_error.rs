//! Why an advice request failed.

use fuchsiatack_derives::key;

/// Why an advice request brought no advice. The encoding depends on the order of variants.
#[key]
pub enum AdviceError {
    /// The daemon has no address of an advice service.
    NotConfigured,
    /// The service rejected the request because too many requests wait there.
    Overloaded,
    /// The service rejected the request for another reason, or its response could not be read.
    Invalid,
    /// No connection to the service could be opened.
    Unreachable,
    /// The service did not respond in time, or the connection broke.
    Unanswered,
    /// The daemon that sends the request for the leader did not respond.
    DaemonUnanswered,
}

impl AdviceError {
    /// Returns the text of the error in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConfigured => "no advice service",
            Self::Overloaded => "service overloaded",
            Self::Invalid => "invalid response",
            Self::Unreachable => "no connection",
            Self::Unanswered => "no answer",
            Self::DaemonUnanswered => "no answer from daemon",
        }
    }
}
