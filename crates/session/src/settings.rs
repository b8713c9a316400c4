//! Settings of the store client and of a session.

use {
    fuchsiatack_ledger::DaemonInfo,
    fuchsiatack_wire::{CellSecret, PeerClientSettings},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of the store client.
#[derive(Clone, Debug)]
pub struct CellClientSettings {
    /// Longest wait for one member, so that a silent member does not use up the limit of a call.
    pub attempt_limit: Duration,
    /// Peer addresses of the store members; at least one.
    pub members: Vec<SocketAddr>,
    /// Time-outs of the connections.
    pub peer: PeerClientSettings,
    /// Secret that authenticates the connections.
    pub secret: CellSecret,
}

impl CellClientSettings {
    /// Default of `attempt_limit`.
    pub const DEFAULT_ATTEMPT_LIMIT: Duration = Duration::from_secs(1);
}

/// Identity and times of a session.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// Daemon that opens the session.
    pub daemon: DaemonInfo,
    /// Length of the lease, counted from the time at which a renewal is sent.
    pub lease: Duration,
    /// Interval between renewals.
    pub renewal: Duration,
}

impl SessionSettings {
    /// Default lease. A deleted key must stop working within 5 s, so the lease is shorter.
    pub const DEFAULT_LEASE: Duration = Duration::from_secs(3);
    /// Default interval: four renewals in a lease. When a renewal falls due, 2.25 s of the lease
    /// remain. That covers two election timeouts of at most 900 ms, so the lease outlasts a leader
    /// election.
    pub const DEFAULT_RENEWAL: Duration = Duration::from_millis(750);

    /// Creates settings with the default times.
    pub fn new(daemon: DaemonInfo) -> Self {
        Self {
            daemon,
            lease: Self::DEFAULT_LEASE,
            renewal: Self::DEFAULT_RENEWAL,
        }
    }
}
