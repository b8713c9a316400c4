//! Tasks of queued works that are assigned to this session.

use {
    fuchsiatack_model::{LogIndex, TaskId, WorkName, WorkSpec, WorkTask, WorkerName},
    std::{collections::HashMap, sync::Arc},
};

use crate::job::JobId;

/// State of one task of a queued work.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WorkState {
    /// The worker ran it for a former owner when this session fenced the worker.
    Adopted { task: TaskId, worker: WorkerName },
    /// Its end is being committed.
    Ending,
    /// A worker of this session runs it; the worker's report, which names the task, has not arrived yet.
    Expected,
    /// Its end was applied at this index. An older directory may still list it.
    Settled(LogIndex),
    /// It waits or runs here, as this job.
    Submitted(JobId),
}

struct WorkTaskEntry {
    /// Whether its work was cancelled.
    cancelled: bool,
    /// Whether its worker has a new owner. This daemon then only relays the response of the run call.
    is_reassigned: bool,
    spec: Option<Arc<WorkSpec>>,
    state: WorkState,
}

impl WorkTaskEntry {
    fn new(spec: Option<Arc<WorkSpec>>, state: WorkState) -> Self {
        Self {
            cancelled: false,
            is_reassigned: false,
            spec,
            state,
        }
    }
}

/// An adopted task that its worker no longer runs.
pub(crate) struct AdoptedEnd {
    pub(crate) spec: Arc<WorkSpec>,
    pub(crate) task: WorkTask,
}

/// Tasks by work and number. An assignment may arrive again with a new directory; its known tasks
/// are not submitted again.
#[derive(Default)]
pub(crate) struct WorkTasks {
    entries: HashMap<WorkTask, WorkTaskEntry>,
}

impl WorkTasks {
    /// Removes all tasks. Used when the session to which they were assigned has ended.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }

    /// Adds a task that a fenced worker runs. A task that this session already runs or ends is left
    /// unchanged.
    pub(crate) fn adopt(&mut self, work: WorkTask, task: TaskId, worker: WorkerName) {
        let state = WorkState::Adopted { task, worker };
        match self.entries.get_mut(&work) {
            Some(entry) if entry.state == WorkState::Expected => entry.state = state,
            Some(_) => {}
            None => drop(self.entries.insert(work, WorkTaskEntry::new(None, state))),
        }
    }

    /// Adds assigned tasks that a fenced worker already runs. They are not submitted.
    pub(crate) fn add_expected(&mut self, spec: &Arc<WorkSpec>, work: &WorkName, tasks: Vec<u32>) {
        for task in self.assign(spec, work, tasks) {
            let entry = WorkTaskEntry::new(Some(spec.clone()), WorkState::Expected);
            self.entries.insert(task, entry);
        }
    }

    /// Returns the assigned tasks that are new and must be submitted, and sets the spec of the others.
    pub(crate) fn assign(&mut self, spec: &Arc<WorkSpec>, work: &WorkName, tasks: Vec<u32>) -> Vec<WorkTask> {
        let mut new_tasks = Vec::new();
        for number in tasks {
            let task = WorkTask {
                number,
                work: work.clone(),
            };
            match self.entries.get_mut(&task) {
                Some(entry) => entry.spec = Some(spec.clone()),
                None => new_tasks.push(task),
            }
        }
        new_tasks
    }

    /// Marks a task as submitted under a job.
    pub(crate) fn set_submitted(&mut self, task: WorkTask, spec: Arc<WorkSpec>, job_id: JobId) {
        let mut entry = WorkTaskEntry::new(Some(spec), WorkState::Submitted(job_id));
        entry.cancelled = self.is_cancelled(&task);
        self.entries.insert(task, entry);
    }

    /// Spec of a task's work; absent until the assignment has arrived.
    pub(crate) fn spec(&self, task: &WorkTask) -> Option<Arc<WorkSpec>> {
        self.entries.get(task).and_then(|entry| entry.spec.clone())
    }

    /// Marks a task whose end is being committed.
    pub(crate) fn set_ending(&mut self, task: &WorkTask) {
        if let Some(entry) = self.entries.get_mut(task) {
            entry.state = WorkState::Ending;
        }
    }

    /// Marks a task whose end was applied at `index`.
    pub(crate) fn set_settled(&mut self, task: &WorkTask, index: LogIndex) {
        if let Some(entry) = self.entries.get_mut(task) {
            entry.state = WorkState::Settled(index);
        }
    }

    /// Removes settled tasks whose end is contained in a directory at `index`.
    pub(crate) fn remove_settled(&mut self, index: LogIndex) {
        self.entries
            .retain(|_, entry| !matches!(entry.state, WorkState::Settled(at) if at <= index));
    }

    /// Marks all tasks of a work as cancelled.
    pub(crate) fn set_cancelled(&mut self, work: &WorkName) {
        self.entries
            .iter_mut()
            .filter(|(task, _)| task.work == *work)
            .for_each(|(_, entry)| entry.cancelled = true);
    }

    /// Marks a running task whose worker has a new owner.
    pub(crate) fn set_reassigned(&mut self, task: &WorkTask) {
        if let Some(entry) = self.entries.get_mut(task) {
            entry.is_reassigned = true;
        }
    }

    /// Returns whether the worker of a task has a new owner.
    pub(crate) fn is_reassigned(&self, task: &WorkTask) -> bool {
        self.entries.get(task).is_some_and(|entry| entry.is_reassigned)
    }

    /// Removes a task that is left to the worker's new owner.
    pub(crate) fn remove(&mut self, task: &WorkTask) {
        self.entries.remove(task);
    }

    /// Returns whether the work of a task was cancelled.
    pub(crate) fn is_cancelled(&self, task: &WorkTask) -> bool {
        self.entries.get(task).is_some_and(|entry| entry.cancelled)
    }

    /// Jobs of a work's tasks that wait or run here.
    pub(crate) fn job_ids(&self, work: &WorkName) -> Vec<JobId> {
        self.entries
            .iter()
            .filter(|(task, _)| task.work == *work)
            .filter_map(|(_, entry)| match entry.state {
                WorkState::Submitted(job_id) => Some(job_id),
                _ => None,
            })
            .collect()
    }

    /// Adopted tasks of a work, each with its worker.
    pub(crate) fn adopted(&self, work: &WorkName) -> Vec<(TaskId, WorkerName)> {
        self.entries
            .iter()
            .filter(|(task, _)| task.work == *work)
            .filter_map(|(_, entry)| match &entry.state {
                WorkState::Adopted { task, worker } => Some((*task, worker.clone())),
                _ => None,
            })
            .collect()
    }

    /// Returns the adopted tasks that a worker no longer runs and marks them as ending. A task whose
    /// assignment has not arrived yet stays adopted.
    pub(crate) fn end_adopted(&mut self, worker: &WorkerName, running: &[TaskId]) -> Vec<AdoptedEnd> {
        let ended: Vec<_> = self
            .entries
            .iter()
            .filter_map(|(work, entry)| match (&entry.state, &entry.spec) {
                (WorkState::Adopted { task, worker: on }, Some(spec))
                    if on == worker && !running.contains(task) =>
                {
                    Some(AdoptedEnd {
                        spec: spec.clone(),
                        task: work.clone(),
                    })
                }
                _ => None,
            })
            .collect();
        for end in &ended {
            self.set_ending(&end.task);
        }
        ended
    }
}
