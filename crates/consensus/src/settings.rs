//! Settings of a member.

use {crate::MemberId, fuchsiatack_derives::value};

/// Settings of a `Node`.
#[value]
pub struct NodeSettings {
    /// Longest election timeout in milliseconds.
    pub election_maximum_ms: u64,
    /// Shortest election timeout in milliseconds.
    pub election_minimum_ms: u64,
    /// Interval of heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// Identity of the member's disk.
    pub id: MemberId,
    /// Most payload bytes in one append, unless a single entry is larger.
    pub max_append_bytes: usize,
    /// Most appends that one follower may have unanswered.
    pub max_in_flight: usize,
    /// Most bytes in one part of a snapshot.
    pub max_snapshot_part_bytes: usize,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Most payload bytes kept in memory behind a snapshot, so that a follower that is slightly
    /// behind needs no snapshot.
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
