//! Helpers that build ledgers, commands and records for tests.

#![allow(dead_code)]

use {
    fuchsiatack_ledger::{
        AddressedChange, Applied, Audience, Change, Command, DaemonInfo, EndReason, JournalKey, Ledger,
        LedgerStatus, OperationId, Query, QueryReply, RecordAction, RecordWrite, Reply, StoredResponse,
        TeamCount,
    },
    fuchsiatack_model::{
        Epoch, LogIndex, Outcome, Policy, Resources, SessionId, TaskOutcome, TeamName, WorkName, WorkSpec,
        WorkStatus, WorkTask, WorkerAnnouncement, WorkerName,
    },
    fuchsiatack_records::{Kind, LimitSpec, Record, ShareSpec, Spec, TeamSpec},
    quickcheck::{Arbitrary, Gen},
    smol_str::SmolStr,
};

/// A uniformly distributed byte. The distribution of `u8` prefers a few values, so most kinds of
/// steps would rarely occur.
#[derive(Clone, Copy, Debug)]
pub struct Byte(pub u8);

impl Arbitrary for Byte {
    fn arbitrary(random: &mut Gen) -> Self {
        let bytes: [u8; 256] = std::array::from_fn(|index| index as u8);
        Self(*random.choose(&bytes).unwrap())
    }
}

/// A ledger with the log index of its last command.
#[derive(Clone, Default)]
pub struct Cell {
    pub changes: Vec<AddressedChange>,
    pub index: u64,
    pub ledger: Ledger,
    operation: u128,
}

impl Cell {
    pub fn apply(&mut self, command: Command) -> Reply {
        self.index += 1;
        let Applied { changes, reply } = self.ledger.apply(LogIndex(self.index), command);
        self.changes = changes;
        reply
    }

    pub fn open(&mut self, name: &str) -> SessionId {
        self.open_with(daemon(name, "dc-1", 1))
    }

    pub fn open_with(&mut self, daemon: DaemonInfo) -> SessionId {
        match self.apply(Command::OpenSession(daemon)) {
            Reply::SessionOpened(session) => session,
            reply => panic!("the session was not opened: {reply:?}"),
        }
    }

    pub fn register(&mut self, name: &str) -> Reply {
        self.apply(Command::RegisterWorker(announcement(name, "dc-1", "rack-1")))
    }

    pub fn assign(&mut self, worker: &str, session: SessionId) -> Epoch {
        let worker = WorkerName::new(worker);
        match self.apply(Command::AssignWorker { session, worker }) {
            Reply::Assigned(epoch) => epoch,
            reply => panic!("the worker was not assigned: {reply:?}"),
        }
    }

    pub fn fence(&mut self, worker: &str, epoch: Epoch, running: &[(&str, u32)]) -> Reply {
        self.fence_with_tasks(worker, epoch, running, &[])
    }

    pub fn fence_with_tasks(
        &mut self,
        worker: &str,
        epoch: Epoch,
        running: &[(&str, u32)],
        work_tasks: &[WorkTask],
    ) -> Reply {
        let count = |(team, count): &(&str, u32)| TeamCount {
            count: *count,
            team: TeamName::new(team),
        };
        self.apply(Command::WorkerFenced {
            epoch,
            running: running.iter().map(count).collect(),
            worker: WorkerName::new(worker),
            work_tasks: work_tasks.to_vec(),
        })
    }

    /// Registers a worker, assigns it to the session and fences it with nothing running.
    pub fn own(&mut self, worker: &str, session: SessionId) -> Epoch {
        self.register(worker);
        let epoch = self.assign(worker, session);
        self.fence(worker, epoch, &[]);
        epoch
    }

    pub fn grant(&mut self, session: SessionId, team: &str, tokens: u32) -> Reply {
        let team = TeamName::new(team);
        self.apply(Command::GrantTokens {
            session,
            team,
            tokens,
        })
    }

    pub fn write(&mut self, author: &str, action: RecordAction) -> Reply {
        self.operation += 1;
        self.apply(Command::WriteRecord(RecordWrite {
            action,
            author: author.into(),
            operation: OperationId(self.operation),
        }))
    }

    pub fn put(&mut self, name: &str, version: u64, spec: Spec) -> Reply {
        self.write("ada", put(name, version, spec))
    }

    pub fn delete(&mut self, kind: Kind, name: &str, version: u64) -> Reply {
        let name = name.into();
        self.write("ben", RecordAction::Delete { kind, name, version })
    }

    pub fn limit(&mut self, team: &str, version: u64, max_running: u32) -> Reply {
        let team = TeamName::new(team);
        self.put(
            team.clone().as_str(),
            version,
            Spec::Limit(LimitSpec { max_running, team }),
        )
    }

    pub fn share(&mut self, team: &str, weight_millis: u32) -> Reply {
        let team = TeamName::new(team);
        self.put(
            team.clone().as_str(),
            0,
            Spec::Share(ShareSpec { team, weight_millis }),
        )
    }

    pub fn start(&mut self, request: &str, session: SessionId) -> Reply {
        self.apply(Command::JournalStart {
            body_hash: 7,
            key: journal_key(request),
            session,
            unix_ms: 1_000,
        })
    }

    /// Returns a command with a new sequence number, so that it is not taken for a resend.
    pub fn return_tokens(&self, session: SessionId, team: &str, tokens: u32) -> Command {
        Command::ReturnTokens {
            sequence: self.index + 1,
            session,
            team: team.into(),
            tokens,
        }
    }

    pub fn finish(&mut self, request: &str, session: SessionId, body_bytes: usize) -> Reply {
        self.apply(Command::JournalFinish {
            response: stored_response(body_bytes, 2_000),
            key: journal_key(request),
            session,
        })
    }

    pub fn tokens(&self, session: SessionId, team: &str) -> u32 {
        let tokens = self.status().tokens;
        tokens
            .iter()
            .filter(|status| status.session == session && status.team.as_str() == team)
            .map(|status| status.tokens)
            .sum()
    }

    pub fn records(&self, kind: Kind) -> Vec<Record> {
        match self.ledger.query(&Query::Records(kind)) {
            QueryReply::Records(records) => records,
            reply => panic!("not records: {reply:?}"),
        }
    }

    pub fn status(&self) -> LedgerStatus {
        match self.ledger.query(&Query::Status) {
            QueryReply::Status(status) => *status,
            reply => panic!("not a status: {reply:?}"),
        }
    }

    pub fn work(&self, name: &str) -> WorkStatus {
        match self.ledger.query(&Query::Work(WorkName::new(name))) {
            QueryReply::Work(Some(work)) => work.1,
            reply => panic!("there is no work {name}: {reply:?}"),
        }
    }

    /// Returns the changes of the last command that were sent to this session only.
    pub fn sent_to(&self, session: SessionId) -> Vec<&Change> {
        let is_receiver = |addressed: &&AddressedChange| addressed.audience == Audience::Session(session);
        self.changes
            .iter()
            .filter(is_receiver)
            .map(|addressed| &addressed.change)
            .collect()
    }
}

pub fn assign_tasks(session: SessionId, work: &str, tasks: &[u32]) -> Command {
    let (tasks, work) = (tasks.to_vec(), work.into());
    Command::AssignTasks { session, tasks, work }
}

pub fn end(session: SessionId) -> Command {
    let reason = EndReason::Expired;
    Command::EndSession { reason, session }
}

pub fn finish_task(session: SessionId, work: &str, number: u32, outcome: TaskOutcome) -> Command {
    Command::FinishTask {
        outcome,
        session,
        task: task(work, number),
    }
}

pub fn lost(worker: &str, epoch: Epoch) -> Command {
    let worker = worker.into();
    Command::WorkerLost { epoch, worker }
}

pub fn release(worker: &str, session: SessionId) -> Command {
    let worker = worker.into();
    Command::ReleaseWorker { session, worker }
}

pub fn return_tasks(session: SessionId, work: &str, tasks: &[u32]) -> Command {
    let (tasks, work) = (tasks.to_vec(), work.into());
    Command::ReturnTasks { session, tasks, work }
}

pub fn announcement(name: &str, data_center: &str, rack: &str) -> WorkerAnnouncement {
    WorkerAnnouncement {
        address: "127.0.0.1:9000".into(),
        capacity: Resources {
            accelerators: 0,
            connections: 64,
            memory_bytes: 128_000_000_000,
            processors_millis: 32_000,
            slots: 8,
        },
        class: None,
        data_center: data_center.into(),
        leaving: false,
        name: name.into(),
        rack: rack.into(),
    }
}

pub fn stored_response(body_bytes: usize, unix_ms: u64) -> StoredResponse {
    StoredResponse {
        body: vec![1; body_bytes],
        content_type: None,
        outcome: Outcome::Done,
        status: 200,
        truncated: false,
        unix_ms,
    }
}

pub fn daemon(name: &str, data_center: &str, weight: u32) -> DaemonInfo {
    DaemonInfo {
        caller_address: "127.0.0.1:8080".parse().unwrap(),
        data_center: data_center.into(),
        name: name.into(),
        peer_address: "127.0.0.1:8082".parse().unwrap(),
        weight,
    }
}

pub fn journal_key(request: &str) -> JournalKey {
    JournalKey {
        request: request.into(),
        team: "red".into(),
    }
}

pub fn put(name: &str, version: u64, spec: Spec) -> RecordAction {
    let name: SmolStr = name.into();
    RecordAction::Put(Box::new(Record { name, spec, version }))
}

pub fn task(work: &str, number: u32) -> WorkTask {
    let work = work.into();
    WorkTask { number, work }
}

pub fn team(title: &str) -> Spec {
    Spec::Team(TeamSpec { title: title.into() })
}

pub fn work(team: &str, policy: Policy, tasks: u32, idempotent: bool) -> Spec {
    Spec::Work(WorkSpec {
        body: "{}".into(),
        demand: Resources::default(),
        idempotent,
        policy,
        tasks,
        team: team.into(),
    })
}
