//! Sessions and the store client against a fake store on loopback.

use {
    fuchsiatack_consensus::Envelope,
    fuchsiatack_ledger::{Change, Command, DaemonInfo, RenewalResponse, Reply},
    fuchsiatack_model::{DaemonName, DataCenter, LogIndex, SessionId, TeamName},
    fuchsiatack_records::{KeyDigest, KeySpec, Kind, Record, Spec},
    fuchsiatack_session::{
        CellClient, CellClientSettings, Session, SessionError, SessionEvent, SessionSettings,
    },
    fuchsiatack_wire::{
        CellSecret, Frame, Handler, NotLeader, PeerCaller, PeerClientSettings, PeerServer, Request, Response,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::mpsc, task::JoinHandle},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_millis(600);
const RENEWAL: Duration = Duration::from_millis(50);
const SESSION: SessionId = SessionId(5);

/// State that determines the responses of the fake store.
#[derive(Default)]
struct FakeState {
    /// Commit index of each renewal response.
    commit: u64,
    /// Number of calls that still fail.
    failures: u32,
    follower: Option<mpsc::Sender<Frame>>,
    /// Leader that every call is redirected to, if set.
    leader: Option<SocketAddr>,
    /// Number of sessions opened so far.
    opened: u64,
    /// Whether calls never get a response.
    silent: bool,
}

#[derive(Clone, Default)]
struct FakeStore(Arc<Mutex<FakeState>>);

impl FakeStore {
    fn with_state<T>(&self, access: impl FnOnce(&mut FakeState) -> T) -> T {
        access(&mut self.0.lock().expect("no test panics with the lock held"))
    }

    async fn push(&self, index: u64, reset: bool, changes: Vec<Change>) {
        let follower = self
            .with_state(|state| state.follower.clone())
            .expect("a follower is connected");
        follower
            .send(Frame::Push {
                changes,
                index: LogIndex(index),
                reset,
            })
            .await
            .expect("connection is open");
    }
}

impl Handler for FakeStore {
    async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        if self.with_state(|state| state.silent) {
            return std::future::pending().await;
        }
        if let Some(leader) = self.with_state(|state| state.leader) {
            return Response::NotLeader(NotLeader { leader: Some(leader) });
        }
        let fails = self.with_state(|state| {
            let fails = state.failures > 0;
            state.failures = state.failures.saturating_sub(1);
            fails
        });
        if fails {
            return Response::Failed {
                message: "leadership was lost".into(),
            };
        }
        match request {
            Request::Propose(command) => match *command {
                Command::OpenSession(_) => {
                    let opened = self.with_state(|state| {
                        state.opened += 1;
                        state.opened
                    });
                    let session = SESSION.0 + opened - 1;
                    proposed(session, Reply::SessionOpened(SessionId(session)))
                }
                _ => proposed(9, Reply::Applied),
            },
            Request::Follow { session, .. } => {
                self.with_state(|state| state.follower = Some(caller.frames));
                self.push(session.0, true, vec![joined(session)]).await;
                Response::Following
            }
            Request::Renew(_) => {
                let commit = LogIndex(self.with_state(|state| state.commit));
                Response::Renewed(RenewalResponse {
                    commit_index: commit,
                    fleet: Vec::new(),
                    release_workers: Vec::new(),
                    return_tokens: Vec::new(),
                })
            }
            _ => Response::Failed {
                message: "unexpected".into(),
            },
        }
    }

    fn handle_consensus(&self, _envelope: Envelope) {}
}

struct Fixture {
    address: SocketAddr,
    store: FakeStore,
    _server: JoinHandle<()>,
}

async fn start_store() -> Fixture {
    let secret = CellSecret::new("a shared secret");
    let server = PeerServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)), secret)
        .await
        .expect("binds");
    let address = server.local_address().expect("bound");
    let store = FakeStore::default();
    let server = tokio::spawn(server.serve(Arc::new(store.clone())));
    Fixture {
        address,
        store,
        _server: server,
    }
}

fn cell(members: Vec<SocketAddr>) -> CellClient {
    let secret = CellSecret::new("a shared secret");
    CellClient::new(CellClientSettings {
        attempt_limit: CellClientSettings::DEFAULT_ATTEMPT_LIMIT,
        members,
        peer: PeerClientSettings::default(),
        secret,
    })
}

fn session(members: Vec<SocketAddr>) -> (Session, mpsc::Receiver<SessionEvent>) {
    let settings = SessionSettings {
        lease: LEASE,
        renewal: RENEWAL,
        ..SessionSettings::new(daemon())
    };
    Session::start(settings, cell(members))
}

fn daemon() -> DaemonInfo {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    DaemonInfo {
        caller_address: address,
        data_center: DataCenter::new("north"),
        name: DaemonName::new("entry-1"),
        peer_address: address,
        weight: 1,
    }
}

fn joined(session: SessionId) -> Change {
    Change::DaemonJoined {
        daemon: daemon(),
        session,
    }
}

fn key(name: &str, secret: &str) -> Change {
    let spec = Spec::Key(KeySpec {
        digest: KeyDigest::of(secret),
        team: TeamName::new("alpha"),
    });
    Change::RecordWritten(Box::new(Record {
        name: name.into(),
        spec,
        version: 1,
    }))
}

async fn wait_until(condition: impl Fn() -> bool) {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reached)
        .await
        .expect("condition is reached in time");
}

/// Guards against a lease that is extended before the deletion of a key is applied.
#[tokio::test]
async fn lease_holds_only_once_the_commit_index_is_applied() {
    let fixture = start_store().await;
    fixture.store.with_state(|state| state.commit = 8);
    let (session, mut events) = session(vec![fixture.address]);
    let renewed = async { while !matches!(events.recv().await, Some(SessionEvent::Renewed(_))) {} };
    tokio::time::timeout(TEST_TIMEOUT, renewed)
        .await
        .expect("renewed");

    let before = session.has_valid_lease();
    fixture.store.push(8, false, Vec::new()).await;

    assert!(!before);
    wait_until(|| session.has_valid_lease()).await;
}

/// Guards against a daemon that accepts work although a network partition cuts it off.
#[tokio::test]
async fn lease_ends_in_silence_and_returns() {
    let fixture = start_store().await;
    let (session, _events) = session(vec![fixture.address]);
    wait_until(|| session.has_valid_lease()).await;

    fixture.store.with_state(|state| state.silent = true);

    wait_until(|| !session.has_valid_lease()).await;
    fixture.store.with_state(|state| state.silent = false);
    wait_until(|| session.has_valid_lease()).await;
    assert_eq!(session.id(), Some(SESSION));
}

/// Guards against a daemon that keeps using workers and tokens of a session that the leader ended.
#[tokio::test]
async fn ended_session_is_replaced_by_a_new_one() {
    let fixture = start_store().await;
    let (session, _events) = session(vec![fixture.address]);
    wait_until(|| session.has_valid_lease()).await;

    fixture
        .store
        .push(9, false, vec![Change::DaemonLeft { session: SESSION }])
        .await;

    wait_until(|| session.id() == Some(SessionId(SESSION.0 + 1))).await;
}

/// Guards against a directory that reverts to an older state sent by a lagging former leader.
#[tokio::test]
async fn older_directory_is_ignored() {
    let fixture = start_store().await;
    let (session, _events) = session(vec![fixture.address]);
    wait_until(|| session.has_valid_lease()).await;
    fixture
        .store
        .push(12, false, vec![key("counter", "first secret")])
        .await;
    assert!(session.wait_for(LogIndex(12), TEST_TIMEOUT).await);

    fixture.store.push(11, true, vec![joined(SESSION)]).await;
    fixture.store.push(13, false, Vec::new()).await;

    assert!(session.wait_for(LogIndex(13), TEST_TIMEOUT).await);
    assert!(session.directory().record(Kind::Key, "counter").is_some());
}

/// Guards against a deleted key that survives a full directory which does not contain it.
#[tokio::test]
async fn full_directory_deletes_missing_records() {
    let fixture = start_store().await;
    let (session, mut events) = session(vec![fixture.address]);
    wait_until(|| session.has_valid_lease()).await;
    fixture
        .store
        .push(12, false, vec![key("counter", "first secret")])
        .await;
    assert!(session.wait_for(LogIndex(12), TEST_TIMEOUT).await);
    assert!(session.directory().team_of_key("first secret").is_some());

    fixture.store.push(13, true, vec![joined(SESSION)]).await;

    assert!(session.wait_for(LogIndex(13), TEST_TIMEOUT).await);
    assert!(session.directory().team_of_key("first secret").is_none());
    let deletion = Change::RecordDeleted {
        kind: Kind::Key,
        name: "counter".into(),
    };
    let seen = async {
        loop {
            match events.recv().await {
                Some(SessionEvent::Changed { changes, .. }) if changes.contains(&deletion) => return,
                Some(_) => {}
                None => panic!("the session stopped"),
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, seen)
        .await
        .expect("the change is passed on");
}

/// Guards against an old secret that stays valid after its key record is replaced.
#[tokio::test]
async fn replaced_key_stops_working() {
    let fixture = start_store().await;
    let (session, _events) = session(vec![fixture.address]);
    wait_until(|| session.has_valid_lease()).await;

    fixture
        .store
        .push(
            12,
            false,
            vec![key("counter", "first secret"), key("counter", "second secret")],
        )
        .await;

    assert!(session.wait_for(LogIndex(12), TEST_TIMEOUT).await);
    assert!(session.directory().team_of_key("first secret").is_none());
    assert!(session.directory().team_of_key("second secret").is_some());
}

/// Guards against a client that keeps calling a member that is not the leader.
#[tokio::test]
async fn calls_follow_the_leader() {
    let leader = start_store().await;
    let other = start_store().await;
    other
        .store
        .with_state(|state| state.leader = Some(leader.address));
    let cell = cell(vec![other.address, leader.address]);

    let committed = cell
        .propose(Command::Noop, true, TEST_TIMEOUT)
        .await
        .expect("committed");

    assert_eq!(committed.reply, Reply::Applied);
}

/// Guards against an idempotent command that fails because the leader changed during the call.
#[tokio::test]
async fn idempotent_command_survives_a_leader_change() {
    let fixture = start_store().await;
    fixture.store.with_state(|state| state.failures = 3);

    let committed = cell(vec![fixture.address])
        .propose(Command::Noop, true, TEST_TIMEOUT)
        .await
        .expect("committed");

    assert_eq!(committed.reply, Reply::Applied);
    assert_eq!(fixture.store.with_state(|state| state.failures), 0);
}

/// Guards against a second proposal of a command that may already have been applied.
#[tokio::test]
async fn command_in_doubt_is_not_repeated() {
    let fixture = start_store().await;
    fixture.store.with_state(|state| state.silent = true);

    let error = cell(vec![fixture.address])
        .propose(Command::Noop, false, Duration::from_secs(3))
        .await
        .expect_err("no response arrives");

    assert!(matches!(error, SessionError::NoResponse), "{error:?}");
    assert!(!error.had_no_effect());
}

fn proposed(index: u64, reply: Reply) -> Response {
    Response::Proposed {
        index: LogIndex(index),
        reply,
    }
}
