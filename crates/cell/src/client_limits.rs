//! Limits on the clients of a daemon, one set for each address, and their metrics and log events.

use {
    crate::{log, metrics::Metrics},
    fuchsiatack_derives::value,
    fuchsiatack_http::{HttpLimits, JsonLimits, Limit, LimitObserver},
    fuchsiatack_jobs::LogEvent,
    std::sync::Arc,
};

/// Descriptors of a VM that are for files.
const FILE_DESCRIPTORS: usize = 200;
/// Smallest number of connections of an address, for a probe and an operator beside others.
const MIN_CONNECTIONS: usize = 4;
const BYTES_PER_MB: usize = 1 << 20;
/// Longest body of a caller in bytes, the `maxBodyBytes` of the platform's configurations.
const CALLER_BODY_BYTES: usize = 262_144;
/// Longest body of a worker or operator in bytes.
const CONTROL_BODY_BYTES: usize = 4 << 20;
/// Nesting of a message is at most 6; the decoder would stop at 128.
const MAX_DEPTH: usize = 32;
/// A caller's body of legal length has at most 21,845 steps with a field each.
const CALLER_ELEMENTS: usize = 32_768;
/// A caller's body of legal length has at most 43,690 fields, with names and values of one byte.
const CALLER_FIELDS: usize = 65_536;
/// A configuration of hundreds of routes, teams and keys has below 10,000 elements.
const CONTROL_ELEMENTS: usize = 131_072;
/// A configuration of hundreds of routes, teams and keys has below 20,000 fields.
const CONTROL_FIELDS: usize = 262_144;

/// Limits on the clients of one daemon.
#[value]
pub struct ClientLimits {
    /// Limits on the bodies of callers.
    pub caller_json: JsonLimits,
    /// Limits of the callers' address.
    pub callers: HttpLimits,
    /// Limits of the address for workers and operators.
    pub control: HttpLimits,
    /// Limits on the bodies of workers and operators.
    pub control_json: JsonLimits,
    /// Longest body of a caller in bytes.
    pub max_caller_body_bytes: usize,
    /// Longest body of a worker or operator in bytes.
    pub max_control_body_bytes: usize,
    /// Limits of the metrics address.
    pub metrics: HttpLimits,
    /// Limits of the address for readiness probes.
    pub readiness: HttpLimits,
}

impl ClientLimits {
    /// Descriptors that are assumed without a setting: those of a VM of the core role.
    pub const DEFAULT_DESCRIPTORS: usize = 4_096;
    /// Memory of a VM that is assumed without a setting, in MB: that of the smallest VMs.
    pub const DEFAULT_MEMORY_MB: usize = 128;

    /// Returns the limits for a VM with this memory in MB and this number of descriptors. Each address has a
    /// part of both. What is left is for the daemon itself and for its connections to others.
    pub fn for_vm(memory_mb: usize, descriptors: usize) -> Self {
        let bytes = memory_mb * BYTES_PER_MB;
        let connections = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let limits = |max_connections: usize, max_held_bytes| HttpLimits {
            max_connections: max_connections.max(MIN_CONNECTIONS),
            max_held_bytes,
            ..HttpLimits::default()
        };
        Self {
            caller_json: JsonLimits {
                max_depth: MAX_DEPTH,
                max_elements: CALLER_ELEMENTS,
                max_fields: CALLER_FIELDS,
            },
            callers: limits(connections * 7 / 8, bytes / 3),
            control: limits(connections * 5 / 8, bytes / 4),
            control_json: JsonLimits {
                max_depth: MAX_DEPTH,
                max_elements: CONTROL_ELEMENTS,
                max_fields: CONTROL_FIELDS,
            },
            max_caller_body_bytes: CALLER_BODY_BYTES,
            max_control_body_bytes: CONTROL_BODY_BYTES,
            metrics: limits(connections / 64, bytes / 32),
            readiness: limits(connections / 32, bytes / 32),
        }
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self::for_vm(Self::DEFAULT_MEMORY_MB, Self::DEFAULT_DESCRIPTORS)
    }
}

/// Counts and logs the limits that clients of one address reach.
pub(crate) struct ClientLimitObserver {
    pub(crate) address: &'static str,
    pub(crate) metrics: Arc<Metrics>,
}

impl LimitObserver for ClientLimitObserver {
    fn limit_reached(&self, limit: Limit) {
        self.metrics.record_limit(self.address, limit.as_str());
        log(LogEvent::new("client limit reached")
            .with("address", self.address)
            .with("limit", limit.as_str()));
    }
}
