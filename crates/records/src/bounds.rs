//! Accepted ranges and lengths of record fields, the same in both schema versions.

use {fuchsiatack_model::Policy, std::ops::RangeInclusive};

/// Identity of a store member's disk: any 64-bit number.
pub(crate) const IDENTITY: RangeInclusive<u64> = 0..=u64::MAX;

/// Largest number of accelerators, connections, thousandths of a core or slots.
pub(crate) const MAX_AMOUNT: u64 = 1_000_000_000;

/// Largest amount of memory: 1 PiB, more than any worker has.
pub(crate) const MAX_MEMORY_BYTES: u64 = 1 << 50;

/// Longest name of a record, worker or team, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Largest number of running tasks of a team. 0 prevents new tasks from starting.
pub(crate) const MAX_RUNNING: RangeInclusive<u32> = 0..=10_000_000;

/// Longest secret of a key, in bytes.
pub(crate) const MAX_SECRET_BYTES: usize = 1_024;

/// Longest reason or title, in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 1_024;

/// Largest number of requests of one team that wait at one daemon. The design sets 1,000 as the
/// upper bound.
pub(crate) const MAX_WAITING: RangeInclusive<u32> = 1..=1_000;

/// Longest body of a work, in bytes. It is limited because every snapshot contains it.
pub(crate) const MAX_WORK_BODY_BYTES: usize = 64 * 1024;

/// Processor demand of one task, in thousandths of a core.
pub(crate) const PROCESSORS_MILLIS: RangeInclusive<u32> = 0..=1_000_000_000;

/// Weight of a share, in thousandths.
pub(crate) const SHARE_MILLIS: RangeInclusive<u32> = 1..=1_000_000_000;

/// Weight of a share, in percent.
pub(crate) const SHARE_PERCENT: RangeInclusive<u32> = 1..=100_000_000;

/// Speed of a worker class, in thousandths of an ordinary worker's speed.
pub(crate) const SPEED_MILLIS: RangeInclusive<u32> = 1..=1_000_000;

/// Names and policies that a `work` record accepts.
pub(crate) const WORK_POLICIES: [(&str, Policy); 3] = [
    ("batch", Policy::Batch),
    ("gang", Policy::Gang),
    ("service", Policy::Service),
];

/// Number of tasks of a work. It is limited because every snapshot contains their states.
pub(crate) const WORK_TASKS: RangeInclusive<u32> = 1..=10_000;
