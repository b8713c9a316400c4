//! Preemption of batch tasks for interactive tasks and gangs.

use {
    crate::{
        Decision, Kernel,
        task::{Stage, TaskKey},
        worker::WorkerKey,
    },
    fuchsiatack_model::{Policy, Resources},
};

/// Maximum number of batch tasks, youngest first, that are examined for one preemption. It bounds
/// the cost.
const CANDIDATES: usize = 32;

impl Kernel {
    /// Records the start of a task, and makes it a possible victim if it is an idempotent batch task.
    pub(crate) fn add_victim(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        task.started_us = self.now_us;
        if task.policy == Policy::Batch && task.idempotent && !task.inherited {
            self.victims.insert((task.started_us, key));
        }
    }

    /// Removes a task from the possible victims.
    pub(crate) fn remove_victim(&mut self, key: TaskKey) {
        self.victims.remove(&(self.tasks[key].started_us, key));
    }

    /// Stops batch tasks of one worker, so that its free resources will cover `demand`. The youngest
    /// tasks are chosen, since the least work is lost with them. Returns whether any were found.
    pub(crate) fn preempt_for(&mut self, demand: &Resources, decisions: &mut Vec<Decision>) -> bool {
        let found = self
            .victims
            .iter()
            .rev()
            .take(CANDIDATES)
            .find_map(|(_, key)| self.sufficient_victims(*key, demand));
        let Some(victims) = found else { return false };
        for victim in victims {
            self.preempt(victim, decisions);
        }
        true
    }

    /// Returns the victims on the worker of `first`, that task included, whose demands and the
    /// worker's offer together cover `demand`; `None` if they do not suffice.
    fn sufficient_victims(&self, first: TaskKey, demand: &Resources) -> Option<Vec<TaskKey>> {
        let Stage::Running(worker_key) = self.tasks[first].stage else {
            return None;
        };
        let mut free = self.workers[worker_key].offer()?;
        let mut victims = Vec::new();
        for key in std::iter::once(first).chain(self.other_victims(worker_key, first)) {
            free = free.saturating_add(&self.tasks[key].demand);
            victims.push(key);
            if free.covers(demand) {
                return Some(victims);
            }
        }
        None
    }

    fn other_victims(&self, worker: WorkerKey, first: TaskKey) -> impl Iterator<Item = TaskKey> {
        self.workers[worker]
            .tasks
            .iter()
            .rev()
            .copied()
            .filter(move |key| *key != first)
            .filter(|key| self.victims.contains(&(self.tasks[*key].started_us, *key)))
    }

    fn preempt(&mut self, key: TaskKey, decisions: &mut Vec<Decision>) {
        self.remove_victim(key);
        let task = &mut self.tasks[key];
        task.preempted = true;
        self.preempting += 1;
        if let Stage::Running(worker) = task.stage {
            decisions.push(Decision::Stop {
                task: task.id,
                worker: self.workers[worker].name.clone(),
            });
        }
    }
}
