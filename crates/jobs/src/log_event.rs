//! Log lines of the planner.

use {fuchsiatack_derives::value, smol_str::SmolStr};

/// One decision, for the log. The driver writes it; the planner does no I/O.
#[value]
pub struct LogEvent {
    /// What was decided.
    pub event: &'static str,
    /// Inputs and outcome.
    pub fields: Vec<(&'static str, SmolStr)>,
    /// Job that it concerns, if any.
    pub job: Option<SmolStr>,
}

impl LogEvent {
    /// Creates a line without a job.
    pub fn new(event: &'static str) -> Self {
        Self {
            event,
            fields: Vec::new(),
            job: None,
        }
    }

    /// Sets the job.
    pub fn job(mut self, job: impl ToString) -> Self {
        self.job = Some(SmolStr::new(job.to_string()));
        self
    }

    /// Adds a field.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.fields.push((name, SmolStr::new(value.to_string())));
        self
    }
}
