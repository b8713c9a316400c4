//! Contents of records, in the form that the ledger keeps.

use {
    crate::KeyDigest,
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{Policy, Resources, TeamName, WorkSpec},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Who may send to a queue.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Callers with a team's key.
    Keyed,
    /// Anyone; work counts for the queue's team.
    Open,
}

/// Contents of a `drain` record. The record's name is the worker's name.
#[message]
pub struct DrainSpec {
    /// Why, for people.
    pub reason: SmolStr,
}

/// Contents of a `key` record.
#[message]
pub struct KeySpec {
    /// Digest of the secret.
    pub digest: KeyDigest,
    /// Team that the key stands for.
    pub team: TeamName,
}

/// Contents of a `limit` record.
#[message]
pub struct LimitSpec {
    /// Most tasks that the team may have running over the fleet.
    pub max_running: u32,
    /// The team.
    pub team: TeamName,
}

/// Contents of a `queue` record.
#[message]
pub struct QueueSpec {
    /// Who may send to it.
    pub access: Access,
    /// Need of a request that declares none.
    pub demand: Resources,
    /// Most requests of one team that wait at one daemon.
    pub max_waiting: u32,
    /// Policy of its requests.
    pub policy: Policy,
    /// Team that open requests count for. Required if `access` is `Open`.
    pub team: Option<TeamName>,
}

/// Contents of a `share` record.
#[message]
pub struct ShareSpec {
    /// The team.
    pub team: TeamName,
    /// Weight relative to other teams, in thousandths.
    pub weight_millis: u32,
}

/// Contents of a `store_member` record. The record's name is the member's name.
#[message]
pub struct StoreMemberSpec {
    /// Peer address.
    pub address: SocketAddr,
    /// Identity of the disk that holds the member's log.
    pub identity: u64,
}

/// Contents of a `team` record. The record's name is the team's name.
#[message]
pub struct TeamSpec {
    /// Text for people.
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
    /// Of kind `drain`.
    Drain(DrainSpec),
    /// Of kind `key`.
    Key(KeySpec),
    /// Of kind `limit`.
    Limit(LimitSpec),
    /// Of kind `queue`.
    Queue(QueueSpec),
    /// Of kind `share`.
    Share(ShareSpec),
    /// Of kind `store_member`.
    StoreMember(StoreMemberSpec),
    /// Of kind `team`.
    Team(TeamSpec),
    /// Of kind `work`.
    Work(WorkSpec),
    /// Of kind `worker_class`.
    WorkerClass(WorkerClassSpec),
}
