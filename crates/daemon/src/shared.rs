//! What the parts of a daemon share.

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

/// Parts that every request needs.
pub(crate) struct Shared {
    pub(crate) adapter: Arc<dyn WorkerAdapter>,
    pub(crate) daemon: DaemonInfo,
    pub(crate) engine: EngineHandle,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) open_requests: OpenCount,
    /// Tasks of queued works other than services.
    pub(crate) open_work_tasks: OpenCount,
    pub(crate) operator_key: [u8; blake3::OUT_LEN],
    pub(crate) peers: Peers,
    pub(crate) session: Session,
    pub(crate) settings: Settings,
    pub(crate) stopping: Stopping,
    pub(crate) store: StoreRole,
    pub(crate) traces: Traces,
    /// Ends that are known but not committed yet.
    pub(crate) uncommitted_ends: OpenCount,
}

/// Progress of a planned stop.
#[derive(Default)]
pub(crate) struct Stopping {
    not_ready: AtomicBool,
    refusing: AtomicBool,
}

impl Stopping {
    /// Makes readiness false.
    pub(crate) fn set_not_ready(&self) {
        self.not_ready.store(true, Ordering::Release);
    }

    /// Refuses new requests from now on.
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

/// Count of what must end before the daemon may exit.
#[derive(Clone, Default)]
pub(crate) struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    /// Counts one more until the guard is dropped.
    pub(crate) fn enter(&self) -> OpenGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.0.clone())
    }

    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// One open request or unfinished write.
pub(crate) struct OpenGuard(Arc<AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
