//! Clients that submit and cancel jobs, each with its own payload.

use {
    crate::faults::Faults,
    fuchsiatack_jobs::{JobId, JobSpec, StepSpec},
    fuchsiatack_model::Resources,
    smol_str::format_smolstr,
};

const JOB_INTERVAL_MS: u64 = 250;
/// Time after which a job that was not cancelled is submitted again, in milliseconds. It exceeds the
/// retention period.
const RESUBMISSION_MS: std::ops::Range<u64> = 20_000..26_000;

/// A call that is due. A repeat is sent only if the earlier ones had no response.
#[derive(Clone, Copy, Debug)]
pub struct ClientCall {
    pub client: usize,
    pub is_cancel: bool,
    pub is_repeat: bool,
}

/// A client with one job.
pub struct Client {
    /// Times of the cancels.
    pub cancels_ms: Vec<u64>,
    pub is_accepted: bool,
    pub is_cancelled: bool,
    pub job: JobId,
    pub spec: JobSpec,
    /// Times of the submissions.
    pub submits_ms: Vec<u64>,
}

impl Client {
    pub fn new(number: u64, steps: Vec<StepSpec>, submits_ms: Vec<u64>, cancels_ms: Vec<u64>) -> Self {
        Self {
            cancels_ms,
            is_accepted: false,
            is_cancelled: false,
            job: JobId(number),
            spec: JobSpec {
                payload: format_smolstr!("payload of {number}"),
                schedule: None,
                steps,
            },
            submits_ms,
        }
    }

    pub fn random(number: u64, faults: &Faults, below: &mut dyn FnMut(u64) -> u64) -> Self {
        let is_lasting = below(3) == 0;
        let steps = if is_lasting { 1 } else { 1 + below(3) as u32 };
        let steps = (0..steps).map(|step| StepSpec {
            checkpoints: below(2) == 0,
            demand: Resources {
                memory_bytes: 1 << 20,
                processors_millis: 500 + below(4_000) as u32,
                ..Resources::NONE
            },
            depends_on: (0..step).collect(),
            estimated_ms: 100 + below(3_500),
            gang: !is_lasting && number.is_multiple_of(7),
            long_running: is_lasting,
            max_per_worker: number.is_multiple_of(5).then_some(2),
            tasks: 1 + below(6) as u32,
            ..StepSpec::default()
        });
        let steps = steps.collect();
        let submit_ms = 600 + number * JOB_INTERVAL_MS;
        let mut submits_ms = vec![submit_ms];
        let mut cancels_ms = Vec::new();
        if is_lasting || below(2) == 0 {
            cancels_ms.push(submit_ms + below(6_000));
        }
        if let (Some(cancel_ms), 0) = (cancels_ms.first().copied(), below(3)) {
            cancels_ms.push(cancel_ms + below(3_000));
        }
        let (kind, delay_ms) = (below(4), below(8_000));
        if faults.delayed_submissions {
            match kind {
                0 => submits_ms.push(submit_ms + delay_ms),
                1 => submits_ms[0] = submit_ms + delay_ms,
                _ => {}
            }
        }
        if faults.resubmissions && cancels_ms.is_empty() {
            let span_ms = RESUBMISSION_MS.end - RESUBMISSION_MS.start;
            let again_ms = submit_ms + RESUBMISSION_MS.start + below(span_ms);
            submits_ms.push(again_ms);
            cancels_ms.push(again_ms + below(6_000));
        }
        Self::new(number, steps, submits_ms, cancels_ms)
    }

    /// Returns the times of the calls and whether each is a cancel.
    pub fn sends(&self) -> Vec<(u64, bool)> {
        let submits = self.submits_ms.iter().map(|at_ms| (*at_ms, false));
        let cancels = self.cancels_ms.iter().map(|at_ms| (*at_ms, true));
        submits.chain(cancels).collect()
    }
}
