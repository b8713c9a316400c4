//! Log events of the planner.

use {fuchsiatack_derives::value, smol_str::SmolStr};

/// One structured log event. The driver writes it, since the planner does no I/O.
#[value]
pub struct LogEvent {
    /// Event text, constant for each kind of event.
    pub event: &'static str,
    /// Names and values of the event's fields.
    pub fields: Vec<(&'static str, SmolStr)>,
    /// Job that the event concerns, if any.
    pub job: Option<SmolStr>,
}

impl LogEvent {
    /// Creates an event without a job and fields.
    pub fn new(event: &'static str) -> Self {
        Self {
            event,
            fields: Vec::new(),
            job: None,
        }
    }

    /// Sets the job that the event concerns.
    pub fn job(mut self, job: impl ToString) -> Self {
        self.job = Some(SmolStr::new(job.to_string()));
        self
    }

    /// Adds a field after the present ones.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.fields.push((name, SmolStr::new(value.to_string())));
        self
    }
}
