//! Settings of a session.

use {
    fuchsiatack_ledger::DaemonInfo,
    fuchsiatack_wire::{CellSecret, PeerClientSettings},
    std::{net::SocketAddr, time::Duration},
};

/// How to reach the store.
#[derive(Clone, Debug)]
pub struct CellClientSettings {
    /// Longest wait for one member, so that a silent one does not use up the caller's time.
    pub attempt_limit: Duration,
    /// Peer addresses of the store members.
    pub members: Vec<SocketAddr>,
    /// Times of the connections.
    pub peer: PeerClientSettings,
    /// Secret of the cell.
    pub secret: CellSecret,
}

impl CellClientSettings {
    /// Longest wait for one member by default.
    pub const DEFAULT_ATTEMPT_LIMIT: Duration = Duration::from_secs(1);
}

/// Times and identity of a session.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// The daemon that opens the session.
    pub daemon: DaemonInfo,
    /// Lease, counted from when a renewal was sent.
    pub lease: Duration,
    /// Time between renewals.
    pub renewal: Duration,
}

impl SessionSettings {
    /// Lease that keeps a withdrawn key below its bound of 5 s.
    pub const DEFAULT_LEASE: Duration = Duration::from_secs(3);
    /// Four renewals in a lease. After a renewal, 2.25 s of the lease are left for two election
    /// timeouts of at most 900 ms, so that a leader election costs no lease.
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
