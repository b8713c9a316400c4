//! Stand-ins of workers.

use {
    crate::{
        advice::ticket,
        truth::Truth,
        web::{Reply, Stand, serve},
    },
    fuchsiatack_jobs::{JobId, ListedEnd, OrderRejection, RunId, StepId, TaskKey, WorkerCallError},
    fuchsiatack_model::Resources,
    fuchsiatack_testkit::{JobWork, JobWorker},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

const CORES_MILLIS: [u32; 3] = [16_000, 32_000, 64_000];
const HEARTBEAT: Duration = Duration::from_millis(700);
const PASS_PERIOD: Duration = Duration::from_millis(5);
/// Time from a crash to the start of the next life, in milliseconds.
const RESTART_MS: u64 = 800;
/// A heartbeat that is not answered in this time goes to another daemon.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);

struct State {
    /// Calls that are not answered before this time; every second one is carried out.
    mute_until_ms: u64,
    calls: u64,
    fails: bool,
    worker: JobWorker,
}

/// One worker.
pub(crate) struct WorkerStand {
    pub(crate) address: SocketAddr,
    number: usize,
    state: Mutex<State>,
    truth: Arc<Truth>,
}

impl WorkerStand {
    pub(crate) async fn start(number: usize, address: SocketAddr, truth: Arc<Truth>) -> Arc<Self> {
        let capacity = Resources {
            memory_bytes: 64 << 30,
            processors_millis: CORES_MILLIS[number % CORES_MILLIS.len()],
            ..Resources::NONE
        };
        let stand = Arc::new(Self {
            address,
            number,
            state: Mutex::new(State {
                calls: 0,
                fails: false,
                mute_until_ms: 0,
                worker: JobWorker::new(truth.now_ms(), capacity),
            }),
            truth,
        });
        if serve(address, stand.clone()).await.is_none() {
            stand.truth.violate(format!("the soak cannot bind {address}"));
        }
        stand
    }

    pub(crate) fn name(&self) -> String {
        format!("w-{}", self.number)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets runs end as time passes.
    pub(crate) async fn pass(self: Arc<Self>) {
        loop {
            {
                let now_ms = self.truth.now_ms();
                let mut state = self.state();
                self.pass_to(&mut state, now_ms);
            }
            sleep(PASS_PERIOD).await;
        }
    }

    fn pass_to(&self, state: &mut State, now_ms: u64) {
        let before: Vec<_> = state.worker.running.keys().copied().collect();
        let done = state.worker.pass(now_ms);
        for task in before
            .iter()
            .filter(|task| !state.worker.running.contains_key(task))
        {
            let is_done = done.iter().any(|run| run.task == *task);
            self.truth.left(self.number, *task, is_done);
        }
    }

    /// Reports to one of the control addresses after the other.
    pub(crate) async fn report(self: Arc<Self>, control: Vec<SocketAddr>) {
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let mut sequence = 0;
        let mut next = self.number;
        loop {
            let (is_cut, body) = {
                sequence += 1;
                let state = self.state();
                let now_ms = self.truth.now_ms();
                (
                    state.worker.cut_until_ms > now_ms,
                    self.heartbeat(&state, sequence, now_ms),
                )
            };
            let url = format!(
                "http://{}/instances/{}",
                control[next % control.len()],
                self.name()
            );
            let call = client.put(url).timeout(HEARTBEAT_LIMIT).body(body.to_string());
            let acknowledged = match is_cut {
                true => false,
                false => call.send().await.is_ok_and(|answer| answer.status().is_success()),
            };
            if !acknowledged {
                next += 1;
            }
            sleep(HEARTBEAT).await;
        }
    }

    fn heartbeat(&self, state: &State, sequence: u64, now_ms: u64) -> Value {
        json!({
            "service": "service", "address": self.address.to_string(), "zone": "zone", "version": "v1",
            "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "capacity": { "cpu": state.worker.capacity.processors_millis, "memMb": 65_536, "gpu": 0 },
            "labels": ["a", "r-1"], "clockMs": state.worker.clock_ms(now_ms), "sequence": sequence,
            "born": state.worker.born_unix_ms + 1,
        })
    }

    /// Crashes and starts again under the same name.
    pub(crate) fn crash(&self) {
        let now_ms = self.truth.now_ms();
        let mut state = self.state();
        for task in state.worker.running.keys() {
            self.truth.left(self.number, *task, false);
        }
        let capacity = state.worker.capacity;
        state.worker = JobWorker::new(now_ms, capacity);
        state.worker.cut_until_ms = now_ms + RESTART_MS;
    }

    /// Answers nothing for a time; it runs on, and some calls take effect.
    pub(crate) fn mute(&self, time_ms: u64) {
        self.state().mute_until_ms = self.truth.now_ms() + time_ms;
    }

    /// Gets no calls for a time; it runs on.
    pub(crate) fn cut(&self, time_ms: u64) {
        let until_ms = self.truth.now_ms() + time_ms;
        self.state().worker.cut_until_ms = until_ms;
    }

    /// Sets whether it fails all that it starts.
    pub(crate) fn set_failing(&self, fails: bool) {
        self.state().fails = fails;
    }

    fn start_run(&self, state: &mut State, body: &Value, now_ms: u64) -> Reply {
        let run = run_of(body)?;
        let step = self
            .truth
            .seen()
            .jobs
            .get(&run.task.step.job)
            .and_then(|job| job.spec.as_ref()?.steps.get(run.task.step.step as usize).cloned());
        let Some(step) = step else {
            self.truth.violate(format!("{run} was not asked for"));
            return Some((400, json!({})));
        };
        let expected = ticket(&run.task.step.to_string(), &self.name());
        if body["ticket"].as_str() != Some(expected.as_str()) {
            return Some((
                409,
                json!({ "clockMs": state.worker.clock_ms(now_ms), "reason": "ticket" }),
            ));
        }
        let work = JobWork {
            done_ms: now_ms + step.estimated_ms,
            fails: state.fails,
            number: run.number,
            reserved: step.demand,
            since_ms: now_ms,
        };
        let before = state.worker.running.len();
        let (fence, deadline_ms) = (number(body, "fencingToken"), number(body, "deadlineMs"));
        let result = state.worker.start(now_ms, fence, deadline_ms, run, work);
        if state.worker.running.len() > before {
            self.truth.started(self.number, run);
        }
        if !state.worker.capacity.covers(&state.worker.used()) {
            self.truth.violate(format!("worker {} is overfull", self.number));
        }
        Some(order_reply(state.worker.clock_ms(now_ms), result))
    }

    fn hold(&self, state: &mut State, body: &Value, now_ms: u64) -> Reply {
        let fence = number(body, "fencingToken");
        let result = state.worker.hold(
            now_ms,
            fence,
            body["deadlineMs"].as_u64(),
            number(body, "lastSeen"),
        );
        let noted = std::mem::take(&mut state.worker.noted);
        self.truth.seen().noted.extend(noted.iter().map(|run| run.task));
        let report = match result {
            Ok(report) => report,
            Err(error) => return Some(order_reply(state.worker.clock_ms(now_ms), Err(error))),
        };
        let running = report.running.iter();
        let running: Vec<_> = running
            .map(|listed| json!([listed.run.task.to_string(), listed.run.number, "", 100, 0]))
            .collect();
        let ended = report.ended.iter();
        let ended: Vec<_> = ended
            .map(|ended| {
                json!([
                    ended.sequence,
                    ended.run.task.to_string(),
                    ended.run.number,
                    word(ended.end),
                    ""
                ])
            })
            .collect();
        let born = report.started_unix_ms.unwrap_or_default() + 1;
        Some((
            200,
            json!({ "clockMs": report.clock_ms, "born": born, "running": running, "ended": ended }),
        ))
    }
}

impl Stand for WorkerStand {
    async fn reply(&self, path: String, body: Value) -> Reply {
        let wait_ms = number(&body, "waitMs");
        let begin_ms = self.truth.now_ms();
        let born_unix_ms = self.state().worker.born_unix_ms;
        loop {
            {
                let now_ms = self.truth.now_ms();
                let mut state = self.state();
                state.calls += 1;
                // A crash breaks the connections of the earlier life.
                if state.worker.cut_until_ms > now_ms || state.worker.born_unix_ms != born_unix_ms {
                    return None;
                }
                let is_mute = state.mute_until_ms > now_ms;
                if is_mute && state.calls.is_multiple_of(2) {
                    return None;
                }
                self.pass_to(&mut state, now_ms);
                let waits = path == "/hold"
                    && now_ms < begin_ms + wait_ms
                    && !state.worker.has_ends(number(&body, "lastSeen"));
                if !waits {
                    let reply = match path.as_str() {
                        "/run-start" => self.start_run(&mut state, &body, now_ms),
                        "/run-stop" => {
                            let run = run_of(&body)?;
                            let result = state.worker.stop(now_ms, number(&body, "fencingToken"), run);
                            self.truth.left(self.number, run.task, false);
                            Some(order_reply(state.worker.clock_ms(now_ms), result))
                        }
                        "/hold" => self.hold(&mut state, &body, now_ms),
                        _ => Some((404, json!({}))),
                    };
                    return reply.filter(|_| !is_mute);
                }
            }
            sleep(PASS_PERIOD).await;
        }
    }
}

fn number(body: &Value, field: &str) -> u64 {
    body[field].as_u64().unwrap_or(0)
}

fn run_of(body: &Value) -> Option<RunId> {
    let mut parts = body["task"].as_str()?.split('.');
    let job = JobId::parse(parts.next()?)?;
    let mut next = || parts.next()?.parse::<u32>().ok();
    let (occurrence, step, index) = (next()?, next()?, next()?);
    let step = StepId {
        job,
        occurrence,
        step,
    };
    Some(RunId {
        number: number(body, "run") as u32,
        task: TaskKey { index, step },
    })
}

fn word(end: ListedEnd) -> &'static str {
    match end {
        ListedEnd::Done => "done",
        ListedEnd::Failed => "failed",
        ListedEnd::Interrupted => "lapsed",
    }
}

fn order_reply(clock_ms: u64, result: Result<u64, WorkerCallError>) -> (u16, Value) {
    let reason = match result {
        Ok(_) => return (200, json!({ "clockMs": clock_ms })),
        Err(WorkerCallError::Rejected(OrderRejection::Fenced)) => "fence",
        Err(WorkerCallError::Rejected(OrderRejection::DeadlinePassed)) => "late",
        Err(_) => "old",
    };
    (409, json!({ "clockMs": clock_ms, "reason": reason }))
}
