//! `fuchsiatackd`: settings, HTTP servers, worker adapter, the engine around the kernel, metrics,
//! traces and logs.

mod answer;
mod arguments;
mod caller_api;
mod connection_gate;
mod daemon;
mod engine;
mod engine_decisions;
mod engine_directory;
mod engine_handle;
mod engine_message;
mod engine_work;
mod entries;
mod entry;
mod error;
mod hints;
mod http_adapter;
mod http_error;
mod http_server;
mod job;
mod journal;
mod keeper;
mod locate;
mod logs;
mod metrics;
mod operator_api;
mod peer_handler;
mod peers;
mod process_collector;
mod request_head;
mod retry_budget;
mod settings;
mod settings_check;
mod settings_error;
mod shared;
mod store_role;
mod team_setting;
mod token_returns;
mod traces;
mod work_book;
mod worker_adapter;
mod worker_traffic;

pub use self::{
    arguments::Arguments,
    daemon::Daemon,
    error::DaemonError,
    logs::set_up_logs,
    settings::{
        CallerSettings, ElectionSettings, LeaseSettings, LogSettings, MemberSettings, OperatorSettings,
        PeerSettings, Role, Settings, StopSettings, StoreSettings, TraceSettings,
    },
    settings_error::SettingsError,
};
