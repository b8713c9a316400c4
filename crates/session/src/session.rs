//! Session of an entry daemon with the store. A background task opens it, follows the leader's
//! changes, renews the lease, and opens a new session after the store ended it.

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

/// Capacity of the queues of updates and events.
const UPDATE_QUEUE_CAPACITY: usize = 1_024;
/// Longest wait for the response to one call that opens, follows or renews a session.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Pause before the next attempt to open or follow a session.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Load that the daemon reports with each renewal.
#[value]
pub struct Load {
    /// Sum of the free resources on the daemon's workers.
    pub free: Resources,
    /// Whether the daemon is in a planned stop.
    pub stopping: bool,
    /// Running and waiting tasks of each team that has any.
    pub usage: Vec<TeamUsage>,
}

/// Event that the daemon handles.
#[value]
pub enum SessionEvent {
    /// The leader accepted a renewal.
    Renewed(RenewalResponse),
    /// Changes were applied to the directory, in this order.
    Changed {
        /// Changes in log order.
        changes: Vec<Change>,
        /// Log index that the directory has reached.
        index: LogIndex,
    },
    /// A session was opened. Workers, tokens and tasks of an earlier session are lost.
    Opened(SessionId),
}

struct Shared {
    applied: watch::Sender<LogIndex>,
    directory: RwLock<Directory>,
    lease: Mutex<Lease>,
    load: Mutex<Load>,
    session: Mutex<Option<SessionId>>,
}

/// Handle of a session with the store. Clones share the session.
#[derive(Clone)]
pub struct Session {
    cell: CellClient,
    shared: Arc<Shared>,
    task: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Session {
    /// Starts the background task that opens, follows and renews a session, and that opens a new
    /// one whenever the store ended it.
    pub fn start(settings: SessionSettings, cell: CellClient) -> (Self, mpsc::Receiver<SessionEvent>) {
        let (events, receiver) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
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
        let task = SessionTask {
            cell: cell.clone(),
            events,
            settings,
            shared: shared.clone(),
        };
        let task = Arc::new(Mutex::new(Some(tokio::spawn(task.run()))));
        (Self { cell, shared, task }, receiver)
    }

    /// Returns the client for calls to the store.
    pub fn cell(&self) -> &CellClient {
        &self.cell
    }

    /// Locks the directory for reading. Updates wait while the guard is held, so it must be
    /// dropped soon and must not be held across an await.
    pub fn directory(&self) -> RwLockReadGuard<'_, Directory> {
        self.shared
            .directory
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current session, or `None` if none is open.
    pub fn id(&self) -> Option<SessionId> {
        *lock(&self.shared.session)
    }

    /// Returns whether the lease is valid now.
    pub fn has_valid_lease(&self) -> bool {
        lock(&self.shared.lease).is_valid(Instant::now())
    }

    /// Sets the load that the next renewals report.
    pub fn set_load(&self, load: Load) {
        *lock(&self.shared.load) = load;
    }

    /// Waits until changes up to `index` are applied. Returns false if `limit` passes first.
    pub async fn wait_for(&self, index: LogIndex, limit: Duration) -> bool {
        let mut applied = self.shared.applied.subscribe();
        let reached = applied.wait_for(|applied| *applied >= index);
        matches!(tokio::time::timeout(limit, reached).await, Ok(Ok(_)))
    }

    /// Ends the session as part of a planned stop. The lease ends at once, even if the store
    /// cannot be reached.
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

/// Background task that opens, follows and renews the session.
struct SessionTask {
    cell: CellClient,
    events: mpsc::Sender<SessionEvent>,
    settings: SessionSettings,
    shared: Arc<Shared>,
}

impl SessionTask {
    async fn run(self) {
        while !self.events.is_closed() {
            match self.open().await {
                Ok(session) => self.maintain(session).await,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Opens a session. The command is not resent after a lost response, since the next attempt
    /// ends the session that this one may have opened.
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

    /// Follows and renews a session until it ends.
    async fn maintain(&self, session: SessionId) {
        while !self.events.is_closed() && lock(&self.shared.session).is_some() {
            self.follow(session).await;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Follows one leader over one connection until the connection is lost, the leader changes or
    /// the session ends.
    async fn follow(&self, session: SessionId) {
        let (sender, mut updates) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
        let client = self.cell.follower(sender);
        let from = *self.shared.applied.borrow();
        let result = client.call(Request::Follow { from, session }, CALL_LIMIT).await;
        match result {
            Ok(Response::Following) => {}
            Ok(Response::NotLeader(NotLeader { leader })) => {
                return self.cell.redirect(client.address(), leader);
            }
            _ => return self.cell.redirect(client.address(), None),
        }
        let connection = client.connection_count();
        tokio::select! {
            () = self.renew_periodically(&client, connection, session) => {}
            () = self.apply_updates(&mut updates, session) => {}
        }
    }

    /// Renews the session until a renewal fails. A renewal on a later connection than
    /// `connection` also stops it, since the subscription ended with the old connection.
    async fn renew_periodically(&self, client: &PeerClient, connection: u64, session: SessionId) {
        let mut ticks = interval(self.settings.renewal);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let sent = Instant::now();
            let result = client
                .call(Request::Renew(self.renewal(session)), CALL_LIMIT)
                .await;
            match result {
                Ok(Response::Renewed(response)) if client.connection_count() == connection => {
                    let applied = *self.shared.applied.borrow();
                    lock(&self.shared.lease).add_renewal(sent, response.commit_index, applied);
                    let _ = self.events.send(SessionEvent::Renewed(response)).await;
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

    /// Applies pushed updates until the directory shows that the session has ended.
    async fn apply_updates(&self, updates: &mut mpsc::Receiver<FollowUpdate>, session: SessionId) {
        while let Some(update) = updates.recv().await {
            let index = update.index;
            let Some(changes) = self.apply(update, session) else {
                continue;
            };
            self.shared.applied.send_replace(index);
            lock(&self.shared.lease).extend(index);
            let _ = self.events.send(SessionEvent::Changed { changes, index }).await;
            if !self.is_open(session) {
                lock(&self.shared.lease).clear();
                *lock(&self.shared.session) = None;
                return;
            }
        }
    }

    /// Applies an update to the directory and returns its changes. An update with a lower log
    /// index than the directory or the session is dropped, since it comes from a former leader
    /// that lags behind.
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
