//! Allocation of workers, tokens and queued work to sessions.

use {
    crate::{
        Command, EndReason, Ledger, Renewal, RenewalResponse, TeamUsage, demand::Demand,
        fleet_planner::FleetPlanner, token_planner::TokenPlanner, work_planner::WorkPlanner,
    },
    fuchsiatack_derives::value,
    fuchsiatack_model::{LogIndex, SessionId},
    std::collections::BTreeMap,
};

/// Time after which the end of a session that was not applied is proposed again.
const END_RETRY_MS: u64 = 1_000;

/// Times and sizes of the allocator.
#[value]
pub struct AllocatorSettings {
    /// Session lease in milliseconds.
    pub lease_ms: u64,
    /// Time past the lease after which a session is ended, in milliseconds.
    pub margin_ms: u64,
    /// Task lease of a worker in milliseconds. A move of a worker is given up after it.
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

/// Soft state of the leader: the last renewal of each session and the demand it showed.
pub struct Allocator {
    demand: Demand,
    /// Sessions whose end was proposed, with the time of the next attempt.
    ending: BTreeMap<SessionId, u64>,
    fleet: FleetPlanner,
    seen_fleet: Option<u64>,
    settings: AllocatorSettings,
    started_ms: u64,
    tokens: TokenPlanner,
    work: WorkPlanner,
}

impl Allocator {
    /// Creates the allocator of a member that became leader at `now_ms`.
    pub fn new(settings: AllocatorSettings, now_ms: u64) -> Self {
        Self {
            demand: Demand::default(),
            ending: BTreeMap::new(),
            fleet: FleetPlanner::new(settings.task_lease_ms),
            seen_fleet: None,
            settings,
            started_ms: now_ms,
            tokens: TokenPlanner::default(),
            work: WorkPlanner::default(),
        }
    }

    /// Returns the commands that bring the ledger closer to the demand.
    ///
    /// The ledger must have applied all entries of earlier terms. A command that was not
    /// applied a second later is returned again, so a plan may be dropped.
    pub fn plan(&mut self, now_ms: u64, ledger: &Ledger) -> Vec<Command> {
        let mut commands = Vec::new();
        self.see_sessions(now_ms, ledger);
        self.end_sessions(now_ms, &mut commands);
        self.fleet.plan(now_ms, ledger, &self.demand, &mut commands);
        self.tokens.plan(now_ms, ledger, &mut self.demand, &mut commands);
        self.work.plan(now_ms, ledger, &self.demand, &mut commands);
        commands
    }

    /// Notes a renewal and returns the leader's advice. The caller fills in `RenewalResponse::commit_index`.
    ///
    /// The renewal of a session that has ended is not noted and gets empty advice.
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
        self.demand.note(now_ms, renewal);
        RenewalResponse {
            commit_index: LogIndex::default(),
            fleet: self.fleet_usage(renewal),
            release_workers: self.fleet.releases(session, ledger),
            return_tokens: self.tokens.returns(session, ledger),
        }
    }

    fn end_sessions(&mut self, now_ms: u64, commands: &mut Vec<Command>) {
        let lease_ms = self.settings.lease_ms + self.settings.margin_ms;
        for (session, report) in self.demand.sessions() {
            let last_ms = report.seen_ms.max(self.started_ms);
            let retry_ms = self.ending.get(&session).copied().unwrap_or(0);
            if now_ms >= last_ms + lease_ms && now_ms >= retry_ms {
                self.ending.insert(session, now_ms + END_RETRY_MS);
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

    /// Notes sessions that were opened and forgets those that ended.
    fn see_sessions(&mut self, now_ms: u64, ledger: &Ledger) {
        if self.seen_fleet == Some(ledger.revisions.fleet) {
            return;
        }
        self.seen_fleet = Some(ledger.revisions.fleet);
        for (session, _) in ledger.live_sessions() {
            self.demand.see(session, now_ms);
        }
        let ended: Vec<SessionId> = self
            .demand
            .sessions()
            .map(|(session, _)| session)
            .filter(|session| !ledger.is_live(*session))
            .collect();
        for session in ended {
            self.demand.forget(session);
            self.ending.remove(&session);
        }
    }
}
