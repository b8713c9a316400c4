//! Public handle of the store role.

use {
    crate::{
        Membership, StoreError, StoreSettings, StoreStatus,
        event::{Event, Input},
        pending_calls::failed_response,
        reopen_delays::ReopenDelays,
        runtime::{Queues, Runtime},
        writer::Writer,
    },
    fuchsiatack_consensus::{Envelope, Role, disk::LogStore},
    fuchsiatack_jobs::{JobEvent, LogEvent},
    fuchsiatack_wire::{Handler, NotLeader, PeerCaller, Request, Response},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinHandle,
        time::sleep,
    },
};

/// Capacity of the queue of consensus messages. When it is full, they are dropped.
const CONSENSUS_QUEUE_CAPACITY: usize = 8_192;
/// Capacity of the queue of all other inputs. When it is full, calls wait.
const INPUT_QUEUE_CAPACITY: usize = 8_192;

struct Shared {
    consensus: mpsc::Sender<Envelope>,
    inputs: mpsc::Sender<Input>,
    status: Arc<Mutex<StoreStatus>>,
    task: Mutex<Option<JoinHandle<()>>>,
}

/// Handle of the store role of one daemon. Clones share a runtime, which ends when the last clone
/// is dropped.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Handler for Store {
    async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        Self::call(self, caller, request).await
    }

    fn handle_consensus(&self, envelope: Envelope) {
        Self::handle_consensus(self, envelope);
    }
}

impl Store {
    /// Opens the data folder, reads the log and starts the runtime. Blocks on disk I/O and must be
    /// called within a Tokio runtime.
    pub fn start(settings: StoreSettings) -> Result<Self, StoreError> {
        let is_listed = settings.members.iter().any(|member| member.name == settings.name);
        if settings.membership == Membership::Records && !is_listed {
            return Err(StoreError::NotListed(settings.name));
        }
        let (log_store, stored) = LogStore::open_with(&settings.data_folder, settings.log_store.clone())?;
        let (events, event_queue) = mpsc::unbounded_channel::<Event>();
        let writer = Writer::start(log_store, events.clone()).map_err(StoreError::Thread)?;
        let (consensus, consensus_queue) = mpsc::channel(CONSENSUS_QUEUE_CAPACITY);
        let (inputs, input_queue) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let runtime = Runtime::new(settings, stored, writer, events)?;
        let status = runtime.status();
        let queues = Queues {
            consensus: consensus_queue,
            events: event_queue,
            inputs: input_queue,
        };
        let task = tokio::spawn(runtime.run(queues));
        Ok(Self {
            shared: Arc::new(Shared {
                consensus,
                inputs,
                status,
                task: Mutex::new(Some(task)),
            }),
        })
    }

    /// Starts as `start` does, and waits for space as long as the disk is full.
    pub async fn start_on_full_disk(settings: StoreSettings) -> Result<Self, StoreError> {
        let mut delays = ReopenDelays::default();
        let mut logged = false;
        loop {
            match Self::start(settings.clone()) {
                Err(StoreError::Disk(error)) if error.is_disk_full() => {
                    let event = LogEvent::new("store member cannot open its data folder; retrying")
                        .with("cause", error);
                    if let Some(jobs) = settings.jobs.as_ref().filter(|_| !logged) {
                        let _ = jobs.log_events.send(event);
                        logged = true;
                    }
                    sleep(delays.next()).await;
                }
                result => return result,
            }
        }
    }

    /// Handles a call of a daemon: `Cell`, `Follow`, `Formation`, `Join`, `Propose`, `Query` or `Renew`.
    pub async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        let (responder, response) = oneshot::channel();
        let input = Input::Call {
            caller,
            responder,
            request,
        };
        match self.shared.inputs.send(input).await {
            Ok(()) => response
                .await
                .unwrap_or_else(|_| failed_response("the store has stopped")),
            // The call did not reach the runtime, so it had no effect and can be retried.
            Err(_) => Response::NotLeader(NotLeader { leader: None }),
        }
    }

    /// Queues a consensus message from another member without blocking. Drops it if the queue is full.
    pub fn handle_consensus(&self, envelope: Envelope) {
        let _ = self.shared.consensus.try_send(envelope);
    }

    /// Passes an event, such as the outcome of an effect, to the job planner. Does nothing once the
    /// runtime has ended.
    pub async fn report(&self, event: JobEvent) {
        let _ = self.shared.inputs.send(Input::Jobs(event)).await;
    }

    /// Returns the latest status. After the runtime has ended, it has the role `Follower` and no
    /// leader.
    pub fn status(&self) -> StoreStatus {
        let status = self.shared.status.lock();
        let mut status = status.unwrap_or_else(PoisonError::into_inner).clone();
        if self.shared.inputs.is_closed() {
            status.leader = None;
            status.role = Role::Follower;
            status.voters_in_contact = None;
            status.responsive_members = Arc::default();
        }
        status
    }

    /// Returns the peer addresses of the members that have responded to this leader; see
    /// `StoreStatus::responsive_members`. Cheaper than the whole status.
    pub fn responsive_members(&self) -> Arc<[SocketAddr]> {
        let status = self.shared.status.lock();
        status
            .unwrap_or_else(PoisonError::into_inner)
            .responsive_members
            .clone()
    }

    /// Stops the runtime and waits until queued writes are done and the data folder is unlocked.
    ///
    /// A leader first completes the calls that it has accepted and transfers its leadership.
    /// Messages of other members must be passed to `handle_consensus` until this returns.
    pub async fn stop(self) {
        let _ = self.shared.inputs.send(Input::Stop).await;
        let task = self
            .shared
            .task
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(task) = task {
            let _ = task.await;
        }
    }
}
