//! Consensus messages between members.

use {
    crate::{Entry, Member, MemberId, Term},
    fuchsiatack_derives::message,
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

/// A consensus message with its sender and receiver.
#[message]
pub struct Envelope {
    /// Message itself.
    pub body: Body,
    /// Identity of the sender.
    pub from: MemberId,
    /// Identity of the receiver. Messages for another identity are dropped.
    pub to: MemberId,
}

/// Content of a message. The encoding depends on the order of the variants and fields.
#[message]
pub enum Body {
    /// Log entries from the leader. Without entries, the message only checks whether `previous`
    /// matches.
    Append {
        /// Leader's commit index.
        commit: LogIndex,
        /// Entries after `previous`, in order.
        entries: Vec<Arc<Entry>>,
        /// Index immediately before the first entry.
        previous: LogIndex,
        /// Term of the entry at `previous`.
        previous_term: Term,
        /// Leader's term.
        term: Term,
    },
    /// Reply to an `Append`, to the last `SnapshotPart`, or to a part of a snapshot that the sender's
    /// commit index already covers. The log up to `matching` is synced on the sender.
    AppendAccepted {
        /// Last index known to match the leader's log.
        matching: LogIndex,
        /// Sender's term.
        term: Term,
    },
    /// Leadership transfer: the receiver, which has the leader's whole log, starts an election at
    /// once.
    Campaign {
        /// Leader's term.
        term: Term,
    },
    /// Periodic message that keeps followers from starting an election.
    Heartbeat {
        /// Leader's commit index, limited to the last index that the receiver acknowledged.
        commit: LogIndex,
        /// Number of the heartbeat round; leadership confirmations refer to it.
        round: u64,
        /// Leader's term.
        term: Term,
    },
    /// Reply to `Heartbeat`.
    HeartbeatReply {
        /// `round` of the heartbeat.
        round: u64,
        /// Sender's term.
        term: Term,
    },
    /// Reply to a leader or candidate of a lower term, which then adopts the sender's term.
    StaleTerm {
        /// Sender's term.
        term: Term,
    },
    /// Asks whether the receiver would grant a vote. Granting it changes no state.
    PreVote {
        /// Last index of the candidate.
        last: LogIndex,
        /// Term of the entry at `last`.
        last_term: Term,
        /// Term that the candidate would start.
        term: Term,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// Whether the sender would vote for the candidate.
        granted: bool,
        /// `term` of the `PreVote` if granted, otherwise the sender's term.
        term: Term,
    },
    /// Reply to an `Append` whose entry at `previous` is missing on the sender or has another term.
    AppendRejected {
        /// Last index at which the logs may match.
        hint: LogIndex,
        /// `previous` of the rejected `Append`.
        previous: LogIndex,
        /// Whether the sender needs a snapshot because it has no member list yet.
        needs_snapshot: bool,
        /// Sender's term.
        term: Term,
    },
    /// Part of the leader's snapshot, sent to a follower that lacks compacted entries.
    SnapshotPart {
        /// Bytes of the snapshot from `offset` on.
        data: Vec<u8>,
        /// Last log index that the snapshot covers.
        index: LogIndex,
        /// Member list as of `index`.
        members: Vec<Member>,
        /// Position of `data` in the snapshot, in bytes.
        offset: u64,
        /// Term of the entry at `index`.
        snapshot_term: Term,
        /// Leader's term.
        term: Term,
        /// Size of the whole snapshot in bytes.
        total_bytes: u64,
    },
    /// Reply to a `SnapshotPart` after which later parts are still missing. The reply to the last
    /// part is `AppendAccepted`.
    SnapshotReceived {
        /// Last log index that the snapshot covers.
        index: LogIndex,
        /// Bytes received without a gap from the start of the snapshot.
        received_bytes: u64,
        /// Sender's term.
        term: Term,
    },
    /// Asks the receiver for its vote in an election.
    Vote {
        /// Last index of the candidate.
        last: LogIndex,
        /// Term of the entry at `last`.
        last_term: Term,
        /// Term that the candidate started.
        term: Term,
        /// Whether the current leader requested the election by `Campaign`. Receivers then vote
        /// although their leader is alive.
        transferred: bool,
    },
    /// Reply to `Vote`, sent once the vote is synced.
    VoteReply {
        /// Whether the sender voted for the candidate.
        granted: bool,
        /// Sender's term.
        term: Term,
    },
}

impl Body {
    /// Returns the term of the message. For a `PreVote` and its granted reply, this is the term
    /// that the election would have.
    pub fn term(&self) -> Term {
        match self {
            Self::Append { term, .. }
            | Self::AppendAccepted { term, .. }
            | Self::Campaign { term }
            | Self::Heartbeat { term, .. }
            | Self::HeartbeatReply { term, .. }
            | Self::StaleTerm { term }
            | Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::AppendRejected { term, .. }
            | Self::SnapshotPart { term, .. }
            | Self::SnapshotReceived { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. } => *term,
        }
    }

    /// Returns whether only a leader sends this kind of message.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Self::Append { .. } | Self::Campaign { .. } | Self::Heartbeat { .. } | Self::SnapshotPart { .. }
        )
    }
}
