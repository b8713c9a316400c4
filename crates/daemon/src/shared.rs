//! State that the tasks of a daemon share.

use {
    crate::{
        Settings, engine_handle::EngineHandle, journal::Journal, metrics::Metrics, peers::Peers,
        store_role::StoreRole, traces::Traces, worker_adapter::WorkerAdapter,
    },
    fuchsiatack_ledger::DaemonInfo,
    fuchsiatack_session::Session,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

/// Components that are shared by the servers, the engine and the background tasks.
pub(crate) struct Shared {
    pub(crate) adapter: Arc<dyn WorkerAdapter>,
    pub(crate) daemon: DaemonInfo,
    pub(crate) engine: EngineHandle,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) open_requests: OpenCount,
    /// Tasks of queued works that wait or run here, other than those of services.
    pub(crate) open_work_tasks: OpenCount,
    pub(crate) operator_key: [u8; blake3::OUT_LEN],
    pub(crate) peers: Peers,
    pub(crate) session: Session,
    pub(crate) settings: Settings,
    pub(crate) stopping: Stopping,
    pub(crate) store: StoreRole,
    pub(crate) traces: Traces,
    /// Ends of requests and tasks that are known but not committed yet.
    pub(crate) uncommitted_ends: OpenCount,
}

/// Progress of a planned stop.
#[derive(Default)]
pub(crate) struct Stopping {
    not_ready: AtomicBool,
    refusing: AtomicBool,
}

impl Stopping {
    /// Makes `/ready` report false.
    pub(crate) fn set_not_ready(&self) {
        self.not_ready.store(true, Ordering::Release);
    }

    /// Starts to refuse new requests.
    pub(crate) fn set_refusing(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    pub(crate) fn is_not_ready(&self) -> bool {
        self.not_ready.load(Ordering::Acquire)
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }
}

/// Count of operations that must end before the daemon exits. Clones share the count.
#[derive(Clone, Default)]
pub(crate) struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    /// Adds one operation, which is counted until the guard is dropped.
    pub(crate) fn enter(&self) -> OpenGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.0.clone())
    }

    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// One counted operation.
pub(crate) struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
