//! Settings of the load generator.

use {
    fuchsiatack_model::{KeyName, QueueName, TeamName},
    std::{net::SocketAddr, ops::Range, path::PathBuf, time::Duration},
};

/// Times at which requests are started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Closed loop: each caller starts its next request once the previous one has its outcome.
    Closed,
    /// Open loop: requests start at a fixed rate, whether or not earlier ones have ended.
    Open {
        /// Requests per second of all callers together, above 0.
        per_second: f64,
    },
    /// Open loop with exponentially distributed times between starts, as of many independent callers.
    Poisson {
        /// Mean requests per second of all callers together, above 0.
        per_second: f64,
    },
}

/// A team whose callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadTeam {
    /// Secret of the key; absent for an open queue.
    pub key: Option<String>,
    /// Name of the key record for the event log; absent for an open queue.
    pub key_name: Option<KeyName>,
    /// Name of the team in the report and the event log.
    pub name: TeamName,
    /// Share of the requests relative to the other teams' weights.
    pub weight: u32,
}

/// Settings of one run of the load generator.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// Range of the padding's length in a body, in bytes.
    pub body_bytes: Range<usize>,
    /// Maximum number of concurrent callers. In an open loop, a request that finds all of them busy is
    /// skipped and counted.
    pub callers: usize,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Time for which new requests are started.
    pub duration: Duration,
    /// Addresses of entry VMs; each attempt goes to a random one, a resend to another one than before.
    pub entries: Vec<SocketAddr>,
    /// Fraction of idempotent requests, in thousandths.
    pub idempotent_millis: u32,
    /// Event log of all attempts as JSON lines; not written if absent.
    pub log: Option<PathBuf>,
    /// Maximum number of requests that are started.
    pub max_requests: u64,
    /// Times at which requests are started.
    pub pace: Pace,
    /// Queue that the requests are sent to.
    pub queue: QueueName,
    /// Pause before a resend after a lost response.
    pub resend_pause: Duration,
    /// Maximum number of resends of a request, all with its identifier.
    pub resends: u32,
    /// Range of a task's run time on an ordinary worker, in milliseconds.
    pub run_ms: Range<u64>,
    /// Seed of all random choices; part of each request identifier.
    pub seed: u64,
    /// Teams whose callers send the requests; at least one.
    pub teams: Vec<LoadTeam>,
    /// Time beyond the deadline after which a response counts as lost.
    pub wait_margin: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            body_bytes: 0..200,
            callers: 8,
            deadline: Duration::from_secs(5),
            duration: Duration::from_secs(5),
            entries: Vec::new(),
            idempotent_millis: 500,
            log: None,
            max_requests: u64::MAX,
            pace: Pace::Closed,
            queue: QueueName::new("counter"),
            resend_pause: Duration::from_millis(200),
            resends: 5,
            run_ms: 5..50,
            seed: 1,
            teams: Vec::new(),
            wait_margin: Duration::from_secs(2),
        }
    }
}
