//! Daemons of a cell that runs jobs: the entry role, which takes callers' requests, and the core
//! role, which keeps the state, leads and speaks to workers.
//!
//! How callers, workers and operators speak is a `Dialect`, which lives elsewhere.

mod adviser;
mod call_ages;
mod cell_port;
mod core_role;
mod dialect;
mod entry_role;
mod error;
mod executor;
mod http_server;
mod leader_wait;
mod log_budget;
mod logs;
mod metrics;
mod metrics_page;
mod peers;
mod routes;
mod settings;
mod worker_caller;

pub use self::{
    call_ages::CallAges,
    core_role::CoreRole,
    dialect::{Dialect, HttpAnswer, HttpQuestion, WorkerRequest},
    entry_role::EntryRole,
    error::CellError,
    leader_wait::limits_of_call,
    log_budget::{LogBudget, Verdict, is_sampled},
    logs::{log, set_up_logs},
    routes::Routes,
    settings::{CellSettings, CoreSettings, EntrySettings},
};
