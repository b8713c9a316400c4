//! Allocation of workers, tokens and queued work to sessions. It runs on the leader only and keeps
//! soft state: a new leader starts with none and rebuilds it from the renewals.

use {
    crate::{
        Command, EndReason, Ledger, Renewal, RenewalResponse, TeamUsage, demand::Demand,
        fleet_planner::FleetPlanner, token_planner::TokenPlanner, work_planner::WorkPlanner,
    },
    fuchsiatack_derives::value,
    fuchsiatack_model::{LogIndex, SessionId},
    std::collections::BTreeMap,
};

/// Time after which the end of a session is proposed again if it has not been applied.
const END_RETRY_MS: u64 = 1_000;

/// Time settings of the allocator.
#[value]
pub struct AllocatorSettings {
    /// Session lease in milliseconds.
    pub lease_ms: u64,
    /// Time between the expiry of a lease and the end of its session, in milliseconds.
    pub margin_ms: u64,
    /// Task lease of a worker in milliseconds. A move of a worker is abandoned after this time.
    pub task_lease_ms: u64,
}

impl Default for AllocatorSettings {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            margin_ms: 1_000,
            task_lease_ms: 10_000,
        }
    }
}

/// Allocator of the leader.
pub struct Allocator {
    demand: Demand,
    /// Time from which the end of a session is proposed again, for sessions whose end was proposed.
    end_retry_ms: BTreeMap<SessionId, u64>,
    fleet: FleetPlanner,
    /// Revision of the fleet at the last `sync_sessions`.
    seen_fleet_revision: Option<u64>,
    settings: AllocatorSettings,
    /// Time at which this member became the leader.
    started_ms: u64,
    tokens: TokenPlanner,
    work: WorkPlanner,
}

impl Allocator {
    /// Creates the allocator of a member that became leader at `now_ms`.
    pub fn new(settings: AllocatorSettings, now_ms: u64) -> Self {
        Self {
            demand: Demand::default(),
            end_retry_ms: BTreeMap::new(),
            fleet: FleetPlanner::new(settings.task_lease_ms),
            seen_fleet_revision: None,
            settings,
            started_ms: now_ms,
            tokens: TokenPlanner::default(),
            work: WorkPlanner::default(),
        }
    }

    /// Returns commands that adapt the allocation to the demand.
    ///
    /// The ledger must have applied all entries of earlier terms. A command that has not been
    /// applied after one second is returned again, so the caller may drop a plan.
    pub fn plan(&mut self, now_ms: u64, ledger: &Ledger) -> Vec<Command> {
        let mut commands = Vec::new();
        self.sync_sessions(now_ms, ledger);
        self.end_sessions(now_ms, &mut commands);
        self.fleet.plan(now_ms, ledger, &self.demand, &mut commands);
        self.tokens.plan(now_ms, ledger, &mut self.demand, &mut commands);
        self.work.plan(now_ms, ledger, &self.demand, &mut commands);
        commands
    }

    /// Handles a renewal and returns the response. The caller sets `RenewalResponse::commit_index`.
    ///
    /// The renewal of a session that has ended is ignored and gets an empty response.
    pub fn handle_renewal(&mut self, now_ms: u64, renewal: &Renewal, ledger: &Ledger) -> RenewalResponse {
        let session = renewal.session;
        if !ledger.is_live(session) {
            return RenewalResponse {
                commit_index: LogIndex::default(),
                fleet: Vec::new(),
                release_workers: Vec::new(),
                return_tokens: Vec::new(),
            };
        }
        self.demand.update(now_ms, renewal);
        RenewalResponse {
            commit_index: LogIndex::default(),
            fleet: self.fleet_usage(renewal),
            release_workers: self.fleet.workers_to_release(session, ledger),
            return_tokens: self.tokens.tokens_to_return(session, ledger),
        }
    }

    fn end_sessions(&mut self, now_ms: u64, commands: &mut Vec<Command>) {
        let timeout_ms = self.settings.lease_ms + self.settings.margin_ms;
        for (session, report) in self.demand.sessions() {
            let last_ms = report.renewed_ms.max(self.started_ms);
            let retry_ms = self.end_retry_ms.get(&session).copied().unwrap_or(0);
            if now_ms >= last_ms + timeout_ms && now_ms >= retry_ms {
                self.end_retry_ms.insert(session, now_ms + END_RETRY_MS);
                let reason = EndReason::Expired;
                commands.push(Command::EndSession { reason, session });
            }
        }
    }

    fn fleet_usage(&self, renewal: &Renewal) -> Vec<TeamUsage> {
        let usage = |usage: &TeamUsage| {
            let total = self.demand.total(&usage.team);
            TeamUsage {
                running: total.running,
                team: usage.team.clone(),
                waiting: total.waiting,
            }
        };
        renewal.usage.iter().map(usage).collect()
    }

    /// Adds new sessions of the ledger to the demand and removes ended ones.
    fn sync_sessions(&mut self, now_ms: u64, ledger: &Ledger) {
        if self.seen_fleet_revision == Some(ledger.revisions.fleet) {
            return;
        }
        self.seen_fleet_revision = Some(ledger.revisions.fleet);
        for (session, _) in ledger.live_sessions() {
            self.demand.add_session(session, now_ms);
        }
        let ended: Vec<SessionId> = self
            .demand
            .sessions()
            .map(|(session, _)| session)
            .filter(|session| !ledger.is_live(*session))
            .collect();
        for session in ended {
            self.demand.remove_session(session);
            self.end_retry_ms.remove(&session);
        }
    }
}
