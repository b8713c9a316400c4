//! The replicated state machine of the store, and the allocator that its leader runs.
//!
//! Everything here is deterministic: no clock, no I/O and no randomness.

mod advice;
mod allocator;
mod change;
mod command;
mod daemon_info;
mod error;
mod journal;
mod ledger;
mod query;
mod renewal;
mod reply;
mod status;

pub use self::{
    advice::{Advice, TokenTarget},
    allocator::{Allocator, AllocatorSettings},
    change::{Addressed, Audience, Change, WorkerEntry},
    command::{Command, EndReason, OperationId, RecordAction, RecordWrite, TeamCount},
    daemon_info::DaemonInfo,
    error::LedgerError,
    journal::{JournalEntry, JournalKey, StoredAnswer},
    ledger::{Applied, Ledger},
    query::{Query, QueryReply},
    renewal::{Renewal, TeamUsage},
    reply::{Reply, WriteConflict},
    status::{LedgerStatus, SessionStatus, TokenStatus, WorkerStatus},
};
