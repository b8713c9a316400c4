//! Lets tasks that use idle processors share workers with tasks that serve users.
//!
//! Both kinds keep to workers of their own while there are enough. In a cell where each worker has a
//! task of one kind, the other kind would wait without end, so that it shares a worker after a short wait.

use {
    crate::{
        HoldReport, LogEvent, OrderResult, Planner, RunId, StepId, StepSpec, TaskKey, WorkerOrder,
        pacing::Pacing, run_view::RunState, worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
};

/// Wait from which a step may share workers with tasks of the other kind, in milliseconds.
const SHARING_WAIT_MS: u64 = 1_500;

impl Planner {
    /// Returns whether the step has waited long enough to share workers with tasks of the other kind.
    pub(crate) fn may_share(&self, step: StepId) -> bool {
        let wait_ms = self.steps.get(&step).and_then(|view| view.wait_ms(self.now_ms));
        wait_ms.is_some_and(|wait_ms| wait_ms >= SHARING_WAIT_MS)
    }

    /// Returns whether tasks of the step and a present run of the worker slow each other down: one uses
    /// idle processors and the other serves users.
    pub(crate) fn shares_processors(&self, spec: &StepSpec, view: &WorkerView) -> bool {
        match (spec.fills_idle, spec.target_tail_latency_ms) {
            (true, _) => self.has_run(view, |other| other.target_tail_latency_ms.is_some()),
            (false, Some(_)) => self.has_run(view, |other| other.fills_idle),
            (false, None) => false,
        }
    }

    fn has_run(&self, view: &WorkerView, is_sought: impl Fn(&StepSpec) -> bool) -> bool {
        view.runs
            .iter()
            .filter_map(|task| self.spec_of(*task))
            .any(is_sought)
    }

    fn spec_of(&self, task: TaskKey) -> Option<&StepSpec> {
        self.store.jobs.get(&task.step.job)?.step(task.step.step)
    }

    /// Sets the pace of the runs that use idle processors according to the runs beside them.
    pub(crate) fn send_due_paces(&mut self) {
        let sharing: Vec<_> = self
            .pacings
            .keys()
            .filter_map(|task| {
                let run = self.runs.get(task)?;
                let view = self.workers.get(&run.worker)?;
                let is_sharing = self.has_run(view, |other| other.target_tail_latency_ms.is_some());
                let is_at_work = matches!(run.state, RunState::Confirmed { .. }) && view.is_reachable();
                Some((run.run, run.worker.clone(), is_sharing, is_at_work))
            })
            .collect();
        for (run, worker, is_sharing, is_at_work) in sharing {
            let now_ms = self.now_ms;
            let Some(pacing) = self.pacings.get_mut(&run.task) else {
                continue;
            };
            pacing.set_sharing(now_ms, is_sharing);
            if let Some(percent) = is_at_work.then(|| pacing.next_order(now_ms)).flatten() {
                self.send_pace(run, &worker, percent);
            }
        }
    }

    fn send_pace(&mut self, run: RunId, worker: &WorkerName, percent: u32) {
        let Some(to) = self.callee(worker) else {
            return;
        };
        self.log(
            LogEvent::new("run paced")
                .job(run.task.step.job)
                .with("run", run)
                .with("worker", worker)
                .with("percent", percent),
        );
        self.send_order(WorkerOrder::Pace { percent, run, to });
    }

    /// Handles the result of an order that sets a pace.
    pub(crate) fn handle_pace_result(
        &mut self,
        worker: &WorkerName,
        run: RunId,
        percent: u32,
        result: OrderResult,
    ) {
        let is_present = self
            .runs
            .get(&run.task)
            .is_some_and(|view| view.run == run && view.worker == *worker);
        if !is_present {
            return;
        }
        if let Some(pacing) = self.pacings.get_mut(&run.task) {
            pacing.handle_result(self.now_ms, percent, result);
        }
        if let Err(error) = result {
            self.log(
                LogEvent::new("pace not confirmed")
                    .job(run.task.step.job)
                    .with("run", run)
                    .with("worker", worker)
                    .with("error", error.as_str()),
            );
        }
    }

    /// Adapts the pace of a worker's runs that use idle processors to the tail latencies in its report.
    pub(crate) fn adapt_paces(&mut self, worker: &WorkerName, report: &HoldReport) {
        if self.pacings.is_empty() {
            return;
        }
        // A task that has just started has no tail latency yet.
        let tail_percents = report.running.iter().filter(|listed| listed.usage > 0);
        let tail_percents = tail_percents.filter_map(|listed| {
            let target_ms = self.spec_of(listed.run.task)?.target_tail_latency_ms?;
            Some(listed.usage.saturating_mul(100) / target_ms.max(1))
        });
        let Some(highest_percent) = tail_percents.max() else {
            return;
        };
        let now_ms = self.now_ms;
        let runs = self.workers.get(worker).map(|view| &view.runs);
        for task in runs.into_iter().flatten() {
            if let Some(pacing) = self.pacings.get_mut(task) {
                pacing.observe(now_ms, highest_percent);
            }
        }
    }

    /// Begins to pace a run that was added, if it uses idle processors.
    pub(crate) fn begin_pacing(&mut self, task: TaskKey, is_inherited: bool) {
        if !self.spec_of(task).is_some_and(|spec| spec.fills_idle) {
            return;
        }
        let pacing = match is_inherited {
            true => Pacing::inherited(),
            false => Pacing::started(),
        };
        self.pacings.insert(task, pacing);
    }
}
