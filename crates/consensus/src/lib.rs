//! Raft consensus: elections, log replication, snapshots and membership changes.
//!
//! `Node` is a state machine that does no I/O and reads no clock. `disk::LogStore` stores its
//! state.

pub mod disk;

mod disk_error;
mod disk_faults;
mod election;
mod entry;
mod error;
mod file_writer;
mod files;
mod follower;
mod frames;
mod joining;
mod leader;
mod loaded;
mod log;
mod member;
mod membership;
mod message;
mod node;
mod progress;
mod ready;
mod scan;
mod segment;
mod settings;
mod snapshot;
mod stored_state;
mod term;

pub use self::{
    entry::{Entry, Payload},
    error::{ChangeError, NotLeader},
    joining::{JoinRequest, JoinRequests, MemberContact, next_joining_change},
    member::{Member, MemberChange, MemberId, MemberRole},
    message::{Body, Envelope},
    node::{Node, Role},
    ready::{PersistMark, Ready},
    settings::NodeSettings,
    snapshot::Snapshot,
    stored_state::{HardState, StoredState},
    term::Term,
};
