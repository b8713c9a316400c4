//! Kinds of records.

use {
    crate::RecordError,
    fuchsiatack_derives::key,
    std::{
        fmt::{Display, Formatter, Result},
        str::FromStr,
    },
};

/// Kind of a record.
#[key]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Drain of the worker of the same name: it gets no new work.
    Drain,
    /// Access key of a team, stored as a digest.
    Key,
    /// Upper limit of a team's running tasks over the whole fleet.
    Limit,
    /// Queue that callers send requests to.
    Queue,
    /// Weight of a team when everything is full.
    Share,
    /// Store member.
    StoreMember,
    /// Team.
    Team,
    /// Queued batch, gang or service work.
    Work,
    /// Class of workers.
    WorkerClass,
}

impl Kind {
    /// All kinds, sorted by name.
    pub const ALL: [Self; 9] = [
        Self::Drain,
        Self::Key,
        Self::Limit,
        Self::Queue,
        Self::Share,
        Self::StoreMember,
        Self::Team,
        Self::Work,
        Self::WorkerClass,
    ];

    /// Text of the kind in records and paths.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drain => "drain",
            Self::Key => "key",
            Self::Limit => "limit",
            Self::Queue => "queue",
            Self::Share => "share",
            Self::StoreMember => "store_member",
            Self::Team => "team",
            Self::Work => "work",
            Self::WorkerClass => "worker_class",
        }
    }
}

impl Display for Kind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = RecordError;

    /// Parses the form that `Display` prints.
    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| RecordError::UnknownKind {
                expected: Self::ALL.map(Self::as_str).join(", ").into(),
                found: text.into(),
            })
    }
}
