//! Errors of the node.

use {crate::MemberId, displaydoc::Display, fuchsiatack_derives::value};

/// this member is not the leader
#[derive(Display, Eq)]
#[value]
pub struct NotLeader {
    /// The leader, if it is known.
    pub leader: Option<MemberId>,
}

impl std::error::Error for NotLeader {}

/// Why a change of the member list was refused.
#[derive(Display, Eq)]
#[value]
pub enum ChangeError {
    /// an earlier change of the member list is not committed yet
    InProgress,
    /// the change would leave no voter
    NoVoter,
    /// member {0:?} is not caught up
    NotCaughtUp(MemberId),
    /// {0}
    NotLeader(NotLeader),
    /// the leader has not committed an entry of its term yet
    NotReady,
    /// member {0:?} is not in the member list
    Unknown(MemberId),
}

impl From<NotLeader> for ChangeError {
    fn from(error: NotLeader) -> Self {
        Self::NotLeader(error)
    }
}

impl std::error::Error for ChangeError {}
