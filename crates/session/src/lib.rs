//! Store client of an entry daemon: calls to the leader, the session with its lease, and a local
//! directory of the committed records, daemons and workers.

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
