//! Client of the store. Finds the leader and retries calls after a lost connection or a leader
//! change.

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

/// Pause before the next attempt after a member was unreachable, did not lead or returned an error.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Longest time that a call is retried, by whether it may have reached a leader.
#[derive(Copy)]
#[value]
pub struct CallLimits {
    /// Limit of a call that may have reached a leader. Its outcome is unknown until a leader
    /// responds.
    pub in_doubt: Duration,
    /// Limit of a call that cannot have reached a leader.
    pub undelivered: Duration,
}

impl CallLimits {
    /// Uses `limit` whether or not the call may have reached a leader.
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
    /// Log index of the command.
    pub index: LogIndex,
    /// Result of applying it.
    pub reply: Reply,
}

/// Result of a read.
#[value]
pub struct Queried {
    /// Log index of the state that was read.
    pub index: LogIndex,
    /// Reply of the ledger.
    pub reply: QueryReply,
}

struct Shared {
    clients: Mutex<HashMap<SocketAddr, Arc<PeerClient>>>,
    /// Member that the next call goes to.
    leader: Mutex<SocketAddr>,
    /// Members to try while no leader is known: those of the settings and those of `update_members`.
    members: Mutex<Vec<SocketAddr>>,
    settings: CellClientSettings,
}

/// Client of the store. Clones share the connections and the address of the leader.
#[derive(Clone)]
pub struct CellClient {
    shared: Arc<Shared>,
}

impl CellClient {
    /// Creates a client that calls the first member of the settings first.
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

    /// Creates a separate client of the supposed leader that sends pushed updates to `updates`.
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
    /// A command is sent again after a lost response only if `is_idempotent` is set, which means
    /// that applying it a second time has no effect.
    pub async fn propose(
        &self,
        command: Command,
        is_idempotent: bool,
        limit: Duration,
    ) -> Result<Committed, SessionError> {
        let request = Request::Propose(Box::new(command));
        match self
            .call_leader(request, is_idempotent, CallLimits::uniform(limit))
            .await?
        {
            Response::Proposed { index, reply } => Ok(Committed { index, reply }),
            _ => Err(SessionError::Unexpected),
        }
    }

    /// Sends a call to the cell. The call must be idempotent, since a retry may deliver it twice.
    pub async fn call_cell(&self, call: CellCall, limits: CallLimits) -> Result<CellResponse, SessionError> {
        match self
            .call_leader(Request::Cell(Box::new(call)), true, limits)
            .await?
        {
            Response::Cell(response) => Ok(*response),
            _ => Err(SessionError::Unexpected),
        }
    }

    /// Replaces the known members by those of the settings and `additional`. Connections to other
    /// addresses are dropped, so that replaced members leave none open.
    pub fn update_members(&self, additional: &[SocketAddr]) {
        let mut members = self.shared.settings.members.clone();
        members.extend(additional);
        members.sort_unstable();
        members.dedup();
        let leader = self.leader();
        lock(&self.shared.clients).retain(|address, _| *address == leader || members.contains(address));
        *lock(&self.shared.members) = members;
    }

    /// Reads the ledger through the leader.
    pub async fn query(&self, query: Query, limit: Duration) -> Result<Queried, SessionError> {
        match self
            .call_leader(Request::Query(query), true, CallLimits::uniform(limit))
            .await?
        {
            Response::Queried { index, reply } => Ok(Queried { index, reply: *reply }),
            _ => Err(SessionError::Unexpected),
        }
    }

    /// Sends the next call to `leader`, which another member of the cell named as the leader.
    pub fn set_leader(&self, leader: SocketAddr) {
        *lock(&self.shared.leader) = leader;
    }

    /// Sets the supposed leader after `member` was not the leader or could not be reached.
    /// `leader` is the address that it named; without one, the next known member is tried.
    pub(crate) fn redirect(&self, member: SocketAddr, leader: Option<SocketAddr>) {
        let next = match leader {
            Some(leader) if leader != member => leader,
            _ => self.next_member(member),
        };
        self.set_leader(next);
    }

    /// Peer address of the supposed leader.
    pub(crate) fn leader(&self) -> SocketAddr {
        *lock(&self.shared.leader)
    }

    async fn call_leader(
        &self,
        request: Request,
        is_idempotent: bool,
        limits: CallLimits,
    ) -> Result<Response, SessionError> {
        let started = Instant::now();
        let mut in_doubt = false;
        loop {
            let limit = if in_doubt {
                limits.in_doubt
            } else {
                limits.undelivered
            };
            let remaining = limit.saturating_sub(started.elapsed());
            match in_doubt {
                _ if !remaining.is_zero() => {}
                true => return Err(SessionError::NoResponse),
                false => return Err(SessionError::NoLeader),
            }
            let client = self.client(self.leader());
            let result = client
                .call(request.clone(), remaining.min(self.shared.settings.attempt_limit))
                .await;
            in_doubt |= result.as_ref().is_err_and(|error| !error.had_no_effect());
            match result {
                Ok(Response::NotLeader(NotLeader { leader })) => {
                    self.redirect(client.address(), leader);
                }
                // A leader that stepped down does not know whether the proposal will be committed.
                Ok(Response::Failed { message }) if !is_idempotent => {
                    return Err(SessionError::Failed(message));
                }
                Ok(Response::Failed { .. }) => {
                    in_doubt = true;
                    self.redirect(client.address(), None);
                }
                Ok(response) => return Ok(response),
                Err(WireError::ConnectionLost | WireError::TimedOut) if in_doubt && !is_idempotent => {
                    return Err(SessionError::NoResponse);
                }
                Err(_) => self.redirect(client.address(), None),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn next_member(&self, address: SocketAddr) -> SocketAddr {
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
