//! Kinds of records.

use fuchsiatack_derives::key;

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
