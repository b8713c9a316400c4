//! The daemon `fuchsiatackd`: the engine that drives the scheduling kernel, the HTTP servers for
//! callers and operators, the worker adapter, settings, metrics, traces and logs.

mod arguments;
mod caller_api;
mod client_limits;
mod daemon;
mod engine;
mod engine_decisions;
mod engine_directory;
mod engine_handle;
mod engine_message;
mod engine_work;
mod error;
mod forward_watch;
mod hints;
mod http_adapter;
mod http_error;
mod http_server;
mod job;
mod job_entry;
mod job_table;
mod journal;
mod logs;
mod metrics;
mod operator_api;
mod ownership;
mod peer_handler;
mod peers;
mod process_collector;
mod request_head;
mod retry_budget;
mod run_response;
mod settings;
mod settings_check;
mod settings_error;
mod shared;
mod store_role;
mod team_setting;
mod token_returns;
mod traces;
mod work_tasks;
mod worker_adapter;
mod worker_traffic;
mod yaml_location;

pub use self::{
    arguments::Arguments,
    client_limits::ClientSettings,
    daemon::Daemon,
    error::DaemonError,
    logs::set_up_logs,
    settings::{
        CallerSettings, ElectionSettings, LeaseSettings, LogSettings, MemberSettings, OperatorSettings,
        PeerSettings, Role, Settings, StopSettings, StoreSettings, TraceSettings,
    },
    settings_error::SettingsError,
};
