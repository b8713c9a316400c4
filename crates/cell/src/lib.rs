//! Daemons of a cell that runs jobs. The entry role receives callers' requests; the core role
//! replicates the state, elects the leader and calls workers.
//!
//! The HTTP messages of callers, workers, operators and the advice service are translated by an
//! [`HttpCodec`] that the user of this crate implements.

mod advice_client;
mod call_ages;
mod client_limits;
mod core_role;
mod entry_role;
mod error;
mod executor;
mod http_codec;
mod http_server;
mod leader_client;
mod leader_wait;
mod log_budget;
mod logs;
mod metrics;
mod metrics_endpoint;
mod peers;
mod routes;
mod settings;
mod worker_client;

pub use self::{
    call_ages::CallAges,
    client_limits::ClientLimits,
    core_role::CoreRole,
    entry_role::EntryRole,
    error::CellError,
    http_codec::{HttpCodec, HttpRequest, HttpResponse, OutgoingRequest},
    leader_wait::call_limits,
    log_budget::{LogBudget, LogDecision, is_sampled},
    logs::{init_logging, log},
    routes::Routes,
    settings::{CellSettings, CoreSettings, EntrySettings},
};
