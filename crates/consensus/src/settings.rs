//! Settings of a consensus member.

use {crate::MemberId, fuchsiatack_derives::value};

/// Settings of a `Node`. The leader's lease is valid only if no member of the cell has a shorter
/// `election_minimum_ms` than the leader.
#[value]
pub struct NodeSettings {
    /// Longest election timeout in milliseconds; a leader without contact to a quorum for this long
    /// steps down.
    pub election_maximum_ms: u64,
    /// Shortest election timeout in milliseconds; also the length of the leader's lease.
    pub election_minimum_ms: u64,
    /// Interval between heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// Identity of this member, from its data folder.
    pub id: MemberId,
    /// Maximum payload of one append in bytes; a single larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Maximum number of appends to one follower that have no reply yet.
    pub max_in_flight: usize,
    /// Maximum size of one snapshot part in bytes.
    pub max_snapshot_part_bytes: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Maximum payload in bytes of the entries that stay in memory although the snapshot covers
    /// them, so that a follower that lags a little needs no snapshot.
    pub trailing_bytes: usize,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            election_maximum_ms: 300,
            election_minimum_ms: 150,
            heartbeat_ms: 50,
            id: MemberId(0),
            max_append_bytes: 256 << 10,
            max_in_flight: 16,
            max_snapshot_part_bytes: 1 << 20,
            seed: 0,
            trailing_bytes: 1 << 20,
        }
    }
}
