//! Faults of one direction between two parties.

use std::time::Duration;

/// Faults of the traffic from one party to another. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Bytes of connections are held and datagrams are dropped, without notice to either side.
    pub cut: bool,
    /// Added one-way delay.
    pub delay: Duration,
    /// Datagrams that are dropped, in thousandths.
    pub drop_millis: u32,
    /// Datagrams that are delivered twice, in thousandths.
    pub duplicate_millis: u32,
    /// Datagrams that are held until the next one was delivered, in thousandths.
    pub reorder_millis: u32,
}

impl LinkFaults {
    /// Combines the faults of several rules that match one link.
    pub(crate) fn and(&self, other: &Self) -> Self {
        Self {
            cut: self.cut || other.cut,
            delay: self.delay + other.delay,
            drop_millis: self.drop_millis.max(other.drop_millis),
            duplicate_millis: self.duplicate_millis.max(other.duplicate_millis),
            reorder_millis: self.reorder_millis.max(other.reorder_millis),
        }
    }
}
