//! Stand-ins of callers. Each hands a job in, watches it to its end or cancels it, and keeps its
//! connections open as long as they last.

use {
    crate::{
        operator::{HOST, KEY, PREFIX},
        truth::{KnownJob, Truth},
    },
    fuchsiatack_jobs::{JobId, JobSpec, StepId, StepSpec},
    fuchsiatack_model::Resources,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const ATTEMPTS: usize = 5;
const ATTEMPT_LIMIT: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(150);
const POLL: Duration = Duration::from_millis(250);
/// One of this many jobs is cancelled.
const CANCELLED_SHARE: u32 = 8;
/// Time after an acknowledged submission from which the job must be known.
const VISIBLE_MS: u64 = 3_000;

/// Hands jobs in until `until_ms`, then watches what is open to its end or to `end_ms`.
pub(crate) async fn call(truth: Arc<Truth>, entries: Vec<SocketAddr>, seed: u64, until_ms: u64, end_ms: u64) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let mut caller = Caller {
        client,
        entries,
        random: StdRng::seed_from_u64(seed),
        truth,
    };
    while caller.truth.now_ms() < until_ms {
        caller.one_job(end_ms).await;
        sleep(PAUSE).await;
    }
}

struct Caller {
    client: reqwest::Client,
    entries: Vec<SocketAddr>,
    random: StdRng,
    truth: Arc<Truth>,
}

impl Caller {
    async fn one_job(&mut self, end_ms: u64) {
        let id = JobId(self.random.random());
        let spec = self.spec();
        let body = message(&spec).to_string();
        let known = KnownJob {
            in_doubt: true,
            spec: Some(spec),
            ..KnownJob::default()
        };
        self.truth.seen().jobs.insert(id, known);
        if !self.submit(id, &body).await {
            return;
        }
        let accepted_ms = self.truth.now_ms();
        let cancels = self.random.random_range(0..CANCELLED_SHARE) == 0;
        if cancels {
            sleep(POLL).await;
            if self
                .send(reqwest::Method::DELETE, id, String::new())
                .await
                .map(|(status, _)| status)
                == Some(200)
            {
                let now_ms = self.truth.now_ms();
                if let Some(job) = self.truth.seen().jobs.get_mut(&id) {
                    job.cancelled_ms = Some(now_ms);
                    job.ended = true;
                }
                return;
            }
        }
        while self.truth.now_ms() < end_ms {
            sleep(POLL).await;
            let answer = self.send(reqwest::Method::GET, id, String::new()).await;
            let late = self.truth.now_ms() > accepted_ms + VISIBLE_MS;
            match answer {
                Some((200, body)) if self.is_end(id, &body, cancels) => return,
                Some((410, _)) if late => {
                    self.truth.violate(format!("{id} was accepted and is not known"));
                    return;
                }
                _ => {}
            }
        }
    }

    /// Checks a shown state. Returns whether it is final.
    fn is_end(&self, id: JobId, body: &Value, cancels: bool) -> bool {
        let state = body["state"].as_str().unwrap_or_default();
        let mut seen = self.truth.seen();
        let spec = seen.jobs.get(&id).and_then(|job| job.spec.clone());
        let all_done = spec.is_some_and(|spec| {
            (0..).zip(&spec.steps).all(|(step, spec)| {
                let step = StepId {
                    job: id,
                    occurrence: 0,
                    step,
                };
                seen.is_step_done(step, spec)
            })
        });
        let Some(job) = seen.jobs.get_mut(&id) else {
            return true;
        };
        match state {
            "completed" | "failed" => job.ended = true,
            "cancelled" if cancels => job.ended = true,
            _ => {}
        }
        let ended = job.ended;
        drop(seen);
        match state {
            "completed" if !all_done => self
                .truth
                .violate(format!("{id} is shown as completed too early")),
            "cancelled" if !cancels => self
                .truth
                .violate(format!("{id} is shown as cancelled without cause")),
            _ => {}
        }
        ended
    }

    async fn submit(&mut self, id: JobId, body: &str) -> bool {
        let mut in_doubt = false;
        for _ in 0..ATTEMPTS {
            match self.send(reqwest::Method::POST, id, body.to_owned()).await {
                Some((200, _)) => {
                    if let Some(job) = self.truth.seen().jobs.get_mut(&id) {
                        job.accepted = true;
                    }
                    return true;
                }
                Some((429 | 503, _)) => {}
                Some((status @ (400 | 401 | 404), _)) if self.truth.seen().version.0 > 0 => {
                    self.truth.violate(format!("{id} was refused with {status}"));
                    return false;
                }
                _ => in_doubt = true,
            }
            sleep(PAUSE).await;
        }
        if let Some(job) = self.truth.seen().jobs.get_mut(&id) {
            job.in_doubt = in_doubt;
        }
        false
    }

    async fn send(&mut self, method: reqwest::Method, id: JobId, body: String) -> Option<(u16, Value)> {
        let entry = self.entries[self.random.random_range(0..self.entries.len())];
        let call = self
            .client
            .request(method, format!("http://{entry}{PREFIX}{id}"))
            .header("host", HOST)
            .header("authorization", format!("Token {KEY}"))
            .header("fuchsiatack-deadline-ms", ATTEMPT_LIMIT.as_millis() as u64)
            .timeout(ATTEMPT_LIMIT)
            .body(body);
        let answer = call.send().await.ok()?;
        let status = answer.status().as_u16();
        let text = answer.text().await.ok()?;
        Some((status, serde_json::from_str(&text).unwrap_or_default()))
    }

    fn spec(&mut self) -> JobSpec {
        let steps = self.random.random_range(1..=3);
        let steps = (0..steps).map(|number| StepSpec {
            demand: Resources {
                memory_bytes: 64 << 20,
                processors_millis: self.random.random_range(500..8_000),
                ..Resources::NONE
            },
            depends_on: (0..number).collect(),
            estimated_ms: self.random.random_range(50..1_500),
            gang: self.random.random_range(0..6) == 0,
            tasks: self.random.random_range(1..=5),
            ..StepSpec::default()
        });
        JobSpec {
            payload: "soak".into(),
            schedule: None,
            steps: steps.collect(),
        }
    }
}

fn message(spec: &JobSpec) -> Value {
    let steps: Vec<_> = spec
        .steps
        .iter()
        .map(|step| {
            json!({
                "count": step.tasks, "cpu": step.demand.processors_millis, "memMb": step.demand.memory_bytes >> 20,
                "estimatedMs": step.estimated_ms, "dependsOn": step.depends_on, "gang": step.gang,
            })
        })
        .collect();
    json!({ "spec": spec.payload.as_str(), "steps": steps })
}
