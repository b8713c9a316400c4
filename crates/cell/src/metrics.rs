//! Metrics of a daemon: call counters, latency histograms, and gauges for leadership and readiness.

use {
    fuchsiatack_jobs::CellReport,
    fuchsiatack_model::Resources,
    fuchsiatack_store::WorkMetrics,
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
    std::time::Duration,
};

/// Upper bound of the smallest latency bucket in seconds.
const SMALLEST_BUCKET_SECONDS: f64 = 0.001;
/// Ratio between the bounds of successive buckets. The 14 bounds range from 1 ms to 8 s.
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 14;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DataCenterLabel {
    data_center: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabel {
    event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LimitLabels {
    address: &'static str,
    limit: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PriorityLabel {
    priority: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResourceLabels {
    resource: &'static str,
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabels {
    service: String,
    team: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    priority: u32,
    reason: &'static str,
}

/// Metrics of one daemon. Label values come from fixed sets or are bounded in number, which bounds the
/// number of series.
pub(crate) struct Metrics {
    advice_in_flight: Gauge,
    advice_without_start: Gauge,
    call_seconds: Family<CallLabel, Histogram>,
    calls: Family<CallLabels, Counter>,
    client_limits: Family<LimitLabels, Counter>,
    cold_workers: Gauge,
    evacuated_runs: Family<DataCenterLabel, Gauge>,
    evacuated_workers: Family<DataCenterLabel, Gauge>,
    events: Family<EventLabel, Counter>,
    free: Family<ResourceLabels, Gauge>,
    lapsed_tickets: Gauge,
    largest_free: Family<ResourceLabels, Gauge>,
    pub(crate) leads: Gauge,
    longest_wait_ms: Family<PriorityLabel, Gauge>,
    pub(crate) ready: Gauge,
    registry: Registry,
    reserved_workers: Family<ServiceLabel, Gauge>,
    pub(crate) store_work: WorkMetrics,
    team_is_over: Family<TeamLabels, Gauge>,
    team_share: Family<TeamLabels, Gauge>,
    team_weight: Family<TeamLabels, Gauge>,
    untried_steps: Family<PriorityLabel, Gauge>,
    waiting_steps: Family<PriorityLabel, Gauge>,
    waits_ms: Family<WaitLabels, Gauge>,
    pub(crate) voters: Gauge,
    pub(crate) voters_in_contact: Gauge,
    withheld_workers: Family<ReasonLabel, Gauge>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let latency = || {
            Histogram::new(exponential_buckets(
                SMALLEST_BUCKET_SECONDS,
                BUCKET_FACTOR,
                BUCKET_COUNT,
            ))
        };
        let mut metrics = Self {
            advice_in_flight: Gauge::default(),
            advice_without_start: Gauge::default(),
            call_seconds: Family::new_with_constructor(latency),
            calls: Family::default(),
            client_limits: Family::default(),
            cold_workers: Gauge::default(),
            evacuated_runs: Family::default(),
            evacuated_workers: Family::default(),
            events: Family::default(),
            free: Family::default(),
            lapsed_tickets: Gauge::default(),
            largest_free: Family::default(),
            leads: Gauge::default(),
            longest_wait_ms: Family::default(),
            ready: Gauge::default(),
            registry: Registry::with_prefix("fuchsiatack"),
            reserved_workers: Family::default(),
            store_work: WorkMetrics::default(),
            team_is_over: Family::default(),
            team_share: Family::default(),
            team_weight: Family::default(),
            untried_steps: Family::default(),
            waiting_steps: Family::default(),
            waits_ms: Family::default(),
            voters: Gauge::default(),
            voters_in_contact: Gauge::default(),
            withheld_workers: Family::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("calls", "Calls by kind and outcome", metrics.calls.clone());
        registry.register(
            "call_seconds",
            "Duration of calls in seconds by kind",
            metrics.call_seconds.clone(),
        );
        registry.register(
            "client_limits",
            "Times that clients reached a limit, by address and limit",
            metrics.client_limits.clone(),
        );
        registry.register(
            "cold_workers",
            "Workers that are slow after their start; on the leader",
            metrics.cold_workers.clone(),
        );
        registry.register(
            "withheld_workers",
            "Workers that get no new runs, or few, by reason; on the leader",
            metrics.withheld_workers.clone(),
        );
        registry.register(
            "evacuated_runs",
            "Runs that have not ended in an evacuated data centre; on the leader",
            metrics.evacuated_runs.clone(),
        );
        registry.register(
            "evacuated_workers",
            "Registered workers of an evacuated data centre; on the leader",
            metrics.evacuated_workers.clone(),
        );
        registry.register(
            "leader_events",
            "Log events of the leader by text, also those that the log leaves out",
            metrics.events.clone(),
        );
        registry.register(
            "leads",
            "1 while the daemon is the leader of the store",
            metrics.leads.clone(),
        );
        registry.register(
            "ready",
            "1 while the daemon is ready for requests of callers",
            metrics.ready.clone(),
        );
        registry.register(
            "store_voters",
            "Voters in the member list of the store",
            metrics.voters.clone(),
        );
        registry.register(
            "store_voters_in_contact",
            "Voters that the leader of the store has contact to; 0 on other daemons",
            metrics.voters_in_contact.clone(),
        );
        registry.register(
            "advice_in_flight",
            "Advice requests without a response; on the leader",
            metrics.advice_in_flight.clone(),
        );
        registry.register(
            "free",
            "Free amount of a resource on the workers of a service; on the leader",
            metrics.free.clone(),
        );
        registry.register(
            "largest_free",
            "Largest free amount of a resource on one worker of a service; on the leader",
            metrics.largest_free.clone(),
        );
        registry.register(
            "advice_without_start",
            "Responses of the advice service whose tickets expired without a start while the step waited; on the leader, since it leads",
            metrics.advice_without_start.clone(),
        );
        registry.register(
            "lapsed_tickets",
            "Tickets that were requested again since they had expired unused; on the leader, since it leads",
            metrics.lapsed_tickets.clone(),
        );
        registry.register(
            "reserved_workers",
            "Workers of a service on which room is reserved for a waiting step; on the leader",
            metrics.reserved_workers.clone(),
        );
        registry.register(
            "team_share_thousandths",
            "Dominant share of the runs of a team in a service, for the largest ones; on the leader",
            metrics.team_share.clone(),
        );
        registry.register(
            "team_is_over_share",
            "1 while a team uses more than its share and steps wait for capacity; on the leader",
            metrics.team_is_over.clone(),
        );
        registry.register(
            "team_weight",
            "Weight of a team that has one of the largest shares; on the leader",
            metrics.team_weight.clone(),
        );
        registry.register(
            "waits_ms",
            "Time that steps have waited in milliseconds, by priority and reason; on the leader, since it leads",
            metrics.waits_ms.clone(),
        );
        registry.register(
            "longest_wait_ms",
            "Time for which the longest waiting step has waited, in milliseconds, by priority; on the leader",
            metrics.longest_wait_ms.clone(),
        );
        registry.register(
            "untried_steps",
            "Waiting steps that no planning pass has tried in the last second, by priority; on the leader",
            metrics.untried_steps.clone(),
        );
        registry.register(
            "waiting_steps",
            "Steps with waiting tasks by priority; on the leader",
            metrics.waiting_steps.clone(),
        );
        metrics.store_work.register(&mut metrics.registry);
        metrics
    }

    /// Records a completed call with its outcome and duration.
    pub(crate) fn record_call(&self, call: &'static str, outcome: &'static str, duration: Duration) {
        self.calls.get_or_create(&CallLabels { call, outcome }).inc();
        let seconds = self.call_seconds.get_or_create(&CallLabel { call });
        seconds.observe(duration.as_secs_f64());
    }

    /// Counts a log event of the leader.
    pub(crate) fn record_event(&self, event: &'static str) {
        self.events.get_or_create(&EventLabel { event }).inc();
    }

    /// Counts a limit that a client of an address reached.
    pub(crate) fn record_limit(&self, address: &'static str, limit: &'static str) {
        let labels = LimitLabels { address, limit };
        self.client_limits.get_or_create(&labels).inc();
    }

    /// Replaces the report on the cell. Series that are not in it are removed.
    pub(crate) fn set_report(&self, report: &CellReport) {
        self.set_backlog(report);
        self.set_evacuations(report);
        self.set_rooms(report);
        self.cold_workers.set(report.cold_workers as i64);
        self.set_withheld_workers(report);
        self.set_shares(report);
        self.advice_in_flight.set(report.advice_in_flight as i64);
        self.advice_without_start.set(report.calls_without_start as i64);
        self.lapsed_tickets.set(report.lapsed_tickets as i64);
    }

    fn set_backlog(&self, report: &CellReport) {
        self.longest_wait_ms.clear();
        self.untried_steps.clear();
        self.waiting_steps.clear();
        self.waits_ms.clear();
        for entry in &report.backlog {
            let priority = entry.priority;
            let label = PriorityLabel { priority };
            let longest_wait_ms = self.longest_wait_ms.get_or_create(&label);
            longest_wait_ms.set(entry.longest_wait_ms as i64);
            let untried_steps = self.untried_steps.get_or_create(&label);
            untried_steps.set(entry.untried_steps as i64);
            let waiting_steps = self.waiting_steps.get_or_create(&label);
            waiting_steps.set(entry.waiting_steps as i64);
            for (reason, waited_ms) in entry.waits.iter() {
                let reason = reason.as_str();
                let waits_ms = self.waits_ms.get_or_create(&WaitLabels { priority, reason });
                waits_ms.set(waited_ms as i64);
            }
        }
    }

    fn set_evacuations(&self, report: &CellReport) {
        self.evacuated_runs.clear();
        self.evacuated_workers.clear();
        for evacuation in &report.evacuations {
            let label = DataCenterLabel {
                data_center: evacuation.data_center.to_string(),
            };
            let runs = self.evacuated_runs.get_or_create(&label);
            runs.set(evacuation.runs as i64);
            let workers = self.evacuated_workers.get_or_create(&label);
            workers.set(evacuation.workers as i64);
        }
    }

    fn set_withheld_workers(&self, report: &CellReport) {
        self.withheld_workers.clear();
        for (reason, workers) in &report.withheld_workers {
            let reason = reason.as_str();
            let withheld = self.withheld_workers.get_or_create(&ReasonLabel { reason });
            withheld.set(*workers as i64);
        }
    }

    fn set_rooms(&self, report: &CellReport) {
        self.free.clear();
        self.largest_free.clear();
        self.reserved_workers.clear();
        for room in &report.rooms {
            let service = room.service.to_string();
            set_resources(&self.free, &service, &room.free);
            set_resources(&self.largest_free, &service, &room.largest_free);
            let reserved_workers = self.reserved_workers.get_or_create(&ServiceLabel { service });
            reserved_workers.set(room.reserved_workers as i64);
        }
    }

    fn set_shares(&self, report: &CellReport) {
        self.team_is_over.clear();
        self.team_share.clear();
        self.team_weight.clear();
        for entry in &report.shares {
            let label = TeamLabels {
                service: entry.service.to_string(),
                team: entry.team.to_string(),
            };
            let is_over = self.team_is_over.get_or_create(&label);
            is_over.set(i64::from(entry.is_over));
            let share = self.team_share.get_or_create(&label);
            share.set(entry.share_thousandths as i64);
            let weight = self.team_weight.get_or_create(&label);
            weight.set(i64::from(entry.weight));
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode_text(&self) -> String {
        let mut text = String::new();
        // Encoding into a string fails only for a malformed metric, which tests detect.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn set_resources(family: &Family<ResourceLabels, Gauge>, service: &str, amounts: &Resources) {
    let amounts = [
        ("accelerators", i64::from(amounts.accelerators)),
        ("memory_bytes", amounts.memory_bytes as i64),
        ("processors_millis", i64::from(amounts.processors_millis)),
    ];
    for (resource, amount) in amounts {
        let service = service.to_owned();
        family
            .get_or_create(&ResourceLabels { resource, service })
            .set(amount);
    }
}
