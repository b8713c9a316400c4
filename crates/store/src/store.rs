//! Handle of the store role.

use {
    crate::{
        Membership, StoreError, StoreSettings, StoreStatus,
        calls::failed,
        event::{Event, Input},
        runtime::Runtime,
        writer::Writer,
    },
    fuchsiatack_consensus::{Envelope, Role, disk::LogStore},
    fuchsiatack_jobs::JobEvent,
    fuchsiatack_wire::{Handler, NotLeader, PeerCaller, Request, Response},
    std::sync::{Arc, Mutex, PoisonError},
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinHandle,
    },
};

/// Inputs that may wait for the runtime. Calls wait for room; further messages are dropped.
const INPUT_QUEUE: usize = 8_192;

struct Shared {
    inputs: mpsc::Sender<Input>,
    status: Arc<Mutex<StoreStatus>>,
    task: Mutex<Option<JoinHandle<()>>>,
}

/// The store role of one daemon. Clones share one runtime, which ends when the last one is
/// dropped.
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
    /// Opens the data folder and starts the runtime. Must be called in a tokio runtime; it reads
    /// the log before it returns.
    pub fn start(settings: StoreSettings) -> Result<Self, StoreError> {
        let is_listed = settings.members.iter().any(|member| member.name == settings.name);
        if settings.membership == Membership::Records && !is_listed {
            return Err(StoreError::NotListed(settings.name));
        }
        let (log_store, stored) = LogStore::open_with(&settings.data_folder, settings.log_store.clone())?;
        let (events, event_queue) = mpsc::unbounded_channel::<Event>();
        let writer = Writer::start(log_store, events.clone()).map_err(StoreError::Thread)?;
        let (inputs, input_queue) = mpsc::channel(INPUT_QUEUE);
        let runtime = Runtime::new(settings, stored, writer, events)?;
        let status = runtime.status();
        let task = tokio::spawn(runtime.run(input_queue, event_queue));
        Ok(Self {
            shared: Arc::new(Shared {
                inputs,
                status,
                task: Mutex::new(Some(task)),
            }),
        })
    }

    /// Answers a call of a daemon: `Follow`, `Form`, `Propose`, `Query` or `Renew`.
    pub async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        let (reply, response) = oneshot::channel();
        let input = Input::Call {
            caller,
            reply,
            request,
        };
        match self.shared.inputs.send(input).await {
            Ok(()) => response.await.unwrap_or_else(|_| failed("the store has stopped")),
            // The call did not reach the runtime, so it had no effect.
            Err(_) => Response::NotLeader(NotLeader { leader: None }),
        }
    }

    /// Takes a message of another member. It never blocks; if the runtime is behind, the message
    /// is dropped.
    pub fn handle_consensus(&self, envelope: Envelope) {
        let _ = self.shared.inputs.try_send(Input::Consensus(envelope));
    }

    /// Reports the outcome of an effect of the planner. It is lost once the runtime has ended.
    pub async fn report(&self, event: JobEvent) {
        let _ = self.shared.inputs.send(Input::Jobs(event)).await;
    }

    /// Returns the latest state. After the runtime has ended the member counts as a follower.
    pub fn status(&self) -> StoreStatus {
        let status = self.shared.status.lock();
        let mut status = status.unwrap_or_else(PoisonError::into_inner).clone();
        if self.shared.inputs.is_closed() {
            status.leader = None;
            status.role = Role::Follower;
        }
        status
    }

    /// Stops the runtime and waits until queued writes are done and the folder is released.
    ///
    /// A leader first answers the calls it has accepted and hands its leadership over. Messages of
    /// other members must reach `consensus` until this returns.
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
