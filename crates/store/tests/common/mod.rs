//! Builder of store cells on loopback.

// Each test file uses a part of it.
#![allow(dead_code)]

use {
    fuchsiatack_consensus::{Role, disk::DiskFaults},
    fuchsiatack_ledger::{Command, OperationId, RecordAction, RecordWrite, Reply},
    fuchsiatack_model::LogIndex,
    fuchsiatack_records::{Record, Spec, StoreMemberSpec},
    fuchsiatack_store::{InitialMember, Store, StoreSettings},
    fuchsiatack_wire::{CellSecret, Frame, PeerCaller, PeerServer, Request, Response},
    std::{fs::File, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    tempfile::TempDir,
    tokio::{
        sync::mpsc,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(30);

/// One running member.
pub struct Running {
    server: JoinHandle<()>,
    pub store: Store,
}

/// Members on loopback with their data folders.
pub struct Cell {
    pub members: Vec<Option<Running>>,
    folder: TempDir,
    listed: Vec<InitialMember>,
}

impl Cell {
    /// Binds a port for each member and starts all of them.
    pub async fn start(size: usize) -> Self {
        let mut servers = Vec::new();
        for _ in 0..size {
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
            members: Vec::new(),
        };
        for (member, server) in servers.into_iter().enumerate() {
            let running = cell.run(member, server, DiskFaults::default());
            cell.members.push(Some(running));
        }
        cell
    }

    fn run(&self, member: usize, server: PeerServer, faults: DiskFaults) -> Running {
        let (folder, listed) = (self.data_folder(member), self.listed.clone());
        let mut settings = StoreSettings::new(name(member), folder, listed, secret());
        settings.log_store.faults = faults;
        settings.snapshot_entries = 50;
        let store = Store::start(settings).unwrap();
        let server = tokio::spawn(server.serve(Arc::new(store.clone())));
        Running { server, store }
    }

    pub fn data_folder(&self, member: usize) -> PathBuf {
        self.folder.path().join(name(member))
    }

    /// Ends a member without a planned stop and waits until its folder is released.
    pub async fn crash(&mut self, member: usize) {
        let running = self.members[member].take().unwrap();
        running.server.abort();
        drop(running);
        let lock = File::open(self.data_folder(member).join("lock")).unwrap();
        wait_for("the lock", || lock.try_lock().ok()).await;
    }

    /// Starts an ended member again on its address.
    pub async fn restart(&mut self, member: usize, faults: DiskFaults) {
        let address = self.listed[member].address;
        let started = Instant::now();
        let server = loop {
            match PeerServer::bind(address, secret()).await {
                Ok(server) => break server,
                Err(error) => assert!(started.elapsed() < PATIENCE, "cannot bind: {error}"),
            }
            sleep(Duration::from_millis(20)).await;
        };
        self.members[member] = Some(self.run(member, server, faults));
    }

    pub fn store(&self, member: usize) -> &Store {
        &self.members[member].as_ref().unwrap().store
    }

    /// Waits until a running member leads and returns it.
    pub async fn leader(&self) -> usize {
        let leads = |member: &Option<Running>| {
            let status = member.as_ref().map(|running| running.store.status());
            status.is_some_and(|status| status.role == Role::Leader && status.commit > LogIndex(0))
        };
        wait_for("a leader", || self.members.iter().position(leads)).await
    }

    /// Proposes a no-op through whoever leads until one is applied.
    pub async fn propose(&self) -> LogIndex {
        self.propose_command(Command::Noop).await.0
    }

    /// Proposes a command through whoever leads until it is applied.
    pub async fn propose_command(&self, command: Command) -> (LogIndex, Reply) {
        let started = Instant::now();
        loop {
            let request = Request::Propose(Box::new(command.clone()));
            match self.call(request).await {
                Response::Proposed { index, reply } => return (index, reply),
                other => assert!(started.elapsed() < PATIENCE, "not applied: {other:?}"),
            }
        }
    }

    /// Makes a call to whoever leads.
    pub async fn call(&self, request: Request) -> Response {
        let leader = self.leader().await;
        self.store(leader).call(caller(16).0, request).await
    }

    /// Writes the `store_member` record that names the disk a member has now.
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

    /// Waits until all running members have applied an index.
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

/// Returns a caller with the frames that are sent back to it.
pub fn caller(queue: usize) -> (PeerCaller, mpsc::Receiver<Frame>) {
    let (pushes, frames) = mpsc::channel(queue);
    (PeerCaller { frames: pushes }, frames)
}

/// Polls until a condition holds.
pub async fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(started.elapsed() < PATIENCE, "waited too long for {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn name(member: usize) -> String {
    format!("store-{member}")
}

fn secret() -> CellSecret {
    CellSecret::new("store tests")
}
