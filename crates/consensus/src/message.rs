//! Messages between members.

use fuchsiatack_derives::{key, message};

/// Identity of a member's disk, created at random with the disk.
#[key]
#[serde(transparent)]
pub struct MemberId(pub u64);

/// A message with its addresses.
#[message]
pub struct Envelope {
    /// Sender.
    pub from: MemberId,
    /// Receiver.
    pub to: MemberId,
}
