//! Placement of waiting tasks on workers.

use {
    crate::{
        Decision, Kernel, PlacementRule,
        policy::PlacementView,
        reservation::FIRM_AFTER_US,
        task::{Stage, TaskKey},
        waiting::LaneKey,
        worker::WorkerKey,
    },
    fuchsiatack_model::Policy,
    rand::RngExt,
};

impl Kernel {
    /// Starts all waiting tasks that can start, in order of precedence and share. Nothing starts
    /// without a lease. A complete reservation is served before gangs and batch tasks.
    pub(crate) fn place_waiting(&mut self, decisions: &mut Vec<Decision>) {
        if !self.lease_valid {
            return;
        }
        loop {
            let workers = &self.workers;
            self.waiting.retain_fitting(|demand| workers.may_fit(demand));
            let next = self.waiting.next_lane(&mut self.teams);
            let policy = next.map(|lane| self.waiting.policy(lane));
            let before_gangs = policy.is_some_and(|policy| policy < Policy::Gang);
            if !before_gangs && self.start_reserved(decisions) {
                continue;
            }
            match next {
                Some(lane) => self.place_next(lane, decisions),
                None => return,
            }
        }
    }

    /// Starts the first request of a lane. Otherwise parks the lane if the team lacks tokens, or marks
    /// its group as idle if no worker has enough free resources.
    fn place_next(&mut self, lane: LaneKey, decisions: &mut Vec<Decision>) {
        let entry = &self.waiting.lanes[lane];
        let Some(key) = entry.tasks.values().next().copied() else {
            return;
        };
        let (group, team) = (entry.group, entry.team);
        let gang = self.tasks[key].gang;
        let size = gang.map_or(1, |gang| self.gangs[gang].members.len());
        if (self.teams[team].startable() as usize) < size || self.reserves_tokens_for_gang(key) {
            self.waiting.park(lane, &mut self.teams[team]);
            return;
        }
        match gang {
            Some(gang) => match self.plan_gang(key, size) {
                Some(workers) => self.start_gang(key, &workers, decisions),
                None => {
                    self.waiting.mark_idle(group);
                    self.queue_gang(key, gang);
                }
            },
            None => match self.choose_worker(key) {
                Some(worker) => {
                    self.leave_lane(key);
                    self.start(key, worker, decisions);
                }
                None => self.waiting.mark_idle(group),
            },
        }
    }

    /// Returns whether a batch task must not use its team's tokens, since a gang of the team has waited
    /// long. Otherwise the small tasks of a team could keep its gang from ever having enough tokens.
    fn reserves_tokens_for_gang(&self, key: TaskKey) -> bool {
        let task = &self.tasks[key];
        let team = &self.teams[task.team];
        let gang_waits = team.limited && team.waiting[Policy::Gang as usize] > 0;
        let wait_start_us = team.gang_wait_start_us;
        gang_waits && task.policy == Policy::Batch && self.now_us >= wait_start_us + FIRM_AFTER_US
    }

    fn choose_worker(&mut self, key: TaskKey) -> Option<WorkerKey> {
        let salt = self.random.random();
        let task = &self.tasks[key];
        let view = PlacementView {
            accept: &|worker| self.may_use(key, worker),
            demand: &task.demand,
            salt,
            spread: &self.spread,
            team: task.team,
            workers: &self.workers,
        };
        match (self.settings.placement_rule, task.policy) {
            (PlacementRule::Policy, _) | (_, Policy::Gang | Policy::Service) => {
                self.policies[task.policy as usize].choose(&view)
            }
            (rule, Policy::Batch | Policy::Interactive) => rule.choose(&view),
        }
    }

    /// Returns a worker for each member of a gang, or `None` if not all members can start.
    fn plan_gang(&mut self, key: TaskKey, size: usize) -> Option<Vec<WorkerKey>> {
        let demand = self.tasks[key].demand;
        let mut workers = Vec::with_capacity(size);
        while workers.len() < size {
            let Some(worker) = self.choose_worker(key) else {
                break;
            };
            self.workers[worker].used = self.workers[worker].used.saturating_add(&demand);
            self.workers.refresh(worker);
            workers.push(worker);
        }
        for worker in &workers {
            self.workers[*worker].used = self.workers[*worker].used.saturating_sub(&demand);
            self.workers.refresh(*worker);
        }
        (workers.len() == size).then_some(workers)
    }

    /// Starts a waiting gang, each member on the worker at the same position of `workers`.
    pub(crate) fn start_gang(&mut self, key: TaskKey, workers: &[WorkerKey], decisions: &mut Vec<Decision>) {
        let members = self.leave_lane(key);
        for (member, worker) in members.into_iter().zip(workers) {
            self.start(member, *worker, decisions);
        }
    }

    /// Starts a task that has left its lane.
    fn start(&mut self, key: TaskKey, worker_key: WorkerKey, decisions: &mut Vec<Decision>) {
        self.mark_running(key, worker_key);
        self.add_victim(key);
        self.assign_probe(key, worker_key);
        self.offer_lowered(worker_key);
        let worker = &self.workers[worker_key];
        decisions.push(Decision::Start {
            epoch: worker.epoch,
            task: self.tasks[key].id,
            worker: worker.name.clone(),
        });
    }

    /// Records a task as running on a worker.
    pub(crate) fn mark_running(&mut self, key: TaskKey, worker_key: WorkerKey) {
        let task = &mut self.tasks[key];
        task.stage = Stage::Running(worker_key);
        task.preempted = false;
        let worker = &mut self.workers[worker_key];
        worker.used = worker.used.saturating_add(&task.demand);
        worker.ending_by_report += u32::from(task.ends_by_report());
        worker.tasks.push(key);
        if task.policy == Policy::Service {
            self.spread.add(task.team, worker.data_center, worker.rack);
        }
        let team = task.team;
        self.start_count += 1;
        self.teams[team].running += 1;
        self.teams[team].last_start = self.start_count;
        if task.policy == Policy::Interactive {
            self.interactive.running += 1;
        }
        self.team_changed(team);
    }
}
