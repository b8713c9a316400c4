//! Identifiers of jobs, their steps, tasks and runs.

use {
    fuchsiatack_derives::key,
    std::{
        fmt::{Display, Formatter, Result},
        ops::RangeInclusive,
    },
};

/// Hexadecimal digits of a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// Identifier of a job, chosen by its caller.
#[key]
#[serde(transparent)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses exactly 16 lower-case hexadecimal digits; returns `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let is_valid = text.len() == JOB_ID_DIGITS && text.bytes().all(is_digit);
        is_valid
            .then(|| u64::from_str_radix(text, 16).ok().map(Self))
            .flatten()
    }
}

impl Display for JobId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// One step of one occurrence of a job.
#[key]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

impl StepId {
    /// Returns the range of all possible keys of the step's tasks.
    pub fn tasks(self) -> RangeInclusive<TaskKey> {
        let task = |index| TaskKey { index, step: self };
        task(0)..=task(u32::MAX)
    }
}

impl Display for StepId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[key]
pub struct TaskKey {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Number of the task in its step, from 0.
    pub index: u32,
}

impl Display for TaskKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{}.{}", self.step, self.index)
    }
}

/// One run of a task. Members of a gang that start together share the number.
#[key]
pub struct RunId {
    /// Task that is run.
    pub task: TaskKey,
    /// Number of the run, from 1 and rising with each start of the task.
    pub number: u32,
}

impl Display for RunId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{}#{}", self.task, self.number)
    }
}
