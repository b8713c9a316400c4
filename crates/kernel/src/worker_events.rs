//! Events about workers: attachment, reports, hand-over and removal.

use {
    crate::{
        Decision, Kernel,
        health::{Health, ServiceState},
        task::{Stage, Task, TaskKey},
        team::TeamKey,
        worker::{Worker, WorkerKey, speed_class},
    },
    fuchsiatack_model::{
        DataCenter, Epoch, Policy, RackName, Resources, RunningTask, TaskId, TeamName, WorkerName,
    },
};

/// Contents of `Event::WorkerAttached`.
pub(crate) struct Attachment {
    pub(crate) capacity: Resources,
    pub(crate) epoch: Epoch,
    pub(crate) place: (DataCenter, RackName),
    pub(crate) running: Vec<RunningTask>,
    pub(crate) speed_millis: u32,
    pub(crate) worker: WorkerName,
}

impl Kernel {
    /// Attaches a fenced worker. If it is known already, its list of running tasks replaces the
    /// kernel's own, and an older epoch than the known one is ignored.
    pub(crate) fn worker_attached(&mut self, attachment: Attachment, decisions: &mut Vec<Decision>) {
        let known = self.workers.key(&attachment.worker);
        if known.is_some_and(|key| self.workers[key].epoch > attachment.epoch) {
            return;
        }
        let mut kept = Vec::new();
        if let Some(old) = known {
            let listed = sorted(attachment.running.iter().map(|task| task.task));
            self.end_unlisted(old, &listed, decisions);
            kept = self.workers[old].tasks.clone();
            self.unfreeze_tokens(old, decisions);
            self.workers[old].unreachable = true;
            self.offer_changed(old);
            self.remove_worker(old);
        }
        let running = attachment.running.clone();
        let key = self.insert_worker(attachment);
        let kept_ids = sorted(kept.iter().map(|task| self.tasks[*task].id));
        for task in kept {
            self.move_to_worker(task, key);
        }
        for task in running {
            if kept_ids.binary_search(&task.task).is_err() {
                self.add_inherited(task, key);
            }
        }
        self.waiting.clear_blocked();
        self.offer_changed(key);
    }

    /// Removes a released worker after its new owner has counted the tasks that run there. Calls
    /// to these tasks may still end later.
    pub(crate) fn worker_detached(
        &mut self,
        name: &WorkerName,
        moved_tokens: Vec<(TeamName, u32)>,
        decisions: &mut Vec<Decision>,
    ) {
        for (team, tokens) in moved_tokens {
            if let Some(team) = self.teams.key(&team) {
                self.teams[team].tokens.remove_moved(tokens);
            }
        }
        let Some(key) = self.workers.key(name) else { return };
        for task in self.workers[key].tasks.clone() {
            let stage = self.tasks[task].stage;
            self.release_resources(task, decisions);
            match stage {
                _ if self.tasks[task].inherited => self.remove_task(task),
                Stage::Running(_) => self.tasks[task].stage = Stage::Detached { ended: false },
                _ => self.abandon(task, decisions),
            }
        }
        self.unfreeze_tokens(key, decisions);
        self.remove_worker(key);
        self.report_blocked(decisions);
    }

    /// Removes a worker whose task leases have expired, and ends its tasks.
    pub(crate) fn worker_removed(&mut self, name: &WorkerName, decisions: &mut Vec<Decision>) {
        let Some(key) = self.workers.key(name) else { return };
        self.workers[key].unreachable = true;
        self.offer_changed(key);
        self.end_unlisted(key, &[], decisions);
        self.unfreeze_tokens(key, decisions);
        self.remove_worker(key);
        self.report_blocked(decisions);
    }

    pub(crate) fn worker_draining(&mut self, name: WorkerName, draining: bool) {
        if let Some(key) = self.workers.key(&name) {
            self.workers[key].draining = draining;
            self.offer_changed(key);
        }
        match draining {
            true => self.draining_workers.insert(name),
            false => self.draining_workers.remove(&name),
        };
    }

    pub(crate) fn worker_releasing(&mut self, name: &WorkerName) {
        if let Some(key) = self.workers.key(name) {
            self.workers[key].releasing = true;
            self.offer_changed(key);
        }
    }

    pub(crate) fn worker_unreachable(&mut self, name: &WorkerName) {
        if let Some(key) = self.workers.key(name) {
            self.workers[key].unreachable = true;
            self.offer_changed(key);
        }
    }

    /// Ends inherited tasks and those with a lost connection that a report omits, and uses the
    /// worker again if it was unreachable. Other tasks end with their calls.
    pub(crate) fn worker_reported(
        &mut self,
        name: &WorkerName,
        running: Vec<TaskId>,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(key) = self.workers.key(name) else { return };
        let has_tasks_ending_by_report = self.workers[key].ending_by_report > 0;
        let tasks = has_tasks_ending_by_report.then(|| self.workers[key].tasks.clone());
        let listed = sorted(running.into_iter());
        for task in tasks.unwrap_or_default() {
            let entry = &self.tasks[task];
            let omitted = listed.binary_search(&entry.id).is_err();
            match entry.stage {
                Stage::Running(_) if !entry.inherited => {}
                _ if omitted => self.end_attempt(task, decisions),
                _ => {}
            }
        }
        if self.workers[key].unreachable {
            self.workers[key].unreachable = false;
            self.offer_changed(key);
        }
    }

    /// Ends the tasks of a worker that are missing in `listed`, the sorted list of all tasks that
    /// run there.
    fn end_unlisted(&mut self, key: WorkerKey, listed: &[TaskId], decisions: &mut Vec<Decision>) {
        for task in self.workers[key].tasks.clone() {
            if listed.binary_search(&self.tasks[task].id).is_err() {
                self.end_attempt(task, decisions);
            }
        }
    }

    /// Ends an attempt that certainly no longer runs. A task whose call has not ended yet is kept
    /// until then.
    fn end_attempt(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        let stage = self.tasks[key].stage;
        self.release_resources(key, decisions);
        match stage {
            _ if self.tasks[key].inherited => self.remove_task(key),
            Stage::ConnectionLost(_) => self.end_lost_attempt(key, decisions),
            _ => {}
        }
    }

    /// Makes the tokens usable again that were frozen while the worker was being released.
    fn unfreeze_tokens(&mut self, key: WorkerKey, decisions: &mut Vec<Decision>) {
        for (team, tokens) in std::mem::take(&mut self.workers[key].frozen) {
            self.teams[team].frozen -= tokens;
            self.tokens_changed(team, decisions);
            self.teams.remove_unused(team);
        }
    }

    fn remove_worker(&mut self, key: WorkerKey) {
        if self.workers[key].health.state == ServiceState::Ejected {
            self.ejected_count -= 1;
        }
        self.workers.remove(key);
    }

    fn insert_worker(&mut self, attachment: Attachment) -> WorkerKey {
        let (data_center, rack) = attachment.place;
        let slowdown = 1_000.0 / attachment.speed_millis.max(1) as f32;
        self.workers.insert(Worker {
            capacity: attachment.capacity,
            class: speed_class(slowdown),
            data_center: self.spread.place_number(&data_center, &RackName::default()),
            draining: self.draining_workers.contains(&attachment.worker),
            ending_by_report: 0,
            epoch: attachment.epoch,
            frozen: Vec::new(),
            health: Health::default(),
            name: attachment.worker,
            paused: false,
            position: 0,
            rack: self.spread.place_number(&data_center, &rack),
            releasing: false,
            reserved: Resources::NONE,
            slowdown,
            tasks: Vec::new(),
            unreachable: false,
            used: Resources::NONE,
        })
    }

    /// Records a task that still runs in the new entry of its worker.
    fn move_to_worker(&mut self, key: TaskKey, worker_key: WorkerKey) {
        let task = &mut self.tasks[key];
        task.stage = match task.stage {
            Stage::ConnectionLost(_) => Stage::ConnectionLost(worker_key),
            _ => Stage::Running(worker_key),
        };
        let worker = &mut self.workers[worker_key];
        worker.used = worker.used.saturating_add(&task.demand);
        worker.ending_by_report += u32::from(task.ends_by_report());
        worker.tasks.push(key);
    }

    /// Adds a running task that a former owner of the worker started. It counts as batch work
    /// that is not idempotent.
    fn add_inherited(&mut self, running: RunningTask, worker: WorkerKey) {
        let team: TeamKey = self.teams.key_or_insert(&running.team);
        self.next_sequence += 1;
        let key = self.tasks.insert(Task {
            cancelled: false,
            deadline_us: None,
            demand: running.demand,
            gang: None,
            id: running.task,
            idempotent: false,
            inherited: true,
            policy: Policy::Batch,
            preempted: false,
            sequence: self.next_sequence,
            started_us: self.now_us,
            submitted_us: self.now_us,
            stage: Stage::Running(worker),
            started: true,
            team,
        });
        self.task_index.insert(running.task, key);
        self.teams[team].tasks += 1;
        self.mark_running(key, worker);
    }
}

fn sorted(tasks: impl Iterator<Item = TaskId>) -> Vec<TaskId> {
    let mut tasks: Vec<TaskId> = tasks.collect();
    tasks.sort_unstable();
    tasks
}
