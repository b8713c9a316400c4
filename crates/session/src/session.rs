//! The session of an entry daemon.

use {
    crate::{CellClient, Directory, SessionError, SessionSettings, lease::Lease},
    fuchsiatack_derives::value,
    fuchsiatack_ledger::{Change, Command, EndReason, Renewal, RenewalResponse, Reply, TeamUsage},
    fuchsiatack_model::{LogIndex, Resources, SessionId},
    fuchsiatack_wire::{FollowUpdate, NotLeader, PeerClient, Request, Response},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinHandle,
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Updates that may wait to be applied.
const UPDATE_QUEUE: usize = 1_024;
/// Longest wait for the answer to one call that opens or follows.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Pause before a session is opened or followed again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the daemon reports with each renewal.
#[value]
pub struct Load {
    /// Free amounts on its workers, added up.
    pub free: Resources,
    /// Whether the daemon is in a planned stop.
    pub stopping: bool,
    /// Use by team, for teams with running or waiting tasks.
    pub usage: Vec<TeamUsage>,
}

/// What the daemon has to react to.
#[value]
pub enum SessionEvent {
    /// The leader answered a renewal.
    Renewed(RenewalResponse),
    /// Changes were applied to the directory, in this order.
    Changed {
        /// The changes.
        changes: Vec<Change>,
        /// Index up to which they reach.
        index: LogIndex,
    },
    /// A session was opened. Workers, tokens and tasks of the former one are lost.
    Opened(SessionId),
}

struct Shared {
    applied: watch::Sender<LogIndex>,
    directory: RwLock<Directory>,
    lease: Mutex<Lease>,
    load: Mutex<Load>,
    session: Mutex<Option<SessionId>>,
}

/// Session with the store. Clones share it.
#[derive(Clone)]
pub struct Session {
    cell: CellClient,
    shared: Arc<Shared>,
    task: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Session {
    /// Starts to open, follow and renew a session, and to open another whenever it was ended.
    pub fn start(settings: SessionSettings, cell: CellClient) -> (Self, mpsc::Receiver<SessionEvent>) {
        let (events, receiver) = mpsc::channel(UPDATE_QUEUE);
        let load = Load {
            free: Resources::NONE,
            stopping: false,
            usage: Vec::new(),
        };
        let shared = Arc::new(Shared {
            applied: watch::Sender::new(LogIndex::default()),
            directory: RwLock::default(),
            lease: Mutex::new(Lease::new(settings.lease)),
            load: Mutex::new(load),
            session: Mutex::default(),
        });
        let worker = Worker {
            cell: cell.clone(),
            events,
            settings,
            shared: shared.clone(),
        };
        let task = Arc::new(Mutex::new(Some(tokio::spawn(worker.run()))));
        (Self { cell, shared, task }, receiver)
    }

    /// Calls to the store.
    pub fn cell(&self) -> &CellClient {
        &self.cell
    }

    /// The directory. Hold the guard for a short time only, and not across an await.
    pub fn directory(&self) -> RwLockReadGuard<'_, Directory> {
        self.shared
            .directory
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The present session, if one is open.
    pub fn id(&self) -> Option<SessionId> {
        *lock(&self.shared.session)
    }

    /// Returns whether the lease holds now.
    pub fn is_valid(&self) -> bool {
        lock(&self.shared.lease).holds(Instant::now())
    }

    /// Sets what the next renewals report.
    pub fn set_load(&self, load: Load) {
        *lock(&self.shared.load) = load;
    }

    /// Waits until changes up to `index` are applied. Returns whether that happened in time.
    pub async fn wait_for(&self, index: LogIndex, limit: Duration) -> bool {
        let mut applied = self.shared.applied.subscribe();
        let reached = applied.wait_for(|applied| *applied >= index);
        matches!(tokio::time::timeout(limit, reached).await, Ok(Ok(_)))
    }

    /// Ends the session as part of a planned stop. The lease is over from now on.
    pub async fn end(&self, limit: Duration) -> Result<(), SessionError> {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
        lock(&self.shared.lease).clear();
        let Some(session) = lock(&self.shared.session).take() else {
            return Ok(());
        };
        let command = Command::EndSession {
            reason: EndReason::Stopped,
            session,
        };
        self.cell.propose(command, true, limit).await.map(drop)
    }
}

/// Background task of a session.
struct Worker {
    cell: CellClient,
    events: mpsc::Sender<SessionEvent>,
    settings: SessionSettings,
    shared: Arc<Shared>,
}

impl Worker {
    async fn run(self) {
        while !self.events.is_closed() {
            match self.open().await {
                Ok(session) => self.keep(session).await,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Opens a session. A lost answer is not repeated here, since the next attempt ends that session.
    async fn open(&self) -> Result<SessionId, SessionError> {
        let command = Command::OpenSession(self.settings.daemon.clone());
        match self.cell.propose(command, false, CALL_LIMIT).await?.reply {
            Reply::SessionOpened(session) => {
                lock(&self.shared.lease).clear();
                *lock(&self.shared.session) = Some(session);
                let _ = self.events.send(SessionEvent::Opened(session)).await;
                Ok(session)
            }
            _ => Err(SessionError::Unexpected),
        }
    }

    /// Follows and renews a session until it was ended.
    async fn keep(&self, session: SessionId) {
        while !self.events.is_closed() && lock(&self.shared.session).is_some() {
            self.follow(session).await;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Follows one leader over one connection until it is lost, the leader changed or the session ended.
    async fn follow(&self, session: SessionId) {
        let (sender, mut updates) = mpsc::channel(UPDATE_QUEUE);
        let client = self.cell.follower(sender);
        let from = *self.shared.applied.borrow();
        let answer = client.call(Request::Follow { from, session }, CALL_LIMIT).await;
        match answer {
            Ok(Response::Following) => {}
            Ok(Response::NotLeader(NotLeader { leader })) => {
                return self.cell.redirect(client.address(), leader);
            }
            _ => return self.cell.redirect(client.address(), None),
        }
        let connection = client.connections();
        tokio::select! {
            () = self.renew_on(&client, connection, session) => {}
            () = self.apply_from(&mut updates, session) => {}
        }
    }

    async fn renew_on(&self, client: &PeerClient, connection: u64, session: SessionId) {
        let mut ticks = interval(self.settings.renewal);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let sent = Instant::now();
            let answer = client
                .call(Request::Renew(self.renewal(session)), CALL_LIMIT)
                .await;
            match answer {
                Ok(Response::Renewed(advice)) if client.connections() == connection => {
                    let applied = *self.shared.applied.borrow();
                    lock(&self.shared.lease).renewed(sent, advice.commit_index, applied);
                    let _ = self.events.send(SessionEvent::Renewed(advice)).await;
                }
                Ok(Response::NotLeader(NotLeader { leader })) => {
                    return self.cell.redirect(client.address(), leader);
                }
                Ok(_) => return,
                Err(_) => return self.cell.redirect(client.address(), None),
            }
        }
    }

    fn renewal(&self, session: SessionId) -> Renewal {
        let load = lock(&self.shared.load).clone();
        let applied = *self.shared.applied.borrow();
        Renewal {
            applied,
            free: load.free,
            session,
            stopping: load.stopping,
            usage: load.usage,
        }
    }

    async fn apply_from(&self, updates: &mut mpsc::Receiver<FollowUpdate>, session: SessionId) {
        while let Some(update) = updates.recv().await {
            let index = update.index;
            let Some(changes) = self.apply(update, session) else {
                continue;
            };
            self.shared.applied.send_replace(index);
            lock(&self.shared.lease).applied(index);
            let _ = self.events.send(SessionEvent::Changed { changes, index }).await;
            if !self.is_open(session) {
                lock(&self.shared.lease).clear();
                *lock(&self.shared.session) = None;
                return;
            }
        }
    }

    /// Applies an update to the directory. An update that would go back in the log, or to before
    /// the session was opened, is dropped: it comes from a former leader that lags behind.
    fn apply(&self, update: FollowUpdate, session: SessionId) -> Option<Vec<Change>> {
        let mut directory = self
            .shared
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if update.index < directory.applied() || update.index.0 < session.0 {
            return None;
        }
        let changes = match update.reset {
            true => directory.changes_to(update.changes),
            false => update.changes,
        };
        directory.apply(&changes, update.index);
        Some(changes)
    }

    fn is_open(&self, session: SessionId) -> bool {
        let directory = self
            .shared
            .directory
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        directory.daemons().contains_key(&session)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
