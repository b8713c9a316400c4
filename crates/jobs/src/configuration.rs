//! Configuration of the cell: queues, teams and services that an operator defines.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{QueueName, Resources, TeamName},
    smol_str::SmolStr,
};

/// Cost and validity of the placement advice that the steps of a queue need.
#[message]
pub struct AdvicePolicy {
    /// Fixed part of the advice service's response time, in microseconds.
    pub base_us: u64,
    /// Response time that each requested worker adds, in microseconds.
    pub per_worker_us: u64,
    /// Validity of a ticket in milliseconds, if the response states none.
    pub valid_ms: u64,
}

impl AdvicePolicy {
    /// Returns the expected response time for a number of workers, in milliseconds.
    pub fn response_ms(&self, workers: usize) -> u64 {
        (self.base_us + self.per_worker_us * workers as u64).div_ceil(1_000)
    }
}

/// A queue with its route and its scheduling policy.
#[message]
pub struct Queue {
    /// Advice policy; `None` if the steps need no advice.
    pub advice: Option<AdvicePolicy>,
    /// Host of the queue's requests.
    pub host: SmolStr,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Number of failed runs of one task after which its job fails; 0 counts as 1. Failures of
    /// the members of a gang in the same run count once.
    pub max_attempts: u32,
    /// Name by which jobs refer to the queue.
    pub name: QueueName,
    /// Prefix of the paths of the queue's requests. The longest matching prefix wins.
    pub path_prefix: SmolStr,
    /// Priority; lower numbers are placed first.
    pub priority: u32,
    /// Service whose workers run the tasks.
    pub service: SmolStr,
    /// Factor by which the longest chain of estimated durations enters the latency objective of a
    /// job.
    pub stretch: f64,
    /// Constant part of the latency objective of a job, in milliseconds.
    pub target_latency_ms: u64,
}

/// A team with its keys and limits.
#[message]
pub struct Team {
    /// Keys that identify requests of the team.
    pub keys: Vec<SmolStr>,
    /// Maximum resources of its running tasks; 0 means no limit for that resource.
    pub limit: Resources,
    /// Name by which jobs refer to the team.
    pub name: TeamName,
    /// Weight of the team's share when all capacity is in use.
    pub weight: u32,
}

/// One version of the cell's configuration.
#[message]
pub struct Configuration {
    /// Document as the operator sent it, byte for byte.
    pub document: Vec<u8>,
    /// Queues in the order of the document.
    pub queues: Vec<Queue>,
    /// Names of the services, sorted.
    pub services: Vec<SmolStr>,
    /// Teams in the order of the document.
    pub teams: Vec<Team>,
    /// Version number; the highest stored one is in force.
    pub version: u64,
}

impl Configuration {
    /// Returns the queue with the longest matching prefix for a host and path, and the rest of the
    /// path after that prefix; `None` if no queue matches.
    pub fn route<'a, 'b>(&'a self, host: &str, path: &'b str) -> Option<(&'a Queue, &'b str)> {
        let matches = |queue: &&Queue| queue.host == host && path.starts_with(queue.path_prefix.as_str());
        let queue = self
            .queues
            .iter()
            .filter(matches)
            .max_by_key(|queue| queue.path_prefix.len())?;
        Some((queue, &path[queue.path_prefix.len()..]))
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }

    /// Returns the team that the key identifies.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        self.teams
            .iter()
            .find(|team| team.keys.iter().any(|present| present == key))
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }
}
