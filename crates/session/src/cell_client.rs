//! Calls to the store's leader, wherever it is.

use {
    crate::{CellClientSettings, SessionError},
    fuchsiatack_derives::value,
    fuchsiatack_jobs::{CellCall, CellResponse},
    fuchsiatack_ledger::{Command, Query, QueryReply, Reply},
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::{FollowUpdate, NotLeader, PeerClient, Request, Response, WireError},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Pause before another member is asked while no leader is known.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// How long a call goes on.
#[derive(Copy)]
#[value]
pub struct CallLimits {
    /// Longest time of a call that may have reached a leader, whose answer tells what became of it.
    pub in_doubt: Duration,
    /// Longest time of a call that cannot have reached a leader.
    pub undelivered: Duration,
}

impl CallLimits {
    /// The same limit for both.
    pub fn uniform(limit: Duration) -> Self {
        Self {
            in_doubt: limit,
            undelivered: limit,
        }
    }
}

/// Result of a committed command.
#[value]
pub struct Committed {
    /// Index of the command.
    pub index: LogIndex,
    /// Result of applying it.
    pub reply: Reply,
}

/// Answer to a read.
#[value]
pub struct Queried {
    /// Index that the answer reflects.
    pub index: LogIndex,
    /// The answer.
    pub reply: QueryReply,
}

struct Shared {
    clients: Mutex<HashMap<SocketAddr, Arc<PeerClient>>>,
    leader: Mutex<SocketAddr>,
    /// Addresses to ask while no leader is known. They start with those of the settings.
    members: Mutex<Vec<SocketAddr>>,
    settings: CellClientSettings,
}

/// Client of the store. Clones share connections and what they know of the leader.
#[derive(Clone)]
pub struct CellClient {
    shared: Arc<Shared>,
}

impl CellClient {
    /// Creates a client.
    ///
    /// # Panics
    ///
    /// If `settings.members` is empty.
    pub fn new(settings: CellClientSettings) -> Self {
        let leader = Mutex::new(settings.members[0]);
        let clients = Mutex::default();
        let members = Mutex::new(settings.members.clone());
        Self {
            shared: Arc::new(Shared {
                clients,
                leader,
                members,
                settings,
            }),
        }
    }

    /// Opens a client of its own to the supposed leader, which delivers pushed updates.
    pub(crate) fn follower(&self, updates: mpsc::Sender<FollowUpdate>) -> PeerClient {
        let settings = &self.shared.settings;
        PeerClient::new(
            self.leader(),
            settings.secret.clone(),
            settings.peer.clone(),
            Some(updates),
        )
    }

    /// Proposes a command and waits until it is applied.
    ///
    /// A command is sent again after a lost answer only if `repeat` is set; the caller sets it
    /// for commands that have no further effect the second time.
    pub async fn propose(
        &self,
        command: Command,
        repeat: bool,
        limit: Duration,
    ) -> Result<Committed, SessionError> {
        let request = Request::Propose(Box::new(command));
        match self
            .call_leader(request, repeat, CallLimits::uniform(limit))
            .await?
        {
            Response::Proposed { index, reply } => Ok(Committed { index, reply }),
            _ => Err(SessionError::Unexpected),
        }
    }

    /// Calls the cell. The call may reach it more than once, so it must be idempotent.
    pub async fn call_cell(&self, call: CellCall, limits: CallLimits) -> Result<CellResponse, SessionError> {
        match self
            .call_leader(Request::Cell(Box::new(call)), true, limits)
            .await?
        {
            Response::Cell(answer) => Ok(*answer),
            _ => Err(SessionError::Unexpected),
        }
    }

    /// Notes members of the store beside those of the settings. Clients of other addresses are
    /// dropped, so that replaced members leave nothing behind.
    pub fn update_members(&self, learned: &[SocketAddr]) {
        let mut members = self.shared.settings.members.clone();
        members.extend(learned);
        members.sort_unstable();
        members.dedup();
        let leader = self.leader();
        lock(&self.shared.clients).retain(|address, _| *address == leader || members.contains(address));
        *lock(&self.shared.members) = members;
    }

    /// Reads the ledger.
    pub async fn query(&self, query: Query, limit: Duration) -> Result<Queried, SessionError> {
        match self
            .call_leader(Request::Query(query), true, CallLimits::uniform(limit))
            .await?
        {
            Response::Queried { index, reply } => Ok(Queried { index, reply: *reply }),
            _ => Err(SessionError::Unexpected),
        }
    }

    /// Notes where the leader is after a member answered that it is not the leader.
    pub(crate) fn redirect(&self, asked: SocketAddr, answer: Option<SocketAddr>) {
        let next = match answer {
            Some(leader) if leader != asked => leader,
            _ => self.after(asked),
        };
        *lock(&self.shared.leader) = next;
    }

    /// Peer address of the supposed leader.
    pub(crate) fn leader(&self) -> SocketAddr {
        *lock(&self.shared.leader)
    }

    async fn call_leader(
        &self,
        request: Request,
        repeat: bool,
        limits: CallLimits,
    ) -> Result<Response, SessionError> {
        let begin = Instant::now();
        let mut in_doubt = false;
        loop {
            let limit = if in_doubt {
                limits.in_doubt
            } else {
                limits.undelivered
            };
            let left = limit.saturating_sub(begin.elapsed());
            match in_doubt {
                _ if !left.is_zero() => {}
                true => return Err(SessionError::NoResponse),
                false => return Err(SessionError::NoLeader),
            }
            let client = self.client(self.leader());
            let answer = client
                .call(request.clone(), left.min(self.shared.settings.attempt_limit))
                .await;
            in_doubt |= answer.as_ref().is_err_and(|error| !error.had_no_effect());
            match answer {
                Ok(Response::NotLeader(NotLeader { leader })) => {
                    self.redirect(client.address(), leader);
                }
                // A leader that lost its office cannot tell whether a proposal will be committed.
                Ok(Response::Failed { message }) if !repeat => return Err(SessionError::Failed(message)),
                Ok(Response::Failed { .. }) => {
                    in_doubt = true;
                    self.redirect(client.address(), None);
                }
                Ok(response) => return Ok(response),
                Err(WireError::ConnectionLost | WireError::TimedOut) if in_doubt && !repeat => {
                    return Err(SessionError::NoResponse);
                }
                Err(_) => self.redirect(client.address(), None),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn after(&self, address: SocketAddr) -> SocketAddr {
        let members = lock(&self.shared.members);
        let next = members
            .iter()
            .position(|member| *member == address)
            .map_or(0, |position| position + 1);
        members[next % members.len()]
    }

    fn client(&self, address: SocketAddr) -> Arc<PeerClient> {
        let settings = &self.shared.settings;
        lock(&self.shared.clients)
            .entry(address)
            .or_insert_with(|| {
                Arc::new(PeerClient::new(
                    address,
                    settings.secret.clone(),
                    settings.peer.clone(),
                    None,
                ))
            })
            .clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
