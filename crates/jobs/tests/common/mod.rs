//! A leader with workers whose calls a test answers by hand.

#![allow(dead_code, reason = "each test program uses a part of it")]

use {
    fuchsiatack_jobs::{
        AdvicePolicy, AdviceRequest, AdviceResponse, CallId, CellCall, Configuration, Effect, EndedRun,
        HoldKind, HoldReport, JobAction, JobCall, JobCommand, JobEvent, JobId, JobSpec, JobStore, ListedEnd,
        ListedRun, OrderResult, Planner, PlannerSettings, Queue, RunId, StepId, StepSpec, Team,
        WorkerCallError, WorkerOrder, WorkerReport,
    },
    fuchsiatack_model::{DataCenter, QueueName, Resources, TeamName, WorkerName},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Time of the first event, in milliseconds since the Unix epoch.
pub const UNIX_START_MS: u64 = 1_700_000_000_000;

pub struct Leader {
    calls: u64,
    pub now_ms: u64,
    planner: Planner,
    sequence: u64,
}

/// A call to a worker or to the advice service that waits for its answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    Advise {
        by: Option<SocketAddr>,
        request: AdviceRequest,
    },
    Check(WorkerName),
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
    /// A leader with workers of 16 processors that have answered a first renewal.
    pub fn new(queue: Queue, workers: &[&str]) -> Self {
        let mut book = JobStore::default();
        book.apply(&JobCommand::Configure(Box::new(configuration(queue))));
        let mut leader = Self {
            calls: 0,
            now_ms: 0,
            planner: Planner::new(PlannerSettings::default(), book, 1, 0, UNIX_START_MS),
            sequence: 0,
        };
        for worker in workers {
            leader.heartbeat(worker);
        }
        leader.take();
        for worker in workers {
            leader.held(worker, HoldKind::Renewal, &[], &[]);
        }
        leader
    }

    pub fn handle(&mut self, event: JobEvent) {
        let unix_ms = UNIX_START_MS + self.now_ms;
        self.planner.handle(self.now_ms, unix_ms, event);
    }

    /// Lets time pass.
    pub fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.handle(JobEvent::Tick);
    }

    /// Returns the calls since the last time.
    pub fn take(&mut self) -> Vec<Sent> {
        let output = self.planner.take_output();
        let effects = output.immediate.into_iter().chain(output.after_commit);
        effects.filter_map(sent).collect()
    }

    /// Workers on which runs were started, one entry a run.
    pub fn take_started(&mut self) -> Vec<(RunId, WorkerName)> {
        let calls = self.take().into_iter();
        calls
            .filter_map(|call| match call {
                Sent::Start { run, worker } => Some((run, worker)),
                _ => None,
            })
            .collect()
    }

    pub fn heartbeat(&mut self, worker: &str) {
        self.sequence += 1;
        let report = WorkerReport {
            address: "127.0.0.1:1".parse().expect("a constant address"),
            started_unix_ms: 1,
            capacity: Resources {
                memory_bytes: 64 << 30,
                processors_millis: 16_000,
                ..Resources::NONE
            },
            clock_ms: self.now_ms,
            data_center: DataCenter::new("a"),
            draining: false,
            labels: vec!["kind".into(), "rack".into()],
            machine: SmolStr::default(),
            name: WorkerName::new(worker),
            remaining_ms: None,
            sequence: self.sequence,
            service: "service".into(),
        };
        self.call(CellCall::Heartbeat(Box::new(report)));
    }

    pub fn submit(&mut self, job: JobId, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            payload: "payload".into(),
            schedule: None,
            steps,
        };
        self.call(CellCall::Job(JobCall {
            action: JobAction::Submit(Box::new(spec)),
            host: "host".into(),
            key: Some("key".into()),
            path: SmolStr::new(format!("/q/{job}")),
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
            worker: worker.clone(),
        });
    }

    pub fn stopped(&mut self, worker: &WorkerName, run: RunId) {
        self.handle(JobEvent::Stopped {
            result: Ok(self.now_ms),
            run,
            worker: worker.clone(),
        });
    }

    /// A worker lists runs with their progress, and ends.
    pub fn held(&mut self, worker: &str, kind: HoldKind, running: &[(RunId, u32)], ended: &[(u64, RunId)]) {
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
        };
        self.hold_answered(worker, kind, Ok(report));
    }

    pub fn hold_answered(
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

    /// The advice service finds all workers fit that it was asked about.
    pub fn advised(&mut self, by: Option<SocketAddr>, request: &AdviceRequest) {
        let good = request.workers.iter();
        let reply = AdviceResponse {
            eligible: good.map(|worker| (worker.clone(), "ticket".into())).collect(),
            valid_ms: None,
        };
        self.handle(JobEvent::Advised {
            by,
            response: Some(reply),
            step: request.step,
        });
    }
}

/// A step of equal tasks on two processors each.
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

/// The first step of a job.
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

/// A queue whose tasks may run only where the advice service says so.
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
