//! Limit on the number of open connections of an HTTP server.

use {
    salvo::{
        conn::ConnCtrl,
        fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy},
    },
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Number of connections over the limit that get one response with an error. Further ones are
/// closed at once.
const MAX_REJECTED_CONNECTIONS: usize = 64;

#[derive(Default)]
struct Counts {
    open: AtomicUsize,
    over_limit: Mutex<HashSet<SocketAddr>>,
}

/// Counts open connections, and marks those that were opened while the limit was reached. Clones
/// share the count.
#[derive(Clone)]
pub(crate) struct ConnectionLimiter {
    config: FuseConfig,
    counts: Arc<Counts>,
    limit: usize,
}

impl ConnectionLimiter {
    pub(crate) fn new(limit: usize, config: FuseConfig) -> Self {
        Self {
            config,
            counts: Arc::default(),
            limit,
        }
    }

    /// Returns whether the connection from `remote` was opened while the limit was reached.
    pub(crate) fn is_over(&self, remote: Option<SocketAddr>) -> bool {
        remote.is_some_and(|remote| self.counts.over_limit().contains(&remote))
    }
}

impl Counts {
    fn over_limit(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.over_limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[salvo::async_trait]
impl FusePolicy for ConnectionLimiter {
    async fn decide(&self, _info: &FuseInfo) -> FuseAction {
        match self.counts.open.load(Ordering::Acquire) >= self.limit + MAX_REJECTED_CONNECTIONS {
            true => FuseAction::Reject,
            false => FuseAction::Accept(self.config),
        }
    }

    fn observe(&self, info: &FuseInfo, _control: &ConnCtrl) -> Option<ArcConnObserver> {
        let before = self.counts.open.fetch_add(1, Ordering::AcqRel);
        let remote = info.remote_addr.clone().into_std();
        let over_limit = remote.filter(|_| before >= self.limit);
        if let Some(remote) = over_limit {
            self.counts.over_limit().insert(remote);
        }
        Some(Arc::new(OpenConnection {
            counts: self.counts.clone(),
            over_limit,
        }))
    }
}

/// An open connection, which is counted until this is dropped.
struct OpenConnection {
    counts: Arc<Counts>,
    over_limit: Option<SocketAddr>,
}

impl ConnObserver for OpenConnection {}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::AcqRel);
        if let Some(remote) = self.over_limit {
            self.counts.over_limit().remove(&remote);
        }
    }
}
