//! Accepted ranges of fields in both schema versions.

use {fuchsiatack_model::Policy, std::ops::RangeInclusive};

/// Identity of a store member's disk.
pub(crate) const IDENTITY: RangeInclusive<u64> = 0..=u64::MAX;

/// Largest amount of accelerators, connections, processors or slots.
pub(crate) const MAX_AMOUNT: u64 = 1_000_000_000;

/// Largest amount of memory: 1 PiB, more than any worker holds.
pub(crate) const MAX_MEMORY_BYTES: u64 = 1 << 50;

/// Longest name in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Upper limit of a team. 0 stops new starts.
pub(crate) const MAX_RUNNING: RangeInclusive<u32> = 0..=10_000_000;

/// Longest secret of a key in bytes.
pub(crate) const MAX_SECRET_BYTES: usize = 1_024;

/// Longest text for people in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 1_024;

/// Requests of one team that wait at one daemon; the design sets 1,000 as the most.
pub(crate) const MAX_WAITING: RangeInclusive<u32> = 1..=1_000;

/// Longest body of a work in bytes. It is part of every snapshot.
pub(crate) const MAX_WORK_BODY_BYTES: usize = 64 * 1024;

/// Need of one task in thousandths of a core.
pub(crate) const PROCESSORS_MILLIS: RangeInclusive<u32> = 0..=1_000_000_000;

/// Weight of a share in thousandths.
pub(crate) const SHARE_MILLIS: RangeInclusive<u32> = 1..=1_000_000_000;

/// Weight of a share in percent.
pub(crate) const SHARE_PERCENT: RangeInclusive<u32> = 1..=100_000_000;

/// Speed of a worker class in thousandths.
pub(crate) const SPEED_MILLIS: RangeInclusive<u32> = 1..=1_000_000;

/// Policies of queued work with their names.
pub(crate) const WORK_POLICIES: [(&str, Policy); 3] = [
    ("batch", Policy::Batch),
    ("gang", Policy::Gang),
    ("service", Policy::Service),
];

/// Tasks of a work. Their states are part of every snapshot.
pub(crate) const WORK_TASKS: RangeInclusive<u32> = 1..=10_000;
