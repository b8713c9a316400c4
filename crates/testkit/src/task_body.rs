//! Instructions to a fake worker, carried in the body of a task.

use {
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
};

/// What a fake worker does with a task.
#[derive(Default)]
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Waits, then answers 500.
    Fail,
    /// Runs until it is cancelled or its lease ends.
    Hang,
    /// Waits, then answers 200 with the transformed body.
    #[default]
    Run,
}

/// Body of a task as JSON. A body of another form runs with the defaults.
#[derive(Default)]
#[message]
#[serde(default)]
pub struct TaskBody {
    /// What the worker does.
    pub behaviour: Behaviour,
    /// Delay between the end of the task and its answer, in milliseconds.
    pub late_ms: u64,
    /// Text that gives the body the size a test wants.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub padding: SmolStr,
    /// Identifier of the request, repeated here so that worker logs carry it.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub request: SmolStr,
    /// Run time on a worker of speed 1,000, in milliseconds. The worker's default if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

impl TaskBody {
    /// Creates the body of a task that runs for some time.
    pub fn run(run_ms: u64) -> Self {
        Self {
            run_ms: Some(run_ms),
            ..Self::default()
        }
    }

    /// Reads the instructions; anything but an object of this form gives the defaults.
    pub fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// Writes the body.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the fields have JSON forms")
    }
}
