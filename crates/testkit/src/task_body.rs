//! Instructions to a fake worker in the body of a task.

use {
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
};

/// What a fake worker does with a task.
#[derive(Default)]
#[key]
#[serde(rename_all = "kebab-case")]
pub enum Behaviour {
    /// Runs, then responds with 500.
    Fail,
    /// Runs until it is cancelled or its lease expires.
    Hang,
    /// Runs, then responds with 200 and the digest and body of the request.
    #[default]
    Run,
}

/// Body of a task, encoded as JSON. A body that is not of this form runs with the defaults.
#[derive(Default)]
#[message]
#[serde(default)]
pub struct TaskBody {
    /// What the worker does with the task.
    pub behaviour: Behaviour,
    /// Delay between the end of the task and its response, in milliseconds.
    pub late_ms: u64,
    /// Text that brings the body to the size that a test needs.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub padding: SmolStr,
    /// Request identifier for the worker's event log, if the request has no header with it.
    #[serde(skip_serializing_if = "SmolStr::is_empty")]
    pub request: SmolStr,
    /// Run time on a worker with a speed of 1,000 thousandths, in milliseconds; the worker's default if
    /// absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub run_ms: Option<u64>,
}

impl TaskBody {
    /// Creates the body of a task that runs for `run_ms` milliseconds and succeeds.
    pub fn run(run_ms: u64) -> Self {
        Self {
            run_ms: Some(run_ms),
            ..Self::default()
        }
    }

    /// Parses a body. Returns the defaults if it is not of this form.
    pub fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// Encodes the body.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the fields have JSON forms")
    }
}
