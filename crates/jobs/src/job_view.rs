//! The planner's view of a job that has not ended: which of its steps are ready, and what the others wait for.
//!
//! A job may have 20,000 steps and 100,000 occurrences. The view is therefore changed by what has happened and
//! never made anew: each blocked step waits for one dependency at a time, and an occurrence is looked at when
//! the steps of those before it are open.

use {
    crate::{Job, StepId},
    std::collections::{BTreeMap, VecDeque},
};

/// A step of which all dependencies are done, but which is not open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyStep {
    /// Time since which it has been ready, in milliseconds.
    pub(crate) since_ms: u64,
    pub(crate) step: StepId,
}

/// A step that waits for a dependency.
#[derive(Clone, Copy, Debug)]
struct BlockedStep {
    /// Position of the dependency in the step's list. Those before it are done.
    position: usize,
    step: u32,
}

/// Expected durations that decide how urgent a step is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepEstimate {
    /// Sum of the estimated durations along the longest chain of the job's steps, in milliseconds.
    pub(crate) chain_ms: u64,
    /// Estimated time from the start of the step to the end of the job, in milliseconds.
    pub(crate) remaining_ms: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct JobView {
    /// Steps that wait for a dependency, by occurrence and number of the dependency.
    blocked: BTreeMap<(u32, u32), Vec<BlockedStep>>,
    chain_ms: u64,
    /// Number of the first occurrence whose steps were not looked at.
    next_occurrence: u32,
    ready: VecDeque<ReadyStep>,
    /// Sum of the estimated durations of each step and all later ones, in milliseconds.
    remaining_ms: Vec<u64>,
}

impl JobView {
    pub(crate) fn new(job: &Job) -> Self {
        let mut remaining_ms = vec![0; job.spec.steps.len()];
        let mut sum_ms = 0;
        for (remaining_ms, spec) in remaining_ms.iter_mut().zip(&job.spec.steps).rev() {
            sum_ms += spec.estimated_ms;
            *remaining_ms = sum_ms;
        }
        Self {
            blocked: BTreeMap::new(),
            chain_ms: job.chain_ms(),
            next_occurrence: 0,
            ready: VecDeque::new(),
            remaining_ms,
        }
    }

    pub(crate) fn estimate(&self, step: u32) -> StepEstimate {
        let remaining_ms = self.remaining_ms.get(step as usize).copied();
        StepEstimate {
            chain_ms: self.chain_ms,
            remaining_ms: remaining_ms.unwrap_or(0).min(self.chain_ms),
        }
    }

    /// Returns the next occurrence to look at; `None` if there is no further one.
    pub(crate) fn next_occurrence(&self, job: &Job) -> Option<u32> {
        Some(self.next_occurrence).filter(|next| *next < job.occurrence_count())
    }

    /// Looks at the steps of the next occurrence. Returns how many they are.
    pub(crate) fn begin_occurrence(&mut self, job: &Job, now_ms: u64) -> usize {
        let occurrence = self.next_occurrence;
        self.next_occurrence += 1;
        let present = job.occurrences.get(occurrence);
        if present.is_some_and(|present| present.is_done()) {
            return 1;
        }
        let steps = job.spec.steps.len() as u32;
        for step in (0..steps).filter(|step| !job.is_step_done(occurrence, *step)) {
            self.unblock(job, occurrence, BlockedStep { position: 0, step }, now_ms);
        }
        steps as usize
    }

    /// Takes into account that a step is done. Returns how many steps waited for it.
    pub(crate) fn end_step(&mut self, job: &Job, step: StepId, now_ms: u64) -> usize {
        let waiting = self.blocked.remove(&(step.occurrence, step.step));
        let waiting = waiting.unwrap_or_default();
        for blocked in &waiting {
            self.unblock(job, step.occurrence, *blocked, now_ms);
        }
        waiting.len()
    }

    /// Returns the steps that wait for a step now. Each of the others waits for a different dependency first.
    pub(crate) fn blocked_by(&self, step: StepId) -> impl Iterator<Item = StepId> {
        let waiting = self.blocked.get(&(step.occurrence, step.step));
        waiting.into_iter().flatten().map(move |blocked| StepId {
            step: blocked.step,
            ..step
        })
    }

    pub(crate) fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the step that has been ready for longest, or was put back first.
    pub(crate) fn take_ready(&mut self) -> Option<ReadyStep> {
        self.ready.pop_front()
    }

    /// Puts a step behind all others that are ready.
    pub(crate) fn put_back(&mut self, step: ReadyStep) {
        self.ready.push_back(step);
    }

    /// Lets a step wait for its next dependency that is not done, or makes it ready.
    fn unblock(&mut self, job: &Job, occurrence: u32, blocked: BlockedStep, now_ms: u64) {
        let depends_on = job.step(blocked.step).map_or(&[][..], |spec| &spec.depends_on);
        let unmet = (0..)
            .zip(depends_on)
            .skip(blocked.position)
            .find(|(_, earlier)| !job.is_step_done(occurrence, **earlier));
        match unmet {
            Some((position, earlier)) => {
                let waiting = self.blocked.entry((occurrence, *earlier)).or_default();
                waiting.push(BlockedStep { position, ..blocked });
            }
            None => self.ready.push_back(ReadyStep {
                since_ms: now_ms,
                step: StepId {
                    job: job.id,
                    occurrence,
                    step: blocked.step,
                },
            }),
        }
    }
}
