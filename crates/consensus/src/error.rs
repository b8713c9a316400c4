//! Errors returned by `Node`.

use {crate::MemberId, displaydoc::Display, fuchsiatack_derives::value};

/// this member is not the leader
#[derive(Display, Eq)]
#[value]
pub struct NotLeader {
    /// Identity of the current leader, if this member knows it.
    pub leader: Option<MemberId>,
}

impl std::error::Error for NotLeader {}

/// Why a change of the member list was rejected.
#[derive(Display, Eq)]
#[value]
pub enum ChangeError {
    /// an earlier change of the member list is not committed yet
    InProgress,
    /// the change would leave no voter
    NoVoter,
    /// member {0:?} has not caught up with the leader's log
    NotCaughtUp(MemberId),
    /// {0}
    NotLeader(NotLeader),
    /// the leader has not committed an entry of its own term yet
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
