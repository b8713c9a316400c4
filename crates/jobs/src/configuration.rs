//! Configuration of the cell, as an operator writes it.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{QueueName, Resources, TeamName},
    smol_str::SmolStr,
};

/// Cost and validity of the placement advice that a queue needs.
#[message]
pub struct AdvicePolicy {
    /// Time of one answer without its workers, in microseconds.
    pub base_us: u64,
    /// Time that each named worker adds, in microseconds.
    pub per_worker_us: u64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

impl AdvicePolicy {
    /// Returns the time of an answer for a number of workers, in milliseconds.
    pub fn response_ms(&self, workers: usize) -> u64 {
        (self.base_us + self.per_worker_us * workers as u64).div_ceil(1_000)
    }
}

/// A queue and its policy.
#[message]
pub struct Queue {
    /// Advice that its steps need.
    pub advice: Option<AdvicePolicy>,
    /// Host that callers name.
    pub host: SmolStr,
    /// Whether calls need no key.
    pub is_open: bool,
    /// Failed runs after which a task, and its job, has failed.
    pub max_attempts: u32,
    /// Name.
    pub name: QueueName,
    /// Prefix of the paths that callers name.
    pub path_prefix: SmolStr,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Service whose workers run the tasks.
    pub service: SmolStr,
    /// Factor of the longest chain of work in the job's latency objective.
    pub stretch: f64,
    /// Constant part of the job's latency objective in milliseconds.
    pub target_latency_ms: u64,
}

/// A team with its keys and limits.
#[message]
pub struct Team {
    /// Keys of the team.
    pub keys: Vec<SmolStr>,
    /// What it may have running at a time; 0 of a resource means no limit.
    pub limit: Resources,
    /// Name.
    pub name: TeamName,
    /// Share when everything is full.
    pub weight: u32,
}

/// One version of the configuration.
#[message]
pub struct Configuration {
    /// The document as it was written, byte for byte.
    pub document: Vec<u8>,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services, sorted.
    pub services: Vec<SmolStr>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Version; the highest is in force.
    pub version: u64,
}

impl Configuration {
    /// Returns the queue of a host and path, and the rest of the path behind the longest prefix.
    pub fn route<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<(&'a Queue, &'b str)> {
        let matches = |queue: &&Queue| queue.host == host && path.starts_with(queue.path_prefix.as_str());
        let queue = self
            .queues
            .iter()
            .filter(matches)
            .max_by_key(|queue| queue.path_prefix.len())?;
        Some((queue, &path[queue.path_prefix.len()..]))
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }

    /// Returns the team that holds a key.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams
            .iter()
            .find(|team| team.keys.iter().any(|held| held == key))
    }

    /// Returns the team with a name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }
}
