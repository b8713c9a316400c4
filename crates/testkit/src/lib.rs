//! Support for tests and measurements: fake workers, cells of real processes, network faults, a load
//! generator and a history checker.

mod caller;
mod caller_event;
mod cell;
mod cell_builder;
mod cell_daemon;
mod cell_error;
mod cell_worker;
mod child_process;
mod control_event;
mod cpu_meter;
mod daemon_settings;
mod fake_worker;
mod fake_worker_settings;
mod history;
mod history_checker;
mod job_worker;
mod json_log;
mod link_faults;
mod load;
mod load_report;
mod load_settings;
mod ports;
mod proxy;
mod proxy_stream;
mod proxy_udp;
mod response;
mod socket_owner;
mod task_body;
mod violation;
mod wall_clock;
mod worker_event;
mod worker_state;

pub use self::{
    caller::{Caller, CallerRequest, CallerResponse},
    caller_event::{AttemptOutcome, CallerEvent},
    cell::{Cell, WAIT_LIMIT},
    cell_builder::CellBuilder,
    cell_daemon::CellDaemon,
    cell_error::CellError,
    cell_worker::{CellWorker, WorkerMode, example_program},
    child_process::ChildProcess,
    control_event::{Control, ControlEvent},
    cpu_meter::CpuMeter,
    daemon_settings::{
        AddressSettings, CallerSettings, DaemonSettings, ElectionSettings, LeaseSettings, LogSettings,
        MemberSettings, StoreSettings, TraceSettings,
    },
    fake_worker::FakeWorker,
    fake_worker_settings::{FakeWorkerSettings, WorkerControl},
    history::History,
    history_checker::HistoryChecker,
    job_worker::{JobRun, JobWorker},
    json_log::{JsonLog, read_json_log},
    link_faults::LinkFaults,
    load::run_load,
    load_report::{LoadReport, TeamReport},
    load_settings::{LoadSettings, LoadTeam, Pace},
    ports::{free_address, test_ip},
    proxy::{ANY, OUTSIDE, Proxy, Traffic},
    response::{is_complete_response, is_response_to, response_to},
    task_body::{Behaviour, TaskBody},
    violation::Violation,
    wall_clock::wall_us,
    worker_event::{WorkerEvent, WorkerEventKind},
};
