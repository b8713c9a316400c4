//! Division of team limits over sessions.

use {
    crate::{
        Command, Ledger, TokenTarget,
        demand::{Demand, Usage},
        token_pools::TeamPool,
    },
    fuchsiatack_model::{SessionId, TeamName},
    std::collections::{BTreeMap, BTreeSet},
};

/// Grants in one plan, so that a cell that starts does not fill the log at once.
const MAX_GRANTS: usize = 512;

/// Time after which a grant that was not applied is proposed again.
const RETRY_MS: u64 = 1_000;

/// Part of a limit that is divided evenly, so that each session can start some tasks at once.
const EVEN_DIVISOR: u32 = 4;

/// Tokens of one team at one session.
struct Holding {
    held: u32,
    session: SessionId,
    target: u32,
    usage: Usage,
}

impl Holding {
    /// Returns the tokens that the session should get. Tasks that started before the team had
    /// a limit run without tokens; they get theirs before anything else may start.
    fn missing(&self) -> u32 {
        self.target.max(self.usage.running).saturating_sub(self.held)
    }

    /// Returns whether the session could use more tokens.
    fn is_short(&self) -> bool {
        self.held < self.target && self.usage.total() > self.held
    }

    /// Returns whether the session should return tokens to a session that is short.
    ///
    /// The margins keep tokens in place while demand only varies a little.
    fn has_surplus(&self) -> bool {
        let idle = self.held.saturating_sub(self.usage.total());
        let is_idle = idle >= (self.held / 8).max(2) && self.held > self.target;
        is_idle || self.held > self.target + (self.target / 4).max(1)
    }
}

/// A team whose grants are on their way.
struct Pending {
    total: u32,
    until_ms: u64,
}

/// Plans grants and returns of tokens.
#[derive(Default)]
pub(crate) struct TokenPlanner {
    open_teams: BTreeSet<TeamName>,
    pending: BTreeMap<TeamName, Pending>,
    returns: BTreeMap<SessionId, BTreeMap<TeamName, u32>>,
    seen: Option<(u64, u64)>,
    /// Limit and pool revision of each team when it was last noted as open.
    seen_teams: BTreeMap<TeamName, (u32, u64)>,
}

impl TokenPlanner {
    /// Adds grants for the teams whose limit, pools or use changed.
    pub(crate) fn plan(&mut self, now_ms: u64, ledger: &Ledger, demand: &mut Demand, out: &mut Vec<Command>) {
        let seen = Some((ledger.revisions.tokens, demand.revision));
        if self.seen != seen {
            let is_same = self.seen.is_some_and(|before| before.1 == demand.revision);
            self.open_changed_teams(ledger, !is_same);
            self.forget_returns(ledger);
        }
        self.seen = seen;
        self.open_teams.append(&mut demand.changed_teams);
        if self.open_teams.is_empty() {
            return;
        }
        let sessions = usable_sessions(ledger, demand);
        let end = out.len() + MAX_GRANTS;
        let mut later = BTreeSet::new();
        for team in std::mem::take(&mut self.open_teams) {
            let is_done = out.len() < end && self.plan_team(now_ms, ledger, demand, &sessions, &team, out);
            if !is_done {
                later.insert(team);
            }
        }
        self.open_teams = later;
    }

    /// Notes the teams whose limit or pool changed, or all teams, for the next plan.
    fn open_changed_teams(&mut self, ledger: &Ledger, is_all: bool) {
        let is_limited = |team: &TeamName, _: &mut (u32, u64)| ledger.records.limit(team).is_some();
        self.seen_teams.retain(is_limited);
        for (team, limit) in ledger.records.limits() {
            let revision = ledger.tokens.pool(team).map_or(0, TeamPool::revision);
            let seen = (limit, revision);
            if is_all || self.seen_teams.get(team) != Some(&seen) {
                self.seen_teams.insert(team.clone(), seen);
                self.open_teams.insert(team.clone());
            }
        }
    }

    /// Returns the pools that a session should reduce.
    pub(crate) fn returns(&self, session: SessionId, ledger: &Ledger) -> Vec<TokenTarget> {
        let targets = self.returns.get(&session).into_iter().flatten();
        targets
            .filter(|(team, target)| ledger.tokens.held(team, session) > **target)
            .map(|(team, target)| TokenTarget {
                target: *target,
                team: team.clone(),
            })
            .collect()
    }

    /// Plans one team. Returns whether it need not be looked at again before a change.
    fn plan_team(
        &mut self,
        now_ms: u64,
        ledger: &Ledger,
        demand: &Demand,
        sessions: &[SessionId],
        team: &TeamName,
        out: &mut Vec<Command>,
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
        self.note_returns(&holdings, team, total > limit);
        let mut free = limit.saturating_sub(total);
        holdings.sort_by_key(|holding| {
            let is_overdrawn = holding.usage.running > holding.held;
            (!is_overdrawn, !holding.is_short(), holding.session)
        });
        let count = out.len();
        for holding in &holdings {
            let tokens = holding.missing().min(free);
            if tokens > 0 {
                free -= tokens;
                out.push(Command::GrantTokens {
                    session: holding.session,
                    team: team.clone(),
                    tokens,
                });
            }
        }
        if out.len() == count {
            return true;
        }
        let until_ms = now_ms + RETRY_MS;
        self.pending.insert(team.clone(), Pending { total, until_ms });
        false
    }

    fn clear_returns(&mut self, team: &TeamName) {
        for targets in self.returns.values_mut() {
            targets.remove(team);
        }
    }

    fn forget_returns(&mut self, ledger: &Ledger) {
        self.returns.retain(|session, _| ledger.is_live(*session));
    }

    fn is_pending(&mut self, now_ms: u64, team: &TeamName, total: u32) -> bool {
        let is_open = |pending: &Pending| pending.total == total && now_ms < pending.until_ms;
        let is_pending = self.pending.get(team).is_some_and(is_open);
        if !is_pending {
            self.pending.remove(team);
        }
        is_pending
    }

    fn note_returns(&mut self, holdings: &[Holding], team: &TeamName, is_over_limit: bool) {
        let is_wanted = is_over_limit || holdings.iter().any(Holding::is_short);
        for holding in holdings {
            let targets = self.returns.entry(holding.session).or_default();
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

/// Sets the targets so that their sum is the limit.
fn set_targets(holdings: &mut [Holding], limit: u32, team: &TeamName) {
    let count = holdings.len() as u32;
    if limit < count.saturating_mul(2) {
        let chosen = sole_holder(holdings, team);
        holdings[chosen].target = limit;
        return;
    }
    let even = (limit / (EVEN_DIVISOR * count)).max(1);
    let rest = u64::from(limit - even * count);
    let demand: u64 = holdings
        .iter()
        .map(|holding| u64::from(holding.usage.total()))
        .sum();
    let mut left = rest;
    for holding in holdings.iter_mut() {
        let part = match demand {
            0 => rest / u64::from(count),
            demand => rest * u64::from(holding.usage.total()) / demand,
        };
        left -= part;
        holding.target = even + part as u32;
    }
    let chosen = busiest(holdings);
    holdings[chosen].target += left as u32;
}

/// Returns the index of the session that gets all tokens of a small limit: the present
/// holder, unless it is idle while another session has demand.
fn sole_holder(holdings: &[Holding], team: &TeamName) -> usize {
    let (holder, holding) = holdings
        .iter()
        .enumerate()
        .max_by_key(|(index, holding)| (holding.held, std::cmp::Reverse(*index)))
        .expect("there is at least one session");
    let busiest = busiest(holdings);
    let is_idle = holdings[busiest].usage.total() == 0;
    match holding.held {
        0 if is_idle => spread(team, holdings.len()),
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

/// Spreads idle teams over the sessions.
fn spread(team: &TeamName, count: usize) -> usize {
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
