//! Runtime of the store role: drives a consensus node, stores its log, and applies committed
//! commands to the ledger.

mod clock;
mod directory_followers;
mod error;
mod event;
mod failure;
mod formation;
mod jobs_role;
mod leadership;
mod long_work;
mod membership;
mod peers;
mod pending_calls;
mod reopen_delays;
mod runtime;
mod runtime_contact;
mod runtime_leader;
mod runtime_node;
mod runtime_reads;
mod settings;
mod status;
mod store;
mod work_metrics;
mod writer;

pub use self::{
    clock::{steady_ms, unix_ms},
    error::StoreError,
    settings::{InitialMember, JobsSettings, Membership, StoreSettings},
    status::StoreStatus,
    store::Store,
    work_metrics::WorkMetrics,
};
