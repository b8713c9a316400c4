//! Network faults of one direction between two parties.

use std::time::Duration;

/// Faults of the traffic from one party to another. The default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Holds the bytes of connections and drops datagrams, without an error on either side.
    pub cut: bool,
    /// Additional one-way delay.
    pub delay: Duration,
    /// Probability that a datagram is dropped, in thousandths.
    pub drop_millis: u32,
    /// Probability that a datagram is delivered twice, in thousandths.
    pub duplicate_millis: u32,
    /// Probability that a datagram is held until the next one has been sent, in thousandths.
    pub reorder_millis: u32,
}

impl LinkFaults {
    /// Combines the faults of two rules that match one link: delays add up, the higher probability
    /// applies.
    pub(crate) fn combine(&self, other: &Self) -> Self {
        Self {
            cut: self.cut || other.cut,
            delay: self.delay + other.delay,
            drop_millis: self.drop_millis.max(other.drop_millis),
            duplicate_millis: self.duplicate_millis.max(other.duplicate_millis),
            reorder_millis: self.reorder_millis.max(other.reorder_millis),
        }
    }
}
