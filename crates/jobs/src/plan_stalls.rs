//! Detects workers on which tasks make no progress or take many times as long as elsewhere.
//!
//! A worker may become slow or hang while it still answers its renewals. Its runs would delay their
//! jobs until it recovers, and its free capacity would attract more runs. The reported progress of
//! its runs shows the fault within a second. Estimated durations are rough and some tasks take many
//! times as long as their siblings, so that a worker counts as slow only if at least half of its
//! runs are slow and these belong to two or more jobs.

use {
    crate::{
        KindSpeed, LogEvent, Planner, StepId, StepSpec, TaskKey, WorkerEntry,
        kind_speed::NEUTRAL_SLOWNESS_THOUSANDTHS, run_view::RunView, worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
    std::collections::{BTreeMap, BTreeSet},
};

/// Interval between two checks in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;
/// Minimum time without progress after which a run counts as stalled, in milliseconds.
const MIN_STALL_MS: u64 = 400;
/// A run counts as stalled if its percentage does not change for this share of its expected
/// duration, in percent.
const STALL_PERCENT: u64 = 10;
/// Time without progress that a run may need to restore a checkpoint, in milliseconds.
const RESTORE_MS: u64 = 900;
/// Duration from which a run counts as slow, in thousandths of the usual duration in its step, or
/// of the estimate if no usual duration is known.
const SLOW_THOUSANDTHS: u64 = 3_000;
/// Minimum number of known durations in a step for a usual duration.
const MIN_SIBLINGS: usize = 3;
/// Number of jobs with slow runs on a worker from which the worker counts as slow. A single job is
/// enough while the worker is on probation.
const SLOW_JOBS: usize = 2;
/// Time that a stop and the start on another worker take, in milliseconds.
const MOVE_MS: u64 = 400;
/// Remaining time from which a slow run is moved, in thousandths of the time that it would need
/// elsewhere.
const WORTH_MOVING_THOUSANDTHS: u64 = 1_500;
/// Multiple of its expected duration after which a gang is overdue.
const OVERDUE_FACTOR: u64 = 3;
/// Time that is added to the limit after which a gang is overdue, and to the one after which a run
/// that is done was slow, in milliseconds.
const OVERDUE_MS: u64 = 500;

/// Condition of a run, from which the condition of its worker is judged.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RunCondition {
    /// It is slow. The task may also be longer than its siblings.
    Slow,
    /// It runs at about the expected speed.
    Normal,
    /// It makes no progress.
    Stalled,
}

/// Usual task durations by step in milliseconds, scaled to a worker of neutral speed.
type UsualDurations = BTreeMap<StepId, Option<u64>>;

impl Planner {
    /// Stops stalled runs and ejects their workers.
    pub(crate) fn detect_stalls(&mut self) {
        if self.now_ms < self.stalls_due_ms {
            return;
        }
        self.stalls_due_ms = self.now_ms + CHECK_INTERVAL_MS;
        let mut usual = UsualDurations::new();
        let stalled: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| view.failures == 0 && view.is_verified)
            .filter_map(|(worker, view)| {
                let runs = self.stalled_runs(view, &mut usual);
                (!runs.is_empty()).then(|| (worker.clone(), runs))
            })
            .collect();
        for (worker, runs) in stalled {
            self.stop_stalled_runs(&worker, runs);
        }
    }

    /// Returns the tasks of a worker whose runs are to be moved.
    fn stalled_runs(&self, view: &WorkerView, usual: &mut UsualDurations) -> Vec<TaskKey> {
        let conditions = view.runs.iter().filter_map(|task| {
            let condition = self.run_condition(*task, usual)?;
            Some((*task, condition))
        });
        let conditions: Vec<_> = conditions.collect();
        let slow = conditions
            .iter()
            .filter(|(_, condition)| *condition == RunCondition::Slow);
        let jobs: BTreeSet<_> = slow.clone().map(|(task, _)| task.step.job).collect();
        let needed = if view.health.is_on_probation() {
            1
        } else {
            SLOW_JOBS
        };
        let is_slow = jobs.len() >= needed && slow.count() * 2 >= conditions.len();
        conditions
            .into_iter()
            .filter(|(_, condition)| match condition {
                RunCondition::Slow => is_slow,
                RunCondition::Normal => false,
                RunCondition::Stalled => true,
            })
            .map(|(task, _)| task)
            .collect()
    }

    /// Returns the condition of a run; `None` if it is not known.
    fn run_condition(&self, task: TaskKey, usual: &mut UsualDurations) -> Option<RunCondition> {
        let view = self.runs.get(&task)?;
        let spec = self.store.jobs.get(&task.step.job)?.step(task.step.step)?;
        let slowness = self.slowness_of(&view.worker);
        let is_measured = spec.estimated_ms > 0 && !spec.long_running && !spec.fills_idle;
        if !is_measured || !self.is_confirmed(task) || !self.is_near_data(spec, &view.worker) {
            return None;
        }
        if spec.gang {
            let limit_ms = spec.estimated_ms * slowness.max(NEUTRAL_SLOWNESS_THOUSANDTHS)
                / NEUTRAL_SLOWNESS_THOUSANDTHS
                * OVERDUE_FACTOR
                + OVERDUE_MS;
            let is_overdue = self.now_ms.saturating_sub(view.started_ms) > limit_ms;
            return is_overdue.then_some(RunCondition::Slow);
        }
        let siblings_ms = *usual
            .entry(task.step)
            .or_insert_with(|| self.usual_duration_ms(task.step));
        let expected_ms = siblings_ms.unwrap_or(spec.estimated_ms) * slowness / NEUTRAL_SLOWNESS_THOUSANDTHS;
        if is_stalled(view, spec, expected_ms) {
            return Some(RunCondition::Stalled);
        }
        let total_ms = view
            .progress
            .total_ms()
            .filter(|_| self.speed_of(&view.worker).is_known())?;
        let is_slow = total_ms * 1_000 > expected_ms * SLOW_THOUSANDTHS;
        Some(match is_slow && is_worth_moving(view, spec, expected_ms) {
            true => RunCondition::Slow,
            false => RunCondition::Normal,
        })
    }

    /// Median duration in milliseconds of the tasks of a step that are done or whose speed is
    /// known, scaled to a worker of neutral speed.
    fn usual_duration_ms(&self, step: StepId) -> Option<u64> {
        let running_ms = self.runs.range(step.tasks()).filter_map(|(_, view)| {
            let total_ms = view.progress.total_ms()?;
            Some(total_ms * NEUTRAL_SLOWNESS_THOUSANDTHS / self.slowness_of(&view.worker))
        });
        median(self.done_durations_ms(step).iter().copied().chain(running_ms))
    }

    fn done_durations_ms(&self, step: StepId) -> &[u64] {
        let view = self.steps.get(&step);
        view.map_or(&[], |view| view.durations_ms.as_slice())
    }

    /// Returns whether a duration of `ran_ms` is slow for the task on this worker.
    pub(crate) fn is_slow(&self, task: TaskKey, worker: &WorkerName, ran_ms: u64) -> bool {
        let job = self.store.jobs.get(&task.step.job);
        let Some(spec) = job.and_then(|job| job.step(task.step.step)) else {
            return false;
        };
        let usual_ms = median(self.done_durations_ms(task.step).iter().copied());
        let expected_ms =
            usual_ms.unwrap_or(spec.estimated_ms) * self.slowness_of(worker) / NEUTRAL_SLOWNESS_THOUSANDTHS;
        ran_ms * 1_000 > expected_ms * SLOW_THOUSANDTHS + OVERDUE_MS * 1_000
    }

    /// Returns the measured speed of the worker's kind.
    pub(crate) fn speed_of(&self, worker: &WorkerName) -> KindSpeed {
        let entry = self.store.workers.get(worker);
        entry.map_or_else(KindSpeed::default, |entry| self.speed_of_kind(entry))
    }

    /// Returns the measured speed of the kind of an entry.
    pub(crate) fn speed_of_kind(&self, entry: &WorkerEntry) -> KindSpeed {
        self.kinds.get(entry.kind()).copied().unwrap_or_default()
    }

    /// Returns the mean ratio of actual to estimated duration on workers of the worker's kind, in
    /// thousandths.
    pub(crate) fn slowness_of(&self, worker: &WorkerName) -> u64 {
        self.speed_of(worker).slowness_thousandths()
    }

    fn is_near_data(&self, spec: &StepSpec, worker: &WorkerName) -> bool {
        let labels = self
            .store
            .workers
            .get(worker)
            .map(|entry| entry.labels.as_slice());
        let has = |label| labels.is_some_and(|labels| labels.contains(label));
        spec.data_rack.as_ref().is_none_or(has)
    }

    fn stop_stalled_runs(&mut self, worker: &WorkerName, runs: Vec<TaskKey>) {
        let now_ms = self.now_ms;
        if let Some(view) = self.workers.get_mut(worker) {
            view.health.eject(now_ms);
        }
        for task in &runs {
            let Some(view) = self.runs.get(task) else {
                continue;
            };
            let usual_ms = self.usual_duration_ms(task.step);
            let event = LogEvent::new("run stalled")
                .job(task.step.job)
                .with("run", view.run)
                .with("worker", worker)
                .with("percent", view.progress.percent())
                .with("still_ms", view.progress.stalled_ms())
                .with("whole_ms", view.progress.total_ms().unwrap_or_default())
                .with("usual_ms", usual_ms.unwrap_or_default())
                .with("slowness", self.slowness_of(worker));
            self.log(event);
        }
        self.log(
            LogEvent::new("worker stalled")
                .with("worker", worker)
                .with("runs", runs.len()),
        );
        for task in runs {
            self.stop_run(task);
        }
    }
}

/// Median of the durations; `None` if there are fewer than `MIN_SIBLINGS`.
fn median(durations_ms: impl Iterator<Item = u64>) -> Option<u64> {
    let mut all_ms: Vec<_> = durations_ms.collect();
    all_ms.sort_unstable();
    (all_ms.len() >= MIN_SIBLINGS).then(|| all_ms[all_ms.len() / 2])
}

fn is_stalled(view: &RunView, spec: &StepSpec, expected_ms: u64) -> bool {
    let resumes = spec.checkpoints && view.run.number > 1;
    let limit_ms = MIN_STALL_MS.max(expected_ms * STALL_PERCENT / 100) + if resumes { RESTORE_MS } else { 0 };
    view.progress.stalled_ms() >= limit_ms && view.progress.percent() < 100
}

/// Returns whether a run is expected to end clearly sooner if it is stopped and starts on another
/// worker.
fn is_worth_moving(view: &RunView, spec: &StepSpec, expected_ms: u64) -> bool {
    let remaining_percent = u64::from(100 - view.progress.percent().min(100));
    let elsewhere_ms = match spec.checkpoints {
        true => expected_ms * remaining_percent / 100 + RESTORE_MS,
        false => expected_ms,
    };
    let remaining_ms = view.progress.remaining_ms().unwrap_or(u64::MAX);
    remaining_ms > (elsewhere_ms + MOVE_MS) * WORTH_MOVING_THOUSANDTHS / 1_000
}
