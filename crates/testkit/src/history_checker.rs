//! Checks a history against the invariants of the design.

use {
    crate::{AttemptOutcome, CallerEvent, Control, History, Violation, WorkerEventKind, history::Run},
    fuchsiatack_model::{KeyName, Resources, TaskOutcome, TeamName, WorkName, WorkTask, WorkerName},
    smol_str::{SmolStr, format_smolstr},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Checks a history; its fields are the bounds and tolerances of the checks.
#[derive(Clone, Copy, Debug)]
pub struct HistoryChecker {
    /// Tolerated difference between the clocks of two processes, in microseconds. All read the clock of
    /// one machine once at their start, so only steps of that clock make a difference.
    pub clock_tolerance_us: u64,
    /// Time after which a changed limit is in force on all daemons, in microseconds.
    pub limit_bound_us: u64,
    /// Time after which a leaving or drained worker gets no new task, in microseconds.
    pub leaving_bound_us: u64,
    /// Time after which all daemons reject a withdrawn key, in microseconds.
    pub withdrawal_bound_us: u64,
}

impl Default for HistoryChecker {
    /// The bounds of the design: 7 s for limits, 3 s for leaving workers and 5 s for withdrawn keys.
    fn default() -> Self {
        Self {
            clock_tolerance_us: 100,
            limit_bound_us: 7_000_000,
            leaving_bound_us: 3_000_000,
            withdrawal_bound_us: 5_000_000,
        }
    }
}

impl HistoryChecker {
    /// Returns all violations, in the order of the checks.
    pub fn check(&self, history: &History) -> Vec<Violation> {
        let runs = history.runs();
        let requests = Requests::of(history);
        let mut violations = Vec::new();
        check_capacity(history, &runs, &mut violations);
        self.check_concurrent_runs(&runs, &mut violations);
        self.check_limits(history, &runs, &mut violations);
        check_responses(history, &mut violations);
        check_not_run(&requests, &runs, &mut violations);
        check_repeated_runs(history, &requests, &runs, &mut violations);
        check_requests_ended(&requests, &runs, &mut violations);
        check_work_ended(history, &runs, &mut violations);
        self.check_leaving(history, &runs, &mut violations);
        self.check_withdrawals(history, &requests, &runs, &mut violations);
        violations
    }

    fn check_concurrent_runs(&self, runs: &[Run], violations: &mut Vec<Violation>) {
        let mut by_subject: BTreeMap<SmolStr, Vec<&Run>> = BTreeMap::new();
        for run in runs {
            let request = run.request.as_ref().filter(|_| run.work.is_none());
            let subjects = [
                Some(format_smolstr!("task {}", run.task)),
                request.map(|request| format_smolstr!("request {} of {}", request, run.team)),
                run.work.as_ref().map(work_subject),
            ];
            for subject in subjects.into_iter().flatten() {
                by_subject.entry(subject).or_default().push(run);
            }
        }
        for (subject, mut runs) in by_subject {
            runs.sort_by_key(|run| run.start_us);
            for pair in runs.windows(2) {
                let [first, second] = pair else { continue };
                if second.start_us.saturating_add(self.clock_tolerance_us) < first.end_us {
                    violations.push(Violation::ConcurrentRuns {
                        at_us: second.start_us,
                        subject: subject.clone(),
                        workers: [first.worker.clone(), second.worker.clone()],
                    });
                }
            }
        }
    }

    fn check_limits(&self, history: &History, runs: &[Run], violations: &mut Vec<Violation>) {
        let mut limits: BTreeMap<&TeamName, Vec<(u64, u32)>> = BTreeMap::new();
        for event in &history.controls {
            if let Control::LimitSet { max_running, team } = &event.control {
                limits.entry(team).or_default().push((event.at_us, *max_running));
            }
        }
        for (team, mut changes) in limits {
            changes.sort_unstable();
            let mut steps: Vec<(u64, bool)> = Vec::new();
            for run in runs.iter().filter(|run| run.team == *team) {
                // An end counts as earlier by the clock tolerance, so that a start which another process
                // logged slightly before it is no violation.
                let end_us = run.end_us.saturating_sub(self.clock_tolerance_us);
                steps.push((run.start_us, true));
                steps.push((end_us.max(run.start_us + 1), false));
            }
            // Ends are sorted before starts of the same microsecond.
            steps.sort_unstable();
            let mut running = 0;
            for (at_us, is_start) in steps {
                if !is_start {
                    running -= 1;
                    continue;
                }
                running += 1;
                if let Some(limit) = self.limit_at(&changes, at_us)
                    && running > limit
                {
                    violations.push(Violation::LimitExceeded {
                        at_us,
                        limit,
                        running,
                        team: team.clone(),
                    });
                }
            }
        }
    }

    /// Highest limit that a daemon may have applied at a time; absent until the first limit must be in
    /// force.
    fn limit_at(&self, changes: &[(u64, u32)], at_us: u64) -> Option<u32> {
        let since_us = at_us.saturating_sub(self.limit_bound_us);
        let before = changes
            .iter()
            .rev()
            .find(|(changed_us, _)| *changed_us <= since_us)?;
        let later = changes
            .iter()
            .filter(|(changed_us, _)| (since_us..=at_us).contains(changed_us));
        later.chain([before]).map(|(_, limit)| *limit).max()
    }

    fn check_leaving(&self, history: &History, runs: &[Run], violations: &mut Vec<Violation>) {
        let mut periods: HashMap<&WorkerName, Vec<(u64, u64)>> = HashMap::new();
        let mut leaving: HashMap<&WorkerName, u64> = HashMap::new();
        for event in &history.workers {
            match event.event {
                WorkerEventKind::AnnouncedLeaving => {
                    leaving.entry(&event.worker).or_insert(event.at_us);
                }
                WorkerEventKind::Up => {
                    if let Some(start_us) = leaving.remove(&event.worker) {
                        periods
                            .entry(&event.worker)
                            .or_default()
                            .push((start_us, event.at_us));
                    }
                }
                _ => {}
            }
        }
        let mut drained: HashMap<&WorkerName, u64> = HashMap::new();
        let mut controls: Vec<_> = history.controls.iter().collect();
        controls.sort_by_key(|event| event.at_us);
        for event in controls {
            match &event.control {
                Control::Drained { worker } => {
                    drained.entry(worker).or_insert(event.at_us);
                }
                Control::DrainEnded { worker } => {
                    if let Some(start_us) = drained.remove(worker) {
                        periods.entry(worker).or_default().push((start_us, event.at_us));
                    }
                }
                _ => {}
            }
        }
        for (worker, start_us) in leaving.into_iter().chain(drained) {
            periods.entry(worker).or_default().push((start_us, u64::MAX));
        }
        for run in runs {
            let violated_period = periods.get(&run.worker).into_iter().flatten().find(|period| {
                run.start_us > period.0.saturating_add(self.leaving_bound_us) && run.start_us < period.1
            });
            if let Some((start_us, _)) = violated_period {
                violations.push(Violation::WorkAfterLeaving {
                    after_us: run.start_us - start_us,
                    task: run.task,
                    worker: run.worker.clone(),
                });
            }
        }
    }

    /// A request that is first sent after the bound must be rejected. One that is sent before may still
    /// run, as its key was valid when it was accepted.
    fn check_withdrawals(
        &self,
        history: &History,
        requests: &Requests<'_>,
        runs: &[Run],
        violations: &mut Vec<Violation>,
    ) {
        let withdrawn: HashMap<&KeyName, u64> = history
            .controls
            .iter()
            .filter_map(|event| match &event.control {
                Control::KeyWithdrawn { key } => Some((key, event.at_us)),
                _ => None,
            })
            .collect();
        let mut reported = BTreeSet::new();
        for event in &history.callers {
            let Some(at_us) = event.key.as_ref().and_then(|key| withdrawn.get(key)) else {
                continue;
            };
            let is_late = event.sent_us > at_us.saturating_add(self.withdrawal_bound_us);
            let is_accepted = matches!(
                event.seen,
                AttemptOutcome::Done | AttemptOutcome::Failed | AttemptOutcome::Unknown
            );
            if is_late && is_accepted && reported.insert((&event.team, &event.request)) {
                violations.push(Violation::WorkAfterWithdrawal {
                    after_us: event.sent_us - at_us,
                    request: event.request.clone(),
                });
            }
        }
        for run in runs {
            let Some((team, request, attempts)) = requests.of_run(run) else {
                continue;
            };
            let first = attempts.iter().min_by_key(|event| event.sent_us);
            let Some((first, at_us)) = first.and_then(|first| {
                let at_us = first.key.as_ref().and_then(|key| withdrawn.get(key));
                at_us.map(|at_us| (first, at_us))
            }) else {
                continue;
            };
            if first.sent_us > at_us.saturating_add(self.withdrawal_bound_us)
                && reported.insert((team, request))
            {
                violations.push(Violation::WorkAfterWithdrawal {
                    after_us: run.start_us.saturating_sub(*at_us),
                    request: request.clone(),
                });
            }
        }
    }
}

/// Attempts of callers by team and request identifier.
struct Requests<'a>(BTreeMap<(&'a TeamName, &'a SmolStr), Vec<&'a CallerEvent>>);

impl<'a> Requests<'a> {
    fn of(history: &'a History) -> Self {
        let mut requests: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for event in &history.callers {
            requests
                .entry((&event.team, &event.request))
                .or_default()
                .push(event);
        }
        Self(requests)
    }

    fn of_run<'s>(&'s self, run: &'s Run) -> Option<(&'s TeamName, &'s SmolStr, &'s [&'s CallerEvent])> {
        let request = run.request.as_ref()?;
        let ((team, request), attempts) = self.0.get_key_value(&(&run.team, request))?;
        Some((team, request, attempts))
    }
}

fn work_subject(work: &WorkTask) -> SmolStr {
    format_smolstr!("work {} task {}", work.work, work.number)
}

/// Compares the demand of the running tasks with the capacity of each worker. Ends are sorted before
/// starts of the same microsecond.
fn check_capacity(history: &History, runs: &[Run], violations: &mut Vec<Violation>) {
    let capacities: HashMap<&WorkerName, Resources> = history
        .workers
        .iter()
        .filter_map(|event| Some((&event.worker, event.capacity?)))
        .collect();
    for (worker, capacity) in capacities {
        let mut steps: Vec<(u64, bool, &Run)> = Vec::new();
        for run in runs.iter().filter(|run| run.worker == *worker) {
            steps.push((run.start_us, true, run));
            steps.push((run.end_us.max(run.start_us + 1), false, run));
        }
        steps.sort_by_key(|(at_us, is_start, _)| (*at_us, *is_start));
        let mut used = Resources::NONE;
        for (at_us, is_start, run) in steps {
            if !is_start {
                used = used.saturating_sub(&run.demand);
                continue;
            }
            used = used.saturating_add(&run.demand);
            if !capacity.covers(&used) {
                violations.push(Violation::CapacityExceeded {
                    at_us,
                    task: run.task,
                    worker: worker.clone(),
                });
            }
        }
    }
}

fn check_responses(history: &History, violations: &mut Vec<Violation>) {
    let wrong = history
        .callers
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Done && !(event.whole && event.own));
    violations.extend(wrong.map(|event| Violation::WrongResponse {
        is_complete: event.whole,
        request: event.request.clone(),
    }));
}

/// A request counts as not run only if every attempt was rejected: one with a lost response may have
/// run.
fn check_not_run(requests: &Requests<'_>, runs: &[Run], violations: &mut Vec<Violation>) {
    let mut reported = BTreeSet::new();
    for run in runs {
        if let Some((team, request, attempts)) = requests.of_run(run)
            && attempts.iter().all(|event| event.seen == AttemptOutcome::NotRun)
            && reported.insert((team, request))
        {
            violations.push(Violation::NotRunButStarted {
                request: request.clone(),
            });
        }
    }
}

fn check_repeated_runs(
    history: &History,
    requests: &Requests<'_>,
    runs: &[Run],
    violations: &mut Vec<Violation>,
) {
    let once_only: BTreeSet<&WorkName> = history
        .controls
        .iter()
        .filter_map(|event| match &event.control {
            Control::WorkSubmitted {
                idempotent: false,
                work,
                ..
            } => Some(work),
            _ => None,
        })
        .collect();
    let mut starts: BTreeMap<SmolStr, usize> = BTreeMap::new();
    for run in runs {
        let subject = match (&run.work, requests.of_run(run)) {
            (Some(work), _) if once_only.contains(&work.work) => work_subject(work),
            (None, Some((team, request, attempts))) if attempts.iter().any(|event| !event.idempotent) => {
                format_smolstr!("request {request} of {team}")
            }
            _ => continue,
        };
        *starts.entry(subject).or_default() += 1;
    }
    let repeated = starts.into_iter().filter(|(_, starts)| *starts > 1);
    violations.extend(repeated.map(|(subject, starts)| Violation::RepeatedRun { starts, subject }));
}

/// Each request has exactly one last attempt, and a request reported as done has ended on a worker.
fn check_requests_ended(requests: &Requests<'_>, runs: &[Run], violations: &mut Vec<Violation>) {
    let ended: BTreeSet<(&TeamName, &SmolStr)> = runs
        .iter()
        .filter(|run| run.end == Some(WorkerEventKind::Ended))
        .filter_map(|run| Some((&run.team, run.request.as_ref()?)))
        .collect();
    for ((team, request), attempts) in &requests.0 {
        let last_count = attempts.iter().filter(|event| event.last).count();
        let is_done = attempts.iter().any(|event| event.seen == AttemptOutcome::Done);
        let cause = match last_count {
            1 if is_done && !ended.contains(&(*team, *request)) => {
                "reported as done, but no worker completed it".into()
            }
            1 => continue,
            0 => "no outcome".into(),
            count => format_smolstr!("{count} outcomes"),
        };
        violations.push(Violation::NotEndedOnce {
            cause,
            subject: format_smolstr!("request {request} of {team}"),
        });
    }
}

fn check_work_ended(history: &History, runs: &[Run], violations: &mut Vec<Violation>) {
    let ended: BTreeSet<&WorkTask> = runs
        .iter()
        .filter(|run| run.end == Some(WorkerEventKind::Ended))
        .filter_map(|run| run.work.as_ref())
        .collect();
    let mut statuses: BTreeMap<&WorkName, Vec<&Vec<Option<TaskOutcome>>>> = BTreeMap::new();
    for event in &history.controls {
        if let Control::WorkEnded { outcomes, work } = &event.control {
            statuses.entry(work).or_default().push(outcomes);
        }
    }
    for event in &history.controls {
        let Control::WorkSubmitted { tasks, work, .. } = &event.control else {
            continue;
        };
        for number in 0..*tasks {
            let task = WorkTask {
                number,
                work: work.clone(),
            };
            let reported: BTreeSet<Option<TaskOutcome>> = statuses
                .get(work)
                .into_iter()
                .flatten()
                .map(|outcomes| outcomes.get(number as usize).copied().flatten())
                .collect();
            let reported: Vec<_> = reported.into_iter().collect();
            let cause = match reported[..] {
                [Some(TaskOutcome::Done)] if !ended.contains(&task) => {
                    "reported as done, but no worker completed it"
                }
                [Some(_)] => continue,
                [] | [None] => "no outcome",
                _ => "its outcome changed",
            };
            violations.push(Violation::NotEndedOnce {
                cause: cause.into(),
                subject: work_subject(&task),
            });
        }
    }
}
