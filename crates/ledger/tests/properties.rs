//! Invariants over random command sequences.

mod support;

use {
    fuchsiatack_ledger::{
        Addressed, Change, Command, DaemonInfo, EndReason, Ledger, LedgerStatus, Query, QueryReply, Reply,
    },
    fuchsiatack_model::{
        Epoch, LogIndex, Policy, SessionId, TaskOutcome, TeamName, WorkName, WorkTask, WorkerName,
    },
    fuchsiatack_records::{Kind, Record, Spec},
    quickcheck::{Arbitrary, Gen, QuickCheck, Testable},
    std::collections::{BTreeMap, BTreeSet},
    support::{Cell, announcement, answer, daemon, journal_key, task},
};

const NAMES: [&str; 3] = ["red", "blue", "green"];

/// One step; its numbers select from what exists when it is applied.
#[derive(Clone, Debug)]
struct Step {
    action: u8,
    count: u32,
    first: usize,
    second: usize,
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        Self {
            action: u8::arbitrary(gen_) % 20,
            count: u32::arbitrary(gen_) % 12,
            first: usize::arbitrary(gen_) % 64,
            second: usize::arbitrary(gen_) % 64,
        }
    }
}

impl Step {
    fn name(&self) -> &'static str {
        NAMES[self.first % NAMES.len()]
    }

    /// Mostly a session that is known, sometimes one that is not.
    fn session(&self, status: &LedgerStatus) -> SessionId {
        let sessions = &status.sessions;
        sessions
            .get(self.second % (sessions.len() + 1))
            .map_or(SessionId(1), |session| session.session)
    }

    fn epoch(&self, status: &LedgerStatus, worker: &WorkerName) -> Epoch {
        let known = status
            .workers
            .iter()
            .find(|entry| entry.announcement.name == *worker);
        let epoch = known.map_or(0, |entry| entry.epoch.0);
        Epoch(epoch.saturating_sub(u64::from(self.count == 11)))
    }

    fn command(&self, status: &LedgerStatus) -> Command {
        let session = self.session(status);
        let team = TeamName::new(self.name());
        let work = WorkName::new(self.name());
        let worker = WorkerName::new(["w1", "w2", "w3", "w4"][self.first % 4]);
        let tasks: Vec<u32> = (0..self.count % 4).collect();
        let epoch = self.epoch(status, &worker);
        match self.action {
            0 => Command::OpenSession(self.daemon()),
            1 => Command::EndSession {
                reason: EndReason::Expired,
                session,
            },
            2 | 3 => Command::RegisterWorker(announcement(worker.as_str(), "dc-1", "rack")),
            4..=6 => Command::AssignWorker { session, worker },
            7..=9 => {
                let count = |team: &str| fuchsiatack_ledger::TeamCount {
                    count: self.count / 2,
                    team: team.into(),
                };
                Command::WorkerFenced {
                    epoch,
                    running: NAMES.map(count).to_vec(),
                    worker,
                    work_tasks: self.tasks(),
                }
            }
            10 => Command::WorkerLost { epoch, worker },
            11 => Command::ReleaseWorker { session, worker },
            12 | 13 => Command::GrantTokens {
                session,
                team,
                tokens: self.count,
            },
            14 => Command::ReturnTokens {
                session,
                team,
                tokens: self.count,
            },
            15 | 16 => Command::AssignTasks { session, tasks, work },
            17 => Command::FinishTask {
                outcome: TaskOutcome::Done,
                session,
                task: task(self.name(), self.count % 4),
            },
            18 => Command::ReturnTasks { session, tasks, work },
            _ if self.count.is_multiple_of(3) => Command::JournalStart {
                body_hash: 1,
                key: journal_key(self.name()),
                session,
                unix_ms: 1,
            },
            _ if self.count % 3 == 1 => Command::JournalFinish {
                answer: answer(self.second, 5),
                key: journal_key(self.name()),
                session,
            },
            _ => Command::ExpireJournal {
                before_unix_ms: u64::from(self.count),
            },
        }
    }

    fn daemon(&self) -> DaemonInfo {
        daemon(["a", "b", "c"][self.first % 3], "dc-1", 1)
    }

    fn tasks(&self) -> Vec<WorkTask> {
        (0..self.count % 3)
            .map(|number| task(self.name(), number))
            .collect()
    }

    /// Writes a limit or a work, or deletes one.
    fn write(&self, cell: &mut Cell) -> Reply {
        let name = self.name();
        let kind = if self.second.is_multiple_of(2) {
            Kind::Limit
        } else {
            Kind::Work
        };
        let version = version_of(&cell.ledger, kind, name);
        match (kind, self.count % 4) {
            (kind, 0) => cell.delete(kind, name, version),
            (Kind::Limit, _) => cell.limit(name, version, self.count * 3),
            _ => cell.put(
                name,
                version,
                support::work(name, Policy::Batch, 4, self.count.is_multiple_of(2)),
            ),
        }
    }
}

/// What the invariants compare from one step to the next.
#[derive(Default)]
struct Observer {
    epochs: BTreeMap<WorkerName, Epoch>,
    limits: BTreeMap<TeamName, u32>,
    outcomes: BTreeMap<(WorkName, u64), Vec<Option<TaskOutcome>>>,
    totals: BTreeMap<TeamName, u32>,
    versions: BTreeSet<(Kind, String, u64)>,
}

impl Observer {
    fn check(&mut self, cell: &Cell, is_write: bool, reply: &Reply) {
        let status = cell.status();
        self.check_owners(&status);
        self.check_tokens(&status, &cell.ledger);
        self.check_works(&cell.ledger);
        if is_write && matches!(reply, Reply::Written { .. }) {
            self.check_versions(&cell.changes, &cell.ledger);
        }
    }

    fn check_owners(&mut self, status: &LedgerStatus) {
        let live: BTreeSet<SessionId> = status
            .sessions
            .iter()
            .filter(|state| !state.ended)
            .map(|state| state.session)
            .collect();
        let mut owned_epochs = BTreeSet::new();
        for entry in &status.workers {
            let before = self.epochs.insert(entry.announcement.name.clone(), entry.epoch);
            assert!(before.is_none_or(|before| before <= entry.epoch), "an epoch fell");
            if let Some(owner) = entry.owner {
                assert!(live.contains(&owner), "the owner of a worker has ended");
                assert!(owned_epochs.insert(entry.epoch), "two assignments have one epoch");
            }
            assert!(!entry.fenced || entry.owner.is_some());
        }
    }

    /// The sum may be above a lowered limit, but then it must not grow.
    fn check_tokens(&mut self, status: &LedgerStatus, ledger: &Ledger) {
        let mut totals = BTreeMap::new();
        for tokens in &status.tokens {
            *totals.entry(tokens.team.clone()).or_insert(0) += tokens.tokens;
        }
        self.limits = limits(ledger);
        for (team, total) in &totals {
            let limit = self.limits.get(team).copied().unwrap_or(0);
            let before = self.totals.get(team).copied().unwrap_or(0);
            assert!(
                *total <= limit.max(before),
                "{total} tokens of {team} above {limit}"
            );
        }
        self.totals = totals;
    }

    fn check_versions(&mut self, changes: &[Addressed], ledger: &Ledger) {
        for sent in changes {
            if let Change::RecordWritten(record) = &sent.change {
                self.note_version(record);
            }
        }
        for record in records(ledger, Kind::Work) {
            self.versions
                .insert((Kind::Work, record.name.to_string(), record.version));
        }
    }

    fn note_version(&mut self, record: &Record) {
        let key = (record.kind(), record.name.to_string(), record.version);
        assert!(self.versions.insert(key), "a version was used twice");
    }

    fn check_works(&mut self, ledger: &Ledger) {
        for name in NAMES {
            if let QueryReply::Work(Some(work)) = ledger.query(&Query::Work(WorkName::new(name))) {
                let (record, status) = *work;
                let key = (WorkName::new(name), record.version);
                let before = self
                    .outcomes
                    .insert(key, status.outcomes.clone())
                    .unwrap_or_default();
                for (before, after) in before.iter().zip(&status.outcomes) {
                    assert!(before.is_none() || before == after, "a task ended twice");
                }
            }
        }
    }
}

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(250, 11))
        .tests(400)
        .quickcheck(property);
}

fn limits(ledger: &Ledger) -> BTreeMap<TeamName, u32> {
    let limit = |record: Record| match record.spec {
        Spec::Limit(limit) => (limit.team, limit.max_running),
        spec => panic!("not a limit: {spec:?}"),
    };
    records(ledger, Kind::Limit).into_iter().map(limit).collect()
}

fn records(ledger: &Ledger, kind: Kind) -> Vec<Record> {
    match ledger.query(&Query::Records(kind)) {
        QueryReply::Records(records) => records,
        reply => panic!("not records: {reply:?}"),
    }
}

fn run(cell: &mut Cell, steps: &[Step], mut observe: impl FnMut(&Cell, bool, &Reply)) {
    for step in steps {
        let is_write = step.action == 19 && step.second % 3 > 0;
        let reply = match is_write {
            false => cell.apply(step.command(&cell.status())),
            true => step.write(cell),
        };
        observe(cell, is_write, &reply);
    }
}

fn start() -> Cell {
    let mut cell = Cell::default();
    for name in NAMES {
        cell.limit(name, 0, 9);
        cell.put(name, 0, support::work(name, Policy::Batch, 4, name != "red"));
        cell.open(name);
    }
    cell
}

fn version_of(ledger: &Ledger, kind: Kind, name: &str) -> u64 {
    let record = records(ledger, kind)
        .into_iter()
        .find(|record| record.name == name);
    record.map_or(0, |record| record.version)
}

/// Guards against any order of commands that breaks an invariant of the ledger.
#[test]
fn invariants_hold_after_every_command() {
    fn property(steps: Vec<Step>) -> bool {
        let mut cell = start();
        let mut observer = Observer::default();
        run(&mut cell, &steps, |cell, is_write, reply| {
            observer.check(cell, is_write, reply)
        });
        true
    }
    check(property as fn(Vec<Step>) -> bool);
}

/// Guards against members that differ after one of them was started from a snapshot.
#[test]
fn a_snapshot_restores_the_state_and_its_later_behaviour() {
    fn property(steps: Vec<Step>, later: Vec<Step>) -> bool {
        let mut cell = start();
        run(&mut cell, &steps, |_, _, _| ());
        let bytes = postcard::to_allocvec(&cell.ledger).unwrap();
        let mut restored = cell.clone();
        restored.ledger = postcard::from_bytes(&bytes).unwrap();
        assert!(restored.ledger == cell.ledger);

        let mut replies = Vec::new();
        run(&mut cell, &later, |cell, _, reply| {
            replies.push((reply.clone(), cell.changes.clone()))
        });
        let mut replies = replies.into_iter();
        run(&mut restored, &later, |cell, _, reply| {
            assert_eq!(replies.next(), Some((reply.clone(), cell.changes.clone())));
        });
        let bytes = postcard::to_allocvec(&cell.ledger).unwrap();
        bytes == postcard::to_allocvec(&restored.ledger).unwrap()
    }
    check(property as fn(Vec<Step>, Vec<Step>) -> bool);
}

/// Guards against a damaged snapshot or command that stops a member.
#[test]
fn arbitrary_bytes_never_panic_the_decoders() {
    fn property(bytes: Vec<u8>, steps: Vec<Step>, position: usize, value: u8) -> bool {
        let _ = postcard::from_bytes::<Ledger>(&bytes);
        if let Ok(command) = postcard::from_bytes::<Command>(&bytes) {
            Ledger::default().apply(LogIndex(1), command);
        }
        let mut cell = start();
        run(&mut cell, &steps[..steps.len().min(20)], |_, _, _| ());
        let mut snapshot = postcard::to_allocvec(&cell.ledger).unwrap();
        let length = snapshot.len();
        snapshot[position % length] = value;
        let _ = postcard::from_bytes::<Ledger>(&snapshot);
        true
    }
    check(property as fn(Vec<u8>, Vec<Step>, usize, u8) -> bool);
}
