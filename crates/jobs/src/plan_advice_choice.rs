//! Chooses which waiting steps get the free daemons for their advice requests.
//!
//! Handles bursts of steps that wait for a daemon. Without a choice the first steps in the order of placement
//! take all daemons, also those of one team that submits far more than others, or of steps whose request
//! starts little.

use {
    crate::{AdvicePolicy, Planner, StepId, WaitReason},
    fuchsiatack_model::{TeamName, WorkerName},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Number of requests of each team among which each free daemon has the choice. Each costs a search of all
/// workers.
const REQUESTS_PER_DAEMON: usize = 2;
/// Maximum number of requests in one planning pass among which daemons have the choice.
const MAX_REQUESTS_PER_PASS: usize = 64;
/// Number of times that others are chosen before a request, after which it comes first of its priority.
const MAX_TIMES_PASSED: u32 = 3;

/// An advice request that waits for the choice at the end of a planning pass.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    /// Expected number of workers that it finds for the step, in thousandths.
    pub(crate) expected_thousandths: u64,
    pub(crate) policy: AdvicePolicy,
    pub(crate) step: StepId,
    pub(crate) workers: Vec<WorkerName>,
}

impl PlannedRequest {
    /// Returns the order of magnitude of its chance to start anything per time at the service. Smaller
    /// differences are left to the order of placement. Steps that start more tasks with one request do not
    /// come first: in a replay of an overload that started no more tasks, and single ones waited longer.
    fn yield_class(&self) -> u32 {
        let response_ms = self.policy.response_ms(self.workers.len()).max(1);
        let chance_thousandths = self.expected_thousandths.min(1_000);
        let per_million_ms = chance_thousandths * 1_000 / response_ms;
        per_million_ms.max(1).ilog2()
    }
}

impl Planner {
    /// Returns whether the present planning pass has enough requests of a step's team for the free daemons to
    /// choose among.
    pub(crate) fn has_enough_planned_requests(&self, step: StepId, policy: &AdvicePolicy) -> bool {
        let team = self.team_of(step);
        let planned = self.planned_requests.iter();
        let of_team = planned
            .filter(|planned| self.team_of(planned.step) == team)
            .count();
        let load = self.request_load(step, policy, 1);
        self.planned_requests.iter().any(|planned| planned.step == step)
            || self.planned_requests.len() >= MAX_REQUESTS_PER_PASS
            || of_team >= self.advice_senders.free_for(self.now_ms, load) * REQUESTS_PER_DAEMON
    }

    /// Returns whether a request of a step's team was planned in the present planning pass.
    pub(crate) fn has_planned_request(&self, step: StepId) -> bool {
        let team = self.team_of(step);
        let mut planned = self.planned_requests.iter();
        planned.any(|planned| self.team_of(planned.step) == team)
    }

    /// Sends the planned requests for which there are daemons: by priority, then those of teams with the
    /// smallest number of requests under way for their weight, then those that start most likely something for
    /// their time.
    pub(crate) fn send_planned_requests(&mut self) {
        let mut planned = std::mem::take(&mut self.planned_requests);
        let mut under_way = self.requests_of_teams();
        while !planned.is_empty() {
            let order = |request: &PlannedRequest| self.choice_order(request, &under_way);
            let positions = planned.iter().enumerate();
            let Some((first, _)) = positions.min_by_key(|(_, request)| order(request)) else {
                return;
            };
            let request = planned.remove(first);
            let step = request.step;
            let sent = self.send_advice_requests(step, &request.policy, request.workers, false);
            let Some(view) = self.steps.get_mut(&step) else {
                continue;
            };
            if sent > 0 {
                view.advice.times_passed = 0;
                view.wait_reason = Some(WaitReason::AwaitsAdvice);
                *under_way.entry(self.team_of(step).cloned()).or_default() += sent as u64;
            } else {
                view.advice.times_passed += 1;
            }
        }
    }

    fn choice_order(
        &self,
        request: &PlannedRequest,
        under_way: &BTreeMap<Option<TeamName>, u64>,
    ) -> (u32, bool, u64, Reverse<u32>) {
        let view = self.steps.get(&request.step);
        let priority = view.map_or(u32::MAX, |view| view.priority);
        let is_overdue = self.overdue_request == Some((priority, request.step));
        let was_passed = is_overdue || view.is_some_and(|view| view.advice.times_passed >= MAX_TIMES_PASSED);
        let team = self.team_of(request.step);
        let requests = under_way.get(&team.cloned()).copied().unwrap_or(0);
        let weight = team.map_or(1, |team| self.team_weight(team)).max(1);
        let share = requests * 1_000 / u64::from(weight);
        (priority, !was_passed, share, Reverse(request.yield_class()))
    }

    /// Returns the number of requests under way by team, without those of the first priority.
    fn requests_of_teams(&self) -> BTreeMap<Option<TeamName>, u64> {
        let mut requests = BTreeMap::new();
        let with_requests = self.steps.iter();
        for (step, view) in with_requests.filter(|(_, view)| !view.advice.requests.is_empty()) {
            if !self.is_urgent(*step) {
                *requests.entry(self.team_of(*step).cloned()).or_default() +=
                    view.advice.requests.len() as u64;
            }
        }
        requests
    }
}
