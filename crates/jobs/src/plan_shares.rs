//! Compares what the teams use of each service with their shares, and orders their steps by it.
//!
//! Shares count only between steps of one priority and service, and only while some of these wait for
//! capacity.

use {
    crate::{
        LogEvent, Planner, ServiceRoom, StepId, StepSpec, TeamShare, WaitReason,
        fair_share::{self, Claim, Standing},
        plan_preemption::PREEMPTION_MS,
        plan_start::NO_CAPACITY_PAUSE_MS,
        step_view::StepView,
        team_use,
    },
    fuchsiatack_model::{Resources, TeamName},
    smol_str::SmolStr,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Interval between two comparisons, in milliseconds. Runs that last for less hardly change them.
const INTERVAL_MS: u64 = 100;
/// Time for which shares count after a step last waited for capacity, in milliseconds. The order stays the
/// same while steps wait for other things in between.
const CONTENDED_MS: u64 = 1_000;
/// Interval between two log events on the teams over their share, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Wait from which a step without a run may be tried before all others of its priority and service, in
/// milliseconds.
const STARVED_MS: u64 = 10_000;
/// The same wait while teams with a weaker standing use the service, in milliseconds. Late steps would wait
/// behind all steps of those that can still meet their objective.
const STARVED_WITHIN_SHARE_MS: u64 = 2_000;
/// Time for which one step of a priority and service at a time is tried first since it has waited for long,
/// in milliseconds. It bounds what these steps take from those that can still meet their objective.
const STARVED_TURN_MS: u64 = 200;
/// Wait from which a step in its turn may have checkpointed runs of teams with a weaker standing stopped, in
/// milliseconds. Most runs end before, and a stop costs what was done since the last checkpoint.
const RECLAIM_MS: u64 = 5_000;
/// Maximum number of steps that one planning pass tries during their pause since room has become free. It
/// bounds the processor time of a pass, and more than the runs that end between two passes.
const MAX_EARLY_STEPS: usize = 8;
/// Maximum number of teams that a log event names.
const MAX_LOGGED_TEAMS: usize = 5;
/// Maximum number of teams in a report, which bounds the series of the metrics.
const MAX_REPORTED_SHARES: usize = 8;

/// Priority and service of a step.
type Class = (u32, SmolStr);

/// How the teams that use a service or wait for it compare with their shares.
#[derive(Clone, Debug, Default)]
struct Standings {
    by_team: BTreeMap<TeamName, Standing>,
    /// The last of them in the order in which steps are tried.
    last: Standing,
}

/// Turn of a step that has waited for long.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// Whether runs to stop for the step were sought.
    has_reclaimed: bool,
    /// Whether tasks of the step have been started.
    has_started: bool,
    step: StepId,
    /// Time until which no other step has the next turn.
    until_ms: u64,
}

/// Result of the last comparison.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    /// Time until which shares count, by class.
    contended_until_ms: BTreeMap<Class, u64>,
    /// Time of the next comparison.
    due_ms: u64,
    /// Time of the next log event on the teams over their share.
    log_due_ms: u64,
    /// Teams over their share at the last log event, by service.
    logged: BTreeMap<SmolStr, BTreeSet<TeamName>>,
    /// How the teams compare with their shares, by service.
    standings: BTreeMap<SmolStr, Standings>,
    /// Time at which a run last ended, by service.
    freed_ms: BTreeMap<SmolStr, u64>,
    /// Time of the last turn of a step that had waited for long, by team.
    last_turns_ms: BTreeMap<TeamName, u64>,
    /// Step that is tried first since it has waited for long, by class.
    turns: BTreeMap<Class, Turn>,
}

impl Shares {
    /// Returns how the team of a step compares with its share. All teams are alike while no steps of the same
    /// priority and service wait for capacity.
    pub(crate) fn standing_of(&self, view: &StepView) -> Standing {
        let standings = self.standings.get(&view.service);
        let standing = standings
            .and_then(|present| present.by_team.get(&view.team))
            .copied();
        let standing = standing.unwrap_or_default();
        match standing {
            Standing::Modest => Standing::Modest,
            Standing::Entitled | Standing::Over if self.is_contended(view) => standing,
            Standing::Entitled | Standing::Over => Standing::Modest,
        }
    }

    fn is_contended(&self, view: &StepView) -> bool {
        let class = (view.priority, view.service.clone());
        self.contended_until_ms.contains_key(&class)
    }

    /// Takes into account that a run on a service has ended.
    pub(crate) fn count_freed(&mut self, service: &SmolStr, now_ms: u64) {
        match self.freed_ms.get_mut(service) {
            Some(freed_ms) => *freed_ms = now_ms,
            None => {
                self.freed_ms.insert(service.clone(), now_ms);
            }
        }
    }

    /// Returns whether a step has a turn since it has waited for long.
    fn has_turn(&self, step: StepId, view: &StepView) -> bool {
        let turn = self.turns.get(&(view.priority, view.service.clone()));
        turn.is_some_and(|turn| turn.step == step && !turn.has_started)
    }

    /// Ends the turn of a step of which tasks have been started.
    pub(crate) fn end_turn(&mut self, step: StepId) {
        let turns = self.turns.values_mut();
        for turn in turns.filter(|turn| turn.step == step) {
            turn.has_started = true;
        }
    }

    /// Prevents further searches for runs to stop in the turn of a step.
    pub(crate) fn end_reclaim(&mut self, step: StepId) {
        let turns = self.turns.values_mut();
        for turn in turns.filter(|turn| turn.step == step) {
            turn.has_reclaimed = true;
        }
    }

    /// Returns whether a step is tried although it pauses: room has become free since the last attempt, and
    /// steps of teams with a weaker claim would take it otherwise.
    fn is_early(&self, step: StepId, view: &StepView) -> bool {
        let has_freed = || {
            let freed_ms = self.freed_ms.get(&view.service);
            freed_ms.is_some_and(|freed_ms| *freed_ms >= view.tried_ms)
        };
        let is_first = || {
            let standings = self.standings.get(&view.service);
            standings.is_some_and(|present| present.last > view.standing) && self.is_contended(view)
        };
        let lacks_room = matches!(
            view.wait_reason,
            Some(WaitReason::NoCapacity | WaitReason::AwaitsRoom)
        );
        // A worker's rejection pauses a step for longer.
        let is_usual_pause = view.paused_until_ms <= view.tried_ms + NO_CAPACITY_PAUSE_MS;
        lacks_room && is_usual_pause && has_freed() && (is_first() || self.has_turn(step, view))
    }
}

impl Planner {
    /// Compares the use of the teams with their shares, for services in which steps wait for capacity.
    pub(crate) fn observe_shares(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.shares.due_ms {
            return;
        }
        self.shares.due_ms = now_ms + INTERVAL_MS;
        let of_class = self.steps.values().filter(|view| waits_for_capacity(view));
        for view in of_class {
            let class = (view.priority, view.service.clone());
            let until_ms = now_ms + CONTENDED_MS;
            self.shares.contended_until_ms.insert(class, until_ms);
        }
        let contended = &mut self.shares.contended_until_ms;
        contended.retain(|_, until_ms| now_ms < *until_ms);
        let services: BTreeSet<_> = contended.keys().map(|(_, service)| service.clone()).collect();
        let mut standings = BTreeMap::new();
        if !services.is_empty() {
            let asked = self.waiting_demands(&services);
            for service in services {
                let teams = self.compare_teams(&service, &asked);
                standings.insert(service, teams);
            }
        }
        self.shares.standings = standings;
        for view in self.steps.values_mut() {
            view.standing = self.shares.standing_of(view);
        }
        self.log_share_changes();
        self.give_turns();
    }

    /// Returns what waiting tasks need, by service and team.
    fn waiting_demands(
        &self,
        services: &BTreeSet<SmolStr>,
    ) -> BTreeMap<SmolStr, BTreeMap<TeamName, Resources>> {
        let mut demands: BTreeMap<SmolStr, BTreeMap<TeamName, Resources>> = BTreeMap::new();
        let waiting = self.steps.values().filter(|view| !view.waiting.is_empty());
        for view in waiting.filter(|view| services.contains(&view.service)) {
            let of_service = demands.entry(view.service.clone()).or_default();
            let demand = of_service.entry(view.team.clone()).or_insert(Resources::NONE);
            let more = team_use::demand_of(&view.demand, view.waiting.len());
            *demand = demand.saturating_add(&more);
        }
        demands
    }

    fn compare_teams(
        &self,
        service: &SmolStr,
        asked: &BTreeMap<SmolStr, BTreeMap<TeamName, Resources>>,
    ) -> Standings {
        let capacity = self.capacity_of(service);
        let asked = asked.get(service);
        let waiting = |team: &TeamName| asked.and_then(|asked| asked.get(team)).copied();
        let with_runs = self.teams.iter().filter_map(|(team, present)| {
            let used = present.by_service.get(service).copied();
            used.filter(|used| *used != Resources::NONE)
                .map(|used| (team, used))
        });
        let mut used: BTreeMap<&TeamName, Resources> = with_runs.collect();
        for team in asked.into_iter().flat_map(BTreeMap::keys) {
            used.entry(team).or_insert(Resources::NONE);
        }
        let before = self.shares.standings.get(service);
        let claims = used.iter().map(|(team, used)| {
            let waiting = waiting(team).unwrap_or(Resources::NONE);
            let asked = match self.team_limit(team) {
                None => used.saturating_add(&waiting),
                Some(limit) => within(&used.saturating_add(&waiting), &limit),
            };
            let used = fair_share::dominant_share(used, &capacity);
            Claim {
                asked: fair_share::dominant_share(&asked, &capacity).max(used),
                standing: before
                    .and_then(|present| present.by_team.get(*team))
                    .copied()
                    .unwrap_or_default(),
                used,
                weight: self.team_weight(team),
            }
        });
        let claims: Vec<_> = claims.collect();
        let entitled = fair_share::entitlements(&claims);
        let compared = claims.iter().zip(entitled);
        let standings = compared.map(|(claim, entitled)| fair_share::standing(claim, entitled));
        let by_team: BTreeMap<_, _> = used.into_keys().cloned().zip(standings).collect();
        Standings {
            last: by_team.values().max().copied().unwrap_or_default(),
            by_team,
        }
    }

    /// Returns the sum of the capacities of the workers of a service that accept runs.
    fn capacity_of(&self, service: &SmolStr) -> Resources {
        let workers = self
            .workers
            .iter()
            .filter(|(_, view)| view.accepts_runs(self.now_ms));
        workers
            .filter_map(|(name, _)| self.store.workers.get(name))
            .filter(|entry| !entry.draining && entry.service == *service)
            .fold(Resources::NONE, |sum, entry| sum.saturating_add(&entry.capacity))
    }

    /// Logs for each service which teams are over their share, if that has changed.
    fn log_share_changes(&mut self) {
        if self.now_ms < self.shares.log_due_ms {
            return;
        }
        let of_service = |standings: &Standings| -> BTreeSet<TeamName> {
            let over = standings
                .by_team
                .iter()
                .filter(|(_, standing)| **standing == Standing::Over);
            over.map(|(team, _)| team.clone()).collect()
        };
        let standings = self.shares.standings.iter();
        let over: BTreeMap<_, _> = standings
            .map(|(service, present)| (service.clone(), of_service(present)))
            .filter(|(_, teams)| !teams.is_empty())
            .collect();
        if over == self.shares.logged {
            return;
        }
        self.shares.log_due_ms = self.now_ms + LOG_INTERVAL_MS;
        let before = std::mem::replace(&mut self.shares.logged, over.clone());
        let services: BTreeSet<_> = before.keys().chain(over.keys()).collect();
        for service in services {
            let (old, new) = (before.get(service), over.get(service));
            if old == new {
                continue;
            }
            let names = new.into_iter().flatten().take(MAX_LOGGED_TEAMS);
            let names: Vec<_> = names.map(TeamName::as_str).collect();
            self.log(
                LogEvent::new("teams over their share changed")
                    .with("service", service)
                    .with("over", new.map_or(0, BTreeSet::len))
                    .with("teams", names.join(" ")),
            );
        }
    }

    /// Returns the teams with the largest shares of the services, the largest first.
    pub(crate) fn largest_shares(&self, rooms: &[ServiceRoom]) -> Vec<TeamShare> {
        let uses = self.teams.iter().flat_map(|(team, present)| {
            let services = present.by_service.iter();
            services.map(move |(service, used)| (team, service, used))
        });
        let shares = uses.filter_map(|(team, service, used)| {
            let room = rooms.iter().find(|room| room.service == *service)?;
            let share = fair_share::dominant_share(used, &room.capacity);
            let standings = self.shares.standings.get(service);
            let standing = standings.and_then(|present| present.by_team.get(team));
            Some(TeamShare {
                is_over: standing == Some(&Standing::Over),
                service: service.clone(),
                share_thousandths: (share * 1_000.0) as u64,
                team: team.clone(),
                weight: self.team_weight(team),
            })
        });
        let mut shares: Vec<_> = shares.filter(|share| share.share_thousandths > 0).collect();
        shares.sort_by_key(|share| Reverse(share.share_thousandths));
        shares.truncate(MAX_REPORTED_SHARES);
        shares
    }

    /// Returns whether an urgent step is tried although it pauses: a run of its team, at the limit of which it
    /// waits, has ended since the last attempt.
    fn is_limit_freed(&self, view: &StepView) -> bool {
        let is_limited = view.wait_reason == Some(WaitReason::TeamLimit);
        is_limited && Some(view.priority) == self.top_priority() && {
            let team = self.teams.get(&view.team);
            team.is_some_and(|team| team.freed_ms >= view.tried_ms)
        }
    }

    /// Returns the waiting steps in the order in which they are tried. Those that pause are left out, but for
    /// some that have a better claim to room that has become free than the others.
    pub(crate) fn order_of_steps(&self) -> Vec<StepId> {
        let now_ms = self.now_ms;
        let mut early_left = MAX_EARLY_STEPS;
        let waiting = self.steps.iter().filter(|(_, view)| !view.waiting.is_empty());
        let mut order: Vec<_> = waiting
            .filter(|(step, view)| {
                now_ms >= view.paused_until_ms
                    || self.shares.is_early(**step, view)
                    || self.is_limit_freed(view)
            })
            .map(|(step, view)| {
                let comes_later = !self.shares.has_turn(*step, view);
                let (is_late, due_ms) = view.urgency(now_ms);
                let is_early = now_ms < view.paused_until_ms;
                (
                    (view.priority, comes_later, is_late, view.standing, due_ms),
                    *step,
                    is_early,
                )
            })
            .collect();
        order.sort_unstable();
        let order = order.into_iter().filter(|(.., is_early)| {
            let may_try = !is_early || early_left > 0;
            early_left -= usize::from(*is_early && may_try);
            may_try
        });
        order.map(|(_, step, _)| step).collect()
    }

    /// Returns how many of `tasks` tasks of a step may be started now: a step over the share of its team starts
    /// one task or gang in a turn.
    pub(crate) fn allowed_in_turn(&self, step: StepId, spec: &StepSpec, tasks: usize) -> usize {
        let view = self.steps.get(&step);
        let is_bounded =
            view.is_some_and(|view| view.standing == Standing::Over && self.shares.has_turn(step, view));
        match is_bounded && !spec.gang {
            true => tasks.min(1),
            false => tasks,
        }
    }

    /// Returns whether runs of teams with a weaker standing may be stopped for a step: it has a turn, and has
    /// waited for longer than most runs last.
    pub(crate) fn may_reclaim(&self, step: StepId) -> bool {
        let Some(view) = self.steps.get(&step) else {
            return false;
        };
        let turn = self.shares.turns.get(&(view.priority, view.service.clone()));
        turn.is_some_and(|turn| turn.step == step && !turn.has_reclaimed)
            && view.wait_ms(self.now_ms).is_some_and(|ms| ms >= RECLAIM_MS)
            && self.has_weaker(view)
    }

    /// Extends the turn of a step until the room of stopped runs is free.
    pub(crate) fn extend_turn(&mut self, step: StepId) {
        let until_ms = self.now_ms + PREEMPTION_MS;
        let turns = self.shares.turns.values_mut();
        for turn in turns.filter(|turn| turn.step == step) {
            turn.has_reclaimed = true;
            turn.until_ms = until_ms;
        }
    }

    /// Returns whether a team with a weaker standing than that of a step uses its service, or waits for it.
    fn has_weaker(&self, view: &StepView) -> bool {
        let standings = self.shares.standings.get(&view.service);
        standings.is_some_and(|present| present.last > view.standing)
    }

    /// Gives turns to steps that have waited for long in a class in which steps wait for capacity, those of
    /// the team whose last turn was longest ago first.
    fn give_turns(&mut self) {
        let now_ms = self.now_ms;
        self.shares.turns.retain(|_, turn| now_ms < turn.until_ms);
        if self.shares.contended_until_ms.is_empty() {
            self.shares.last_turns_ms.clear();
            return;
        }
        let mut longest = BTreeMap::new();
        for (step, view) in &self.steps {
            let wait_ms = view.wait_ms(now_ms).unwrap_or(0);
            // A turn brings nothing to a step that its team's limit keeps waiting.
            let is_limited = view.wait_reason == Some(WaitReason::TeamLimit);
            if wait_ms < STARVED_WITHIN_SHARE_MS || view.is_long_running || is_limited {
                continue;
            }
            if wait_ms < STARVED_MS && !self.has_weaker(view) {
                continue;
            }
            let class = (view.priority, view.service.clone());
            let is_due = self.shares.contended_until_ms.contains_key(&class)
                && !self.shares.turns.contains_key(&class);
            if is_due && self.runs.range(step.tasks()).next().is_none() {
                let last_turn_ms = self.shares.last_turns_ms.get(&view.team).copied();
                let candidate = (last_turn_ms, Reverse(wait_ms), *step);
                let first = longest.entry(class).or_insert(candidate);
                *first = candidate.min(*first);
            }
        }
        for (class, (.., step)) in longest {
            let turn = Turn {
                has_reclaimed: false,
                has_started: false,
                step,
                until_ms: now_ms + STARVED_TURN_MS,
            };
            self.shares.turns.insert(class, turn);
            if let Some(view) = self.steps.get(&step) {
                self.shares.last_turns_ms.insert(view.team.clone(), now_ms);
            }
        }
    }
}

/// Returns whether the last attempt to place a step failed since something was scarce that other steps of
/// its service have.
fn waits_for_capacity(view: &StepView) -> bool {
    match view.wait_reason.filter(|_| !view.waiting.is_empty()) {
        Some(WaitReason::NoCapacity | WaitReason::AwaitsRoom | WaitReason::NoAdviceSender) => true,
        None
        | Some(
            WaitReason::NotTried
            | WaitReason::TeamLimit
            | WaitReason::NoQueue
            | WaitReason::GangEnding
            | WaitReason::AwaitsStartResults
            | WaitReason::AwaitsAdvice
            | WaitReason::AdvicePause
            | WaitReason::Evacuated,
        ) => false,
    }
}

/// Returns the part of an amount that is within the limit of a team. A limit of 0 is none.
fn within(amount: &Resources, limit: &Resources) -> Resources {
    let least = |amount: u64, limit: u64| if limit == 0 { amount } else { amount.min(limit) };
    Resources {
        accelerators: least(amount.accelerators.into(), limit.accelerators.into()) as u32,
        memory_bytes: least(amount.memory_bytes, limit.memory_bytes),
        processors_millis: least(amount.processors_millis.into(), limit.processors_millis.into()) as u32,
        ..Resources::NONE
    }
}
