//! Scheduler of one entry daemon. It handles events and returns decisions.
//!
//! The kernel has no clock and does no I/O: the caller passes the time with each event and carries
//! out the decisions. Pseudo-random choices depend only on the seed in the settings.

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
