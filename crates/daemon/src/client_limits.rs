//! Settings of the limits on clients, and the counts of those that clients reach.

use {
    crate::{Settings, shared::Shared},
    fuchsiatack_http::{HttpLimits, JsonLimits, Limit, LimitObserver},
    serde::Deserialize,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Largest number of open connections of operators.
const OPERATOR_CONNECTIONS: usize = 256;
const BYTES_PER_MB: usize = 1 << 20;

/// Settings of the limits on clients, for both HTTP addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// Slowest rate at which a body may arrive after `rate_grace_ms`, in bytes per second.
    pub body_bytes_per_s: u64,
    /// Longest time from the first byte of a request head to its end, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time without a request on an open connection, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Largest number of open connections of callers from one IP address; no limit if absent.
    pub max_connections_per_address: Option<usize>,
    /// Largest nesting of a JSON body.
    pub max_depth: usize,
    /// Largest number of elements of all lists of a JSON body.
    pub max_elements: usize,
    /// Largest number of fields of all objects of a JSON body.
    pub max_fields: usize,
    /// Longest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest number of headers of a request.
    pub max_headers: usize,
    /// Largest number of requests that are taken from one read of a connection.
    pub max_pipelined: usize,
    /// Memory of the VM in MB. Clients can make the daemon hold half of it.
    pub memory_mb: usize,
    /// Time for which a body or a response may be slower than its rate, in milliseconds.
    pub rate_grace_ms: u64,
    /// Slowest rate at which a client may read a response after `rate_grace_ms`, in bytes per second.
    pub response_bytes_per_s: u64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        let limits = HttpLimits::default();
        Self {
            body_bytes_per_s: limits.body_bytes_per_s,
            head_timeout_ms: limits.head_timeout.as_millis() as u64,
            idle_timeout_ms: limits.idle_timeout.as_millis() as u64,
            max_connections_per_address: limits.max_connections_per_address,
            max_depth: 32,
            max_elements: 65_536,
            max_fields: 131_072,
            max_head_bytes: 32 << 10,
            max_headers: 64,
            max_pipelined: limits.max_pipelined,
            memory_mb: 128,
            rate_grace_ms: limits.rate_grace.as_millis() as u64,
            response_bytes_per_s: limits.response_bytes_per_s,
        }
    }
}

impl ClientSettings {
    /// Returns the limits on the counts of a JSON body.
    pub(crate) fn json(&self) -> JsonLimits {
        JsonLimits {
            max_depth: self.max_depth,
            max_elements: self.max_elements,
            max_fields: self.max_fields,
        }
    }

    fn limits(&self, max_connections: usize, max_held_bytes: usize) -> HttpLimits {
        HttpLimits {
            body_bytes_per_s: self.body_bytes_per_s,
            head_timeout: Duration::from_millis(self.head_timeout_ms),
            idle_timeout: Duration::from_millis(self.idle_timeout_ms),
            max_connections,
            max_connections_per_address: None,
            max_head_bytes: self.max_head_bytes,
            max_headers: self.max_headers,
            max_held_bytes,
            max_pipelined: self.max_pipelined,
            rate_grace: Duration::from_millis(self.rate_grace_ms),
            response_bytes_per_s: self.response_bytes_per_s,
        }
    }
}

/// Returns the limits of the address for callers and workers.
pub(crate) fn caller_limits(settings: &Settings) -> HttpLimits {
    let clients = &settings.clients;
    let held_bytes = clients.memory_mb * BYTES_PER_MB * 3 / 8;
    HttpLimits {
        max_connections_per_address: clients.max_connections_per_address,
        ..clients.limits(settings.callers.max_connections, held_bytes)
    }
}

/// Returns the limits of the address for operators.
pub(crate) fn operator_limits(settings: &Settings) -> HttpLimits {
    let clients = &settings.clients;
    clients.limits(OPERATOR_CONNECTIONS, clients.memory_mb * BYTES_PER_MB / 8)
}

/// Counts the limits that clients of one address reach, and logs at most one of them in each second.
pub(crate) struct ClientLimitObserver {
    address: &'static str,
    /// Second of the last line since `started_at`, plus 1; 0 before the first.
    logged_s: AtomicU64,
    shared: Arc<Shared>,
    started_at: Instant,
}

impl ClientLimitObserver {
    pub(crate) fn new(address: &'static str, shared: Arc<Shared>) -> Self {
        Self {
            address,
            logged_s: AtomicU64::new(0),
            shared,
            started_at: Instant::now(),
        }
    }
}

impl LimitObserver for ClientLimitObserver {
    fn limit_reached(&self, limit: Limit) {
        self.shared.metrics.count_limit(self.address, limit.as_str());
        let second = self.started_at.elapsed().as_secs() + 1;
        if self.logged_s.swap(second, Ordering::AcqRel) != second {
            spdlog::warn!("a client reached a limit", kv: { address = self.address, limit = limit.as_str() });
        }
    }
}
