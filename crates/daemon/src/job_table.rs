//! All jobs of the engine, by task.

use {
    crate::{
        job::JobId,
        job_entry::{JobEntry, JobState},
    },
    fuchsiatack_model::{QueueName, TaskId, TeamName, WorkerName},
    std::collections::HashMap,
};

/// Jobs by task, with counts of the waiting jobs.
#[derive(Default)]
pub(crate) struct JobTable {
    by_task: HashMap<TaskId, JobEntry>,
    queued: HashMap<(QueueName, TeamName), u32>,
    tasks: HashMap<JobId, TaskId>,
    waiting: usize,
}

impl JobTable {
    pub(crate) fn get(&self, task: TaskId) -> Option<&JobEntry> {
        self.by_task.get(&task)
    }

    pub(crate) fn get_mut(&mut self, task: TaskId) -> Option<&mut JobEntry> {
        self.by_task.get_mut(&task)
    }

    /// Returns the current task of a job.
    pub(crate) fn task_of(&self, job_id: JobId) -> Option<TaskId> {
        self.tasks.get(&job_id).copied()
    }

    /// Number of jobs that are not placed yet.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of waiting requests of a team that were submitted through a queue.
    pub(crate) fn queued(&self, queue: &QueueName, team: &TeamName) -> u32 {
        let key = (queue.clone(), team.clone());
        self.queued.get(&key).copied().unwrap_or_default()
    }

    pub(crate) fn insert(&mut self, task: TaskId, entry: JobEntry) {
        self.tasks.insert(entry.job.job_id, task);
        self.count(&entry, true);
        self.by_task.insert(task, entry);
    }

    pub(crate) fn remove(&mut self, task: TaskId) -> Option<JobEntry> {
        let entry = self.by_task.remove(&task)?;
        self.tasks.remove(&entry.job.job_id);
        self.count(&entry, false);
        Some(entry)
    }

    /// Sets the state of a job and updates the counts.
    pub(crate) fn set_state(&mut self, task: TaskId, state: JobState) {
        if let Some(mut entry) = self.by_task.remove(&task) {
            self.count(&entry, false);
            entry.state = state;
            self.count(&entry, true);
            self.by_task.insert(task, entry);
        }
    }

    /// Tasks whose job satisfies the predicate, in the order of their creation.
    pub(crate) fn tasks_where(&self, predicate: impl Fn(&JobEntry) -> bool) -> Vec<TaskId> {
        let mut tasks: Vec<_> = self
            .by_task
            .iter()
            .filter(|(_, entry)| predicate(entry))
            .map(|(task, _)| *task)
            .collect();
        tasks.sort_unstable();
        tasks
    }

    /// Tasks that run on a worker, or may run there after a lost connection.
    pub(crate) fn on_worker(&self, worker: &WorkerName) -> Vec<TaskId> {
        self.tasks_where(|entry| entry.is_on(worker))
    }

    fn count(&mut self, entry: &JobEntry, add: bool) {
        if !entry.is_waiting() {
            return;
        }
        self.waiting = match add {
            true => self.waiting + 1,
            false => self.waiting - 1,
        };
        let Some((queue, _)) = &entry.class.queue else {
            return;
        };
        let key = (queue.clone(), entry.class.team.clone());
        let queued = self.queued.entry(key.clone()).or_default();
        *queued = match add {
            true => *queued + 1,
            false => *queued - 1,
        };
        if *queued == 0 {
            self.queued.remove(&key);
        }
    }
}
