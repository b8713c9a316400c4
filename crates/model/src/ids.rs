//! Numeric identifiers, most of which are positions in the replicated log.

use {
    fuchsiatack_derives::key,
    std::{
        fmt::{Display, Formatter, Result},
        str::FromStr,
    },
};

/// Position in the replicated log. The first entry has index 1.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct LogIndex(pub u64);

/// Ownership epoch of a worker: the log index of its assignment to a daemon, so each new owner
/// has a higher epoch.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Session of an entry daemon: the log index of the command that opened it.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct SessionId(pub u64);

/// Identifier of a task, unique in the cell.
#[derive(Default)]
#[key]
pub struct TaskId {
    /// Session of the daemon that created the task.
    pub session: SessionId,
    /// Number of the task in its session, counted from 1.
    pub sequence: u64,
}

impl Display for TaskId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{}-{}", self.session.0, self.sequence)
    }
}

impl FromStr for TaskId {
    type Err = std::num::ParseIntError;

    /// Parses `SESSION-SEQUENCE`, the format that `Display` writes.
    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        let (session, sequence) = text.split_once('-').unwrap_or((text, ""));
        Ok(Self {
            session: SessionId(session.parse()?),
            sequence: sequence.parse()?,
        })
    }
}
