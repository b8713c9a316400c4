//! Sessions against a fake store on loopback.

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

const GENEROUS: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_millis(600);
const RENEWAL: Duration = Duration::from_millis(50);
const SESSION: SessionId = SessionId(5);

/// What the fake store answers.
#[derive(Default)]
struct Script {
    commit: u64,
    /// Number of calls that are answered with a failure first.
    failures: u32,
    follower: Option<mpsc::Sender<Frame>>,
    leader: Option<SocketAddr>,
    opened: u64,
    silent: bool,
}

#[derive(Clone, Default)]
struct FakeStore(Arc<Mutex<Script>>);

impl FakeStore {
    fn change<T>(&self, change: impl FnOnce(&mut Script) -> T) -> T {
        change(&mut self.0.lock().expect("no test panics with the lock held"))
    }

    async fn push(&self, index: u64, reset: bool, changes: Vec<Change>) {
        let follower = self
            .change(|script| script.follower.clone())
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
        if self.change(|script| script.silent) {
            return std::future::pending().await;
        }
        if let Some(leader) = self.change(|script| script.leader) {
            return Response::NotLeader(NotLeader { leader: Some(leader) });
        }
        let fails = self.change(|script| {
            let fails = script.failures > 0;
            script.failures = script.failures.saturating_sub(1);
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
                    let opened = self.change(|script| {
                        script.opened += 1;
                        script.opened
                    });
                    let session = SESSION.0 + opened - 1;
                    proposed(session, Reply::SessionOpened(SessionId(session)))
                }
                _ => proposed(9, Reply::Applied),
            },
            Request::Follow { session, .. } => {
                self.change(|script| script.follower = Some(caller.frames));
                self.push(session.0, true, vec![joined(session)]).await;
                Response::Following
            }
            Request::Renew(_) => {
                let commit = LogIndex(self.change(|script| script.commit));
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

async fn store() -> Fixture {
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

async fn until(condition: impl Fn() -> bool) {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(GENEROUS, reached)
        .await
        .expect("condition is reached in time");
}

/// Guards against a lease that is extended although a withdrawn key may not be known yet.
#[tokio::test]
async fn lease_holds_only_once_the_commit_index_is_applied() {
    let fixture = store().await;
    fixture.store.change(|script| script.commit = 8);
    let (session, mut events) = session(vec![fixture.address]);
    let advised = async { while !matches!(events.recv().await, Some(SessionEvent::Renewed(_))) {} };
    tokio::time::timeout(GENEROUS, advised).await.expect("renewed");

    let before = session.is_valid();
    fixture.store.push(8, false, Vec::new()).await;

    assert!(!before);
    until(|| session.is_valid()).await;
}

/// Guards against a daemon behind a silent partition that goes on accepting work.
#[tokio::test]
async fn lease_ends_in_silence_and_returns() {
    let fixture = store().await;
    let (session, _events) = session(vec![fixture.address]);
    until(|| session.is_valid()).await;

    fixture.store.change(|script| script.silent = true);

    until(|| !session.is_valid()).await;
    fixture.store.change(|script| script.silent = false);
    until(|| session.is_valid()).await;
    assert_eq!(session.id(), Some(SESSION));
}

/// Guards against the use of workers and tokens of a session that the leader ended.
#[tokio::test]
async fn ended_session_is_replaced_by_a_new_one() {
    let fixture = store().await;
    let (session, _events) = session(vec![fixture.address]);
    until(|| session.is_valid()).await;

    fixture
        .store
        .push(9, false, vec![Change::DaemonLeft { session: SESSION }])
        .await;

    until(|| session.id() == Some(SessionId(SESSION.0 + 1))).await;
}

/// Guards against a directory that reverts when a lagging former leader sends its state.
#[tokio::test]
async fn older_directory_is_ignored() {
    let fixture = store().await;
    let (session, _events) = session(vec![fixture.address]);
    until(|| session.is_valid()).await;
    fixture
        .store
        .push(12, false, vec![key("counter", "first secret")])
        .await;
    assert!(session.wait_for(LogIndex(12), GENEROUS).await);

    fixture.store.push(11, true, vec![joined(SESSION)]).await;
    fixture.store.push(13, false, Vec::new()).await;

    assert!(session.wait_for(LogIndex(13), GENEROUS).await);
    assert!(session.directory().record(Kind::Key, "counter").is_some());
}

/// Guards against a withdrawn key that a whole directory leaves in place.
#[tokio::test]
async fn whole_directory_withdraws_what_it_lacks() {
    let fixture = store().await;
    let (session, mut events) = session(vec![fixture.address]);
    until(|| session.is_valid()).await;
    fixture
        .store
        .push(12, false, vec![key("counter", "first secret")])
        .await;
    assert!(session.wait_for(LogIndex(12), GENEROUS).await);
    assert!(session.directory().team_of_key("first secret").is_some());

    fixture.store.push(13, true, vec![joined(SESSION)]).await;

    assert!(session.wait_for(LogIndex(13), GENEROUS).await);
    assert!(session.directory().team_of_key("first secret").is_none());
    let withdrawn = Change::RecordDeleted {
        kind: Kind::Key,
        name: "counter".into(),
    };
    let seen = async {
        loop {
            match events.recv().await {
                Some(SessionEvent::Changed { changes, .. }) if changes.contains(&withdrawn) => return,
                Some(_) => {}
                None => panic!("the session stopped"),
            }
        }
    };
    tokio::time::timeout(GENEROUS, seen)
        .await
        .expect("the change is passed on");
}

/// Guards against an old secret that stays valid after its key record was replaced.
#[tokio::test]
async fn replaced_key_stops_working() {
    let fixture = store().await;
    let (session, _events) = session(vec![fixture.address]);
    until(|| session.is_valid()).await;

    fixture
        .store
        .push(
            12,
            false,
            vec![key("counter", "first secret"), key("counter", "second secret")],
        )
        .await;

    assert!(session.wait_for(LogIndex(12), GENEROUS).await);
    assert!(session.directory().team_of_key("first secret").is_none());
    assert!(session.directory().team_of_key("second secret").is_some());
}

/// Guards against a client that stays with a member that is not the leader.
#[tokio::test]
async fn calls_follow_the_leader() {
    let leader = store().await;
    let other = store().await;
    other.store.change(|script| script.leader = Some(leader.address));
    let cell = cell(vec![other.address, leader.address]);

    let committed = cell
        .propose(Command::Noop, true, GENEROUS)
        .await
        .expect("committed");

    assert_eq!(committed.reply, Reply::Applied);
}

/// Guards against an error for a repeatable write only because the leader changed meanwhile.
#[tokio::test]
async fn repeatable_command_outlives_a_leader_change() {
    let fixture = store().await;
    fixture.store.change(|script| script.failures = 3);

    let committed = cell(vec![fixture.address])
        .propose(Command::Noop, true, GENEROUS)
        .await
        .expect("committed");

    assert_eq!(committed.reply, Reply::Applied);
    assert_eq!(fixture.store.change(|script| script.failures), 0);
}

/// Guards against a second proposal of a command that may already have been applied.
#[tokio::test]
async fn command_in_doubt_is_not_repeated() {
    let fixture = store().await;
    fixture.store.change(|script| script.silent = true);

    let error = cell(vec![fixture.address])
        .propose(Command::Noop, false, Duration::from_secs(3))
        .await
        .expect_err("no answer comes");

    assert!(matches!(error, SessionError::NoResponse), "{error:?}");
    assert!(!error.had_no_effect());
}

fn proposed(index: u64, reply: Reply) -> Response {
    Response::Proposed {
        index: LogIndex(index),
        reply,
    }
}
