//! The replicated state.

use {
    crate::{Addressed, Change, Command, Query, QueryReply, Reply},
    fuchsiatack_derives::{message, value},
    fuchsiatack_model::{LogIndex, SessionId},
};

/// Result of applying one command.
#[value]
pub struct Applied {
    /// Changes for followers.
    pub changes: Vec<Addressed>,
    /// Result for the proposer.
    pub reply: Reply,
}

/// The state that all store members agree on. Serialised with postcard as the snapshot.
#[derive(Default)]
#[message]
pub struct Ledger {}

impl Ledger {
    /// Applies the command at `index`.
    pub fn apply(&mut self, _index: LogIndex, _command: Command) -> Applied {
        todo!()
    }

    /// Returns the directory that a new follower of `session` starts from.
    pub fn directory(&self, _session: SessionId) -> Vec<Change> {
        todo!()
    }

    /// Answers a read.
    pub fn query(&self, _query: &Query) -> QueryReply {
        todo!()
    }
}
