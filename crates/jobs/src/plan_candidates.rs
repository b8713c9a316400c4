//! Selects the workers that may run the tasks of a step.
//!
//! Many steps may wait in a full cell of hundreds of workers. The cheapest conditions are therefore
//! checked first, and what depends only on the step is computed once and not for every worker.

use {
    crate::{
        Planner, StepId, StepSpec, WorkerEntry,
        placement::{self, Candidate},
        reservation::Seeker,
        worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
};

impl Planner {
    /// Returns the workers on which an advice request for the step is useful, the best first. While the
    /// step has no ticket, workers that are full now follow, up to `at_least` workers: a request that
    /// names only the few workers with free capacity in a full cell returns when others have taken it.
    pub(crate) fn candidates_for_advice(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        kept_free_percent: u32,
        at_least: usize,
    ) -> Vec<Candidate<WorkerName>> {
        let Some(advice) = self.steps.get(&step).map(|view| &view.advice) else {
            return Vec::new();
        };
        let reserved = spec.reserved();
        let seeker = self.seeker(step, spec);
        let suitable = self.workers.iter().filter_map(|(name, view)| {
            let candidate = self.suitable_worker(seeker, spec, service, name, view)?;
            advice.needs_advice(name, self.now_ms).then_some(candidate)
        });
        let (mut candidates, mut full): (Vec<_>, Vec<_>) =
            suitable.partition(|candidate| candidate.fits(&reserved, kept_free_percent));
        placement::sort(&mut candidates, &reserved);
        if candidates.len() < at_least && !advice.has_ticket(self.now_ms) {
            placement::sort(&mut full, &reserved);
            full.truncate(at_least - candidates.len());
            candidates.extend(full);
        }
        candidates
    }

    /// Returns the workers with free capacity that may run the step's tasks, regardless of advice.
    pub(crate) fn all_candidates(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
    ) -> Vec<Candidate<WorkerName>> {
        let seeker = self.seeker(step, spec);
        let candidates = self
            .workers
            .iter()
            .filter_map(|(name, view)| self.candidate(seeker, spec, service, name, view));
        candidates.collect()
    }

    /// Returns the workers with free capacity for which the step has a valid ticket.
    pub(crate) fn advised_candidates(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
    ) -> Vec<Candidate<WorkerName>> {
        let seeker = self.seeker(step, spec);
        let eligible = self.steps.get(&step).map(|view| &view.advice.eligible);
        let valid = eligible
            .into_iter()
            .flatten()
            .filter(|(_, (_, valid_until_ms))| self.now_ms < *valid_until_ms);
        let candidates = valid.filter_map(|(name, _)| {
            let view = self.workers.get(name)?;
            self.candidate(seeker, spec, service, name, view)
        });
        candidates.collect()
    }

    fn candidate(
        &self,
        seeker: Seeker,
        spec: &StepSpec,
        service: &SmolStr,
        name: &WorkerName,
        view: &WorkerView,
    ) -> Option<Candidate<WorkerName>> {
        let entry = self.store.workers.get(name)?;
        let demand = spec.reserved();
        // A gang starts only as a whole, however many start orders that takes.
        let may_start = spec.gang || view.starts_left() > 0;
        if !may_start
            || !entry.capacity.has_free(&view.used, &demand)
            || self.cold_starts_left(name, view) == 0
        {
            return None;
        }
        self.suitable_worker(seeker, spec, service, name, view)
            .filter(|candidate| candidate.capacity.has_free(&candidate.used, &demand))
    }

    /// Returns how many start orders may be sent to a worker before one of those in flight has a result.
    /// A worker on probation gets a single one.
    pub(crate) fn starts_left(&self, worker: &WorkerName) -> usize {
        match self.workers.get(worker) {
            Some(view) if view.health.is_on_probation() => view.starts_left().min(1),
            Some(view) => view.starts_left(),
            None => 0,
        }
    }

    /// Returns whether a worker that could run a task of the step now has too many start orders in flight.
    pub(crate) fn awaits_start_results(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        is_advised: bool,
    ) -> bool {
        if spec.gang {
            return false;
        }
        let reserved = spec.reserved();
        let seeker = self.seeker(step, spec);
        let advice = self.steps.get(&step).map(|view| &view.advice);
        let has_ticket = |name| advice.is_some_and(|advice| advice.ticket(name, self.now_ms).is_some());
        let busy = self.workers.iter().filter(|(_, view)| view.starts_left() == 0);
        busy.filter(|(name, _)| !is_advised || has_ticket(name))
            .filter_map(|(name, view)| self.suitable_worker(seeker, spec, service, name, view))
            .any(|candidate| candidate.capacity.has_free(&candidate.used, &reserved))
    }

    /// Returns a worker that may run a task of the step once it has the free capacity. What is reserved
    /// for other steps counts as used.
    pub(crate) fn suitable_worker(
        &self,
        seeker: Seeker,
        spec: &StepSpec,
        service: &SmolStr,
        name: &WorkerName,
        view: &WorkerView,
    ) -> Option<Candidate<WorkerName>> {
        if !view.accepts_runs(self.now_ms) || self.is_capacity_outdated(view) {
            return None;
        }
        let entry = self.store.workers.get(name)?;
        let shares_processors = self.shares_processors(spec, view);
        let is_excluded = !entry.capacity.covers(&spec.reserved())
            || !is_suitable(spec, service, entry)
            || self.is_evacuated(&entry.data_center)
            || (!spec.long_running && self.may_forget_ends(name, view))
            || spec
                .max_per_worker
                .is_some_and(|limit| tasks_on(seeker.step, view) >= limit as usize)
            || (shares_processors && !self.may_share(seeker.step));
        (!is_excluded).then(|| Candidate {
            capacity: entry.capacity,
            is_cold: view.cold.is_cold(self.now_ms),
            key: name.clone(),
            is_near_data: spec
                .data_rack
                .as_ref()
                .is_none_or(|rack| entry.labels.contains(rack)),
            shares_processors,
            slowness_thousandths: self.speed_of_kind(entry).slowness_thousandths(),
            used: view
                .used
                .saturating_add(&self.reservations.kept_from(seeker, name)),
        })
    }

    /// Returns the number of a step's tasks with a present run on a worker.
    pub(crate) fn tasks_on(&self, step: StepId, worker: &WorkerName) -> usize {
        self.workers.get(worker).map_or(0, |view| tasks_on(step, view))
    }
}

/// Returns whether a worker may ever run the tasks of a step, if it has the capacity.
pub(crate) fn is_suitable(spec: &StepSpec, service: &SmolStr, entry: &WorkerEntry) -> bool {
    let label = spec.required_label.as_ref();
    entry.service == *service && !entry.draining && label.is_none_or(|label| entry.labels.contains(label))
}

fn tasks_on(step: StepId, view: &WorkerView) -> usize {
    view.runs.range(step.tasks()).count()
}
