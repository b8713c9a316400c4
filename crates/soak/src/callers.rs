//! Stubs of callers. Each submits one job at a time and polls it to its end or cancels it. Connections are
//! kept open and reused.

use {
    crate::{
        cancellations::CancellationPlan,
        checker::{Checker, KnownJob},
        operator::{HOST, KEY, job_path},
    },
    fuchsiatack_jobs::{JobId, JobSpec, StepId, StepSpec},
    fuchsiatack_model::Resources,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const SUBMIT_ATTEMPTS: usize = 5;
pub(crate) const ATTEMPT_LIMIT: Duration = Duration::from_secs(3);
/// Pause between jobs and between attempts to submit one.
pub(crate) const PAUSE: Duration = Duration::from_millis(150);
const POLL_PERIOD: Duration = Duration::from_millis(250);
/// One job in this many has a last step that runs until the job is cancelled, on average.
const JOBS_PER_LASTING_JOB: u32 = 6;
/// Time after an acknowledged submission from which every entry must know the job, in milliseconds.
const VISIBILITY_DELAY_MS: u64 = 3_000;

/// Submits jobs until `until_ms`, and polls each accepted one until it ends, at most until `end_ms`.
pub(crate) async fn submit_jobs(
    checker: Arc<Checker>,
    entries: Vec<SocketAddr>,
    seed: u64,
    until_ms: u64,
    end_ms: u64,
) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let mut caller = Caller {
        client,
        entries,
        random: StdRng::seed_from_u64(seed),
        checker,
    };
    while caller.checker.now_ms() < until_ms {
        caller.submit_and_poll(end_ms).await;
        sleep(PAUSE).await;
    }
}

pub(crate) struct Caller {
    client: reqwest::Client,
    entries: Vec<SocketAddr>,
    pub(crate) random: StdRng,
    pub(crate) checker: Arc<Checker>,
}

impl Caller {
    /// Submits a job, may cancel it, and polls it until it ends, at most until `end_ms`.
    async fn submit_and_poll(&mut self, end_ms: u64) {
        let id = JobId(self.random.random());
        let spec = self.spec(id);
        let plan = CancellationPlan::choose(&mut self.random, &spec);
        let body = job_json(&spec).to_string();
        let known = KnownJob {
            in_doubt: true,
            spec: Some(spec),
            ..KnownJob::default()
        };
        self.checker.observations().jobs.insert(id, known);
        if plan == CancellationPlan::InDoubt {
            return self.cancel_in_doubt(id, &body, end_ms).await;
        }
        if !self.submit(id, &body).await {
            return;
        }
        if let CancellationPlan::After(pause) = plan {
            sleep(pause).await;
            return self.cancel_job(id, &body, end_ms).await;
        }
        let accepted_ms = self.checker.now_ms();
        while self.checker.now_ms() < end_ms {
            sleep(POLL_PERIOD).await;
            let response = self
                .send(reqwest::Method::GET, id, String::new(), ATTEMPT_LIMIT)
                .await;
            let is_late = self.checker.now_ms() > accepted_ms + VISIBILITY_DELAY_MS;
            match response {
                Some((200, body)) if self.check_state(id, &body) => return,
                Some((410, _)) if is_late => {
                    self.checker
                        .record_violation(format!("job {id} was accepted but is unknown"));
                    return;
                }
                _ => {}
            }
        }
    }

    /// Checks the state of a job in a response. Returns whether it has ended.
    fn check_state(&self, id: JobId, body: &Value) -> bool {
        let state = body["state"].as_str().unwrap_or_default();
        let mut observed = self.checker.observations();
        let spec = observed.jobs.get(&id).and_then(|job| job.spec.clone());
        let all_done = spec.is_some_and(|spec| {
            (0..).zip(&spec.steps).all(|(step, spec)| {
                let step = StepId {
                    job: id,
                    occurrence: 0,
                    step,
                };
                observed.is_step_done(step, spec)
            })
        });
        let Some(job) = observed.jobs.get_mut(&id) else {
            return true;
        };
        match state {
            "completed" | "failed" => job.ended = true,
            _ => {}
        }
        let ended = job.ended;
        drop(observed);
        match state {
            "completed" if !all_done => self.checker.record_violation(format!(
                "job {id} was reported as completed before all its tasks were done"
            )),
            "cancelled" => self.checker.record_violation(format!(
                "job {id} was reported as cancelled without a request to cancel it"
            )),
            _ => {}
        }
        ended
    }

    /// Submits a job, with retries. Returns whether it was accepted.
    async fn submit(&mut self, id: JobId, body: &str) -> bool {
        let mut in_doubt = false;
        for _ in 0..SUBMIT_ATTEMPTS {
            match self
                .send(reqwest::Method::POST, id, body.to_owned(), ATTEMPT_LIMIT)
                .await
            {
                Some((200, _)) => {
                    if let Some(job) = self.checker.observations().jobs.get_mut(&id) {
                        job.accepted = true;
                    }
                    return true;
                }
                Some((429 | 503, _)) => {}
                Some((status @ (400 | 401 | 404), _))
                    if self.checker.observations().acknowledged_version.0 > 0 =>
                {
                    self.checker
                        .record_violation(format!("valid job {id} was rejected with status {status}"));
                    return false;
                }
                _ => in_doubt = true,
            }
            sleep(PAUSE).await;
        }
        if let Some(job) = self.checker.observations().jobs.get_mut(&id) {
            job.in_doubt = in_doubt;
        }
        false
    }

    /// Sends a request to a random entry. Returns the status and body, or `None` if no response came.
    pub(crate) async fn send(
        &mut self,
        method: reqwest::Method,
        id: JobId,
        body: String,
        limit: Duration,
    ) -> Option<(u16, Value)> {
        let entry = self.entries[self.random.random_range(0..self.entries.len())];
        let request = self
            .client
            .request(method, format!("http://{entry}{}", job_path(id)))
            .header("host", HOST)
            .header("authorization", format!("Token {KEY}"))
            .header("fuchsiatack-deadline-ms", ATTEMPT_LIMIT.as_millis() as u64)
            .timeout(limit)
            .body(body);
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        let text = response.text().await.ok()?;
        Some((status, serde_json::from_str(&text).unwrap_or_default()))
    }

    /// Makes a random job whose steps each depend on all earlier ones.
    fn spec(&mut self, id: JobId) -> JobSpec {
        let steps = self.random.random_range(1..=3);
        let is_lasting = self.random.random_range(0..JOBS_PER_LASTING_JOB) == 0;
        let steps = (0..steps).map(|number| StepSpec {
            demand: Resources {
                memory_bytes: 64 << 20,
                processors_millis: self.random.random_range(500..8_000),
                ..Resources::NONE
            },
            checkpoints: self.random.random_range(0..2) == 0,
            depends_on: (0..number).collect(),
            estimated_ms: self.random.random_range(50..2_500),
            gang: self.random.random_range(0..6) == 0 && !is_lasting,
            long_running: is_lasting && number + 1 == steps,
            tasks: self.random.random_range(1..=5),
            ..StepSpec::default()
        });
        JobSpec {
            payload: format!("soak-{id}").into(),
            schedule: None,
            steps: steps.collect(),
        }
    }
}

fn job_json(spec: &JobSpec) -> Value {
    let steps: Vec<_> = spec
        .steps
        .iter()
        .map(|step| {
            json!({
                "count": step.tasks, "cpu": step.demand.processors_millis, "memMb": step.demand.memory_bytes >> 20,
                "estimatedMs": step.estimated_ms, "dependsOn": step.depends_on, "gang": step.gang,
                "savesProgress": step.checkpoints, "longRunning": step.long_running,
            })
        })
        .collect();
    json!({ "spec": spec.payload.as_str(), "steps": steps })
}
