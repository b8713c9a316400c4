//! Batch tasks make room for urgent work.

use {
    crate::{
        Decision, Kernel,
        task::{Stage, TaskKey},
        worker::WorkerKey,
    },
    fuchsiatack_model::{Policy, Resources},
};

/// Youngest batch tasks that are looked at for one urgent task. It bounds the cost.
const CANDIDATES: usize = 32;

impl Kernel {
    /// Lists a task that started as one that can make room, if it is idempotent batch work.
    pub(crate) fn add_victim(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        task.started_us = self.now_us;
        if task.policy == Policy::Batch && task.idempotent && !task.inherited {
            self.victims.insert((task.started_us, key));
        }
    }

    /// Takes a task off the list of those that can make room.
    pub(crate) fn remove_victim(&mut self, key: TaskKey) {
        self.victims.remove(&(self.tasks[key].started_us, key));
    }

    /// Stops the youngest batch tasks of one worker that make room for `demand`, since the
    /// least work is lost with them. Returns whether room will be made.
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

    fn sufficient_victims(&self, first: TaskKey, demand: &Resources) -> Option<Vec<TaskKey>> {
        let Stage::Running(worker_key) = self.tasks[first].stage else {
            return None;
        };
        let mut room = self.workers[worker_key].offer()?;
        let mut victims = Vec::new();
        for key in std::iter::once(first).chain(self.other_victims(worker_key, first)) {
            room = room.saturating_add(&self.tasks[key].demand);
            victims.push(key);
            if room.covers(demand) {
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
