//! State of the tasks of a job, with counts that are kept up to date.
//!
//! The counts let an end of a run be applied without a look at the other tasks of its job. The stored form has
//! only the tasks. Copies share the tasks until one of them changes, since a new leader and each snapshot copy
//! the whole state between two heartbeats.

use {
    crate::Task,
    fuchsiatack_derives::value,
    serde::{Deserialize, Serialize, Serializer},
    std::{collections::BTreeMap, sync::Arc},
};

/// Numbers of the tasks of a step that have failed, that have a present run, and that are not done.
#[derive(Copy, Default)]
#[value]
struct StepCounts {
    failed: u32,
    running: u32,
    undone: u32,
}

impl StepCounts {
    fn of(tasks: &[Task]) -> Self {
        let count =
            |is_counted: fn(&Task) -> bool| tasks.iter().filter(|task| is_counted(task)).count() as u32;
        Self {
            failed: count(|task| task.failures > 0),
            running: count(|task| task.worker.is_some()),
            undone: count(|task| !task.done),
        }
    }
}

/// Task states of one occurrence, by step and task number.
#[derive(Deserialize)]
#[serde(from = "Vec<Vec<Task>>")]
#[value]
pub struct Occurrence {
    counts: Vec<StepCounts>,
    /// Number of tasks that have a present run.
    running: u32,
    tasks: Vec<Arc<[Task]>>,
    /// Number of tasks that are not done.
    undone: u32,
}

impl From<Vec<Vec<Task>>> for Occurrence {
    fn from(tasks: Vec<Vec<Task>>) -> Self {
        let counts: Vec<_> = tasks.iter().map(|tasks| StepCounts::of(tasks)).collect();
        Self {
            running: counts.iter().map(|counts| counts.running).sum(),
            undone: counts.iter().map(|counts| counts.undone).sum(),
            counts,
            tasks: tasks.into_iter().map(Arc::from).collect(),
        }
    }
}

impl Serialize for Occurrence {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.tasks.serialize(serializer)
    }
}

impl Occurrence {
    /// Returns the tasks of a step; none if there is no such step.
    pub fn tasks(&self, step: u32) -> &[Task] {
        self.tasks.get(step as usize).map_or(&[], |tasks| tasks)
    }

    /// Returns the steps of which a task has failed, with their tasks.
    pub(crate) fn steps_with_failures(&self) -> impl Iterator<Item = (u32, &[Task])> {
        let steps = (0..).zip(self.counts.iter().zip(&self.tasks));
        steps
            .filter(|(_, (counts, _))| counts.failed > 0)
            .map(|(step, (_, tasks))| (step, &**tasks))
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.undone == 0
    }

    /// Returns whether there is such a step and all of its tasks are done.
    pub fn is_step_done(&self, step: u32) -> bool {
        let counts = self.counts.get(step as usize);
        counts.is_some_and(|counts| counts.undone == 0)
    }

    /// Returns whether a task has a present run.
    pub(crate) fn has_runs(&self) -> bool {
        self.running > 0
    }

    /// Returns the tasks that have a present run, with the numbers of their step and their own. Steps without
    /// such tasks are not looked at.
    pub(crate) fn running(&self) -> impl Iterator<Item = (u32, u32, &Task)> {
        let of_steps = (0..).zip(self.counts.iter().zip(&self.tasks));
        of_steps
            .filter(|(_, (counts, _))| counts.running > 0)
            .flat_map(|(step, (_, tasks))| {
                let running = (0..).zip(tasks.iter()).filter(|(_, task)| task.worker.is_some());
                running.map(move |(index, task)| (step, index, task))
            })
    }

    /// Changes a task. Returns `None` if there is no such task.
    pub(crate) fn update<T>(
        &mut self,
        step: u32,
        index: u32,
        change: impl FnOnce(&mut Task) -> T,
    ) -> Option<T> {
        let tasks = self.tasks.get_mut(step as usize)?;
        let counts = self.counts.get_mut(step as usize)?;
        let task = Arc::make_mut(tasks).get_mut(index as usize)?;
        let before = StepCounts::of(std::slice::from_ref(task));
        let result = change(task);
        let after = StepCounts::of(std::slice::from_ref(task));
        counts.failed = counts.failed + after.failed - before.failed;
        counts.running = counts.running + after.running - before.running;
        counts.undone = counts.undone + after.undone - before.undone;
        self.running = self.running + after.running - before.running;
        self.undone = self.undone + after.undone - before.undone;
        Some(result)
    }

    /// Marks all tasks of a step as done.
    pub(crate) fn finish_step(&mut self, step: u32) {
        let Some(counts) = self
            .counts
            .get_mut(step as usize)
            .filter(|counts| counts.undone > 0)
        else {
            return;
        };
        self.undone -= std::mem::take(&mut counts.undone);
        if let Some(tasks) = self.tasks.get_mut(step as usize) {
            Arc::make_mut(tasks).iter_mut().for_each(|task| task.done = true);
        }
    }
}

/// Started occurrences by number.
#[derive(Default, Deserialize)]
#[serde(from = "BTreeMap<u32, Occurrence>")]
#[value]
pub struct Occurrences {
    by_number: BTreeMap<u32, Arc<Occurrence>>,
    /// Number of occurrences of which all tasks are done.
    done: u32,
}

impl From<BTreeMap<u32, Occurrence>> for Occurrences {
    fn from(by_number: BTreeMap<u32, Occurrence>) -> Self {
        let done = by_number.values().filter(|occurrence| occurrence.is_done());
        let done = done.count() as u32;
        let shared = by_number
            .into_iter()
            .map(|(number, occurrence)| (number, Arc::new(occurrence)));
        Self {
            by_number: shared.collect(),
            done,
        }
    }
}

impl Serialize for Occurrences {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.by_number.serialize(serializer)
    }
}

impl Occurrences {
    /// Returns an occurrence; `None` until it has started.
    pub fn get(&self, number: u32) -> Option<&Occurrence> {
        self.by_number.get(&number).map(Arc::as_ref)
    }

    /// Returns the occurrences by number.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        let occurrences = self.by_number.iter();
        occurrences.map(|(number, occurrence)| (*number, occurrence.as_ref()))
    }

    /// Returns whether none has started.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Returns the number of occurrences of which all tasks are done.
    pub(crate) fn done(&self) -> u32 {
        self.done
    }

    /// Adds an occurrence that `create` makes, unless it has started before.
    pub(crate) fn start(&mut self, number: u32, create: impl FnOnce() -> Occurrence) {
        if !self.by_number.contains_key(&number) {
            let occurrence = create();
            self.done += u32::from(occurrence.is_done());
            self.by_number.insert(number, Arc::new(occurrence));
        }
    }

    /// Changes an occurrence. Returns `None` if it has not started.
    pub(crate) fn update<T>(&mut self, number: u32, change: impl FnOnce(&mut Occurrence) -> T) -> Option<T> {
        let occurrence = Arc::make_mut(self.by_number.get_mut(&number)?);
        let was_done = occurrence.is_done();
        let result = change(occurrence);
        self.done = self.done + u32::from(occurrence.is_done()) - u32::from(was_done);
        Some(result)
    }
}
