//! Messages between members.

use {
    crate::{Entry, Member, MemberId, Term},
    fuchsiatack_derives::message,
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

/// A message with its addresses.
#[message]
pub struct Envelope {
    /// Content.
    pub body: Body,
    /// Sender.
    pub from: MemberId,
    /// Receiver.
    pub to: MemberId,
}

/// Content of a message. Variants are sorted by name.
#[message]
pub enum Body {
    /// Entries from the leader.
    Append {
        /// Leader's commit index.
        commit: LogIndex,
        /// Entries after `previous`, in order.
        entries: Vec<Arc<Entry>>,
        /// Index before the first entry.
        previous: LogIndex,
        /// Term of the entry at `previous`.
        previous_term: Term,
        /// Leader's term.
        term: Term,
    },
    /// Entries up to `matching` are synced on the sender.
    Appended {
        /// Last index that agrees with the leader.
        matching: LogIndex,
        /// Sender's term.
        term: Term,
    },
    /// The leader hands its leadership over: the receiver, which has the whole log, starts an
    /// election at once.
    Campaign {
        /// Leader's term.
        term: Term,
    },
    /// Sign of life of the leader.
    Heartbeat {
        /// Commit index, at most what the receiver has acknowledged.
        commit: LogIndex,
        /// Number of the heartbeat round, for leadership confirmation.
        round: u64,
        /// Leader's term.
        term: Term,
    },
    /// Answer to `Heartbeat`.
    HeartbeatReply {
        /// Round of the heartbeat.
        round: u64,
        /// Sender's term.
        term: Term,
    },
    /// The receiver's term is over.
    Obsolete {
        /// Sender's term.
        term: Term,
    },
    /// Asks whether an election could succeed; changes no state.
    PreVote {
        /// Last index of the candidate.
        last: LogIndex,
        /// Term of the entry at `last`.
        last_term: Term,
        /// Term that the election would have.
        term: Term,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Whether the sender would vote for the candidate.
        granted: bool,
        /// Term of `PreVote` if granted, else the sender's term.
        term: Term,
    },
    /// The entry at `previous` is missing or differs on the sender.
    Rejected {
        /// Last index that may agree.
        hint: LogIndex,
        /// `previous` of the refused `Append`.
        previous: LogIndex,
        /// Whether the sender has no member list yet, so that it needs a snapshot.
        snapshot: bool,
        /// Sender's term.
        term: Term,
    },
    /// Part of a snapshot.
    SnapshotPart {
        /// Bytes from `offset` on.
        data: Vec<u8>,
        /// Last index in the snapshot.
        index: LogIndex,
        /// Member list as of `index`.
        members: Vec<Member>,
        /// Position of `data` in the snapshot in bytes.
        offset: u64,
        /// Term of the entry at `index`.
        snapshot_term: Term,
        /// Leader's term.
        term: Term,
        /// Size of the whole snapshot in bytes.
        total: u64,
    },
    /// Answer to an incomplete `SnapshotPart`. The last part is answered with `Appended`.
    SnapshotReceived {
        /// Last index in the snapshot.
        index: LogIndex,
        /// Bytes that the sender holds, counted from the start.
        received: u64,
        /// Sender's term.
        term: Term,
    },
    /// Asks for a vote.
    Vote {
        /// Last index of the candidate.
        last: LogIndex,
        /// Term of the entry at `last`.
        last_term: Term,
        /// Term of the election.
        term: Term,
        /// Whether the present leader asked for the election.
        transferred: bool,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the sender voted for the candidate.
        granted: bool,
        /// Sender's term.
        term: Term,
    },
}

impl Body {
    /// Returns the term that the message carries.
    pub fn term(&self) -> Term {
        match self {
            Self::Append { term, .. }
            | Self::Appended { term, .. }
            | Self::Campaign { term }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::Obsolete { term }
            | Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Rejected { term, .. }
            | Self::SnapshotPart { term, .. }
            | Self::SnapshotReceived { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. } => *term,
        }
    }

    /// Returns whether only a leader sends such messages.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Self::Append { .. } | Self::Campaign { .. } | Self::Heartbeat { .. } | Self::SnapshotPart { .. }
        )
    }
}
