//! Cancellations by callers: promptly, after a pause, twice, of lasting jobs, and of jobs whose submission
//! is in doubt and sent again afterwards.

use {
    crate::callers::{ATTEMPT_LIMIT, Caller, PAUSE},
    fuchsiatack_jobs::{JobId, JobSpec},
    rand::{RngExt, rngs::StdRng},
    reqwest::Method,
    std::time::Duration,
    tokio::time::sleep,
};

/// Longest time for which a job runs before its cancellation, in milliseconds.
const MAX_RUN_MS: u64 = 5_000;
/// Longest time after which a submission without a response is given up, in milliseconds.
const MAX_DOUBT_MS: u64 = 10;
/// Longest pause before a submission or cancellation is repeated, in milliseconds.
const MAX_REPEAT_MS: u64 = 6_000;
/// Time for which a job that was submitted again may run before the final cancellation.
const RESUBMITTED_RUN: Duration = Duration::from_secs(5);

/// When a caller cancels a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancellationPlan {
    Never,
    /// Once the submission was acknowledged, after a pause.
    After(Duration),
    /// Before the submission gets a response.
    InDoubt,
}

impl CancellationPlan {
    /// Chooses a plan. Lasting jobs are always cancelled.
    pub(crate) fn choose(random: &mut StdRng, spec: &JobSpec) -> Self {
        let is_lasting = spec.steps.iter().any(|step| step.long_running);
        match random.random_range(0..12_u32) {
            0 => Self::InDoubt,
            1 | 2 => Self::After(Duration::ZERO),
            kind if kind < 5 || is_lasting => {
                Self::After(Duration::from_millis(random.random_range(0..MAX_RUN_MS)))
            }
            _ => Self::Never,
        }
    }
}

impl Caller {
    /// Cancels a job until that is acknowledged, at most until `end_ms`. Sends some submissions and
    /// cancellations again afterwards.
    pub(crate) async fn cancel_job(&mut self, id: JobId, body: &str, end_ms: u64) {
        self.cancel_until_acknowledged(id, end_ms).await;
        if self.random.random_range(0..2) == 0 {
            self.resubmit(id, body, end_ms).await;
        }
    }

    /// Submits a job without waiting for the response, cancels it, and submits it again.
    pub(crate) async fn cancel_in_doubt(&mut self, id: JobId, body: &str, end_ms: u64) {
        let limit = Duration::from_millis(self.random.random_range(0..MAX_DOUBT_MS));
        self.send(Method::POST, id, body.to_owned(), limit).await;
        self.cancel_until_acknowledged(id, end_ms).await;
        self.resubmit(id, body, end_ms).await;
    }

    /// Submits a cancelled job again. Cancels it again after a time in which no task may start.
    async fn resubmit(&mut self, id: JobId, body: &str, end_ms: u64) {
        let pause_ms = self.random.random_range(0..MAX_REPEAT_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        self.send(Method::POST, id, body.to_owned(), ATTEMPT_LIMIT).await;
        sleep(RESUBMITTED_RUN).await;
        self.cancel_until_acknowledged(id, end_ms).await;
    }

    async fn cancel_until_acknowledged(&mut self, id: JobId, end_ms: u64) {
        while self.checker.now_ms() < end_ms {
            let response = self.send(Method::DELETE, id, String::new(), ATTEMPT_LIMIT).await;
            if let Some((status @ (200 | 410), _)) = response {
                self.checker.record_cancellation(id, status);
                return;
            }
            sleep(PAUSE).await;
        }
    }
}
