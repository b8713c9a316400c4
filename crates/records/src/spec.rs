//! Contents of records as the ledger stores them, independent of the schema version.

use {
    crate::KeyDigest,
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{Policy, Resources, TeamName, WorkSpec},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Callers that may send requests to a queue.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Callers that present the key of a team.
    Keyed,
    /// All callers. Their requests count towards the team of the queue.
    Open,
}

/// Contents of a `drain` record. The record's name is the worker's name.
#[message]
pub struct DrainSpec {
    /// Reason for the drain, shown to operators; may be empty.
    pub reason: SmolStr,
}

/// Contents of a `key` record.
#[message]
pub struct KeySpec {
    /// Digest of the key's secret.
    pub digest: KeyDigest,
    /// Team that requests with this key count towards.
    pub team: TeamName,
}

/// Contents of a `limit` record.
#[message]
pub struct LimitSpec {
    /// Largest number of tasks that the team may run in the whole fleet.
    pub max_running: u32,
    /// Team that the limit applies to.
    pub team: TeamName,
}

/// Contents of a `queue` record.
#[message]
pub struct QueueSpec {
    /// Callers that may send requests to the queue.
    pub access: Access,
    /// Demand of a request that does not declare its own.
    pub demand: Resources,
    /// Largest number of requests of one team that wait at one daemon.
    pub max_waiting: u32,
    /// Scheduling policy of the requests.
    pub policy: Policy,
    /// Team that requests without a key count towards. Required if `access` is `Open`.
    pub team: Option<TeamName>,
}

/// Contents of a `share` record.
#[message]
pub struct ShareSpec {
    /// Team that the weight applies to.
    pub team: TeamName,
    /// Weight relative to that of other teams, in thousandths.
    pub weight_millis: u32,
}

/// Contents of a `store_member` record. The record's name is the member's name.
#[message]
pub struct StoreMemberSpec {
    /// Address at which other daemons reach the member.
    pub address: SocketAddr,
    /// Identity of the disk that holds the member's log.
    pub identity: u64,
}

/// Contents of a `team` record. The record's name is the team's name.
#[message]
pub struct TeamSpec {
    /// Display name, shown to operators; may be empty.
    pub title: SmolStr,
}

/// Contents of a `worker_class` record.
#[message]
pub struct WorkerClassSpec {
    /// Expected speed relative to an ordinary worker, in thousandths.
    pub speed_millis: u32,
}

/// Contents of a record of any kind.
#[message]
pub enum Spec {
    /// Contents of a `drain` record.
    Drain(DrainSpec),
    /// Contents of a `key` record.
    Key(KeySpec),
    /// Contents of a `limit` record.
    Limit(LimitSpec),
    /// Contents of a `queue` record.
    Queue(QueueSpec),
    /// Contents of a `share` record.
    Share(ShareSpec),
    /// Contents of a `store_member` record.
    StoreMember(StoreMemberSpec),
    /// Contents of a `team` record.
    Team(TeamSpec),
    /// Contents of a `work` record.
    Work(WorkSpec),
    /// Contents of a `worker_class` record.
    WorkerClass(WorkerClassSpec),
}
