//! A leader for tests. The test supplies the responses to its calls to workers and to the advice
//! service.

#![allow(dead_code, unused_imports, reason = "each test program uses a part of it")]

mod advice_service;
mod team_cell;

pub use {
    advice_service::{AdviceService, ServiceResponse},
    team_cell::{TICK_MS, TeamCell},
};

use {
    fuchsiatack_jobs::{
        AdvicePolicy, AdviceRequest, AdviceResponse, CallId, CellCall, CellReport, CellResponse,
        Configuration, Effect, EndedRun, HoldKind, HoldReport, JobAction, JobCall, JobCommand, JobEvent,
        JobId, JobResponse, JobSpec, JobStore, ListedEnd, ListedRun, OrderResult, Planner, PlannerSettings,
        Queue, RunId, StepId, StepSpec, Team, WorkerCallError, WorkerOrder, WorkerReport,
    },
    fuchsiatack_model::{DataCenter, QueueName, Resources, TeamName, WorkerName},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Time of the first event, in milliseconds since the Unix epoch.
pub const UNIX_START_MS: u64 = 1_700_000_000_000;

/// Capacity of a worker unless a test reports another one.
pub const WORKER_CAPACITY: Resources = Resources {
    memory_bytes: 64 << 30,
    processors_millis: 16_000,
    ..Resources::NONE
};

pub struct Leader {
    calls: u64,
    pub now_ms: u64,
    planner: Planner,
    sequence: u64,
    /// Time by which the wall clock has been stepped forward, in milliseconds.
    pub unix_step_ms: u64,
}

/// A call of the leader to a worker or to the advice service.
#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    Advise {
        by: Option<SocketAddr>,
        request: AdviceRequest,
    },
    Check(WorkerName),
    Pace {
        percent: u32,
        run: RunId,
        worker: WorkerName,
    },
    Renew {
        wait_ms: u64,
        worker: WorkerName,
    },
    Start {
        run: RunId,
        worker: WorkerName,
    },
    Stop {
        run: RunId,
        worker: WorkerName,
    },
}

impl Leader {
    /// Creates a leader with workers of 16 processors that have answered a first renewal.
    pub fn new(queue: Queue, workers: &[&str]) -> Self {
        let mut store = JobStore::default();
        store.apply(&JobCommand::Configure(Box::new(configuration(queue))));
        let mut leader = Self {
            calls: 0,
            now_ms: 0,
            planner: Planner::new(PlannerSettings::default(), store, 1, 0, UNIX_START_MS),
            sequence: 0,
            unix_step_ms: 0,
        };
        for worker in workers {
            leader.heartbeat(worker);
        }
        leader.take_calls();
        for worker in workers {
            leader.report_runs(worker, HoldKind::Renewal, &[], &[]);
        }
        leader
    }

    pub fn handle(&mut self, event: JobEvent) {
        let unix_ms = UNIX_START_MS + self.now_ms + self.unix_step_ms;
        self.planner.handle(self.now_ms, unix_ms, event);
    }

    /// Replaces the planner by that of a later leader, which has the same state of jobs and workers.
    pub fn replace_planner(&mut self) {
        self.replace_planner_with(self.planner.store().clone());
    }

    /// Replaces the planner by that of a later leader, which has the given state of jobs and workers.
    pub fn replace_planner_with(&mut self, store: JobStore) {
        let unix_ms = UNIX_START_MS + self.now_ms + self.unix_step_ms;
        self.planner = Planner::new(PlannerSettings::default(), store, 2, self.now_ms, unix_ms);
    }

    /// Returns the state of jobs and workers with all proposed commands applied.
    pub fn store(&self) -> &JobStore {
        self.planner.store()
    }

    /// Returns the encoded size of the submissions since the last output, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.planner.pending_bytes()
    }

    /// Returns the commands since the last output, and drops everything else.
    pub fn take_commands(&mut self) -> Vec<JobCommand> {
        self.planner.take_output().commands
    }

    /// Returns how many steps and tasks the planner has looked at to open or close steps.
    pub fn work_units(&self) -> u64 {
        self.planner.work_units()
    }

    /// Advances the time by `ms` milliseconds and sends a tick.
    pub fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.handle(JobEvent::Tick);
    }

    /// Returns the leader's calls to workers and the advice service since the last `take_calls`.
    pub fn take_calls(&mut self) -> Vec<Sent> {
        let output = self.planner.take_output();
        let effects = output.immediate.into_iter().chain(output.after_commit);
        effects.filter_map(sent).collect()
    }

    /// Returns the responses to calls on jobs since the last `take_calls`, and drops all other calls.
    pub fn take_responses(&mut self) -> Vec<JobResponse> {
        let effects = self.planner.take_output().after_commit.into_iter();
        effects
            .filter_map(|effect| match effect {
                Effect::Respond {
                    response: CellResponse::Job(response),
                    ..
                } => Some(response),
                _ => None,
            })
            .collect()
    }

    /// Returns the responses to all calls since the last `take_calls`, and drops all other output.
    pub fn take_cell_responses(&mut self) -> Vec<CellResponse> {
        let effects = self.planner.take_output().after_commit.into_iter();
        effects
            .filter_map(|effect| match effect {
                Effect::Respond { response, .. } => Some(response),
                _ => None,
            })
            .collect()
    }

    /// Returns the names of the log events since the last `take_calls`, and drops all calls.
    pub fn take_log_events(&mut self) -> Vec<String> {
        let events = self.planner.take_output().log_events.into_iter();
        events.map(|event| event.event.to_owned()).collect()
    }

    /// Returns the last report on the cell since the last `take_calls`, and drops all calls.
    pub fn take_report(&mut self) -> Option<CellReport> {
        self.planner.take_output().report
    }

    /// Returns the runs that were started since the last `take_calls`, with their workers. Drops all
    /// other calls since then.
    pub fn take_starts(&mut self) -> Vec<(RunId, WorkerName)> {
        let calls = self.take_calls().into_iter();
        calls
            .filter_map(|call| match call {
                Sent::Start { run, worker } => Some((run, worker)),
                _ => None,
            })
            .collect()
    }

    pub fn heartbeat(&mut self, worker: &str) {
        self.sequence += 1;
        self.heartbeat_of(worker, 1, self.sequence);
    }

    /// Handles a heartbeat of the incarnation of a worker that started at `started_unix_ms`.
    pub fn heartbeat_of(&mut self, worker: &str, started_unix_ms: u64, sequence: u64) {
        let report = self.report_with(worker, started_unix_ms, sequence, WORKER_CAPACITY);
        self.heartbeat_report(report);
    }

    /// Handles the next heartbeat of a worker, with its present capacity.
    pub fn heartbeat_with(&mut self, worker: &str, started_unix_ms: u64, capacity: Resources) {
        self.sequence += 1;
        let report = self.report_with(worker, started_unix_ms, self.sequence, capacity);
        self.heartbeat_report(report);
    }

    /// Handles a heartbeat of the first incarnation of a worker with the given number.
    pub fn heartbeat_sequence(&mut self, worker: &str, sequence: u64, capacity: Resources) {
        let report = self.report_with(worker, 1, sequence, capacity);
        self.heartbeat_report(report);
    }

    pub fn heartbeat_report(&mut self, report: WorkerReport) {
        self.call(CellCall::Heartbeat(Box::new(report)));
    }

    /// Returns a heartbeat that the worker writes now.
    pub fn report_with(
        &self,
        worker: &str,
        started_unix_ms: u64,
        sequence: u64,
        capacity: Resources,
    ) -> WorkerReport {
        WorkerReport {
            address: "127.0.0.1:1".parse().expect("the address is valid"),
            started_unix_ms,
            capacity,
            clock_ms: self.now_ms,
            data_center: DataCenter::new("a"),
            draining: false,
            labels: vec!["kind".into(), "rack".into()],
            machine: SmolStr::default(),
            name: WorkerName::new(worker),
            remaining_ms: None,
            sequence,
            service: "service".into(),
        }
    }

    pub fn cancel(&mut self, job: JobId) {
        self.call(CellCall::Job(JobCall {
            action: JobAction::Cancel,
            host: "host".into(),
            key: Some("key".into()),
            path: SmolStr::new(format!("/q/{job}")),
        }));
    }

    pub fn submit(&mut self, job: JobId, steps: Vec<StepSpec>) {
        self.submit_to("q", job, steps);
    }

    /// Submits a job to the queue whose path begins with `prefix`.
    pub fn submit_to(&mut self, prefix: &str, job: JobId, steps: Vec<StepSpec>) {
        self.submit_with_key("key", prefix, job, steps);
    }

    /// Submits a job of the team that the key identifies to the queue whose path begins with `prefix`.
    pub fn submit_with_key(&mut self, key: &str, prefix: &str, job: JobId, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            payload: "payload".into(),
            schedule: None,
            steps,
        };
        self.call(CellCall::Job(JobCall {
            action: JobAction::Submit(Box::new(spec)),
            host: "host".into(),
            key: Some(key.into()),
            path: SmolStr::new(format!("/{prefix}/{job}")),
        }));
    }

    pub fn call(&mut self, call: CellCall) {
        self.calls += 1;
        let id = CallId(self.calls);
        self.handle(JobEvent::Called { call, id });
    }

    pub fn started(&mut self, worker: &WorkerName, run: RunId, result: OrderResult) {
        self.handle(JobEvent::Started {
            result,
            run,
            sent_ms: self.now_ms,
            worker: worker.clone(),
        });
    }

    pub fn stopped(&mut self, worker: &WorkerName, run: RunId) {
        self.handle(JobEvent::Stopped {
            result: Ok(self.now_ms),
            run,
            sent_ms: self.now_ms,
            worker: worker.clone(),
        });
    }

    /// Responds to a hold order of a worker with running runs and their percentages, and with ended
    /// runs and their numbers.
    pub fn report_runs(
        &mut self,
        worker: &str,
        kind: HoldKind,
        running: &[(RunId, u32)],
        ended: &[(u64, RunId)],
    ) {
        let running = running.iter().map(|(run, percent)| ListedRun {
            checkpoint: SmolStr::default(),
            percent: *percent,
            run: *run,
            usage: 0,
        });
        let ended = ended.iter().map(|(sequence, run)| EndedRun {
            checkpoint: SmolStr::default(),
            end: ListedEnd::Done,
            reason: "done".into(),
            run: *run,
            sequence: *sequence,
        });
        let report = HoldReport {
            started_unix_ms: Some(1),
            clock_ms: self.now_ms,
            ended: ended.collect(),
            running: running.collect(),
            unreadable_rows: Vec::new(),
        };
        self.complete_hold(worker, kind, Ok(report));
    }

    /// Responds to a renewal of a worker with running runs and their percentages, and with runs that were
    /// interrupted and their numbers.
    pub fn report_interrupted(&mut self, worker: &str, running: &[(RunId, u32)], ended: &[(u64, RunId)]) {
        let running = running.iter().map(|(run, percent)| ListedRun {
            checkpoint: SmolStr::default(),
            percent: *percent,
            run: *run,
            usage: 0,
        });
        let ended = ended.iter().map(|(sequence, run)| EndedRun {
            checkpoint: "checkpoint".into(),
            end: ListedEnd::Interrupted,
            reason: "stopped".into(),
            run: *run,
            sequence: *sequence,
        });
        let report = HoldReport {
            started_unix_ms: Some(1),
            clock_ms: self.now_ms,
            ended: ended.collect(),
            running: running.collect(),
            unreadable_rows: Vec::new(),
        };
        self.complete_hold(worker, HoldKind::Renewal, Ok(report));
    }

    /// Responds to a hold order for the incarnation of a worker that started at `started_unix_ms`, with
    /// running runs.
    pub fn report_of(&mut self, worker: &str, kind: HoldKind, started_unix_ms: u64, running: &[RunId]) {
        let running = running.iter().map(|run| ListedRun {
            checkpoint: SmolStr::default(),
            percent: 100,
            run: *run,
            usage: 0,
        });
        let report = HoldReport {
            started_unix_ms: Some(started_unix_ms),
            clock_ms: self.now_ms,
            ended: Vec::new(),
            running: running.collect(),
            unreadable_rows: Vec::new(),
        };
        self.complete_hold(worker, kind, Ok(report));
    }

    pub fn complete_hold(
        &mut self,
        worker: &str,
        kind: HoldKind,
        result: Result<HoldReport, WorkerCallError>,
    ) {
        self.handle(JobEvent::Held {
            kind,
            result,
            sent_ms: self.now_ms,
            worker: WorkerName::new(worker),
        });
    }

    /// Handles a response of the advice service.
    pub fn advice_ended(&mut self, by: Option<SocketAddr>, response: ServiceResponse) {
        self.handle(JobEvent::Advised {
            by,
            response: response.result,
            step: response.request.step,
        });
    }

    /// Responds to an advice request with a ticket for every requested worker.
    pub fn advised(&mut self, by: Option<SocketAddr>, request: &AdviceRequest) {
        let workers = request.workers.iter();
        let response = AdviceResponse {
            eligible: workers.map(|worker| (worker.clone(), "ticket".into())).collect(),
            unreadable_rows: 0,
            valid_ms: None,
        };
        self.handle(JobEvent::Advised {
            by,
            response: Ok(response),
            step: request.step,
        });
    }
}

/// Returns a step of equal tasks that need two processors each.
pub fn step(tasks: u32, estimated_ms: u64) -> StepSpec {
    StepSpec {
        demand: Resources {
            memory_bytes: 1 << 20,
            processors_millis: 2_000,
            ..Resources::NONE
        },
        estimated_ms,
        tasks,
        ..StepSpec::default()
    }
}

/// Returns the identifier of the first step of a job.
pub fn first_step(job: JobId) -> StepId {
    StepId {
        job,
        occurrence: 0,
        step: 0,
    }
}

pub fn queue() -> Queue {
    Queue {
        advice: None,
        host: "host".into(),
        is_open: false,
        max_attempts: 3,
        name: QueueName::new("queue"),
        path_prefix: "/q/".into(),
        priority: 0,
        service: "service".into(),
        stretch: 1.5,
        target_latency_ms: 250,
    }
}

/// Returns a queue whose tasks need advice.
pub fn advised_queue() -> Queue {
    Queue {
        advice: Some(AdvicePolicy {
            base_us: 21_000,
            per_worker_us: 290,
            valid_ms: 2_500,
        }),
        ..queue()
    }
}

pub fn configuration(queue: Queue) -> Configuration {
    Configuration {
        document: Vec::new(),
        queues: vec![queue],
        services: vec!["service".into()],
        teams: vec![Team {
            keys: vec!["key".into()],
            limit: Resources::NONE,
            name: TeamName::new("team"),
            weight: 1,
        }],
        version: 1,
    }
}

fn sent(effect: Effect) -> Option<Sent> {
    match effect {
        Effect::Advise { by, request } => Some(Sent::Advise { by, request }),
        Effect::Respond { .. } => None,
        Effect::Order(WorkerOrder::Hold {
            kind: HoldKind::Check,
            to,
            ..
        }) => Some(Sent::Check(to.worker)),
        Effect::Order(WorkerOrder::Hold { to, wait_ms, .. }) => Some(Sent::Renew {
            wait_ms,
            worker: to.worker,
        }),
        Effect::Order(WorkerOrder::Pace { percent, run, to }) => Some(Sent::Pace {
            percent,
            run,
            worker: to.worker,
        }),
        Effect::Order(WorkerOrder::Start { run, to, .. }) => Some(Sent::Start {
            run,
            worker: to.worker,
        }),
        Effect::Order(WorkerOrder::Stop { run, to }) => Some(Sent::Stop {
            run,
            worker: to.worker,
        }),
    }
}
