//! Decides how much of its limit a team may use for a step.
//!
//! Handles teams whose own batch work fills their limit. Their urgent steps go first: batch steps leave
//! room for them, and runs that save checkpoints are stopped for them if no room is free in time.

use {
    crate::{
        LogEvent, Planner, StepId, StepSpec, TaskKey, plan_preemption::PREEMPTION_MS, run_view::RunState,
        team_use,
    },
    fuchsiatack_model::{Resources, TeamName},
    smol_str::SmolStr,
    std::cmp::Reverse,
};

/// Wait from which an urgent step does not keep batch steps of its team waiting, in milliseconds. Some fit no
/// worker, and some wait beside lasting runs of the team.
const MAX_KEEPING_MS: u64 = 10_000;
/// Wait from which a batch step without a run may use the room for the urgent work of its team, in
/// milliseconds.
const TURN_WAIT_MS: u64 = 5_000;
/// Time for which one batch step of a team at a time may use that room, in milliseconds. It bounds what
/// these steps take from urgent ones, and suffices for advice and for a start.
const TURN_MS: u64 = 5_000;
/// Wait from which a lasting step may use that room, in milliseconds.
const LASTING_WAIT_MS: u64 = 1_000;
/// Interval between two searches for runs to preempt for the limit of a team, in milliseconds.
const SEARCH_MS: u64 = 100;

impl Planner {
    /// Returns the limit of a team; `None` if the configuration has no such team.
    pub(crate) fn team_limit(&self, team: &TeamName) -> Option<Resources> {
        let position = *self.team_positions.get(team)?;
        let team = self.store.configuration.as_ref()?.teams.get(position)?;
        Some(team.limit)
    }

    /// Returns the weight of a team; 1 if the configuration has no such team.
    pub(crate) fn team_weight(&self, team: &TeamName) -> u32 {
        let position = self.team_positions.get(team);
        let teams = self.store.configuration.as_ref().map(|present| &present.teams);
        let team = position.and_then(|position| teams?.get(*position));
        team.map_or(1, |team| team.weight)
    }

    /// Returns the team of a step's job.
    pub(crate) fn team_of(&self, step: StepId) -> Option<&TeamName> {
        self.store.jobs.get(&step.job)?.team.as_ref()
    }

    /// Returns whether a step has the first of several priorities.
    pub(crate) fn is_urgent(&self, step: StepId) -> bool {
        let queue = self.queue_of(step.job);
        queue.is_some_and(|queue| Some(queue.priority) == self.top_priority())
    }

    /// Measures what the urgent work of each team needs.
    pub(crate) fn observe_urgent_work(&mut self) {
        for team in self.teams.values_mut() {
            team.urgent_waiting = Resources::NONE;
        }
        let top_priority = self.top_priority();
        let urgent = self.steps.iter().filter(|(_, view)| {
            let wait_ms = view.wait_ms(self.now_ms);
            Some(view.priority) == top_priority && wait_ms.is_some_and(|ms| ms < MAX_KEEPING_MS)
        });
        let needs: Vec<_> = urgent
            .filter_map(|(step, view)| {
                let job = self.store.jobs.get(&step.job)?;
                let (team, spec) = (job.team.as_ref()?, job.step(step.step)?);
                let needed = team_use::demand_of(&spec.demand, view.waiting.len());
                let limit = self.team_limit(team)?;
                let least = if spec.gang { &needed } else { &spec.demand };
                is_within(&limit, least).then(|| (team.clone(), needed))
            })
            .collect();
        for (team, needed) in needs {
            let team = self.teams.entry(team).or_default();
            team.urgent_waiting = team.urgent_waiting.saturating_add(&needed);
        }
        let now_ms = self.now_ms;
        for team in self.teams.values_mut() {
            let needed = team.urgent.saturating_add(&team.urgent_waiting);
            team.room.observe(now_ms, &needed);
        }
    }

    /// Takes into account that waiting tasks of a step have been started.
    pub(crate) fn count_started(&mut self, step: StepId, spec: &StepSpec, tasks: usize) {
        if !self.is_urgent(step) {
            return;
        }
        let team = self.team_of(step).cloned();
        if let Some(team) = team.and_then(|team| self.teams.get_mut(&team)) {
            let started = team_use::demand_of(&spec.demand, tasks);
            team.urgent_waiting = team.urgent_waiting.saturating_sub(&started);
        }
    }

    /// Returns how many of `tasks` tasks of a step the limit of its team allows now.
    pub(crate) fn allowed_by_limit(&mut self, step: StepId, spec: &StepSpec, tasks: usize) -> usize {
        let Some(name) = self.team_of(step).cloned() else {
            return tasks;
        };
        let Some(limit) = self.team_limit(&name) else {
            return tasks;
        };
        let Some(team) = self.teams.get(&name) else {
            return fitting(&limit, &Resources::NONE, &spec.demand, tasks);
        };
        let allowed = fitting(&limit, &team.total, &spec.demand, tasks);
        let least = if spec.gang { spec.tasks as usize } else { 1 };
        if allowed < least || self.is_urgent(step) {
            return allowed;
        }
        let kept = team
            .room
            .kept(self.now_ms, &limit, &team.urgent, &team.urgent_waiting);
        let beside_kept = fitting(&limit, &team.total.saturating_add(&kept), &spec.demand, tasks);
        match beside_kept < least && self.may_use_kept(step, spec, &name) {
            true => least,
            false => beside_kept,
        }
    }

    /// Returns whether a batch step may use the room that is kept for urgent work, since it has waited for
    /// long.
    fn may_use_kept(&mut self, step: StepId, spec: &StepSpec, team: &TeamName) -> bool {
        let now_ms = self.now_ms;
        let view = self.steps.get(&step);
        let wait_ms = view.and_then(|view| view.wait_ms(now_ms)).unwrap_or(0);
        if spec.long_running {
            return wait_ms >= LASTING_WAIT_MS;
        }
        if wait_ms < TURN_WAIT_MS || self.runs.range(step.tasks()).next().is_some() {
            return false;
        }
        let Some(team) = self.teams.get_mut(team) else {
            return true;
        };
        match team.turn {
            Some((present, since_ms)) if now_ms < since_ms + TURN_MS => present == step,
            _ => {
                team.turn = Some((step, now_ms));
                true
            }
        }
    }

    /// Stops checkpointed runs of later priorities of an urgent step's team, as far as its urgent steps need
    /// their room under the limit and no other is free in time.
    pub(crate) fn preempt_for_limit(&mut self, step: StepId, spec: &StepSpec, service: &SmolStr) {
        if !self.is_urgent(step) {
            return;
        }
        let now_ms = self.now_ms;
        let Some(name) = self.team_of(step).cloned() else {
            return;
        };
        let Some(limit) = self.team_limit(&name) else {
            return;
        };
        match self.teams.get_mut(&name) {
            Some(team) if now_ms >= team.preemption_due_ms => team.preemption_due_ms = now_ms + SEARCH_MS,
            _ => return,
        }
        let victims = self.victims_in_team(step, spec, service, &name, &limit);
        if victims.is_empty() {
            return;
        }
        self.log(
            LogEvent::new("runs preempted for the limit of their team")
                .job(step.job)
                .with("step", step)
                .with("team", &name)
                .with("runs", victims.len()),
        );
        for task in victims {
            self.stop_run(task);
        }
    }

    /// Returns the runs of a team to stop for its urgent steps, those of the last priority that would last
    /// longest first. Returns none if their stop would not let the step start.
    fn victims_in_team(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        name: &TeamName,
        limit: &Resources,
    ) -> Vec<TaskKey> {
        let Some(team) = self.teams.get(name) else {
            return Vec::new();
        };
        let seeker = self.seeker(step, spec);
        let has_room = !self.all_candidates(step, spec, service).is_empty();
        let mut used = team.total;
        let mut preemptible = Vec::new();
        for run in team.runs.iter().filter_map(|task| self.runs.get(task)) {
            let remaining_ms = self.expected_remaining_ms(run.run.task);
            let is_ending = remaining_ms.is_some_and(|ms| ms <= PREEMPTION_MS);
            if is_ending || matches!(run.state, RunState::Stopping { .. }) {
                used = used.saturating_sub(&run.demand);
            } else if self.is_preemptible(seeker, run) && (has_room || run.service == *service) {
                let priority = self.steps.get(&run.run.task.step).map(|view| view.priority);
                preemptible.push((Reverse(priority), Reverse(remaining_ms), run.run.task, run.demand));
            }
        }
        preemptible.sort_unstable();
        let is_enough = |used: &Resources| is_within(limit, &used.saturating_add(&team.urgent_waiting));
        let mut victims = Vec::new();
        for (.., task, demand) in preemptible {
            if is_enough(&used) {
                break;
            }
            used = used.saturating_sub(&demand);
            victims.push(task);
        }
        let least = if spec.gang { spec.tasks as usize } else { 1 };
        match fitting(limit, &used, &spec.demand, least) >= least {
            true => victims,
            false => Vec::new(),
        }
    }
}

/// Returns how many of `tasks` tasks fit under a limit beside what is used. A limit of 0 is none.
fn fitting(limit: &Resources, used: &Resources, demand: &Resources, tasks: usize) -> usize {
    let left = |limit: u64, used: u64, each: u64| match (limit, each) {
        (0, _) | (_, 0) => usize::MAX,
        _ => (limit.saturating_sub(used) / each) as usize,
    };
    tasks
        .min(left(
            limit.processors_millis.into(),
            used.processors_millis.into(),
            demand.processors_millis.into(),
        ))
        .min(left(limit.memory_bytes, used.memory_bytes, demand.memory_bytes))
        .min(left(
            limit.accelerators.into(),
            used.accelerators.into(),
            demand.accelerators.into(),
        ))
}

/// Returns whether an amount is within a limit. A limit of 0 is none.
fn is_within(limit: &Resources, amount: &Resources) -> bool {
    fitting(limit, &Resources::NONE, amount, 1) == 1
}
