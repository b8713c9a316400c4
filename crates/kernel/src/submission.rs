//! Submission, refusal and cancellation of tasks.

use {
    crate::{
        Decision, Kernel, Submission,
        forwarding::is_forwardable,
        task::{Gang, Stage, Task, TaskKey},
        team::TeamKey,
        waiting::GroupKey,
    },
    fuchsiatack_model::{Policy, Refusal, Resources, TaskId},
};

impl Kernel {
    /// Handles a new request or gang: starts it, forwards it, lets it wait or refuses it. Ignores
    /// the submission if one of its tasks is known already, since that task may be running.
    pub(crate) fn submit(&mut self, submission: Submission, decisions: &mut Vec<Decision>) {
        let known = |task| self.task_index.get(task).is_some();
        if submission.tasks.is_empty() || submission.tasks.iter().any(known) {
            return;
        }
        if let Some(reason) = self.refusal_at_arrival(&submission) {
            let elsewhere = self.forward_target(&submission);
            match elsewhere.filter(|_| reason == Refusal::QueueFull) {
                Some(daemon) => decisions.push(Decision::Forward {
                    daemon,
                    task: submission.tasks[0],
                }),
                None => self.refuse_all(&submission, reason, decisions),
            }
            return;
        }
        let first_task = self.admit(&submission);
        self.place_waiting(decisions);
        if self.is_waiting(first_task) {
            self.handle_unplaced(first_task, &submission, decisions);
        }
    }

    /// Cancels a waiting task or stops a running one. A waiting gang is cancelled as a whole.
    pub(crate) fn cancel(&mut self, id: TaskId, decisions: &mut Vec<Decision>) {
        let Some(key) = self.task_index.get(&id) else {
            return;
        };
        let task = &mut self.tasks[key];
        match task.stage {
            Stage::Waiting(_) => self.drop_waiting(key, Refusal::Cancelled, decisions),
            Stage::Running(worker) if !task.cancelled => {
                task.cancelled = true;
                decisions.push(Decision::Stop {
                    task: id,
                    worker: self.workers[worker].name.clone(),
                });
            }
            _ => task.cancelled = true,
        }
    }

    /// Removes a waiting request or gang without starting it. Tasks that were started before are
    /// abandoned, and the others are refused.
    pub(crate) fn drop_waiting(&mut self, key: TaskKey, reason: Refusal, decisions: &mut Vec<Decision>) {
        let members = self.leave_lane(key);
        for member in members {
            let task = &self.tasks[member];
            decisions.push(match task.started {
                true => Decision::Abandon { task: task.id },
                false => self.refusal(task.id, task.team, reason),
            });
            self.remove_task(member);
        }
    }

    /// Drops waiting requests and gangs whose deadline has passed.
    pub(crate) fn refuse_expired(&mut self, decisions: &mut Vec<Decision>) {
        while let Some((deadline_us, task)) = self.deadlines.first().copied() {
            if deadline_us > self.now_us {
                return;
            }
            self.drop_waiting(task, Refusal::DeadlineTooShort, decisions);
        }
    }

    /// Handles a change of the daemon's lease. Without a lease, interactive tasks are refused at
    /// once; other work waits, since the ledger decides which daemon it is assigned to.
    pub(crate) fn lease_changed(&mut self, valid: bool, decisions: &mut Vec<Decision>) {
        self.lease_valid = valid;
        if valid {
            return;
        }
        for task in self.waiting_interactive() {
            self.drop_waiting(task, Refusal::LeaseLapsed, decisions);
        }
    }

    /// Puts a request or gang into its lane, at the place of its first arrival.
    pub(crate) fn enter_lane(&mut self, key: TaskKey) {
        let task = &self.tasks[key];
        let (sequence, policy, demand, deadline_us) =
            (task.sequence, task.policy, task.demand, task.deadline_us);
        let team_key = task.team;
        let members = self.members(key);
        let team = &mut self.teams[team_key];
        let count = members.len() as u32;
        let lane = self.waiting.lane(team_key, team, (policy, demand, count));
        if policy == Policy::Gang && team.waiting[policy as usize] == 0 {
            team.gang_wait_start_us = self.now_us;
        }
        team.waiting[policy as usize] += count;
        if policy == Policy::Interactive {
            self.interactive.add_waiting(team, count);
        }
        self.waiting.push(lane, sequence, key);
        for member in members {
            self.tasks[member].stage = Stage::Waiting(lane);
        }
        if let Some(deadline_us) = deadline_us {
            self.deadlines.insert((deadline_us, key));
        }
    }

    /// Removes a request or gang from its lane and returns its tasks. A reservation of the gang is
    /// cancelled.
    pub(crate) fn leave_lane(&mut self, key: TaskKey) -> Vec<TaskKey> {
        let members = self.members(key);
        let first_task = members[0];
        let task = &self.tasks[first_task];
        let Stage::Waiting(lane) = task.stage else {
            return Vec::new();
        };
        if let Some(deadline_us) = task.deadline_us {
            self.deadlines.remove(&(deadline_us, first_task));
        }
        self.forwardable.remove(&(task.sequence, first_task));
        let team = &mut self.teams[task.team];
        let count = members.len() as u32;
        team.waiting[task.policy as usize] -= count;
        if task.policy == Policy::Gang {
            team.gang_wait_start_us = self.now_us;
        }
        if task.policy == Policy::Interactive {
            self.interactive.remove_waiting(team, count);
        }
        self.waiting.remove(lane, task.sequence, team);
        if let Some(gang) = task.gang {
            self.gangs.remove(gang);
        }
        for member in &members {
            self.tasks[*member].gang = None;
        }
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.first_task == first_task)
        {
            self.cancel_reservation();
        }
        members
    }

    /// Removes a task that neither waits nor runs.
    pub(crate) fn remove_task(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        self.task_index.remove(&task.id, key);
        self.teams[task.team].tasks -= 1;
        self.teams.remove_unused(task.team);
    }

    /// Returns the tasks that start together with a task, that task included.
    pub(crate) fn members(&self, key: TaskKey) -> Vec<TaskKey> {
        match self.tasks[key].gang {
            Some(gang) => self.gangs[gang].members.clone(),
            None => vec![key],
        }
    }

    fn refusal_at_arrival(&self, submission: &Submission) -> Option<Refusal> {
        let interactive = submission.class.policy == Policy::Interactive;
        let team = self.teams.key(&submission.team).map(|key| &self.teams[key]);
        let waiting = submission.class.policy as usize;
        match team.filter(|team| team.has_record) {
            _ if interactive && !self.lease_valid => Some(Refusal::LeaseLapsed),
            None => Some(Refusal::Cancelled),
            Some(_)
                if submission
                    .deadline_us
                    .is_some_and(|deadline| deadline <= self.now_us) =>
            {
                Some(Refusal::DeadlineTooShort)
            }
            Some(team)
                if team.waiting[waiting] >= self.settings.max_waiting_per_team.min(team.max_waiting) =>
            {
                Some(Refusal::QueueFull)
            }
            Some(_) => None,
        }
    }

    fn admit(&mut self, submission: &Submission) -> TaskKey {
        let team = self.teams.key_or_insert(&submission.team);
        let keys: Vec<TaskKey> = submission
            .tasks
            .iter()
            .map(|id| self.insert_task(*id, submission, team))
            .collect();
        let first_task = keys[0];
        if keys.len() > 1 {
            let gang = self.gangs.insert(Gang::new(keys.clone()));
            for key in keys {
                self.tasks[key].gang = Some(gang);
            }
        }
        self.enter_lane(first_task);
        first_task
    }

    fn insert_task(&mut self, id: TaskId, submission: &Submission, team: TeamKey) -> TaskKey {
        self.next_sequence += 1;
        let key = self.tasks.insert(Task {
            cancelled: false,
            deadline_us: submission.deadline_us,
            demand: submission.class.demand,
            gang: None,
            id,
            idempotent: submission.class.idempotent,
            inherited: false,
            policy: submission.class.policy,
            preempted: false,
            sequence: self.next_sequence,
            started_us: self.now_us,
            submitted_us: self.now_us,
            stage: Stage::Detached { ended: true },
            started: false,
            team,
        });
        self.task_index.insert(id, key);
        self.teams[team].tasks += 1;
        key
    }

    /// Forwards, refuses or reports new work that could not start at once. Otherwise it waits.
    fn handle_unplaced(&mut self, key: TaskKey, submission: &Submission, decisions: &mut Vec<Decision>) {
        if let Some(daemon) = self.forward_target(submission) {
            self.forward_waiting(key, daemon, decisions);
            return;
        }
        if is_forwardable(submission) {
            self.forwardable.insert((self.tasks[key].sequence, key));
        }
        let interactive = submission.class.policy == Policy::Interactive;
        match self.missing_resources(&submission.class.demand, submission.tasks.len()) {
            Some(_) if interactive => self.drop_waiting(key, Refusal::NeverFits, decisions),
            Some(missing) => decisions.push(Decision::Blocked {
                missing,
                task: self.tasks[key].id,
            }),
            None if self.watch_start_bound(key, decisions) => {}
            None if self.misses_deadline(key) && interactive => {
                self.drop_waiting(key, Refusal::DeadlineTooShort, decisions);
            }
            None => {}
        }
    }

    /// Reports waiting work as blocked that no longer fits on the fleet after a worker has left.
    /// Interactive tasks are left out.
    pub(crate) fn report_blocked(&mut self, decisions: &mut Vec<Decision>) {
        let groups: Vec<GroupKey> = self.waiting.groups.keys().collect();
        for key in groups {
            let group = &self.waiting.groups[key];
            if group.policy == Policy::Interactive || group.blocked {
                continue;
            }
            let Some(missing) = self.missing_resources(&group.demand, group.size as usize) else {
                continue;
            };
            self.waiting.groups[key].blocked = true;
            let lanes = self.waiting.lanes.values().filter(|lane| lane.group == key);
            for task in lanes.flat_map(|lane| lane.tasks.values()) {
                decisions.push(Decision::Blocked {
                    missing,
                    task: self.tasks[*task].id,
                });
            }
        }
    }

    /// Returns the resources that the fleet lacks to run `size` tasks at once, or `None` if they fit
    /// while it is idle. Also returns `None` without workers, since some may attach later.
    fn missing_resources(&self, demand: &Resources, size: usize) -> Option<Resources> {
        if self.workers.is_empty() {
            return None;
        }
        if !self.workers.could_fit(demand) {
            return Some(self.workers.missing(demand));
        }
        let lacking = (size > 1).then(|| size.saturating_sub(self.workers.count_fitting(demand, size)))?;
        let missing = (0..lacking).fold(Resources::NONE, |sum, _| sum.saturating_add(demand));
        (lacking > 0).then_some(missing)
    }

    /// Builds the refusal of a task, with a retry hint.
    pub(crate) fn refusal(&self, task: TaskId, team: TeamKey, reason: Refusal) -> Decision {
        Decision::Refuse {
            reason,
            retry_after_ms: self.retry_after_ms(Some(team), reason),
            task,
        }
    }

    fn refuse_all(&self, submission: &Submission, reason: Refusal, decisions: &mut Vec<Decision>) {
        let team = self.teams.key(&submission.team);
        let retry_after_ms = self.retry_after_ms(team, reason);
        decisions.extend(submission.tasks.iter().map(|task| Decision::Refuse {
            reason,
            retry_after_ms,
            task: *task,
        }));
    }

    fn is_waiting(&self, key: TaskKey) -> bool {
        self.tasks
            .get(key)
            .is_some_and(|task| matches!(task.stage, Stage::Waiting(_)))
    }

    pub(crate) fn waiting_interactive(&self) -> Vec<TaskKey> {
        self.waiting
            .lanes
            .values()
            .filter(|lane| self.waiting.groups[lane.group].policy == Policy::Interactive)
            .flat_map(|lane| lane.tasks.values().copied())
            .collect()
    }
}
