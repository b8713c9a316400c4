//! Invariants over random command sequences.

mod support;

use {
    fuchsiatack_ledger::{Change, Command, Ledger, LedgerStatus, Query, QueryReply, Reply},
    fuchsiatack_model::{
        Epoch, LogIndex, Policy, SessionId, TaskOutcome, TeamName, WorkName, WorkTask, WorkerName,
    },
    fuchsiatack_records::{Kind, Spec},
    quickcheck::{Gen, QuickCheck, Testable},
    std::collections::{BTreeMap, BTreeSet},
    support::{
        Byte, Cell, announcement, assign_tasks, daemon, end, finish_task, lost, release, return_tasks, task,
        work,
    },
};

const NAMES: [&str; 3] = ["red", "blue", "green"];

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

/// One step: the action, a count, and two numbers that select a name, a worker and a session.
type Step = (Byte, Byte, Byte, Byte);

/// Applies a step and returns the reply.
fn apply(cell: &mut Cell, step: Step) -> Reply {
    let (Byte(action), Byte(count), Byte(first), Byte(second)) = step;
    let count = u32::from(count % 12);
    let name = NAMES[usize::from(first) % NAMES.len()];
    let status = cell.status();
    let session = some_session(&status, second.into());
    let tasks: Vec<u32> = (0..count % 4).collect();
    let worker = WORKERS[usize::from(first) % WORKERS.len()];
    let epoch = some_epoch(&status, worker, count == 11);
    cell.apply(match action % 22 {
        0 => Command::OpenSession(daemon(name, "dc-1", 1)),
        1 => end(session),
        2 | 3 => Command::RegisterWorker(announcement(worker, "dc-1", "rack")),
        4..=6 => {
            let worker = worker.into();
            Command::AssignWorker { session, worker }
        }
        7..=9 => {
            let running = NAMES.map(|name| (name, count / 2));
            let tasks: Vec<WorkTask> = (0..count % 3).map(|number| task(name, number)).collect();
            return cell.fence_with_tasks(worker, epoch, &running, &tasks);
        }
        10 => lost(worker, epoch),
        11 => release(worker, session),
        12 | 13 => return cell.grant(session, name, count),
        14 => cell.return_tokens(session, name, count),
        15 | 16 => assign_tasks(session, name, &tasks),
        17 => finish_task(session, name, count % 4, TaskOutcome::Done),
        18 => return_tasks(session, name, &tasks),
        19 if count.is_multiple_of(3) => return cell.start(name, session),
        19 if count % 3 == 1 => return cell.finish(name, session, second.into()),
        19 => Command::ExpireJournal {
            before_unix_ms: u64::from(count) * 500,
        },
        _ => return write(cell, name, count, second),
    })
}

/// Returns the current epoch of a worker, or the one before it if `is_stale` is set.
fn some_epoch(status: &LedgerStatus, worker: &str, is_stale: bool) -> Epoch {
    let is_named = |entry: &&fuchsiatack_ledger::WorkerEntry| entry.announcement.name.as_str() == worker;
    let epoch = status
        .workers
        .iter()
        .find(is_named)
        .map_or(0, |entry| entry.epoch.0);
    Epoch(epoch.saturating_sub(u64::from(is_stale)))
}

/// Returns a session of the status, or sometimes one that may not exist.
fn some_session(status: &LedgerStatus, number: usize) -> SessionId {
    let session = status.sessions.get(number % (status.sessions.len() + 1));
    session.map_or(SessionId(1), |session| session.session)
}

/// Writes or deletes a limit or a work.
fn write(cell: &mut Cell, name: &str, count: u32, second: u8) -> Reply {
    let kind = [Kind::Limit, Kind::Work][usize::from(second % 2)];
    let record = cell.records(kind).into_iter().find(|record| record.name == name);
    let version = record.map_or(0, |record| record.version);
    match (kind, count % 4) {
        (kind, 0) => cell.delete(kind, name, version),
        (Kind::Limit, _) => cell.limit(name, version, count * 3),
        _ => cell.put(
            name,
            version,
            work(name, Policy::Batch, 4, second.is_multiple_of(4)),
        ),
    }
}

/// State of the previous step that the invariants are checked against.
#[derive(Default)]
struct Observer {
    outcomes: BTreeMap<(WorkName, u64), Vec<Option<TaskOutcome>>>,
    totals: BTreeMap<TeamName, u32>,
    /// Last version of each record and whether the record exists.
    versions: BTreeMap<(Kind, String), (u64, bool)>,
    workers: BTreeMap<WorkerName, (Epoch, Option<SessionId>)>,
}

impl Observer {
    fn check(&mut self, cell: &Cell, reply: &Reply) {
        let status = cell.status();
        self.check_owners(&status);
        self.check_tokens(&status, cell);
        self.check_versions(cell, reply);
        self.check_works(&cell.ledger);
    }

    fn check_owners(&mut self, status: &LedgerStatus) {
        let live = status.sessions.iter().filter(|state| !state.ended);
        let live: BTreeSet<SessionId> = live.map(|state| state.session).collect();
        for entry in &status.workers {
            let now = (entry.epoch, entry.owner);
            let before = self.workers.insert(entry.announcement.name.clone(), now);
            let (epoch, owner) = before.unwrap_or_default();
            assert!(epoch <= entry.epoch, "an epoch decreased");
            assert!(
                entry.owner.is_none_or(|owner| live.contains(&owner)),
                "a worker is owned by an ended session"
            );
            assert!(
                entry.owner.is_none() || owner.is_none() || now == (epoch, owner),
                "the owner or epoch of an assigned worker changed"
            );
            assert!(
                entry.owner.is_none() || owner.is_some() || epoch < entry.epoch,
                "an epoch was used twice"
            );
            assert!(!entry.fenced || entry.owner.is_some());
        }
    }

    /// Checks that the sum of a team's tokens does not exceed the limit. After the limit was
    /// lowered, a larger sum is permitted but must not grow.
    fn check_tokens(&mut self, status: &LedgerStatus, cell: &Cell) {
        let mut totals = BTreeMap::new();
        for tokens in &status.tokens {
            *totals.entry(tokens.team.clone()).or_insert(0) += tokens.tokens;
        }
        let limit = |team: &TeamName| {
            let limits = cell.records(Kind::Limit).into_iter();
            limits.map(|record| record.spec).find_map(|spec| match spec {
                Spec::Limit(limit) if limit.team == *team => Some(limit.max_running),
                _ => None,
            })
        };
        for (team, total) in &totals {
            let before = self.totals.get(team).copied().unwrap_or(0);
            assert!(
                *total <= limit(team).unwrap_or(0).max(before),
                "{total} tokens of {team}"
            );
        }
        self.totals = totals;
    }

    fn check_versions(&mut self, cell: &Cell, reply: &Reply) {
        let mut versions = self.versions.clone();
        versions.values_mut().for_each(|known| known.1 = false);
        for record in [cell.records(Kind::Limit), cell.records(Kind::Work)].concat() {
            let key = (record.kind(), record.name.to_string());
            let (last, exists) = self.versions.get(&key).copied().unwrap_or_default();
            let is_same = exists && record.version == last;
            assert!(is_same || record.version > last, "a version was used twice");
            versions.insert(key, (record.version, true));
        }
        self.versions = versions;
        for sent in &cell.changes {
            if let Change::RecordWritten(record) = &sent.change {
                assert_eq!(
                    *reply,
                    Reply::Written {
                        version: record.version
                    }
                );
            }
        }
    }

    fn check_works(&mut self, ledger: &Ledger) {
        for name in NAMES.map(WorkName::new) {
            if let QueryReply::Work(Some(work)) = ledger.query(&Query::Work(name.clone())) {
                let outcomes = work.1.outcomes;
                let before = self.outcomes.insert((name, work.0.version), outcomes.clone());
                for (before, after) in before.iter().flatten().zip(&outcomes) {
                    assert!(before.is_none() || before == after, "a task ended twice");
                }
            }
        }
    }
}

fn check(property: impl Testable) {
    let random = Gen::from_size_and_seed(250, 11);
    QuickCheck::new().rng(random).tests(400).quickcheck(property);
}

fn run(cell: &mut Cell, steps: &[Step]) -> Vec<(Reply, Vec<fuchsiatack_ledger::AddressedChange>)> {
    let step = |step: &Step| (apply(cell, *step), cell.changes.clone());
    steps.iter().map(step).collect()
}

fn start() -> Cell {
    let mut cell = Cell::default();
    for name in NAMES {
        cell.limit(name, 0, 9);
        cell.put(name, 0, work(name, Policy::Batch, 4, name != "red"));
        cell.open(name);
    }
    cell
}

/// Guards against a sequence of commands that breaks an invariant of the ledger.
#[test]
fn invariants_hold_after_every_command() {
    fn property(steps: Vec<Step>) {
        let mut cell = start();
        let mut observer = Observer::default();
        for step in steps {
            let reply = apply(&mut cell, step);
            observer.check(&cell, &reply);
        }
    }
    check(property as fn(Vec<Step>));
}

/// Guards against a member that diverges from the others after a restart from a snapshot.
#[test]
fn a_snapshot_restores_the_state_and_its_later_behaviour() {
    fn property(steps: Vec<Step>, later: Vec<Step>) {
        let mut cell = start();
        run(&mut cell, &steps);
        let bytes = postcard::to_allocvec(&cell.ledger).unwrap();
        let mut restored = cell.clone();
        restored.ledger = postcard::from_bytes(&bytes).unwrap();

        assert!(restored.ledger == cell.ledger);
        assert_eq!(run(&mut restored, &later), run(&mut cell, &later));
        let bytes = postcard::to_allocvec(&cell.ledger).unwrap();
        assert_eq!(bytes, postcard::to_allocvec(&restored.ledger).unwrap());
    }
    check(property as fn(Vec<Step>, Vec<Step>));
}

/// Guards against a panic of a member on a corrupt snapshot or command.
#[test]
fn arbitrary_bytes_never_panic_the_decoders() {
    fn property(bytes: Vec<u8>, steps: Vec<Step>, position: usize, value: u8) {
        let _ = postcard::from_bytes::<Ledger>(&bytes);
        if let Ok(command) = postcard::from_bytes::<Command>(&bytes) {
            Ledger::default().apply(LogIndex(1), command);
        }
        let mut cell = start();
        run(&mut cell, &steps[..steps.len().min(20)]);
        let mut snapshot = postcard::to_allocvec(&cell.ledger).unwrap();
        let length = snapshot.len();
        snapshot[position % length] = value;
        let _ = postcard::from_bytes::<Ledger>(&snapshot);
    }
    check(property as fn(Vec<u8>, Vec<Step>, usize, u8));
}
