//! The leader's view of a worker.

use {
    crate::{
        RunId, TaskKey, WithheldReason, WorkerCallError, WorkerHealth, clock_sample::ClockSample,
        cold_start::ColdPeriod,
    },
    fuchsiatack_model::Resources,
    std::collections::BTreeSet,
};

/// Delay of a heartbeat from which it does not count as the present state of its worker, in milliseconds.
const MAX_HEARTBEAT_DELAY_MS: u64 = 3_000;
/// Age of the last heartbeat from which its capacity counts as out of date, in milliseconds. Workers send
/// a heartbeat every 1.5 s and repeat one that is not acknowledged after a second.
const MAX_HEARTBEAT_AGE_MS: u64 = 4_500;
/// Time by which the clock of a worker may be ahead of its last reading and the time since, in milliseconds.
/// The reading may have been on its way for that long.
const MAX_CLOCK_LEAD_MS: u64 = 5_000;

/// Time from a message that a worker has left for which it may still respond before it ends, in milliseconds.
const LEAVE_SETTLING_MS: u64 = 1_000;

/// Maximum number of start orders to one worker that have no result yet. Each takes a connection.
const MAX_UNANSWERED_STARTS: usize = 64;
/// Maximum number of runs on one worker whose stop orders have no result yet. Each takes a connection.
const MAX_UNANSWERED_STOPS: usize = 64;

/// The first failed call since a worker last responded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    pub(crate) error: WorkerCallError,
    /// Time of the failure by the planner's clock in milliseconds.
    pub(crate) since_ms: u64,
}

/// What the leader knows of a worker in addition to its replicated entry. Times are by the
/// planner's clock in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    /// Time at which the renewal in flight was sent, if it acknowledges ends.
    pub(crate) acknowledgement_sent_ms: Option<u64>,
    /// Time of its last response to a hold order in its present incarnation.
    pub(crate) last_response_ms: u64,
    /// Time at which a check is due beside the renewals; set if the outcome of an order is not
    /// known.
    pub(crate) check_due_ms: Option<u64>,
    pub(crate) check_in_flight: bool,
    pub(crate) clock: Option<ClockSample>,
    pub(crate) cold: ColdPeriod,
    /// Number of failed calls since its last response.
    pub(crate) failures: u32,
    /// Latest end of a lease that was sent to it, by the worker's clock.
    pub(crate) granted_until_ms: u64,
    /// Time of its last heartbeat or response.
    pub(crate) last_contact_ms: u64,
    /// Time of its last heartbeat, which tells its capacity.
    pub(crate) last_heartbeat_ms: u64,
    pub(crate) health: WorkerHealth,
    pub(crate) hold_due_ms: u64,
    pub(crate) hold_in_flight: bool,
    /// Time from which the leader knows its present incarnation.
    pub(crate) incarnation_known_ms: u64,
    /// Time at which leases granted by earlier leaders, or to its earlier incarnation, have
    /// certainly expired.
    pub(crate) inherited_until_ms: u64,
    /// Suspected tasks that run on it; it gets no other runs until they have proved themselves.
    pub(crate) isolated: BTreeSet<TaskKey>,
    /// First failed call since its last response; `None` if no call has failed since.
    pub(crate) loss: Option<Loss>,
    /// Ends up to this number are recorded.
    pub(crate) last_seen: u64,
    /// Ends up to this number were acknowledged to the worker.
    pub(crate) last_acknowledged: u64,
    /// Whether heartbeats under its name were ignored since its present incarnation is known.
    pub(crate) has_ignored_heartbeats: bool,
    /// Time at which a message that it has left arrived; `None` if it has shown since that it has not.
    pub(crate) left_ms: Option<u64>,
    /// Whether its last report had rows that could not be decoded.
    pub(crate) has_unreadable_rows: bool,
    /// Tasks whose present run is on the worker.
    pub(crate) runs: BTreeSet<TaskKey>,
    /// Highest heartbeat number in its present incarnation.
    pub(crate) sequence: u64,
    /// No run is placed on it before this time.
    pub(crate) paused_until_ms: u64,
    /// Runs whose start orders have no result yet.
    pub(crate) unanswered_starts: BTreeSet<RunId>,
    /// Runs whose stop orders have no result yet.
    pub(crate) unanswered_stops: BTreeSet<RunId>,
    /// Sum of the resources that its runs reserve.
    pub(crate) used: Resources,
    /// Whether it answered a hold order of this leader in its present incarnation.
    pub(crate) is_verified: bool,
}

impl WorkerView {
    pub(crate) fn new(now_ms: u64, inherited_until_ms: u64) -> Self {
        Self {
            acknowledgement_sent_ms: None,
            last_response_ms: 0,
            check_due_ms: None,
            check_in_flight: false,
            clock: None,
            cold: ColdPeriod::default(),
            failures: 0,
            granted_until_ms: 0,
            last_contact_ms: now_ms,
            last_heartbeat_ms: now_ms,
            health: WorkerHealth::default(),
            hold_due_ms: now_ms,
            hold_in_flight: false,
            incarnation_known_ms: now_ms,
            inherited_until_ms,
            isolated: BTreeSet::new(),
            loss: None,
            last_seen: 0,
            has_ignored_heartbeats: false,
            left_ms: None,
            has_unreadable_rows: false,
            runs: BTreeSet::new(),
            sequence: 0,
            paused_until_ms: 0,
            last_acknowledged: 0,
            unanswered_starts: BTreeSet::new(),
            unanswered_stops: BTreeSet::new(),
            used: Resources::NONE,
            is_verified: false,
        }
    }

    /// Returns how many start orders may be sent before one of those in flight has a result.
    pub(crate) fn starts_left(&self) -> usize {
        MAX_UNANSWERED_STARTS.saturating_sub(self.unanswered_starts.len())
    }

    /// Takes into account that a stop order is sent for a run. Returns whether it may be: otherwise others have
    /// to have a result first.
    pub(crate) fn begin_stop(&mut self, run: RunId) -> bool {
        let may_send =
            self.unanswered_stops.contains(&run) || self.unanswered_stops.len() < MAX_UNANSWERED_STOPS;
        if may_send {
            self.unanswered_stops.insert(run);
        }
        may_send
    }

    /// Resets what belonged to its earlier incarnation. Its runs stay until a report shows that
    /// they are gone: an order in flight may have started one in the new incarnation, under a lease
    /// up to `leases_until_ms`.
    pub(crate) fn reset(&mut self, now_ms: u64, leases_until_ms: u64) {
        self.last_response_ms = 0;
        self.clock = None;
        self.cold.reset();
        self.failures = 0;
        self.granted_until_ms = 0;
        self.health = WorkerHealth::default();
        self.hold_due_ms = now_ms;
        self.incarnation_known_ms = now_ms;
        self.inherited_until_ms = leases_until_ms;
        self.loss = None;
        self.last_seen = 0;
        self.has_ignored_heartbeats = false;
        self.left_ms = None;
        self.sequence = 0;
        self.last_acknowledged = 0;
        self.is_verified = false;
    }

    /// Takes into account that a message arrived which says that the worker has left. An earlier incarnation may
    /// have sent it, so that it only stops new runs and longer leases until the worker shows that it is present.
    pub(crate) fn record_leave(&mut self, now_ms: u64) {
        self.left_ms = Some(now_ms);
        self.hold_due_ms = now_ms;
    }

    /// Returns when a response shows that a worker which is said to have left is present, if it is said.
    pub(crate) fn leave_settled_ms(&self) -> Option<u64> {
        self.left_ms.map(|left_ms| left_ms + LEAVE_SETTLING_MS)
    }

    /// Takes into account a response to a call that was sent at `sent_ms`. Returns whether it shows that the
    /// worker has not left although a message said so.
    pub(crate) fn disproves_leave(&mut self, sent_ms: u64) -> bool {
        let is_disproved = self
            .leave_settled_ms()
            .is_some_and(|settled_ms| sent_ms >= settled_ms);
        if is_disproved {
            self.left_ms = None;
        }
        is_disproved
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, now_ms: u64, error: WorkerCallError) {
        self.failures += 1;
        self.loss.get_or_insert(Loss {
            error,
            since_ms: now_ms,
        });
    }

    /// Schedules a check at `due_ms`, unless one is due earlier.
    pub(crate) fn schedule_check(&mut self, due_ms: u64) {
        self.check_due_ms = Some(self.check_due_ms.map_or(due_ms, |present| present.min(due_ms)));
    }

    /// Records a reading of its clock. An older reading never replaces a newer one.
    pub(crate) fn observe_clock(&mut self, now_ms: u64, worker_ms: u64) {
        let sample = ClockSample {
            received_ms: now_ms,
            worker_ms,
        };
        let is_better = self
            .clock
            .is_none_or(|present| worker_ms >= present.lower_bound_ms(now_ms));
        if is_better {
            self.clock = Some(sample);
        }
    }

    /// Returns whether a heartbeat with this reading of its clock can come from the worker and was not
    /// delayed for long. A new leader knows no number of an earlier heartbeat.
    pub(crate) fn is_plausible_clock(&self, now_ms: u64, worker_ms: u64) -> bool {
        let Some(clock) = self.clock.filter(|_| self.is_verified) else {
            return true;
        };
        let elapsed_ms = now_ms.saturating_sub(clock.received_ms);
        let latest_ms = clock.worker_ms + elapsed_ms + MAX_CLOCK_LEAD_MS;
        let earliest_ms = clock
            .lower_bound_ms(now_ms)
            .saturating_sub(MAX_HEARTBEAT_DELAY_MS);
        (earliest_ms..=latest_ms).contains(&worker_ms)
    }

    /// Time by the planner's clock at which every lease on it has certainly expired.
    pub(crate) fn leases_end_ms(&self) -> u64 {
        let own_ms = match (self.clock, self.granted_until_ms) {
            (Some(clock), granted_until_ms) if granted_until_ms > 0 => {
                clock.latest_reach_ms(granted_until_ms)
            }
            _ => 0,
        };
        own_ms.max(self.inherited_until_ms)
    }

    /// Returns whether its last heartbeat is too old to rely on the capacity in it.
    pub(crate) fn is_heartbeat_overdue(&self, now_ms: u64) -> bool {
        now_ms > self.last_heartbeat_ms + MAX_HEARTBEAT_AGE_MS
    }

    /// Returns whether it answered the last call in its present incarnation.
    pub(crate) fn is_reachable(&self) -> bool {
        self.is_verified && self.failures == 0
    }

    /// Returns why new runs are kept from the worker, whatever room it has.
    pub(crate) fn withheld_reason(&self, now_ms: u64) -> Option<WithheldReason> {
        let is_overdue = self.is_heartbeat_overdue(now_ms);
        match () {
            () if !self.is_reachable() => Some(WithheldReason::Unreachable),
            () if self.left_ms.is_some() => Some(WithheldReason::Left),
            () if is_overdue && self.has_ignored_heartbeats => Some(WithheldReason::IgnoredHeartbeats),
            () if is_overdue => Some(WithheldReason::OverdueHeartbeat),
            () if !self.isolated.is_empty() => Some(WithheldReason::Isolated),
            () if self.health.is_ejected(now_ms) => Some(WithheldReason::Ejected),
            () if self.health.is_on_probation() => Some(WithheldReason::Probation),
            () => None,
        }
    }

    /// Returns whether new runs may be placed on the worker.
    pub(crate) fn accepts_runs(&self, now_ms: u64) -> bool {
        self.is_reachable()
            && self.left_ms.is_none()
            && self.isolated.is_empty()
            && self.clock.is_some()
            && now_ms >= self.paused_until_ms
            && self.health.accepts_run(now_ms)
    }
}
