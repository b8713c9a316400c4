//! Metrics of a daemon, in the OpenMetrics text format.

use {
    crate::{process_collector::ProcessCollector, worker_traffic::WorkerTraffic},
    fuchsiatack_model::{Outcome, TeamName},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{
        collections::HashSet,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Maximum number of teams with labels of their own; further teams are not exported.
const MAX_TEAMS: usize = 512;
/// Upper bound of the smallest bucket of the time histograms, in seconds.
const SMALLEST_BUCKET_SECONDS: f64 = 0.000_5;
/// Factor between two buckets. With it, 18 buckets reach from 0.5 ms to about a minute.
const BUCKET_FACTOR: f64 = 2.0;
const BUCKETS: u16 = 18;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LimitLabels {
    address: &'static str,
    limit: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabel {
    team: String,
}

/// Metrics of one daemon.
pub(crate) struct Metrics {
    pub(crate) connections_dropped: Counter,
    pub(crate) datagrams_dropped: Counter,
    pub(crate) forwards: Counter,
    pub(crate) free_slots: Gauge,
    pub(crate) hints_dropped: Counter,
    pub(crate) index: Gauge,
    pub(crate) lease_valid: Gauge,
    pub(crate) retries: Counter,
    pub(crate) store_role: Gauge,
    pub(crate) worker_traffic: WorkerTraffic,
    client_limits: Family<LimitLabels, Counter>,
    outcomes: Family<OutcomeLabel, Counter>,
    registry: Registry,
    run_seconds: Histogram,
    running: Family<TeamLabel, Gauge>,
    teams: Mutex<HashSet<TeamName>>,
    wait_seconds: Histogram,
    waiting: Family<TeamLabel, Gauge>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            client_limits: Family::default(),
            connections_dropped: Counter::default(),
            datagrams_dropped: Counter::default(),
            forwards: Counter::default(),
            free_slots: Gauge::default(),
            hints_dropped: Counter::default(),
            index: Gauge::default(),
            lease_valid: Gauge::default(),
            outcomes: Family::default(),
            registry: Registry::with_prefix("fuchsiatack"),
            retries: Counter::default(),
            run_seconds: time_histogram(),
            running: Family::default(),
            store_role: Gauge::default(),
            teams: Mutex::default(),
            wait_seconds: time_histogram(),
            waiting: Family::default(),
            worker_traffic: WorkerTraffic::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns the text for `GET /metrics`.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a finished request or task by its outcome.
    pub(crate) fn count_outcome(&self, outcome: Outcome) {
        let outcome = outcome.as_str();
        self.outcomes.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a limit that a client of an address reached.
    pub(crate) fn count_limit(&self, address: &'static str, limit: &'static str) {
        let labels = LimitLabels { address, limit };
        self.client_limits.get_or_create(&labels).inc();
    }

    /// Records the time that a task ran.
    pub(crate) fn observe_run(&self, time: Duration) {
        self.run_seconds.observe(time.as_secs_f64());
    }

    /// Records the time that a task waited for its start.
    pub(crate) fn observe_wait(&self, time: Duration) {
        self.wait_seconds.observe(time.as_secs_f64());
    }

    /// Sets the numbers of running and waiting tasks, in this order, of each team. Teams that are not
    /// listed are set to 0.
    pub(crate) fn set_usage(&self, usage: &[(TeamName, u32, u32)]) {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        for team in teams.iter() {
            let label = label_of(team);
            self.running.get_or_create(&label).set(0);
            self.waiting.get_or_create(&label).set(0);
        }
        for (team, running, waiting) in usage {
            if teams.len() < MAX_TEAMS {
                teams.insert(team.clone());
            }
            if teams.contains(team) {
                let label = label_of(team);
                self.running.get_or_create(&label).set(i64::from(*running));
                self.waiting.get_or_create(&label).set(i64::from(*waiting));
            }
        }
    }

    /// Stops exporting a team that no record names any more.
    pub(crate) fn remove_team(&self, team: &TeamName) {
        let mut teams = self.teams.lock().unwrap_or_else(PoisonError::into_inner);
        if teams.remove(team) {
            self.running.remove(&label_of(team));
            self.waiting.remove(&label_of(team));
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "client_limits",
            "Times that clients reached a limit, by address and limit",
            self.client_limits.clone(),
        );
        registry.register(
            "connections_dropped",
            "Peer connections closed for a wrong proof, tag or frame",
            self.connections_dropped.clone(),
        );
        registry.register(
            "datagrams_dropped",
            "Datagrams with a wrong tag or content",
            self.datagrams_dropped.clone(),
        );
        registry.register("forwards", "Requests forwarded to a peer", self.forwards.clone());
        registry.register(
            "free_slots",
            "Free slots on owned workers",
            self.free_slots.clone(),
        );
        registry.register(
            "hints_dropped",
            "Load hints of unknown sessions or with an old sequence",
            self.hints_dropped.clone(),
        );
        registry.register(
            "index",
            "Log index up to which the directory is applied",
            self.index.clone(),
        );
        registry.register(
            "lease_valid",
            "1 while the session lease is valid",
            self.lease_valid.clone(),
        );
        registry.register("requests", "Finished requests by outcome", self.outcomes.clone());
        registry.register(
            "retries",
            "Idempotent tasks run again after a lost attempt",
            self.retries.clone(),
        );
        registry.register("run_seconds", "Time that tasks ran", self.run_seconds.clone());
        registry.register_collector(Box::new(ProcessCollector));
        registry.register("running", "Running tasks by team", self.running.clone());
        registry.register(
            "store_role",
            "0 without the store role, 1 as follower, 2 as leader",
            self.store_role.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time that tasks waited for their start",
            self.wait_seconds.clone(),
        );
        registry.register("waiting", "Waiting tasks by team", self.waiting.clone());
        registry.register(
            "worker_bytes",
            "Bytes of the bodies of announcements, epochs and leases by direction and kind",
            self.worker_traffic.bytes.clone(),
        );
    }
}

fn label_of(team: &TeamName) -> TeamLabel {
    TeamLabel {
        team: team.to_string(),
    }
}

fn time_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        SMALLEST_BUCKET_SECONDS,
        BUCKET_FACTOR,
        BUCKETS,
    ))
}
