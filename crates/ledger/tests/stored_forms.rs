//! Snapshots and log entries that earlier builds have written. Guards against a data folder that a new build
//! cannot read, and against the loss of a part of the state in a snapshot.

use {
    fuchsiatack_jobs::{
        ColdStart, Configuration, JobCommand, JobId, JobSpec, JobState, Queue, RunEnd, RunId, StepId,
        StepSpec, Submission, TaskKey, Team, WorkerEntry,
    },
    fuchsiatack_ledger::{Command, DaemonInfo, Ledger},
    fuchsiatack_model::{DataCenter, LogIndex, QueueName, Resources, TeamName, WorkerName},
    std::collections::BTreeMap,
};

/// The snapshot of `ledger()` as the build before evacuations of data centres (c000fe1) encodes it.
const SNAPSHOT: &str = "010401027b7d010004686f73740003057175657565032f712f000773657276696365000000000000f83ffa0101077365\
    72766963650101036b65790000000000047465616d0101010907000900057175657565077061796c6f61640001000000\
    000000000000000000000000000000000101047465616d00010177007f0000010105000000000001610002046b696e64\
    047261636b076d616368696e65077365727669636500000000000000000000000000000000000000010100010400007f\
    000001020161066461656d6f6e007f00000103010000000000000000000000";

/// The log entry with `commands()` as the same build encodes it.
const ENTRY: &str = "060501027b7d010004686f73740003057175657565032f712f000773657276696365000000000000f83ffa0101077365\
    72766963650101036b65790000000000047465616d010105007f0000010105000000000001610002046b696e64047261\
    636b076d616368696e6507736572766963650177090709057175657565077061796c6f61640001000000000000000000\
    000000000000000000000101047465616d00080b0d070c";

/// The snapshot of `ledger_with_runs()` as an earlier build (04f0fbb) encodes it.
const SNAPSHOT_WITH_RUNS: &str = "010300010907000901000102000100000100000000000101017705717565\
    7565077061796c6f61640001000000000000000000000000000000000000000201047465616d00000000000000000000\
    0000000000000000000000000000000000000000000000";

fn configuration() -> Configuration {
    Configuration {
        document: b"{}".to_vec(),
        queues: vec![Queue {
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
        }],
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

fn worker() -> WorkerEntry {
    WorkerEntry {
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        started_unix_ms: 5,
        capacity: Resources::NONE,
        data_center: DataCenter::new("a"),
        draining: false,
        labels: vec!["kind".into(), "rack".into()],
        machine: "machine".into(),
        service: "service".into(),
    }
}

fn submission() -> Submission {
    Submission {
        accepted_unix_ms: 7,
        job: JobId(9),
        queue: QueueName::new("queue"),
        spec: JobSpec {
            payload: "payload".into(),
            schedule: None,
            steps: vec![StepSpec::default()],
        },
        team: Some(TeamName::new("team")),
    }
}

/// Returns commands of the job state that every earlier build knows: the first, the last and some between.
fn commands() -> Vec<JobCommand> {
    vec![
        JobCommand::Configure(Box::new(configuration())),
        JobCommand::PutWorker {
            entry: worker(),
            worker: WorkerName::new("w"),
        },
        JobCommand::Submit(Box::new(submission())),
        JobCommand::Cancel {
            job: JobId(8),
            unix_ms: 11,
        },
        JobCommand::GiveUp {
            job: JobId(7),
            unix_ms: 12,
        },
    ]
}

/// Returns a ledger with a part before and a part after the job state.
fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.apply(LogIndex(3), Command::Jobs(commands()));
    let daemon = DaemonInfo {
        caller_address: "127.0.0.1:2".parse().expect("the address is valid"),
        data_center: DataCenter::new("a"),
        name: "daemon".into(),
        peer_address: "127.0.0.1:3".parse().expect("the address is valid"),
        weight: 1,
    };
    ledger.apply(LogIndex(4), Command::OpenSession(daemon));
    ledger
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("the digits are ASCII");
            u8::from_str_radix(pair, 16).expect("the digits are hexadecimal")
        })
        .collect()
}

fn evacuation(data_center: &str) -> JobCommand {
    JobCommand::Evacuate {
        data_center: DataCenter::new(data_center),
        ordered_by: Some("operator".into()),
        unix_ms: 21,
    }
}

fn end(data_center: &str) -> JobCommand {
    JobCommand::EndEvacuation(DataCenter::new(data_center))
}

#[test]
fn snapshot_of_an_earlier_build_is_decoded() {
    let decoded = Ledger::decode_snapshot(&bytes(SNAPSHOT)).expect("the form is known");

    assert_eq!(decoded, ledger());
}

#[test]
fn log_entry_of_an_earlier_build_is_decoded() {
    let decoded: Command = postcard::from_bytes(&bytes(ENTRY)).expect("the form is known");

    assert_eq!(decoded, Command::Jobs(commands()));
}

/// Guards against members of the earlier build that cannot install a snapshot during an update.
#[test]
fn snapshot_without_new_state_has_the_form_of_the_earlier_build() {
    let mut ledger = ledger();
    ledger.apply(LogIndex(4), Command::Jobs(vec![evacuation("z"), end("z")]));

    let encoded = ledger.encode_snapshot().expect("the ledger can be encoded");

    assert_eq!(encoded, bytes(SNAPSHOT));
}

/// Guards against limits on cold workers that are lost when their log entry is replaced by a snapshot.
#[test]
fn snapshot_holds_the_services_with_cold_workers() {
    let mut ledger = ledger();
    let mut later = configuration();
    later.version = 2;
    let cold_start = ColdStart {
        cold_ms: 30_000,
        starts_per_1000_s: 2_500,
    };
    let configure = JobCommand::ConfigureColdStarts {
        cold_starts: BTreeMap::from([("service".into(), cold_start)]),
        configuration: Box::new(later),
    };
    ledger.apply(LogIndex(5), Command::Jobs(vec![configure]));
    let encoded = ledger.encode_snapshot().expect("the ledger can be encoded");

    let decoded = Ledger::decode_snapshot(&encoded).expect("the form is known");

    assert_eq!(decoded, ledger);
    assert_eq!(decoded.jobs().extension.cold_starts.len(), 1);
}

/// Guards against an order that is lost when its log entry is replaced by a snapshot.
#[test]
fn snapshot_holds_the_evacuated_data_centers() {
    let mut ledger = ledger();
    ledger.apply(LogIndex(5), Command::Jobs(vec![evacuation("z"), evacuation("y")]));
    let encoded = ledger.encode_snapshot().expect("the ledger can be encoded");

    let decoded = Ledger::decode_snapshot(&encoded).expect("the form is known");

    assert_eq!(decoded, ledger);
    let evacuations = &decoded.jobs().extension.evacuations;
    assert_eq!(evacuations.len(), 2);
    assert_eq!(evacuations[&DataCenter::new("z")].ordered_unix_ms, 21);
}

/// Guards against a snapshot of a later form that is taken for an empty state.
#[test]
fn snapshot_of_an_unknown_form_is_refused() {
    assert!(Ledger::decode_snapshot(&[3]).is_err());
    assert!(Ledger::decode_snapshot(&bytes(SNAPSHOT)[..40]).is_err());
}

/// Guards against a state other than that of the last committed order, and against a repeated order that
/// changes the time of the first.
#[test]
fn orders_count_in_the_order_of_their_commits() {
    let mut ledger = ledger();
    let later = JobCommand::Evacuate {
        data_center: DataCenter::new("z"),
        ordered_by: None,
        unix_ms: 99,
    };

    ledger.apply(LogIndex(5), Command::Jobs(vec![end("z"), evacuation("z"), later]));
    let ordered_unix_ms = ledger.jobs().extension.evacuations[&DataCenter::new("z")].ordered_unix_ms;
    ledger.apply(
        LogIndex(6),
        Command::Jobs(vec![evacuation("z"), end("z"), end("z")]),
    );

    assert_eq!(ordered_unix_ms, 21);
    assert!(ledger.jobs().extension.evacuations.is_empty());
}

/// Returns a ledger with a job of two tasks of which the first is done and the second runs.
fn ledger_with_runs() -> Ledger {
    let submission = submission();
    let steps = vec![StepSpec {
        tasks: 2,
        ..StepSpec::default()
    }];
    let submission = Submission {
        spec: JobSpec {
            steps,
            ..submission.spec.clone()
        },
        ..submission
    };
    let mut ledger = Ledger::default();
    let commands = vec![
        JobCommand::Submit(Box::new(submission)),
        JobCommand::Start {
            runs: vec![run(0), run(1)],
            worker: WorkerName::new("w"),
        },
        end_of_run(0),
    ];
    ledger.apply(LogIndex(3), Command::Jobs(commands));
    ledger
}

fn run(index: u32) -> RunId {
    let step = StepId {
        job: JobId(9),
        occurrence: 0,
        step: 0,
    };
    RunId {
        number: 1,
        task: TaskKey { index, step },
    }
}

fn end_of_run(index: u32) -> JobCommand {
    JobCommand::End {
        checkpoint: Default::default(),
        end: RunEnd::Done,
        is_final: false,
        run: run(index),
        unix_ms: 13,
    }
}

/// Guards against a job that never completes, since the tasks that were done before a snapshot do not count.
#[test]
fn tasks_in_a_snapshot_of_an_earlier_build_are_counted() {
    let mut decoded = Ledger::decode_snapshot(&bytes(SNAPSHOT_WITH_RUNS)).expect("the form is known");
    let unchanged = decoded.clone();

    decoded.apply(LogIndex(4), Command::Jobs(vec![end_of_run(1)]));

    assert_eq!(unchanged, ledger_with_runs());
    let encoded = unchanged.encode_snapshot().expect("the ledger can be encoded");
    assert_eq!(encoded, bytes(SNAPSHOT_WITH_RUNS));
    assert_eq!(decoded.jobs().jobs[&JobId(9)].state(), JobState::Completed);
}
