//! What a caller asks for in one step of a job.

use {fuchsiatack_derives::message, fuchsiatack_model::Resources, smol_str::SmolStr};

/// Tasks of one kind that a job runs once the steps before them are done.
#[message]
pub struct StepSpec {
    /// Whether several runs of a task may be at work at the same time.
    pub allows_copies: bool,
    /// Whether the tasks save checkpoints.
    pub checkpoints: bool,
    /// Rack that holds the data. Work on other racks is slower.
    pub data_rack: Option<SmolStr>,
    /// What one task occupies on its worker.
    pub demand: Resources,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Rough estimate of a task's duration in milliseconds.
    pub estimated_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave unused.
    pub fills_idle: bool,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: SmolStr,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Most tasks that may be away through orders of the scheduler.
    pub max_unavailable: Option<u32>,
    /// Label that a worker must have.
    pub required_label: Option<SmolStr>,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Bound of the tail latency that the tasks owe their own users, in milliseconds.
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
    /// Returns what a task takes from its worker's capacity. A task that uses only idle processor
    /// time takes no processors.
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
