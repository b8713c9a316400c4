//! Workers on which tasks stand still or take many times as long as elsewhere.
//!
//! Answers a worker that turns slow or hangs while it answers its renewals: its runs would hold up
//! their jobs until it recovers, and its free room would attract more. What workers list of the
//! progress of their runs shows it within a second. Declared durations are rough and some tasks take
//! many times as long as their siblings, so that a worker counts as slow only if half of its runs
//! are, of two jobs or more.

use {
    crate::{
        KindPace, LogEvent, Planner, StepId, StepSpec, TaskKey, WorkerEntry, kind_pace::UNKNOWN_SLOWNESS,
        run_view::RunView, worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
    std::collections::{BTreeMap, BTreeSet},
};

/// Interval of the check in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;
/// Shortest time for which a run that stands still shows no progress, in milliseconds.
const STILL_MS: u64 = 400;
/// A run stands still if it takes the expected time of this many percent for less than one.
const STILL_PERCENT: u64 = 10;
/// Time in which a run that resumes from a checkpoint shows no progress, in milliseconds.
const RESTORE_MS: u64 = 900;
/// A run is slow if it takes this many times as long as other tasks of its step, or as declared if
/// there are none, in thousandths.
const SLOW_THOUSANDTHS: u64 = 3_000;
/// Tasks of a step whose durations tell what is usual.
const MIN_SIBLINGS: usize = 3;
/// Jobs with slow runs on a worker from which the worker counts as slow.
const SLOW_JOBS: usize = 2;
/// Time that a stop and a new start take, in milliseconds.
const MOVE_MS: u64 = 400;
/// A run is moved if it would take this many times as long as elsewhere, in thousandths.
const WORTH_MOVING_THOUSANDTHS: u64 = 1_500;
/// A gang is overdue after this many times its expected duration.
const OVERDUE_FACTOR: u64 = 3;
/// Time beyond that which an overdue gang has taken, in milliseconds.
const OVERDUE_MS: u64 = 500;

/// What a run shows of its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sign {
    /// It is slow. The task may be longer than its siblings.
    Slow,
    /// It is as fast as can be expected.
    Sound,
    /// It stands still.
    Still,
}

/// Usual durations of the tasks of steps, as on a worker that is neither fast nor slow.
type UsualDurations = BTreeMap<StepId, Option<u64>>;

impl Planner {
    /// Takes stalled runs off their workers.
    pub(crate) fn watch_stalls(&mut self) {
        if self.now_ms < self.stalls_due_ms {
            return;
        }
        self.stalls_due_ms = self.now_ms + CHECK_INTERVAL_MS;
        let mut usual = UsualDurations::new();
        let stalled: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| view.failures == 0 && view.verified)
            .filter_map(|(worker, view)| {
                let runs = self.stalled_runs(view, &mut usual);
                (!runs.is_empty()).then(|| (worker.clone(), runs))
            })
            .collect();
        for (worker, runs) in stalled {
            self.leave_stalled(&worker, runs);
        }
    }

    /// Runs that are to leave a worker.
    fn stalled_runs(&self, view: &WorkerView, usual: &mut UsualDurations) -> Vec<TaskKey> {
        let signs = view.runs.iter().filter_map(|task| {
            let sign = self.sign(*task, usual)?;
            Some((*task, sign))
        });
        let signs: Vec<_> = signs.collect();
        let slow = signs.iter().filter(|(_, sign)| *sign == Sign::Slow);
        let jobs: BTreeSet<_> = slow.clone().map(|(task, _)| task.step.job).collect();
        let needed = if view.health.is_on_trial() { 1 } else { SLOW_JOBS };
        let is_slow = jobs.len() >= needed && slow.count() * 2 >= signs.len();
        signs
            .into_iter()
            .filter(|(_, sign)| match sign {
                Sign::Slow => is_slow,
                Sign::Sound => false,
                Sign::Still => true,
            })
            .map(|(task, _)| task)
            .collect()
    }

    /// What a run shows of its worker; `None` if that cannot be told.
    fn sign(&self, task: TaskKey, usual: &mut UsualDurations) -> Option<Sign> {
        let view = self.runs.get(&task)?;
        let spec = self.book.jobs.get(&task.step.job)?.step(task.step.step)?;
        let slowness = self.slowness_of(&view.worker);
        let is_measured = spec.estimated_ms > 0 && !spec.long_running && !spec.fills_idle;
        if !is_measured || !self.is_confirmed(task) || !self.is_near(spec, &view.worker) {
            return None;
        }
        if spec.gang {
            let limit_ms = spec.estimated_ms * slowness.max(UNKNOWN_SLOWNESS) / UNKNOWN_SLOWNESS
                * OVERDUE_FACTOR
                + OVERDUE_MS;
            let is_overdue = self.now_ms.saturating_sub(view.started_ms) > limit_ms;
            return is_overdue.then_some(Sign::Slow);
        }
        let siblings_ms = *usual
            .entry(task.step)
            .or_insert_with(|| self.usual_duration_ms(task.step));
        let expected_ms = siblings_ms.unwrap_or(spec.estimated_ms) * slowness / UNKNOWN_SLOWNESS;
        if stands_still(view, spec, expected_ms) {
            return Some(Sign::Still);
        }
        let whole_ms = view
            .progress
            .whole_ms()
            .filter(|_| self.pace_of(&view.worker).is_known())?;
        let is_slow = whole_ms * 1_000 > expected_ms * SLOW_THOUSANDTHS;
        Some(match is_slow && is_worth_moving(view, spec, expected_ms) {
            true => Sign::Slow,
            false => Sign::Sound,
        })
    }

    /// Median duration of the tasks of a step that are done or whose pace is known.
    fn usual_duration_ms(&self, step: StepId) -> Option<u64> {
        let running_ms = self.runs.range(step.tasks()).filter_map(|(_, view)| {
            let whole_ms = view.progress.whole_ms()?;
            Some(whole_ms * UNKNOWN_SLOWNESS / self.slowness_of(&view.worker))
        });
        median(self.done_durations_ms(step).iter().copied().chain(running_ms))
    }

    fn done_durations_ms(&self, step: StepId) -> &[u64] {
        let view = self.steps.get(&step);
        view.map_or(&[], |view| view.durations_ms.as_slice())
    }

    /// Returns whether a run that took this long was slow.
    pub(crate) fn is_slow(&self, task: TaskKey, worker: &WorkerName, ran_ms: u64) -> bool {
        let job = self.book.jobs.get(&task.step.job);
        let Some(spec) = job.and_then(|job| job.step(task.step.step)) else {
            return false;
        };
        let usual_ms = median(self.done_durations_ms(task.step).iter().copied());
        let expected_ms = usual_ms.unwrap_or(spec.estimated_ms) * self.slowness_of(worker) / UNKNOWN_SLOWNESS;
        ran_ms * 1_000 > expected_ms * SLOW_THOUSANDTHS + OVERDUE_MS * 1_000
    }

    /// How long tasks take on workers of a worker's kind.
    pub(crate) fn pace_of(&self, worker: &WorkerName) -> KindPace {
        let entry = self.book.workers.get(worker);
        entry.map_or_else(KindPace::default, |entry| self.pace_of_kind(entry))
    }

    /// How long tasks take on workers of the kind of an entry.
    pub(crate) fn pace_of_kind(&self, entry: &WorkerEntry) -> KindPace {
        self.kinds.get(entry.kind()).copied().unwrap_or_default()
    }

    /// Mean of actual over declared duration on workers of a worker's kind, in thousandths.
    pub(crate) fn slowness_of(&self, worker: &WorkerName) -> u64 {
        self.pace_of(worker).slowness_thousandths()
    }

    fn is_near(&self, spec: &StepSpec, worker: &WorkerName) -> bool {
        let labels = self.book.workers.get(worker).map(|entry| entry.labels.as_slice());
        let has = |label| labels.is_some_and(|labels| labels.contains(label));
        spec.data_rack.as_ref().is_none_or(has)
    }

    fn leave_stalled(&mut self, worker: &WorkerName, runs: Vec<TaskKey>) {
        let now_ms = self.now_ms;
        if let Some(view) = self.workers.get_mut(worker) {
            view.health.eject(now_ms);
        }
        for task in &runs {
            let Some(view) = self.runs.get(task) else {
                continue;
            };
            let usual_ms = self.usual_duration_ms(task.step);
            let note = LogEvent::new("run stalled")
                .job(task.step.job)
                .with("run", view.run)
                .with("worker", worker)
                .with("percent", view.progress.percent())
                .with("still_ms", view.progress.still_ms())
                .with("whole_ms", view.progress.whole_ms().unwrap_or_default())
                .with("usual_ms", usual_ms.unwrap_or_default())
                .with("slowness", self.slowness_of(worker));
            self.note(note);
        }
        self.note(
            LogEvent::new("worker stalled")
                .with("worker", worker)
                .with("runs", runs.len()),
        );
        for task in runs {
            self.stop_run(task);
        }
    }
}

/// Median of the durations, if there are enough to tell what is usual.
fn median(durations_ms: impl Iterator<Item = u64>) -> Option<u64> {
    let mut all_ms: Vec<_> = durations_ms.collect();
    all_ms.sort_unstable();
    (all_ms.len() >= MIN_SIBLINGS).then(|| all_ms[all_ms.len() / 2])
}

fn stands_still(view: &RunView, spec: &StepSpec, expected_ms: u64) -> bool {
    let resumes = spec.checkpoints && view.run.number > 1;
    let limit_ms = STILL_MS.max(expected_ms * STILL_PERCENT / 100) + if resumes { RESTORE_MS } else { 0 };
    view.progress.still_ms() >= limit_ms && view.progress.percent() < 100
}

/// Returns whether a run is over sooner if it is stopped and starts on another worker.
fn is_worth_moving(view: &RunView, spec: &StepSpec, expected_ms: u64) -> bool {
    let left_percent = u64::from(100 - view.progress.percent().min(100));
    let elsewhere_ms = match spec.checkpoints {
        true => expected_ms * left_percent / 100 + RESTORE_MS,
        false => expected_ms,
    };
    let left_ms = view.progress.left_ms().unwrap_or(u64::MAX);
    left_ms > (elsewhere_ms + MOVE_MS) * WORTH_MOVING_THOUSANDTHS / 1_000
}
