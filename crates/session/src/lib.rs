//! The entry daemon's side of the store: calls to the leader, the session with its lease, and the
//! directory that follows the committed records.

mod cell_client;
mod directory;
mod error;
mod lease;
mod session;
mod settings;

pub use self::{
    cell_client::{CallLimits, CellClient, Committed, Queried},
    directory::Directory,
    error::SessionError,
    session::{Load, Session, SessionEvent},
    settings::{CellClientSettings, SessionSettings},
};
