//! Limits of a server, and their names in metrics and logs.

use {displaydoc::Display, fuchsiatack_derives::value, std::time::Duration};

/// Largest number of headers that hyper reads without an allocation for each request.
const DEFAULT_HEADERS: usize = 100;
/// Smallest buffer of a connection that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Limits of one server.
#[value]
pub struct HttpLimits {
    /// Slowest rate at which a body may arrive, in bytes per second; checked after `rate_grace`.
    pub body_bytes_per_s: u64,
    /// Longest time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Longest time without a request on an open connection.
    pub idle_timeout: Duration,
    /// Largest number of open connections.
    pub max_connections: usize,
    /// Largest number of open connections from one IP address; `None` if the clients share an address, as
    /// behind a load balancer.
    pub max_connections_per_address: Option<usize>,
    /// Longest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest number of headers of a request.
    pub max_headers: usize,
    /// Bytes that all clients together can make the server hold.
    pub max_held_bytes: usize,
    /// Largest number of requests that are taken from one read of a connection.
    pub max_pipelined: usize,
    /// Time for which a body or a response may be slower than its rate.
    pub rate_grace: Duration,
    /// Slowest rate at which a client may read a response, in bytes per second; checked after `rate_grace`.
    pub response_bytes_per_s: u64,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_bytes_per_s: 4 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            max_connections: 4_096,
            max_connections_per_address: None,
            max_head_bytes: 24 << 10,
            max_headers: DEFAULT_HEADERS,
            max_held_bytes: 32 << 20,
            max_pipelined: 64,
            rate_grace: Duration::from_secs(15),
            response_bytes_per_s: 4 << 10,
        }
    }
}

impl HttpLimits {
    /// Checks that the limits can be kept. Returns the first one that cannot.
    pub fn check(&self) -> Result<(), LimitError> {
        match () {
            () if self.max_connections == 0 => Err(LimitError::Zero("max_connections")),
            () if self.max_connections_per_address == Some(0) => {
                Err(LimitError::Zero("max_connections_per_address"))
            }
            () if self.max_headers == 0 => Err(LimitError::Zero("max_headers")),
            () if self.max_pipelined == 0 => Err(LimitError::Zero("max_pipelined")),
            () if self.head_timeout.is_zero() => Err(LimitError::Zero("head_timeout")),
            () if self.idle_timeout.is_zero() => Err(LimitError::Zero("idle_timeout")),
            () if self.max_head_bytes < MIN_HEAD_BYTES => Err(LimitError::HeadTooShort(MIN_HEAD_BYTES)),
            () => Ok(()),
        }
    }

    /// Returns whether hyper needs another number of headers than its default.
    pub(crate) fn has_own_max_headers(&self) -> bool {
        self.max_headers != DEFAULT_HEADERS
    }
}

/// Why a limit cannot be used.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum LimitError {
    /// max_head_bytes must be at least {0}
    HeadTooShort(usize),
    /// {0} must not be 0
    Zero(&'static str),
}

impl std::error::Error for LimitError {}

/// A limit that a client reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Limit {
    /// Connections from one address.
    AddressConnections,
    /// Length of a body.
    BodyBytes,
    /// Rate at which a body arrives.
    BodyRate,
    /// Open connections.
    Connections,
    /// Nesting of a JSON body.
    Depth,
    /// Elements of a JSON body.
    Elements,
    /// Fields of a JSON body.
    Fields,
    /// Length or number of headers of a request head.
    Head,
    /// Time for a request head.
    HeadTime,
    /// Bytes that clients make the server hold.
    HeldBytes,
    /// Time without a request.
    IdleTime,
    /// Requests taken from one read.
    Pipelined,
    /// Rate at which a client reads a response.
    ResponseRate,
}

impl Limit {
    /// Returns the name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AddressConnections => "address_connections",
            Self::BodyBytes => "body_bytes",
            Self::BodyRate => "body_rate",
            Self::Connections => "connections",
            Self::Depth => "depth",
            Self::Elements => "elements",
            Self::Fields => "fields",
            Self::Head => "head",
            Self::HeadTime => "head_time",
            Self::HeldBytes => "held_bytes",
            Self::IdleTime => "idle_time",
            Self::Pipelined => "pipelined",
            Self::ResponseRate => "response_rate",
        }
    }
}

/// Learns of the limits that clients reach, for metrics and the log.
pub trait LimitObserver: Send + Sync + 'static {
    /// Called each time that a client reaches a limit.
    fn limit_reached(&self, limit: Limit);
}
