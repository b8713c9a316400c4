//! Lines of a caller's log.

use {
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{KeyName, Outcome, TeamName},
    smol_str::SmolStr,
};

/// What a caller saw of one attempt.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The worker's complete answer.
    Done,
    /// The worker reported a failure.
    Failed,
    /// No usable answer arrived.
    Lost,
    /// The request was rejected without having run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl AttemptOutcome {
    /// All values, in the order of tables.
    pub const ALL: [Self; 5] = [Self::Done, Self::Failed, Self::NotRun, Self::Unknown, Self::Lost];

    /// Text in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => Outcome::Done.as_str(),
            Self::Failed => Outcome::Failed.as_str(),
            Self::Lost => "lost",
            Self::NotRun => Outcome::NotRun.as_str(),
            Self::Unknown => Outcome::Unknown.as_str(),
        }
    }

    /// Reads the `fuchsiatack-outcome` header; anything else is a lost answer.
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

/// One attempt of a request.
#[message]
pub struct CallerEvent {
    /// Wall time of the answer, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Status and start of the body, or the error, if the request was not done.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
    /// Address of the entry VM.
    pub entry: SmolStr,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Name of the key that came with the request; never its secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<KeyName>,
    /// Whether no further attempt follows.
    pub last: bool,
    /// Whether a `done` answer is the answer to this request's body.
    pub own: bool,
    /// Request identifier.
    pub request: SmolStr,
    /// What the caller saw.
    pub seen: AttemptOutcome,
    /// Wall time at which the attempt was sent, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// Team of the caller.
    pub team: TeamName,
    /// Time since the request was due, over all attempts, in microseconds.
    pub wait_us: u64,
    /// Whether a `done` answer is complete and consistent in itself.
    pub whole: bool,
}
