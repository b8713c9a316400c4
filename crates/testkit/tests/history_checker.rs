//! Tests that the checker finds each kind of violation in a history, and none in a valid history.

use {
    fuchsiatack_model::{
        Epoch, KeyName, Resources, SessionId, TaskId, TaskOutcome, TeamName, WorkName, WorkTask, WorkerName,
    },
    fuchsiatack_testkit::{
        AttemptOutcome, CallerEvent, Control, ControlEvent, History, HistoryChecker, Violation, WorkerEvent,
        WorkerEventKind,
    },
};

const SECOND_US: u64 = 1_000_000;

/// Builds a history event by event. Times are in seconds.
#[derive(Default)]
struct HistoryScript {
    history: History,
}

fn us(at: f64) -> u64 {
    (at * SECOND_US as f64) as u64
}

fn task(sequence: u64) -> TaskId {
    TaskId {
        session: SessionId(1),
        sequence,
    }
}

impl HistoryScript {
    fn new() -> Self {
        Self::default().up("w1", 0.0).up("w2", 0.0)
    }

    fn event(mut self, worker: &str, at: f64, kind: WorkerEventKind) -> Self {
        let worker = WorkerName::new(worker);
        self.history
            .workers
            .push(WorkerEvent::new(us(at), &worker, Epoch(1), kind));
        self
    }

    fn last(&mut self) -> &mut WorkerEvent {
        self.history
            .workers
            .last_mut()
            .expect("the history should have a worker event")
    }

    fn up(self, worker: &str, at: f64) -> Self {
        let mut script = self.event(worker, at, WorkerEventKind::Up);
        script.last().capacity = Some(Resources {
            connections: 8,
            memory_bytes: 100,
            slots: 2,
            ..Resources::NONE
        });
        script
    }

    fn start(self, worker: &str, at: f64, sequence: u64, request: &str) -> Self {
        let mut script = self.event(worker, at, WorkerEventKind::Started);
        let event = script.last();
        event.task = Some(task(sequence));
        event.team = Some(TeamName::new("anfa"));
        event.demand = Some(Resources::default());
        event.request = (!request.is_empty()).then(|| request.into());
        script
    }

    fn with_memory(mut self, memory_bytes: u64) -> Self {
        let demand = self
            .last()
            .demand
            .as_mut()
            .expect("the last event should be a start");
        demand.memory_bytes = memory_bytes;
        self
    }

    fn of_work(mut self, number: u32) -> Self {
        self.last().work = Some(WorkTask {
            number,
            work: WorkName::new("night"),
        });
        self
    }

    fn end(self, worker: &str, at: f64, sequence: u64) -> Self {
        self.end_as(worker, at, sequence, WorkerEventKind::Ended)
    }

    fn end_as(self, worker: &str, at: f64, sequence: u64, kind: WorkerEventKind) -> Self {
        let mut script = self.event(worker, at, kind);
        script.last().task = Some(task(sequence));
        script
    }

    fn call(mut self, request: &str, sent: f64, seen: AttemptOutcome) -> Self {
        let attempt = self
            .history
            .callers
            .iter()
            .filter(|event| event.request == request)
            .count();
        self.history.callers.push(CallerEvent {
            at_us: us(sent) + SECOND_US,
            attempt: attempt as u32 + 1,
            detail: "".into(),
            entry: "127.0.0.1:1".into(),
            idempotent: false,
            key: Some(KeyName::new("anfa-desk")),
            last: seen != AttemptOutcome::Lost,
            own: true,
            request: request.into(),
            seen,
            sent_us: us(sent),
            team: TeamName::new("anfa"),
            wait_us: SECOND_US,
            whole: true,
        });
        self
    }

    fn change_call(mut self, change: impl FnOnce(&mut CallerEvent)) -> Self {
        change(
            self.history
                .callers
                .last_mut()
                .expect("the history should have a call"),
        );
        self
    }

    fn control(mut self, at: f64, control: Control) -> Self {
        self.history.controls.push(ControlEvent {
            at_us: us(at),
            control,
        });
        self
    }

    fn limit(self, at: f64, max_running: u32) -> Self {
        let team = TeamName::new("anfa");
        self.control(at, Control::LimitSet { max_running, team })
    }

    fn submit(self, tasks: u32, idempotent: bool) -> Self {
        let work = WorkName::new("night");
        self.control(
            1.0,
            Control::WorkSubmitted {
                idempotent,
                tasks,
                work,
            },
        )
    }

    fn status(self, outcomes: &[Option<TaskOutcome>]) -> Self {
        let (outcomes, work) = (outcomes.to_vec(), WorkName::new("night"));
        self.control(90.0, Control::WorkEnded { outcomes, work })
    }

    fn check(&self) -> Vec<Violation> {
        HistoryChecker::default().check(&self.history)
    }
}

fn drained(worker: &str) -> Control {
    Control::Drained {
        worker: WorkerName::new(worker),
    }
}

fn withdrawn() -> Control {
    Control::KeyWithdrawn {
        key: KeyName::new("anfa-desk"),
    }
}

/// Guards against false violations: full workers, back-to-back runs, retries after a known end, lost
/// attempts, restarts and the permitted propagation times.
#[test]
fn a_valid_history_has_no_violations() {
    let script = HistoryScript::new()
        .limit(0.0, 3)
        .start("w1", 10.0, 1, "r1")
        .start("w1", 10.0, 2, "r2")
        .start("w2", 10.5, 3, "r3")
        .end("w1", 11.0, 1)
        .start("w1", 11.0, 4, "r4")
        .end("w1", 12.0, 2)
        .end("w2", 12.0, 3)
        .end("w1", 12.0, 4)
        .call("r1", 9.0, AttemptOutcome::Lost)
        .call("r1", 9.5, AttemptOutcome::Done)
        .call("r2", 9.0, AttemptOutcome::Done)
        .call("r3", 9.0, AttemptOutcome::Done)
        .call("r4", 9.0, AttemptOutcome::Done)
        .call("r5", 9.0, AttemptOutcome::NotRun)
        // An idempotent request may run again after its worker was killed.
        .start("w2", 13.0, 5, "r6")
        .control(
            14.0,
            Control::WorkerKilled {
                worker: WorkerName::new("w2"),
            },
        )
        .start("w1", 14.5, 6, "r6")
        .end("w1", 15.0, 6)
        .call("r6", 13.0, AttemptOutcome::Done)
        .change_call(|call| call.idempotent = true)
        .up("w2", 16.0)
        // A lowered limit and a drain take effect within their bounds.
        .limit(20.0, 1)
        .start("w2", 21.0, 7, "")
        .start("w2", 22.0, 8, "")
        .end("w2", 23.0, 7)
        .end("w2", 23.0, 8)
        .control(30.0, drained("w2"))
        .start("w2", 32.9, 9, "")
        .end("w2", 34.0, 9)
        .control(40.0, withdrawn())
        .start("w1", 44.0, 10, "r7")
        .end("w1", 46.0, 10)
        .call("r7", 43.5, AttemptOutcome::Done)
        .submit(1, false)
        .start("w1", 50.0, 11, "")
        .of_work(0)
        .end("w1", 51.0, 11)
        .status(&[Some(TaskOutcome::Done)]);

    assert_eq!(script.check(), []);
}

/// Guards against a checker that overlooks exceeded slots of a worker.
#[test]
fn finds_exceeded_slots() {
    let script = HistoryScript::new()
        .start("w1", 1.0, 1, "")
        .start("w1", 2.0, 2, "")
        .start("w1", 3.0, 3, "");

    assert!(matches!(script.check()[..], [Violation::CapacityExceeded { .. }]));
}

/// Guards against a checker that overlooks another exceeded resource of a worker.
#[test]
fn finds_exceeded_memory() {
    let script = HistoryScript::new()
        .start("w1", 1.0, 1, "")
        .with_memory(60)
        .start("w1", 2.0, 2, "")
        .with_memory(60);

    assert!(matches!(script.check()[..], [Violation::CapacityExceeded { .. }]));
}

/// Guards against a checker that overlooks a task, request or work task that runs on two workers at
/// once.
#[test]
fn finds_concurrent_runs() {
    let same_task = HistoryScript::new()
        .start("w1", 1.0, 1, "")
        .start("w2", 2.0, 1, "")
        .end("w1", 3.0, 1);
    let same_request = HistoryScript::new()
        .start("w1", 1.0, 1, "r1")
        .start("w2", 2.0, 2, "r1")
        .end("w1", 3.0, 1);
    let same_work = HistoryScript::new()
        .start("w1", 1.0, 1, "")
        .of_work(0)
        .start("w2", 2.0, 2, "")
        .of_work(0)
        .end("w1", 3.0, 1);

    for script in [same_task, same_request, same_work] {
        assert!(matches!(script.check()[..], [Violation::ConcurrentRuns { .. }]));
    }
}

/// Guards against a checker that counts each worker by itself, or that never applies a lowered limit.
#[test]
fn finds_a_team_above_its_limit() {
    let at_once = HistoryScript::new()
        .limit(0.0, 1)
        .start("w1", 10.0, 1, "")
        .start("w2", 11.0, 2, "")
        .end("w1", 12.0, 1);
    let after_change = HistoryScript::new()
        .limit(0.0, 5)
        .limit(10.0, 1)
        .start("w1", 17.5, 1, "")
        .start("w2", 18.0, 2, "");

    for script in [at_once, after_change] {
        assert!(matches!(
            script.check()[..],
            [Violation::LimitExceeded {
                limit: 1,
                running: 2,
                ..
            }]
        ));
    }
}

/// Guards against a checker that accepts incomplete responses or responses of other requests.
#[test]
fn finds_wrong_responses() {
    let script = |change: fn(&mut CallerEvent)| {
        HistoryScript::new()
            .start("w1", 1.0, 1, "r1")
            .end("w1", 2.0, 1)
            .call("r1", 0.5, AttemptOutcome::Done)
            .change_call(change)
    };
    let incomplete = script(|call| (call.whole, call.own) = (false, false));
    let foreign = script(|call| call.own = false);

    assert!(matches!(
        incomplete.check()[..],
        [Violation::WrongResponse {
            is_complete: false,
            ..
        }]
    ));
    assert!(matches!(
        foreign.check()[..],
        [Violation::WrongResponse {
            is_complete: true,
            ..
        }]
    ));
}

/// Guards against a checker that overlooks the start of a request that was reported as not run. After an
/// attempt with a lost response, a start is no violation, as that attempt may have run.
#[test]
fn finds_a_start_of_a_request_reported_as_not_run() {
    let ran = HistoryScript::new()
        .start("w1", 1.0, 1, "r1")
        .end("w1", 2.0, 1)
        .call("r1", 0.5, AttemptOutcome::NotRun);
    let lost_before = HistoryScript::new()
        .start("w1", 1.0, 1, "r1")
        .end("w1", 2.0, 1)
        .call("r1", 0.5, AttemptOutcome::Lost)
        .call("r1", 3.0, AttemptOutcome::NotRun);

    assert!(matches!(ran.check()[..], [Violation::NotRunButStarted { .. }]));
    assert_eq!(lost_before.check(), []);
}

/// Guards against a checker that overlooks a second run of a request or work task that must run once.
#[test]
fn finds_a_repeated_run() {
    let request = HistoryScript::new()
        .start("w1", 1.0, 1, "r1")
        .end("w1", 2.0, 1)
        .start("w2", 3.0, 2, "r1")
        .end("w2", 4.0, 2)
        .call("r1", 0.5, AttemptOutcome::Done);
    let work = HistoryScript::new()
        .submit(1, false)
        .start("w1", 1.0, 1, "")
        .of_work(0)
        .end_as("w1", 2.0, 1, WorkerEventKind::Stopped)
        .start("w2", 3.0, 2, "")
        .of_work(0)
        .end("w2", 4.0, 2)
        .status(&[Some(TaskOutcome::Done)]);

    for script in [request, work] {
        assert!(matches!(
            script.check()[..],
            [Violation::RepeatedRun { starts: 2, .. }]
        ));
    }
}

/// Guards against a checker that overlooks accepted work that is lost, ends twice or is reported as done
/// without a run.
#[test]
fn finds_work_that_did_not_end_once() {
    let no_status = HistoryScript::new().submit(1, true);
    let no_outcome = HistoryScript::new().submit(1, true).status(&[None]);
    let not_run = HistoryScript::new()
        .submit(1, true)
        .status(&[Some(TaskOutcome::Done)]);
    let changed = HistoryScript::new()
        .submit(1, true)
        .status(&[Some(TaskOutcome::Failed)])
        .status(&[Some(TaskOutcome::Unknown)]);
    let request_without_run = HistoryScript::new().call("r1", 1.0, AttemptOutcome::Done);
    let request_without_outcome = HistoryScript::new().call("r1", 1.0, AttemptOutcome::Lost);
    let request_with_two = HistoryScript::new()
        .start("w1", 1.0, 1, "r1")
        .end("w1", 2.0, 1)
        .call("r1", 0.5, AttemptOutcome::Done)
        .call("r1", 3.0, AttemptOutcome::Done);

    for script in [
        no_status,
        no_outcome,
        not_run,
        changed,
        request_without_run,
        request_without_outcome,
        request_with_two,
    ] {
        assert!(matches!(script.check()[..], [Violation::NotEndedOnce { .. }]));
    }
}

/// Guards against a checker that overlooks a task that starts on a leaving or drained worker.
#[test]
fn finds_work_after_leaving() {
    let leaving = HistoryScript::new()
        .event("w1", 10.0, WorkerEventKind::AnnouncedLeaving)
        .event("w1", 12.0, WorkerEventKind::AnnouncedLeaving)
        .start("w1", 13.5, 1, "");
    let drain = HistoryScript::new()
        .control(10.0, drained("w2"))
        .start("w2", 13.5, 1, "");
    let drain_ended = HistoryScript::new()
        .control(10.0, drained("w2"))
        .control(
            12.0,
            Control::DrainEnded {
                worker: WorkerName::new("w2"),
            },
        )
        .start("w2", 13.5, 1, "");

    for script in [leaving, drain] {
        assert!(matches!(
            script.check()[..],
            [Violation::WorkAfterLeaving {
                after_us: 3_500_000,
                ..
            }]
        ));
    }
    assert_eq!(drain_ended.check(), []);
}

/// Guards against a checker that overlooks a request that runs for a withdrawn key, whether or not its
/// caller receives a response.
#[test]
fn finds_work_for_a_withdrawn_key() {
    let done = HistoryScript::new()
        .control(10.0, withdrawn())
        .start("w1", 15.6, 1, "r1")
        .end("w1", 15.7, 1)
        .call("r1", 15.5, AttemptOutcome::Done);
    let lost = HistoryScript::new()
        .control(10.0, withdrawn())
        .start("w1", 15.6, 1, "r1")
        .end("w1", 15.7, 1)
        .call("r1", 15.5, AttemptOutcome::Lost)
        .change_call(|call| call.last = true);
    let rejected = HistoryScript::new()
        .control(10.0, withdrawn())
        .call("r1", 15.5, AttemptOutcome::NotRun);

    for script in [done, lost] {
        assert!(matches!(
            script.check()[..],
            [Violation::WorkAfterWithdrawal { .. }]
        ));
    }
    assert_eq!(rejected.check(), []);
}

/// Guards against event logs that the checker cannot read back.
#[test]
fn reads_the_logs_of_workers_and_callers() {
    let folder = tempfile::tempdir().expect("a temporary folder should be created");
    let (workers, callers) = (folder.path().join("w1"), folder.path().join("callers"));
    let script = HistoryScript::new()
        .start("w1", 1.0, 1, "r1")
        .of_work(3)
        .end("w1", 2.0, 1)
        .call("r1", 0.5, AttemptOutcome::Done);
    let worker_log = fuchsiatack_testkit::JsonLog::open(&workers).expect("the log should be opened");
    script
        .history
        .workers
        .iter()
        .for_each(|event| worker_log.write(event));
    let caller_log = fuchsiatack_testkit::JsonLog::open(&callers).expect("the log should be opened");
    script
        .history
        .callers
        .iter()
        .for_each(|event| caller_log.write(event));
    // A killed process may leave an incomplete last line.
    std::fs::write(
        &workers,
        [
            std::fs::read(&workers).expect("the log should be readable"),
            b"{\"at".to_vec(),
        ]
        .concat(),
    )
    .expect("the log should be written");

    let mut history = History::default();
    history
        .read_worker(&workers)
        .expect("the worker log should be readable");
    history
        .read_callers(&callers)
        .expect("the caller log should be readable");

    assert_eq!(history.workers, script.history.workers);
    assert_eq!(history.callers, script.history.callers);
}
