//! Why a worker gets no new runs, or few.

/// Why the planner keeps new runs from a worker, whatever room it has. The first reason in this order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WithheldReason {
    /// It has not answered the last call, or none of this leader yet.
    Unreachable,
    /// A message said that it has left.
    Left,
    /// Its heartbeats seem to come from another writer, and none was accepted for seconds.
    IgnoredHeartbeats,
    /// None of its heartbeats has arrived for seconds.
    OverdueHeartbeat,
    /// It runs a task alone that is suspected of crashing workers.
    Isolated,
    /// It failed or delayed its runs a short time ago.
    Ejected,
    /// It was ejected, and a trial run has to show first that it is sound.
    Probation,
}

impl WithheldReason {
    /// Returns the text of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Left => "left",
            Self::IgnoredHeartbeats => "heartbeats ignored",
            Self::OverdueHeartbeat => "heartbeat overdue",
            Self::Isolated => "isolated",
            Self::Ejected => "ejected",
            Self::Probation => "probation",
        }
    }
}
