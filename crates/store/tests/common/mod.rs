//! Cells of store members on loopback, for tests.

// Not every test file uses all functions.
#![allow(dead_code)]

use {
    fuchsiatack_consensus::{Member, MemberRole, Role, disk::DiskFaults},
    fuchsiatack_jobs::{CellReport, PlannerSettings},
    fuchsiatack_ledger::{Command, OperationId, RecordAction, RecordWrite, Reply},
    fuchsiatack_model::LogIndex,
    fuchsiatack_records::{Record, Spec, StoreMemberSpec},
    fuchsiatack_store::{InitialMember, JobsSettings, Membership, Store, StoreSettings, WorkMetrics},
    fuchsiatack_wire::{CellSecret, Frame, PeerCaller, PeerServer, Request, Response},
    std::{fs::File, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    tempfile::TempDir,
    tokio::{
        sync::{
            mpsc::{self, unbounded_channel},
            watch,
        },
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Maximum time to wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// One running member.
pub struct Running {
    server: JoinHandle<()>,
    pub store: Store,
}

/// Store members on loopback with their data folders.
pub struct Cell {
    pub members: Vec<Option<Running>>,
    folder: TempDir,
    /// Whether members have a job planner.
    has_planner: bool,
    /// Whether members join by request.
    is_joining: bool,
    listed: Vec<InitialMember>,
    /// Whether members may form a cell.
    may_form: bool,
}

impl Cell {
    /// Binds a port for each member and starts all of them.
    pub async fn start(size: usize) -> Self {
        Self::start_with(vec![DiskFaults::default(); size], false, false).await
    }

    /// Like `start`, with members whose leader runs the job planner. Its effects are dropped.
    pub async fn start_with_planner(size: usize) -> Self {
        Self::start_with(vec![DiskFaults::default(); size], false, true).await
    }

    /// Like `start`, with members that join by request. They can form the cell only at this start.
    pub async fn start_joining(size: usize) -> Self {
        let mut cell = Self::start_with(vec![DiskFaults::default(); size], true, false).await;
        cell.may_form = false;
        cell
    }

    /// Starts a member for each of the given disk faults; see `start`.
    pub async fn start_with_faults(faults: Vec<DiskFaults>) -> Self {
        Self::start_with(faults, false, false).await
    }

    async fn start_with(faults: Vec<DiskFaults>, is_joining: bool, has_planner: bool) -> Self {
        let mut servers = Vec::new();
        for _ in &faults {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            servers.push(PeerServer::bind(address, secret()).await.unwrap());
        }
        let listed = servers.iter().enumerate().map(|(member, server)| InitialMember {
            address: server.local_address().unwrap(),
            name: name(member).into(),
        });
        let mut cell = Self {
            listed: listed.collect(),
            folder: tempfile::tempdir().unwrap(),
            has_planner,
            is_joining,
            may_form: true,
            members: Vec::new(),
        };
        for (member, (server, faults)) in servers.into_iter().zip(faults).enumerate() {
            let running = cell.run(member, server, faults);
            cell.members.push(Some(running));
        }
        cell
    }

    fn run(&self, member: usize, server: PeerServer, faults: DiskFaults) -> Running {
        let (folder, listed) = (self.data_folder(member), self.listed.clone());
        let mut settings = StoreSettings::new(name(member), folder, listed, secret());
        settings.log_store.faults = faults;
        settings.snapshot_entries = 50;
        if self.is_joining {
            settings.membership = Membership::Joining {
                address: self.listed[member].address,
                may_form: self.may_form,
            };
        }
        if self.has_planner {
            settings.jobs = Some(JobsSettings {
                effects: unbounded_channel().0,
                log_events: unbounded_channel().0,
                planner: PlannerSettings::default(),
                reports: watch::channel(CellReport::default()).0,
                work: WorkMetrics::default(),
            });
        }
        let store = Store::start(settings).unwrap();
        let server = tokio::spawn(server.serve(Arc::new(store.clone())));
        Running { server, store }
    }

    pub fn data_folder(&self, member: usize) -> PathBuf {
        self.folder.path().join(name(member))
    }

    /// Ends a member without a planned stop and waits until its data folder is unlocked.
    pub async fn crash(&mut self, member: usize) {
        let running = self.members[member].take().unwrap();
        running.server.abort();
        drop(running);
        let lock = File::open(self.data_folder(member).join("lock")).unwrap();
        wait_for("the lock", || lock.try_lock().ok()).await;
    }

    /// Restarts an ended member on its former address.
    pub async fn restart(&mut self, member: usize, faults: DiskFaults) {
        let address = self.listed[member].address;
        let started = Instant::now();
        let server = loop {
            match PeerServer::bind(address, secret()).await {
                Ok(server) => break server,
                Err(error) => assert!(started.elapsed() < WAIT_TIMEOUT, "cannot bind: {error}"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        self.members[member] = Some(self.run(member, server, faults));
    }

    /// Ends a member and restarts it on its former address with an empty disk.
    pub async fn restart_with_empty_disk(&mut self, member: usize) {
        self.crash(member).await;
        std::fs::remove_dir_all(self.data_folder(member)).unwrap();
        self.restart(member, DiskFaults::default()).await;
    }

    /// Starts a further member on a new address. It knows the members that were started before.
    pub async fn add(&mut self) -> usize {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = PeerServer::bind(address, secret()).await.unwrap();
        let member = self.members.len();
        self.listed.push(InitialMember {
            address: server.local_address().unwrap(),
            name: name(member).into(),
        });
        let running = self.run(member, server, DiskFaults::default());
        self.members.push(Some(running));
        member
    }

    /// Waits until a member is a voter in the leader's list under its current identity.
    pub async fn becomes_voter(&self, member: usize) {
        let identity = self.store(member).status().identity;
        let leader = self.leader().await;
        wait_for("the vote", || {
            let members = self.store(leader).status().members;
            let is_voter = |listed: &Member| listed.id == identity && listed.role == MemberRole::Voter;
            members.iter().any(is_voter).then_some(())
        })
        .await;
    }

    pub fn store(&self, member: usize) -> &Store {
        &self.members[member].as_ref().unwrap().store
    }

    /// Waits until a running member leads and has committed an entry, and returns its position.
    pub async fn leader(&self) -> usize {
        let leads = |member: &Option<Running>| {
            let status = member.as_ref().map(|running| running.store.status());
            status.is_some_and(|status| status.role == Role::Leader && status.commit > LogIndex(0))
        };
        wait_for("a leader", || self.members.iter().position(leads)).await
    }

    /// Proposes a no-op to the leader until one is applied, and returns its index.
    pub async fn propose(&self) -> LogIndex {
        self.propose_command(Command::Noop).await.0
    }

    /// Proposes a command to the leader until it is applied, and returns its index and reply.
    pub async fn propose_command(&self, command: Command) -> (LogIndex, Reply) {
        let started = Instant::now();
        loop {
            let request = Request::Propose(Box::new(command.clone()));
            match self.call(request).await {
                Response::Proposed { index, reply } => return (index, reply),
                other => assert!(started.elapsed() < WAIT_TIMEOUT, "not applied: {other:?}"),
            }
        }
    }

    /// Makes a call to the leader.
    pub async fn call(&self, request: Request) -> Response {
        let leader = self.leader().await;
        self.store(leader).call(caller(16).0, request).await
    }

    /// Writes a `store_member` record with the current identity of a member.
    pub async fn replace(&self, member: usize) {
        let spec = StoreMemberSpec {
            address: self.listed[member].address,
            identity: self.store(member).status().identity.0,
        };
        let record = Record {
            name: name(member).into(),
            spec: Spec::StoreMember(spec),
            version: 0,
        };
        let (_, reply) = self.propose_command(write(record, 1)).await;
        assert_eq!(reply, Reply::Written { version: 1 });
    }

    /// Waits until all running members have applied the entry at `index`.
    pub async fn applied_everywhere(&self, index: LogIndex) {
        wait_for("all members to apply", || {
            let mut running = self.members.iter().flatten();
            running
                .all(|member| member.store.status().applied >= index)
                .then_some(())
        })
        .await;
    }
}

/// Returns the command that writes a record.
pub fn write(record: Record, operation: u128) -> Command {
    Command::WriteRecord(RecordWrite {
        action: RecordAction::Put(Box::new(record)),
        author: "test".into(),
        operation: OperationId(operation),
    })
}

/// Returns a caller whose queue holds `queue` frames, and the receiver of the frames sent to it.
pub fn caller(queue: usize) -> (PeerCaller, mpsc::Receiver<Frame>) {
    let (sender, frames) = mpsc::channel(queue);
    (PeerCaller { frames: sender }, frames)
}

/// Polls until a condition holds.
pub async fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "waited too long for {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn name(member: usize) -> String {
    format!("store-{member}")
}

fn secret() -> CellSecret {
    CellSecret::new("store tests")
}
