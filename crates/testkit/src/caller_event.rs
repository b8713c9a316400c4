//! Lines of the load generator's event log.

use {
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{KeyName, Outcome, TeamName},
    smol_str::SmolStr,
};

/// Outcome of one attempt as observed by its caller.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The worker completed the request.
    Done,
    /// The worker reported a failure.
    Failed,
    /// No usable response arrived.
    Lost,
    /// The request was rejected before it ran.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl AttemptOutcome {
    /// All values, in the order of table columns.
    pub const ALL: [Self; 5] = [Self::Done, Self::Failed, Self::NotRun, Self::Unknown, Self::Lost];

    /// Column heading in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => Outcome::Done.as_str(),
            Self::Failed => Outcome::Failed.as_str(),
            Self::Lost => "lost",
            Self::NotRun => Outcome::NotRun.as_str(),
            Self::Unknown => Outcome::Unknown.as_str(),
        }
    }

    /// Parses a `fuchsiatack-outcome` header; an unknown value counts as a lost response.
    pub fn from_header(text: &str) -> Self {
        match text {
            "done" => Self::Done,
            "failed" => Self::Failed,
            "not-run" => Self::NotRun,
            "unknown" => Self::Unknown,
            _ => Self::Lost,
        }
    }
}

/// One attempt to send a request.
#[message]
pub struct CallerEvent {
    /// Wall time of the response or error, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Status and start of the body, or the connection error; empty if the request is done.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
    /// Address of the entry VM that the attempt was sent to.
    pub entry: SmolStr,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Name of the request's key; never its secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<KeyName>,
    /// Whether no further attempt follows.
    pub last: bool,
    /// Whether a `done` response belongs to this request's body.
    pub own: bool,
    /// Request identifier, the same for all attempts.
    pub request: SmolStr,
    /// Outcome of the attempt.
    pub seen: AttemptOutcome,
    /// Wall time at which the attempt was sent, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// Team of the caller.
    pub team: TeamName,
    /// Time since the request was due, over all attempts, in microseconds.
    pub wait_us: u64,
    /// Whether a `done` response is complete: its digest matches its body.
    pub whole: bool,
}
