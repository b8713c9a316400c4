//! Placement decisions of one entry daemon: events in, decisions out.
//!
//! The kernel owns no clock, does no I/O and uses no randomness but a seed in its settings.

mod decision;
mod event;
mod kernel;
mod settings;

pub use self::{
    decision::Decision,
    event::{Event, PeerLoad, Submission, TaskEnd},
    kernel::Kernel,
    settings::KernelSettings,
};
