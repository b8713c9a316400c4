//! Replicated state of jobs, and the leader's scheduling decisions on them.
//!
//! This crate does no I/O and reads no clock. `JobStore` is the state that all store members
//! replicate. `Planner` runs on the leader: it takes events and returns commands to replicate and
//! effects to carry out.

mod advice_claims;
mod advice_error;
mod advice_senders;
mod calls;
mod cell_report;
mod clock_sample;
mod cold_start;
mod command;
mod configuration;
mod crash_record;
mod effect;
mod evacuation;
mod event;
mod ids;
mod job;
mod job_spec;
mod job_store;
mod job_view;
mod kind_speed;
mod log_event;
mod occurrence;
mod output;
mod pacing;
mod plan_advice;
mod plan_advice_choice;
mod plan_advice_gangs;
mod plan_advice_room;
mod plan_advice_turns;
mod plan_advice_yield;
mod plan_attempts;
mod plan_backlog;
mod plan_calls;
mod plan_candidates;
mod plan_choice;
mod plan_cold_workers;
mod plan_crashes;
mod plan_data_center_evacuation;
mod plan_data_center_moves;
mod plan_evacuation;
mod plan_late_acknowledgements;
mod plan_late_starts;
mod plan_losses;
mod plan_pacing;
mod plan_preemption;
mod plan_prefetch;
mod plan_probation;
mod plan_reclaim;
mod plan_renewals;
mod plan_reservations;
mod plan_runs;
mod plan_shares;
mod plan_stalls;
mod plan_start;
mod plan_steps;
mod plan_team_limits;
mod plan_work;
mod plan_workers;
mod planner;
mod progress;
mod run_view;
mod service_room;
mod settings;
mod step_spec;
mod step_view;
mod team_share;
mod team_use;
mod urgent_room;
mod wait_reason;
mod wait_times;
mod withheld_reason;
mod worker_entry;
mod worker_health;
mod worker_order;
mod worker_report;
mod worker_view;

pub mod fair_share;
pub mod placement;
pub mod request_size;
pub mod reservation;

pub use self::{
    advice_error::AdviceError,
    calls::{
        AdviceRequest, AdviceResponse, CallId, CellCall, CellResponse, EntryReport, JobAction, JobCall,
        JobResponse, JobState, Wave,
    },
    cell_report::{CellReport, EvacuationReport},
    cold_start::ColdStart,
    command::{JobCommand, RunEnd, Submission},
    configuration::{AdvicePolicy, Configuration, Queue, Team},
    crash_record::{CrashRecord, LostTask},
    effect::Effect,
    evacuation::{Evacuation, JobStoreExtension},
    event::{
        EndedRun, HoldReport, JobEvent, ListedEnd, ListedRun, OrderRejection, OrderResult, WorkerCallError,
    },
    ids::{JobId, RunId, StepId, TaskKey},
    job::{Job, JobEnd, Task},
    job_spec::{JobSpec, Schedule},
    job_store::{JobStore, WaveEntry},
    kind_speed::KindSpeed,
    log_event::LogEvent,
    occurrence::{Occurrence, Occurrences},
    output::Output,
    plan_backlog::PriorityBacklog,
    plan_work::JobWork,
    planner::Planner,
    progress::Progress,
    service_room::ServiceRoom,
    settings::PlannerSettings,
    step_spec::StepSpec,
    team_share::TeamShare,
    wait_reason::WaitReason,
    wait_times::WaitTimes,
    withheld_reason::WithheldReason,
    worker_entry::WorkerEntry,
    worker_health::WorkerHealth,
    worker_order::{Callee, HoldKind, WorkerOrder, WorkerResponse},
    worker_report::WorkerReport,
};
