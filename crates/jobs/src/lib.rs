//! Jobs of callers: their replicated state and the leader's decisions on them.
//!
//! Nothing here does I/O or reads a clock. `JobStore` is the state that all store members agree on.
//! `Planner` runs on the leader: it takes events and returns commands and effects.

mod advisers;
mod calls;
mod clock_sample;
mod command;
mod configuration;
mod effect;
mod event;
mod ids;
mod job;
mod job_spec;
mod job_store;
mod kind_pace;
mod log_event;
mod output;
mod plan_advice;
mod plan_ahead;
mod plan_calls;
mod plan_candidates;
mod plan_evacuation;
mod plan_renewals;
mod plan_runs;
mod plan_stalls;
mod plan_start;
mod plan_steps;
mod plan_workers;
mod planner;
mod progress;
mod run_view;
mod settings;
mod step_spec;
mod step_view;
mod worker_entry;
mod worker_health;
mod worker_order;
mod worker_report;
mod worker_view;

pub mod placement;

pub use self::{
    calls::{
        AdviceRequest, AdviceResponse, CallId, CellCall, CellResponse, EntryReport, JobAction, JobCall,
        JobResponse, JobState, Wave,
    },
    command::{JobCommand, RunEnd, Submission},
    configuration::{AdvicePolicy, Configuration, Queue, Team},
    effect::Effect,
    event::{
        EndedRun, HoldReport, JobEvent, ListedEnd, ListedRun, OrderRejection, OrderResult, WorkerCallError,
    },
    ids::{JobId, RunId, StepId, TaskKey},
    job::{Job, JobEnd, Occurrence, Task},
    job_spec::{JobSpec, Schedule},
    job_store::{JobStore, WaveEntry},
    kind_pace::KindPace,
    log_event::LogEvent,
    output::Output,
    planner::Planner,
    progress::Progress,
    settings::PlannerSettings,
    step_spec::StepSpec,
    worker_entry::WorkerEntry,
    worker_health::WorkerHealth,
    worker_order::{Callee, HoldKind, WorkerOrder, WorkerResponse},
    worker_report::WorkerReport,
};
