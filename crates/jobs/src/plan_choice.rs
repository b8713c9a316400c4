//! Chooses the workers on which the tasks of a step start in one planning pass.
//!
//! A task goes where it is expected to end soonest, but keeps away from workers on which it has failed. One that
//! is suspected of crashing workers gets a worker without other runs. A gang starts as a whole or not at all.

use {
    crate::{
        Planner, StepId, StepSpec, TaskKey,
        placement::{self, Candidate},
        plan_crashes::Sharing,
    },
    fuchsiatack_model::{Resources, WorkerName},
    smol_str::SmolStr,
    std::collections::{BTreeMap, BTreeSet},
};

/// Chosen starts by worker.
pub(crate) type Starts = BTreeMap<WorkerName, Vec<TaskKey>>;

impl Planner {
    /// Chooses workers for tasks one by one, each for the first task that fits. The result may leave tasks out.
    pub(crate) fn choose_single(
        &self,
        step: StepId,
        spec: &StepSpec,
        waiting: &[TaskKey],
        mut usable: Vec<Candidate<WorkerName>>,
        kept_free_percent: u32,
    ) -> Starts {
        let reserved = spec.reserved();
        let mut starts = Starts::new();
        let mut isolating = BTreeSet::new();
        for task in waiting {
            let sharing = self.sharing(*task);
            let position = match sharing {
                Sharing::Shared => self.choose_worker(*task, &usable, &reserved, kept_free_percent),
                Sharing::Alone | Sharing::Fewest | Sharing::Held => {
                    self.choose_isolated(*task, spec, &usable, sharing, &starts, &isolating)
                }
            };
            let Some(position) = position else {
                match sharing {
                    Sharing::Shared => break,
                    Sharing::Alone | Sharing::Fewest | Sharing::Held => continue,
                }
            };
            let worker = usable[position].key.clone();
            usable[position].used = usable[position].used.saturating_add(&reserved);
            let is_isolated = sharing != Sharing::Shared;
            if is_isolated {
                isolating.insert(worker.clone());
            }
            let tasks = starts.entry(worker.clone()).or_default();
            tasks.push(*task);
            if (is_isolated && !spec.gang) || self.takes_no_more(step, spec, &worker, tasks.len()) {
                usable.remove(position);
            }
        }
        starts
    }

    /// Returns whether a worker to which this pass gives `chosen` tasks of a step may get no other one, whatever
    /// room it has. A gang starts only as a whole, however many start orders that takes.
    fn takes_no_more(&self, step: StepId, spec: &StepSpec, worker: &WorkerName, chosen: usize) -> bool {
        let is_at_limit = spec
            .max_per_worker
            .is_some_and(|limit| chosen + self.tasks_on(step, worker) >= limit as usize);
        let has_no_starts_left = !spec.gang && self.starts_left(worker) <= chosen;
        is_at_limit || has_no_starts_left || self.has_no_cold_starts_left(worker, chosen)
    }

    /// Returns whether a run of the task has failed on the worker, or was lost with it.
    fn has_failed_on(&self, task: TaskKey, worker: &WorkerName) -> bool {
        let view = self.steps.get(&task.step);
        let failed_on = view.and_then(|view| view.failed_on.get(&task.index));
        failed_on.is_some_and(|workers| workers.contains(worker))
    }

    /// Chooses a worker for a task, preferring workers on which it has not failed.
    fn choose_worker(
        &self,
        task: TaskKey,
        usable: &[Candidate<WorkerName>],
        reserved: &Resources,
        kept_free_percent: u32,
    ) -> Option<usize> {
        let is_new = |candidate: &Candidate<WorkerName>| !self.has_failed_on(task, &candidate.key);
        placement::choose(usable, reserved, kept_free_percent, is_new)
            .or_else(|| placement::choose(usable, reserved, kept_free_percent, |_| true))
    }

    /// Chooses a worker on which a suspected task runs alone, or beside as few runs as possible. The members of
    /// a gang share workers where there are too few for all: they start, fail and are given up together.
    fn choose_isolated(
        &self,
        task: TaskKey,
        spec: &StepSpec,
        usable: &[Candidate<WorkerName>],
        sharing: Sharing,
        starts: &Starts,
        isolating: &BTreeSet<WorkerName>,
    ) -> Option<usize> {
        let reserved = spec.reserved();
        let runs_on = |worker: &WorkerName| self.workers.get(worker).map_or(0, |view| view.runs.len());
        let (position, fewest) = usable
            .iter()
            .enumerate()
            .filter(|(_, candidate)| spec.gang || !starts.contains_key(&candidate.key))
            .filter(|(_, candidate)| candidate.capacity.has_free(&candidate.used, &reserved))
            .min_by_key(|(_, candidate)| {
                let is_chosen = starts.contains_key(&candidate.key);
                let runs = runs_on(&candidate.key);
                let has_failed = self.has_failed_on(task, &candidate.key);
                (runs > 0, is_chosen, has_failed, runs)
            })?;
        let entry = self.store.workers.get(&fewest.key)?;
        let others = isolating.iter().filter(|worker| **worker != fewest.key).count();
        let is_permitted = match sharing {
            Sharing::Alone => runs_on(&fewest.key) == 0 && self.may_isolate(&entry.service, others),
            Sharing::Held => false,
            Sharing::Fewest | Sharing::Shared => true,
        };
        is_permitted.then_some(position)
    }

    /// Chooses workers for all members of a gang; on one rack if the step prefers that and one rack
    /// has enough free capacity. Returns no starts if not all members can be placed.
    pub(crate) fn choose_gang(
        &self,
        step: StepId,
        spec: &StepSpec,
        waiting: &[TaskKey],
        usable: Vec<Candidate<WorkerName>>,
        kept_free_percent: u32,
    ) -> Starts {
        let rack_of = |worker: &WorkerName| {
            let entry = self.store.workers.get(worker);
            entry.map_or(SmolStr::default(), |entry| SmolStr::new(entry.rack()))
        };
        let mut groups: BTreeMap<SmolStr, Vec<Candidate<WorkerName>>> = BTreeMap::new();
        if spec.same_rack {
            for candidate in &usable {
                groups
                    .entry(rack_of(&candidate.key))
                    .or_default()
                    .push(candidate.clone());
            }
        }
        let groups = groups.into_values().chain(std::iter::once(usable));
        groups
            .map(|group| self.choose_single(step, spec, waiting, group, kept_free_percent))
            .find(|starts| starts.values().map(Vec::len).sum::<usize>() == waiting.len())
            .unwrap_or_default()
    }
}
