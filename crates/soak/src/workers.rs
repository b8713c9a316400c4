//! Stubs of workers. A run does nothing but last for the estimated time of its step. The stubs send
//! heartbeats and simulate crashes, cut connections, missing responses and failing runs.

use {
    crate::{
        advice::is_valid_ticket,
        checker::Checker,
        checkpoints::Checkpoints,
        operator::is_advised,
        stub_server::{StubResponse, StubService, serve},
        unasked::{CONTACT_MS, Execution, StartOrder, order_violation},
    },
    fuchsiatack_jobs::{JobId, ListedEnd, OrderRejection, RunId, StepId, TaskKey, WorkerCallError},
    fuchsiatack_model::Resources,
    fuchsiatack_testkit::{JobRun, JobWorker},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Processors of the workers in turn, in thousandths of a core.
const PROCESSORS_MILLIS: [u32; 3] = [16_000, 32_000, 64_000];
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(700);
const ADVANCE_PERIOD: Duration = Duration::from_millis(5);
/// Time from a crash until the restarted worker handles requests, in milliseconds.
const RESTART_MS: u64 = 800;
/// One order to start a run in this many gets no response and is carried out later, on average.
const ORDERS_PER_LATE_ORDER: u32 = 15;
/// Time after the first call to a new incarnation in which it carries out no late order, in milliseconds. The
/// caller learns of the restart by that call and can stop earlier runs.
const FIRST_CONTACT_MS: u64 = 1_000;
/// Longest time after which an order without a response is carried out, in milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 6_000;
/// `maxHoldMs` of the platform; a longer lease is shortened to it.
const MAX_LEASE_MS: u64 = 10_000;
/// Run time of a task that lasts until its job is cancelled, in milliseconds.
const LASTING_MS: u64 = 3_600_000;
/// Time after which a heartbeat without a response is sent to the next daemon.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);

/// An order to start a run that got no response.
struct LateOrder {
    body: Value,
    due_ms: u64,
    /// Incarnation that received it.
    started_unix_ms: u64,
}

/// Part of the life of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Ready,
    /// It reports that it leaves. Its runs continue until then.
    Draining {
        until_ms: u64,
    },
    /// It deregisters and sends no more heartbeats.
    Leaving,
}

struct State {
    /// Time of the first call that this incarnation handled.
    called_ms: Option<u64>,
    checkpoints: Checkpoints,
    /// Orders to carry out later, also by a later incarnation.
    late_orders: Vec<LateOrder>,
    random: StdRng,
    /// Time until which no request gets a response; about every second one is still carried out.
    mute_until_ms: u64,
    /// Number of attempts to handle a request; a waiting request counts once each `ADVANCE_PERIOD`.
    attempts: u64,
    /// Whether new runs fail.
    is_failing: bool,
    phase: Phase,
    worker: JobWorker,
}

impl State {
    /// Time from which this incarnation carries out late orders.
    fn late_orders_from_ms(&self) -> u64 {
        let in_touch_ms = self.worker.started_unix_ms + RESTART_MS + CONTACT_MS;
        self.called_ms.map_or(in_touch_ms, |called_ms| {
            in_touch_ms.min(called_ms + FIRST_CONTACT_MS)
        })
    }
}

/// One worker, with the HTTP interface of the platform.
pub(crate) struct WorkerStub {
    pub(crate) address: SocketAddr,
    number: usize,
    state: Mutex<State>,
    checker: Arc<Checker>,
}

impl WorkerStub {
    pub(crate) async fn start(
        number: usize,
        address: SocketAddr,
        seed: u64,
        checker: Arc<Checker>,
    ) -> Arc<Self> {
        let capacity = Resources {
            memory_bytes: 64 << 30,
            processors_millis: PROCESSORS_MILLIS[number % PROCESSORS_MILLIS.len()],
            ..Resources::NONE
        };
        let stub = Arc::new(Self {
            address,
            number,
            state: Mutex::new(State {
                called_ms: None,
                checkpoints: Checkpoints::default(),
                late_orders: Vec::new(),
                random: StdRng::seed_from_u64(seed.wrapping_mul(37).wrapping_add(number as u64)),
                attempts: 0,
                is_failing: false,
                mute_until_ms: 0,
                phase: Phase::Ready,
                worker: JobWorker::new(checker.now_ms(), capacity),
            }),
            checker,
        });
        if serve(address, stub.clone()).await.is_none() {
            stub.checker
                .record_violation(format!("the soak cannot bind {address}"));
        }
        stub
    }

    pub(crate) fn name(&self) -> String {
        format!("w-{}", self.number)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends runs when their time is over. Never returns.
    pub(crate) async fn advance_runs(self: Arc<Self>) {
        loop {
            {
                let now_ms = self.checker.now_ms();
                let mut state = self.state();
                self.advance_to(&mut state, now_ms);
                self.start_late_runs(&mut state, now_ms);
            }
            sleep(ADVANCE_PERIOD).await;
        }
    }

    /// Advances the runs to `now_ms` and records those that ended.
    fn advance_to(&self, state: &mut State, now_ms: u64) {
        let before = running_runs(state);
        let done = state.worker.advance_to(now_ms);
        for run in &before {
            let ends = !state.worker.running.contains_key(&run.task);
            state.checkpoints.save(&self.checker, *run, now_ms, ends);
            if ends {
                let is_done = done.contains(run);
                self.checker.record_stop(self.number, run.task, is_done);
            }
        }
    }

    /// Carries out the late orders that are due, unless the worker is down, cut off, or not yet known to the
    /// daemons. No daemon can prevent a second run on an incarnation that it does not know.
    fn start_late_runs(&self, state: &mut State, now_ms: u64) {
        let from_ms = state.worker.partitioned_until_ms.max(state.late_orders_from_ms());
        if from_ms > now_ms {
            return;
        }
        let due: Vec<_> = state
            .late_orders
            .extract_if(.., |order| order.due_ms <= now_ms)
            .collect();
        for order in due {
            let execution = match order.started_unix_ms == state.worker.started_unix_ms {
                true => Execution::Late,
                false => Execution::LateAfterRestart,
            };
            self.start_run(state, &order.body, now_ms, execution);
        }
    }

    /// Handles a request to start a run, or keeps it for later without a response.
    fn start_or_delay(&self, state: &mut State, body: &Value, now_ms: u64) -> StubResponse {
        if state.random.random_range(0..ORDERS_PER_LATE_ORDER) != 0 {
            return self.start_run(state, body, now_ms, Execution::Prompt);
        }
        Self::delay(state, body, now_ms);
        None
    }

    /// Keeps an order to start a run for later.
    fn delay(state: &mut State, body: &Value, now_ms: u64) {
        let order = LateOrder {
            body: body.clone(),
            due_ms: now_ms + state.random.random_range(0..MAX_ORDER_DELAY_MS),
            started_unix_ms: state.worker.started_unix_ms,
        };
        state.late_orders.push(order);
    }

    /// Handles a request to stop a run.
    fn stop_run(&self, state: &mut State, body: &Value, now_ms: u64) -> StubResponse {
        let run = parse_run(body)?;
        let before = running_runs(state);
        let result = state.worker.stop(now_ms, u64_field(body, "fencingToken"), run);
        if before.contains(&run) && !state.worker.running.contains_key(&run.task) {
            state.checkpoints.save(&self.checker, run, now_ms, true);
            self.checker.record_stop(self.number, run.task, false);
        }
        Some(order_response(state.worker.clock_ms(now_ms), result))
    }

    /// Time at which all faults of the worker are over.
    pub(crate) fn faulty_until_ms(&self) -> u64 {
        let state = self.state();
        state.mute_until_ms.max(state.worker.partitioned_until_ms)
    }

    /// Sends heartbeats to one control address, and to the next after a failure. Never returns.
    pub(crate) async fn send_heartbeats(self: Arc<Self>, control: Vec<SocketAddr>) {
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let mut sequence = 0;
        let mut next = self.number;
        loop {
            let (is_cut, body) = {
                sequence += 1;
                let state = self.state();
                let now_ms = self.checker.now_ms();
                (
                    state.worker.partitioned_until_ms > now_ms || state.phase == Phase::Leaving,
                    self.heartbeat(&state, sequence, now_ms),
                )
            };
            let url = format!(
                "http://{}/instances/{}",
                control[next % control.len()],
                self.name()
            );
            let request = client.put(url).timeout(HEARTBEAT_LIMIT).body(body.to_string());
            let acknowledged = match is_cut {
                true => false,
                false => request
                    .send()
                    .await
                    .is_ok_and(|response| response.status().is_success()),
            };
            if !acknowledged {
                next += 1;
            }
            sleep(HEARTBEAT_PERIOD).await;
        }
    }

    fn heartbeat(&self, state: &State, sequence: u64, now_ms: u64) -> Value {
        let (phase, remaining_ms) = match state.phase {
            Phase::Ready => ("ready", None),
            Phase::Draining { until_ms } => ("draining", Some(until_ms.saturating_sub(now_ms))),
            Phase::Leaving => ("draining", Some(0)),
        };
        json!({
            "service": "service", "address": self.address.to_string(), "zone": "zone", "version": "v1",
            "slots": 8, "state": phase, "remainingMs": remaining_ms, "coldRemainingMs": 0,
            "capacity": { "cpu": state.worker.capacity.processors_millis, "memMb": 65_536, "gpu": 0 },
            "labels": ["a", "r-1"], "clockMs": state.worker.clock_ms(now_ms), "sequence": sequence,
            "born": state.worker.started_unix_ms + 1,
        })
    }

    /// Leaves gracefully: reports that it drains for `drain_ms`, deregisters at the first control address
    /// that acknowledges it, and restarts.
    pub(crate) async fn leave(&self, control: &[SocketAddr], drain_ms: u64) {
        let until_ms = self.checker.now_ms() + drain_ms;
        self.state().phase = Phase::Draining { until_ms };
        sleep(Duration::from_millis(drain_ms)).await;
        self.state().phase = Phase::Leaving;
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        for address in control {
            let url = format!("http://{address}/instances/{}", self.name());
            let response = client.delete(url).timeout(HEARTBEAT_LIMIT).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                break;
            }
        }
        self.restart();
    }

    /// Ends the worker and all its runs, and restarts it under the same name after `RESTART_MS`.
    pub(crate) fn restart(&self) {
        let now_ms = self.checker.now_ms();
        let mut state = self.state();
        for task in state.worker.running.keys() {
            self.checker.record_stop(self.number, *task, false);
        }
        let capacity = state.worker.capacity;
        state.called_ms = None;
        state.checkpoints = Checkpoints::default();
        state.phase = Phase::Ready;
        state.worker = JobWorker::new(now_ms, capacity);
        state.worker.partitioned_until_ms = now_ms + RESTART_MS;
    }

    /// Withholds all responses for `duration_ms`. Runs continue, and some requests take effect.
    pub(crate) fn mute(&self, duration_ms: u64) {
        self.state().mute_until_ms = self.checker.now_ms() + duration_ms;
    }

    /// Drops all requests and sends no heartbeats for `duration_ms`. Runs continue.
    pub(crate) fn cut(&self, duration_ms: u64) {
        let until_ms = self.checker.now_ms() + duration_ms;
        self.state().worker.partitioned_until_ms = until_ms;
    }

    /// Sets whether all runs that start from now on fail.
    pub(crate) fn set_failing(&self, is_failing: bool) {
        self.state().is_failing = is_failing;
    }

    /// Handles a request to start a run.
    fn start_run(&self, state: &mut State, body: &Value, now_ms: u64, execution: Execution) -> StubResponse {
        let run = parse_run(body)?;
        let order = StartOrder {
            checkpoint: body["lastCheckpoint"].as_str().unwrap_or_default(),
            payload: body["spec"].as_str().unwrap_or_default(),
            run,
        };
        let violation = order_violation(&self.checker.observations(), &order);
        if let Some(violation) = violation {
            self.checker.record_violation(format!(
                "run {run} {violation} (worker {}{})",
                self.number,
                execution.note()
            ));
        }
        let step = self
            .checker
            .observations()
            .jobs
            .get(&run.task.step.job)
            .and_then(|job| job.spec.as_ref()?.steps.get(run.task.step.step as usize).cloned());
        let Some(step) = step else {
            return Some((400, json!({})));
        };
        let has_valid_ticket = body["ticket"].as_str().is_some_and(|ticket| {
            let step = run.task.step.to_string();
            is_valid_ticket(ticket, &step, &self.name(), state.worker.started_unix_ms, now_ms)
        });
        if is_advised(run.task.step.job) && !has_valid_ticket {
            return Some((
                409,
                json!({ "clockMs": state.worker.clock_ms(now_ms), "reason": "ticket" }),
            ));
        }
        let is_present = |state: &State| running_runs(state).contains(&run);
        let was_present = is_present(state);
        let ends_ms = match step.checkpoints && !was_present {
            _ if step.long_running && !state.is_failing => now_ms + LASTING_MS,
            true => state
                .checkpoints
                .start(&self.checker, run, order.checkpoint, now_ms, step.estimated_ms),
            false => now_ms + step.estimated_ms,
        };
        let job_run = JobRun {
            ends_ms,
            fails: state.is_failing,
            number: run.number,
            reserved: step.demand,
            started_ms: now_ms,
        };
        let fencing_token = u64_field(body, "fencingToken");
        let deadline_ms = shortened(state.worker.clock_ms(now_ms), u64_field(body, "deadlineMs"));
        let result = state
            .worker
            .start(now_ms, fencing_token, deadline_ms, run, job_run);
        if is_present(state) && !was_present {
            self.checker.record_start(self.number, run, execution);
        }
        if !state.worker.capacity.covers(&state.worker.used()) {
            self.checker
                .record_violation(format!("worker {} runs more than its capacity", self.number));
        }
        Some(order_response(state.worker.clock_ms(now_ms), result))
    }

    /// Handles a renewal of the worker's lease.
    fn hold(&self, state: &mut State, body: &Value, now_ms: u64) -> StubResponse {
        let fencing_token = u64_field(body, "fencingToken");
        let clock_ms = state.worker.clock_ms(now_ms);
        let deadline_ms = body["deadlineMs"]
            .as_u64()
            .map(|deadline_ms| shortened(clock_ms, deadline_ms));
        let result = state
            .worker
            .hold(now_ms, fencing_token, deadline_ms, u64_field(body, "lastSeen"));
        let recorded = std::mem::take(&mut state.worker.acknowledged);
        self.checker
            .observations()
            .recorded
            .extend(recorded.iter().map(|run| run.task));
        let report = match result {
            Ok(report) => report,
            Err(error) => return Some(order_response(state.worker.clock_ms(now_ms), Err(error))),
        };
        let running = report.running.iter();
        let running: Vec<_> = running
            .map(|listed| {
                json!([
                    listed.run.task.to_string(),
                    listed.run.number,
                    state.checkpoints.value(listed.run),
                    100,
                    0
                ])
            })
            .collect();
        let ended = report.ended.iter();
        let ended: Vec<_> = ended
            .map(|ended| {
                json!([
                    ended.sequence,
                    ended.run.task.to_string(),
                    ended.run.number,
                    end_name(ended.end),
                    state.checkpoints.value(ended.run)
                ])
            })
            .collect();
        let started_unix_ms = report.started_unix_ms.unwrap_or_default() + 1;
        Some((
            200,
            json!({ "clockMs": report.clock_ms, "born": started_unix_ms, "running": running, "ended": ended }),
        ))
    }
}

impl StubService for WorkerStub {
    async fn respond(&self, path: String, body: Value) -> StubResponse {
        let wait_ms = u64_field(&body, "waitMs");
        let begin_ms = self.checker.now_ms();
        let started_unix_ms = self.state().worker.started_unix_ms;
        loop {
            {
                let now_ms = self.checker.now_ms();
                let mut state = self.state();
                state.attempts += 1;
                // Requests that arrived before a crash get no response after the restart.
                if state.worker.partitioned_until_ms > now_ms
                    || state.worker.started_unix_ms != started_unix_ms
                {
                    // An order that is sent to a worker that is down or cut off may arrive afterwards.
                    if path == "/run-start" {
                        Self::delay(&mut state, &body, now_ms);
                    }
                    return None;
                }
                let is_mute = state.mute_until_ms > now_ms;
                if is_mute && state.attempts.is_multiple_of(2) {
                    return None;
                }
                state.called_ms.get_or_insert(now_ms);
                self.advance_to(&mut state, now_ms);
                let is_waiting = path == "/hold"
                    && now_ms < begin_ms + wait_ms
                    && !state.worker.has_unseen_ends(u64_field(&body, "lastSeen"));
                if !is_waiting {
                    let response = match path.as_str() {
                        "/run-start" => self.start_or_delay(&mut state, &body, now_ms),
                        "/run-stop" => self.stop_run(&mut state, &body, now_ms),
                        "/hold" => self.hold(&mut state, &body, now_ms),
                        _ => Some((404, json!({}))),
                    };
                    return response.filter(|_| !is_mute);
                }
            }
            sleep(ADVANCE_PERIOD).await;
        }
    }
}

/// Runs in progress on a worker.
fn running_runs(state: &State) -> Vec<RunId> {
    let running = state.worker.running.iter();
    running
        .map(|(task, run)| RunId {
            number: run.number,
            task: *task,
        })
        .collect()
}

/// Shortens a lease to `MAX_LEASE_MS`.
fn shortened(clock_ms: u64, deadline_ms: u64) -> u64 {
    deadline_ms.min(clock_ms + MAX_LEASE_MS)
}

fn u64_field(body: &Value, field: &str) -> u64 {
    body[field].as_u64().unwrap_or(0)
}

fn parse_run(body: &Value) -> Option<RunId> {
    let mut parts = body["task"].as_str()?.split('.');
    let job = JobId::parse(parts.next()?)?;
    let mut next_number = || parts.next()?.parse::<u32>().ok();
    let (occurrence, step, index) = (next_number()?, next_number()?, next_number()?);
    let step = StepId {
        job,
        occurrence,
        step,
    };
    Some(RunId {
        number: u64_field(body, "run") as u32,
        task: TaskKey { index, step },
    })
}

fn end_name(end: ListedEnd) -> &'static str {
    match end {
        ListedEnd::Done => "done",
        ListedEnd::Failed => "failed",
        ListedEnd::Interrupted => "lapsed",
    }
}

fn order_response(clock_ms: u64, result: Result<u64, WorkerCallError>) -> (u16, Value) {
    let reason = match result {
        Ok(_) => return (200, json!({ "clockMs": clock_ms })),
        Err(WorkerCallError::Rejected(OrderRejection::Fenced)) => "fence",
        Err(WorkerCallError::Rejected(OrderRejection::DeadlinePassed)) => "late",
        Err(_) => "old",
    };
    (409, json!({ "clockMs": clock_ms, "reason": reason }))
}
