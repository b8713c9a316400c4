//! Division of team limits over sessions. A limit of a team is split into tokens, and a session may
//! run one task of the team for each token that it holds.

use {
    crate::{
        Command, Ledger, TokenTarget,
        demand::{Demand, Usage},
        token_pools::TeamPool,
    },
    fuchsiatack_model::{SessionId, TeamName},
    std::collections::{BTreeMap, BTreeSet},
};

/// Largest number of grants in one plan, so that the start of a cell does not flood the log.
const MAX_GRANTS_PER_PLAN: usize = 512;

/// Time after which a grant is proposed again if it has not been applied.
const RETRY_MS: u64 = 1_000;

/// The limit divided by this is split evenly, so that every session can start some tasks at once.
/// The rest is split in proportion to the demand.
const BASE_DIVISOR: u32 = 4;

/// Tokens of one team at one session.
struct Holding {
    held: u32,
    session: SessionId,
    target: u32,
    usage: Usage,
}

impl Holding {
    /// Returns the number of tokens that the session lacks. Tasks that started before the team
    /// had a limit run without tokens; they get tokens before other tasks may start.
    fn missing(&self) -> u32 {
        self.target.max(self.usage.running).saturating_sub(self.held)
    }

    /// Returns whether the session could use more tokens.
    fn is_short(&self) -> bool {
        self.held < self.target && self.usage.total() > self.held
    }

    /// Returns whether the session should return tokens while another session is short of them.
    ///
    /// The margins prevent small variations of the demand from moving tokens.
    fn has_surplus(&self) -> bool {
        let idle = self.held.saturating_sub(self.usage.total());
        let is_idle = idle >= (self.held / 8).max(2) && self.held > self.target;
        is_idle || self.held > self.target + (self.target / 4).max(1)
    }
}

/// Grants of a team that have been proposed but not applied.
struct PendingGrants {
    /// Total of the team's tokens when the grants were proposed.
    total: u32,
    until_ms: u64,
}

/// Plans grants and returns of tokens.
#[derive(Default)]
pub(crate) struct TokenPlanner {
    /// Teams to plan, because their limit, pools or usage changed or their last plan is incomplete.
    dirty_teams: BTreeSet<TeamName>,
    pending: BTreeMap<TeamName, PendingGrants>,
    /// Size to which each session should reduce its pool of a team.
    return_targets: BTreeMap<SessionId, BTreeMap<TeamName, u32>>,
    /// Revisions of the ledger's tokens and of the demand at the last plan.
    seen_revisions: Option<(u64, u64)>,
    /// Limit and pool revision of each team when it was last added to `dirty_teams`.
    seen_team_revisions: BTreeMap<TeamName, (u32, u64)>,
}

impl TokenPlanner {
    /// Adds grants to `commands` for the teams whose limit, pools or usage changed.
    pub(crate) fn plan(
        &mut self,
        now_ms: u64,
        ledger: &Ledger,
        demand: &mut Demand,
        commands: &mut Vec<Command>,
    ) {
        let revisions = Some((ledger.revisions.tokens, demand.revision));
        if self.seen_revisions != revisions {
            let is_same = self
                .seen_revisions
                .is_some_and(|before| before.1 == demand.revision);
            self.mark_changed_teams(ledger, !is_same);
            self.drop_ended_sessions(ledger);
        }
        self.seen_revisions = revisions;
        self.dirty_teams.append(&mut demand.changed_teams);
        if self.dirty_teams.is_empty() {
            return;
        }
        let sessions = usable_sessions(ledger, demand);
        let end = commands.len() + MAX_GRANTS_PER_PLAN;
        let mut later = BTreeSet::new();
        for team in std::mem::take(&mut self.dirty_teams) {
            let is_done =
                commands.len() < end && self.plan_team(now_ms, ledger, demand, &sessions, &team, commands);
            if !is_done {
                later.insert(team);
            }
        }
        self.dirty_teams = later;
    }

    /// Adds the teams whose limit or pool changed, or all limited teams, to `dirty_teams`.
    fn mark_changed_teams(&mut self, ledger: &Ledger, mark_all: bool) {
        let is_limited = |team: &TeamName, _: &mut (u32, u64)| ledger.records.limit(team).is_some();
        self.seen_team_revisions.retain(is_limited);
        for (team, limit) in ledger.records.limits() {
            let revision = ledger.tokens.pool(team).map_or(0, TeamPool::revision);
            let current = (limit, revision);
            if mark_all || self.seen_team_revisions.get(team) != Some(&current) {
                self.seen_team_revisions.insert(team.clone(), current);
                self.dirty_teams.insert(team.clone());
            }
        }
    }

    /// Returns the pools that a session should reduce, with their target size.
    pub(crate) fn tokens_to_return(&self, session: SessionId, ledger: &Ledger) -> Vec<TokenTarget> {
        let targets = self.return_targets.get(&session).into_iter().flatten();
        targets
            .filter(|(team, target)| ledger.tokens.held(team, session) > **target)
            .map(|(team, target)| TokenTarget {
                target: *target,
                team: team.clone(),
            })
            .collect()
    }

    /// Plans one team. Returns false if the team must be planned again without a further change.
    fn plan_team(
        &mut self,
        now_ms: u64,
        ledger: &Ledger,
        demand: &Demand,
        sessions: &[SessionId],
        team: &TeamName,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(limit) = ledger.records.limit(team) else {
            self.clear_returns(team);
            return true;
        };
        if sessions.is_empty() {
            return true;
        }
        let total = ledger.tokens.total(team);
        if self.is_pending(now_ms, team, total) {
            return false;
        }
        let mut holdings = holdings(ledger, demand, sessions, team);
        set_targets(&mut holdings, limit, team);
        self.update_returns(&holdings, team, total > limit);
        let mut free = limit.saturating_sub(total);
        holdings.sort_by_key(|holding| {
            let is_overdrawn = holding.usage.running > holding.held;
            (!is_overdrawn, !holding.is_short(), holding.session)
        });
        let count = commands.len();
        for holding in &holdings {
            let tokens = holding.missing().min(free);
            if tokens > 0 {
                free -= tokens;
                commands.push(Command::GrantTokens {
                    session: holding.session,
                    team: team.clone(),
                    tokens,
                });
            }
        }
        if commands.len() == count {
            return true;
        }
        let until_ms = now_ms + RETRY_MS;
        self.pending
            .insert(team.clone(), PendingGrants { total, until_ms });
        false
    }

    fn clear_returns(&mut self, team: &TeamName) {
        for targets in self.return_targets.values_mut() {
            targets.remove(team);
        }
    }

    fn drop_ended_sessions(&mut self, ledger: &Ledger) {
        self.return_targets.retain(|session, _| ledger.is_live(*session));
    }

    fn is_pending(&mut self, now_ms: u64, team: &TeamName, total: u32) -> bool {
        let is_open = |pending: &PendingGrants| pending.total == total && now_ms < pending.until_ms;
        let is_pending = self.pending.get(team).is_some_and(is_open);
        if !is_pending {
            self.pending.remove(team);
        }
        is_pending
    }

    fn update_returns(&mut self, holdings: &[Holding], team: &TeamName, is_over_limit: bool) {
        let is_wanted = is_over_limit || holdings.iter().any(Holding::is_short);
        for holding in holdings {
            let targets = self.return_targets.entry(holding.session).or_default();
            let is_returned = match is_over_limit {
                false => is_wanted && holding.has_surplus(),
                true => holding.held > holding.target,
            };
            match is_returned {
                false => targets.remove(team),
                true => targets.insert(team.clone(), holding.target),
            };
        }
    }
}

fn holdings(ledger: &Ledger, demand: &Demand, sessions: &[SessionId], team: &TeamName) -> Vec<Holding> {
    let usage = demand.team(team);
    let holding = |session: &SessionId| Holding {
        held: ledger.tokens.held(team, *session),
        session: *session,
        target: 0,
        usage: usage
            .and_then(|usage| usage.get(session))
            .copied()
            .unwrap_or_default(),
    };
    sessions.iter().map(holding).collect()
}

/// Sets the target of each session so that their sum is the limit.
fn set_targets(holdings: &mut [Holding], limit: u32, team: &TeamName) {
    let count = holdings.len() as u32;
    if limit < count.saturating_mul(2) {
        let chosen = sole_holder(holdings, team);
        holdings[chosen].target = limit;
        return;
    }
    let base = (limit / (BASE_DIVISOR * count)).max(1);
    let remainder = u64::from(limit - base * count);
    let demand: u64 = holdings
        .iter()
        .map(|holding| u64::from(holding.usage.total()))
        .sum();
    let mut undistributed = remainder;
    for holding in holdings.iter_mut() {
        let part = match demand {
            0 => remainder / u64::from(count),
            demand => remainder * u64::from(holding.usage.total()) / demand,
        };
        undistributed -= part;
        holding.target = base + part as u32;
    }
    let chosen = busiest(holdings);
    holdings[chosen].target += undistributed as u32;
}

/// Returns the index of the session that gets all tokens of a small limit: the current holder,
/// unless it is idle while another session has demand.
fn sole_holder(holdings: &[Holding], team: &TeamName) -> usize {
    let (holder, holding) = holdings
        .iter()
        .enumerate()
        .max_by_key(|(index, holding)| (holding.held, std::cmp::Reverse(*index)))
        .expect("there is at least one session");
    let busiest = busiest(holdings);
    let is_idle = holdings[busiest].usage.total() == 0;
    match holding.held {
        0 if is_idle => index_by_name(team, holdings.len()),
        0 => busiest,
        _ if holding.usage.total() > 0 || is_idle => holder,
        _ => busiest,
    }
}

fn busiest(holdings: &[Holding]) -> usize {
    (0..holdings.len())
        .max_by_key(|index| (holdings[*index].usage.total(), std::cmp::Reverse(*index)))
        .unwrap_or(0)
}

/// Returns an index below `count` that depends on the team's name only, so that the tokens of idle
/// teams are distributed over the sessions.
fn index_by_name(team: &TeamName, count: usize) -> usize {
    let sum: usize = team.as_str().bytes().map(usize::from).sum();
    sum % count
}

fn usable_sessions(ledger: &Ledger, demand: &Demand) -> Vec<SessionId> {
    let is_stopping = |session| demand.report(session).is_some_and(|report| report.stopping);
    ledger
        .live_sessions()
        .map(|(session, _)| session)
        .filter(|session| !is_stopping(*session))
        .collect()
}
