//! Placement decisions of one entry daemon: events in, decisions out.
//!
//! The kernel owns no clock, does no I/O and uses no randomness but a seed in its settings.

mod capacity_tree;
mod decision;
mod ejection;
mod event;
mod forwarding;
mod health;
mod kernel;
mod peers;
mod placement;
mod placement_rule;
mod policy;
mod policy_batch;
mod policy_gang;
mod policy_interactive;
mod policy_service;
mod preemption;
mod reservation;
mod settings;
mod spread;
mod start_bound;
mod submission;
mod task;
mod task_end;
mod task_index;
mod team;
mod teams;
mod timer;
mod tokens;
mod wait_estimate;
mod waiting;
mod worker;
mod worker_events;
mod workers;

pub use self::{
    decision::Decision,
    event::{Event, PeerLoad, Submission, TaskEnd},
    kernel::Kernel,
    placement_rule::PlacementRule,
    settings::KernelSettings,
};
