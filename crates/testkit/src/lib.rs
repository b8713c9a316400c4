//! Support for tests and measurements: stand-in workers, cells of real processes, faults, load.

mod answer;
mod caller_event;
mod cell;
mod cell_builder;
mod cell_daemon;
mod cell_error;
mod cell_worker;
mod child_process;
mod daemon_settings;
mod fake_worker;
mod fake_worker_settings;
mod json_log;
mod load;
mod load_report;
mod load_settings;
mod ports;
mod task_body;
mod wall_clock;
mod worker_event;
mod worker_state;

pub use self::{
    answer::{answer_to, is_answer_to, is_whole},
    caller_event::{CallerEvent, Seen},
    cell::{Cell, WAIT_LIMIT},
    cell_builder::CellBuilder,
    cell_daemon::CellDaemon,
    cell_error::CellError,
    cell_worker::{CellWorker, WorkerMode, example_program},
    child_process::ChildProcess,
    daemon_settings::{
        AddressSettings, CallerSettings, DaemonSettings, ElectionSettings, LeaseSettings, LogSettings,
        MemberSettings, StoreSettings, TraceSettings,
    },
    fake_worker::FakeWorker,
    fake_worker_settings::{FakeWorkerSettings, WorkerControl},
    json_log::{JsonLog, read_json_log},
    load::run_load,
    load_report::{LoadReport, TeamReport},
    load_settings::{LoadSettings, LoadTeam, Pace},
    ports::{free_address, test_ip},
    task_body::{Behaviour, TaskBody},
    wall_clock::wall_us,
    worker_event::{WorkerEvent, WorkerEventKind},
};
