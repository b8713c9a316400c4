//! Settings of the load generator.

use {
    fuchsiatack_model::{KeyName, QueueName, TeamName},
    std::{net::SocketAddr, ops::Range, path::PathBuf, time::Duration},
};

/// When a caller sends its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Each of the callers sends the next request when the last has its outcome.
    Closed,
    /// All callers together start this many requests a second, whether or not others have ended.
    Open {
        /// Requests a second, above 0.
        per_second: f64,
    },
    /// As `Open`, with random times between starts as of many independent callers.
    Poisson {
        /// Mean number of requests a second, above 0.
        per_second: f64,
    },
}

/// A team whose callers send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadTeam {
    /// Secret of the key; without one, requests go to an open queue.
    pub key: Option<String>,
    /// Name of the key record, for the outcomes.
    pub key_name: Option<KeyName>,
    /// Name, for the outcomes.
    pub name: TeamName,
    /// Part of the requests relative to other teams.
    pub weight: u32,
}

/// Settings of one run of the load generator.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSettings {
    /// Length of the padding of a body in bytes.
    pub body_bytes: Range<usize>,
    /// Callers at a time. In an open loop, requests beyond it are not sent and are counted.
    pub callers: usize,
    /// Deadline that requests carry.
    pub deadline: Duration,
    /// How long requests are started.
    pub duration: Duration,
    /// Entry VMs; each attempt goes to a random one.
    pub entries: Vec<SocketAddr>,
    /// Part of idempotent requests, in thousandths.
    pub idempotent_millis: u32,
    /// File for outcomes as JSON lines.
    pub log: Option<PathBuf>,
    /// Most requests that are started.
    pub max_requests: u64,
    /// When requests are sent.
    pub pace: Pace,
    /// Queue that they are sent to.
    pub queue: QueueName,
    /// Pause before the same id is sent again after a lost answer.
    pub resend_pause: Duration,
    /// Most attempts with the same id after the first.
    pub resends: u32,
    /// Run time of a task on an ordinary worker, in milliseconds.
    pub run_ms: Range<u64>,
    /// Seed of all random choices. It is part of each request id.
    pub seed: u64,
    /// Teams.
    pub teams: Vec<LoadTeam>,
    /// Time beyond the deadline after which an answer counts as lost.
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
