//! Specification of one step of a job.

use {fuchsiatack_derives::message, fuchsiatack_model::Resources, smol_str::SmolStr};

/// Equal tasks that a job runs once the steps that they depend on are done.
#[message]
pub struct StepSpec {
    /// Whether several runs of a task may be active at the same time.
    pub allows_copies: bool,
    /// Whether the tasks save checkpoints from which a later run resumes.
    pub checkpoints: bool,
    /// Rack that holds the data; tasks on other racks are slower. `None` if the rack does not
    /// matter.
    pub data_rack: Option<SmolStr>,
    /// Resources that one task needs.
    pub demand: Resources,
    /// Numbers of the earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Rough estimate of a task's duration in milliseconds; 0 if there is none.
    pub estimated_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub fills_idle: bool,
    /// Whether the tasks run only all at the same time and are done together.
    pub gang: bool,
    /// Image that the tasks run. Tasks of one image behave alike.
    pub image: SmolStr,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Maximum number of the step's tasks on one worker; `None` for no limit.
    pub max_per_worker: Option<u32>,
    /// Maximum number of tasks that may be unavailable because of orders of the scheduler; `None`
    /// for no limit.
    pub max_unavailable: Option<u32>,
    /// Label that a worker must have; `None` if any worker will do.
    pub required_label: Option<SmolStr>,
    /// Whether the tasks are slower if they run on more than one rack.
    pub same_rack: bool,
    /// Tail latency that the tasks must not exceed towards their own users, in milliseconds; `None`
    /// if they serve none.
    pub target_tail_latency_ms: Option<u64>,
    /// Number of tasks.
    pub tasks: u32,
}

impl Default for StepSpec {
    fn default() -> Self {
        Self {
            allows_copies: false,
            checkpoints: false,
            data_rack: None,
            demand: Resources::NONE,
            depends_on: Vec::new(),
            estimated_ms: 0,
            fills_idle: false,
            gang: false,
            image: SmolStr::default(),
            long_running: false,
            max_per_worker: None,
            max_unavailable: None,
            required_label: None,
            same_rack: false,
            target_tail_latency_ms: None,
            tasks: 1,
        }
    }
}

impl StepSpec {
    /// Returns the resources that a task reserves on its worker. A task that uses only idle
    /// processor time reserves no processors.
    pub fn reserved(&self) -> Resources {
        match self.fills_idle {
            true => Resources {
                processors_millis: 0,
                ..self.demand
            },
            false => self.demand,
        }
    }
}
