//! Kinds of records and their names.

use {
    crate::RecordError,
    fuchsiatack_derives::key,
    std::{
        fmt::{Display, Formatter, Result},
        str::FromStr,
    },
};

/// Kind of a record, which decides the fields of its `spec`.
#[key]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Drains the worker of the same name, which then receives no new tasks.
    Drain,
    /// Access key of a team. Only the digest of its secret is stored.
    Key,
    /// Upper limit on the running tasks of a team in the whole fleet.
    Limit,
    /// Queue to which callers send requests.
    Queue,
    /// Weight of a team, which takes effect when the fleet is fully used.
    Share,
    /// Member of the replicated store.
    StoreMember,
    /// Team, to which tasks, keys, limits and shares belong.
    Team,
    /// Queued work: a set of batch, gang or service tasks.
    Work,
    /// Class of workers of the same speed.
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

    /// Returns the name of the kind in records and request paths.
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

    /// Parses the name that `as_str` returns.
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
