//! Checks a history against the invariants of the design.

use {
    crate::{AttemptOutcome, CallerEvent, Control, History, Violation, WorkerEventKind, history::Run},
    fuchsiatack_model::{KeyName, Resources, TaskOutcome, TeamName, WorkName, WorkTask, WorkerName},
    smol_str::{SmolStr, format_smolstr},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Limits and tolerances of the checks.
#[derive(Clone, Copy, Debug)]
pub struct HistoryChecker {
    /// Difference of the clocks of two processes that is not a violation, in microseconds. All
    /// read the clock of one machine, so only its steps count.
    pub clock_tolerance_us: u64,
    /// Time after which a changed limit is in force everywhere, in microseconds.
    pub configuration_us: u64,
    /// Time after which a leaving or drained worker gets no new work, in microseconds.
    pub leaving_us: u64,
    /// Time after which a withdrawn key works nowhere, in microseconds.
    pub withdrawal_us: u64,
}

impl Default for HistoryChecker {
    /// The bounds of the design: 3 s, 5 s and 7 s.
    fn default() -> Self {
        Self {
            clock_tolerance_us: 100,
            configuration_us: 7_000_000,
            leaving_us: 3_000_000,
            withdrawal_us: 5_000_000,
        }
    }
}

impl HistoryChecker {
    /// Returns all violations, grouped by kind.
    pub fn check(&self, history: &History) -> Vec<Violation> {
        let runs = history.runs();
        let requests = Requests::of(history);
        let mut found = Vec::new();
        check_capacity(history, &runs, &mut found);
        self.check_places(&runs, &mut found);
        self.check_limits(history, &runs, &mut found);
        check_answers(history, &mut found);
        check_not_run(&requests, &runs, &mut found);
        check_repeats(history, &requests, &runs, &mut found);
        check_requests_ended(&requests, &runs, &mut found);
        check_work_ended(history, &runs, &mut found);
        self.check_leaving(history, &runs, &mut found);
        self.check_withdrawals(history, &requests, &runs, &mut found);
        found
    }

    fn check_places(&self, runs: &[Run], found: &mut Vec<Violation>) {
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
                    found.push(Violation::TwoPlaces {
                        at_us: second.start_us,
                        subject: subject.clone(),
                        workers: [first.worker.clone(), second.worker.clone()],
                    });
                }
            }
        }
    }

    fn check_limits(&self, history: &History, runs: &[Run], found: &mut Vec<Violation>) {
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
                // An end that another process saw a moment early still frees its place.
                let end_us = run.end_us.saturating_sub(self.clock_tolerance_us);
                steps.push((run.start_us, true));
                steps.push((end_us.max(run.start_us + 1), false));
            }
            // At one time, ends come before starts.
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
                    found.push(Violation::AboveLimit {
                        at_us,
                        limit,
                        running,
                        team: team.clone(),
                    });
                }
            }
        }
    }

    /// Highest limit that a daemon may have known at a time. Before the first one there is none.
    fn limit_at(&self, changes: &[(u64, u32)], at_us: u64) -> Option<u32> {
        let since_us = at_us.saturating_sub(self.configuration_us);
        let before = changes
            .iter()
            .rev()
            .find(|(changed_us, _)| *changed_us <= since_us)?;
        let later = changes
            .iter()
            .filter(|(changed_us, _)| (since_us..=at_us).contains(changed_us));
        later.chain([before]).map(|(_, limit)| *limit).max()
    }

    fn check_leaving(&self, history: &History, runs: &[Run], found: &mut Vec<Violation>) {
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
            let found_period = periods.get(&run.worker).into_iter().flatten().find(|period| {
                run.start_us > period.0.saturating_add(self.leaving_us) && run.start_us < period.1
            });
            if let Some((start_us, _)) = found_period {
                found.push(Violation::WorkAfterLeaving {
                    after_us: run.start_us - start_us,
                    task: run.task,
                    worker: run.worker.clone(),
                });
            }
        }
    }

    /// A request that was first sent after the bound must be rejected. One sent before may still
    /// run, since its key was valid when it was accepted.
    fn check_withdrawals(
        &self,
        history: &History,
        requests: &Requests<'_>,
        runs: &[Run],
        found: &mut Vec<Violation>,
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
            let is_late = event.sent_us > at_us.saturating_add(self.withdrawal_us);
            let is_taken = matches!(
                event.seen,
                AttemptOutcome::Done | AttemptOutcome::Failed | AttemptOutcome::Unknown
            );
            if is_late && is_taken && reported.insert((&event.team, &event.request)) {
                found.push(Violation::WorkAfterWithdrawal {
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
            if first.sent_us > at_us.saturating_add(self.withdrawal_us) && reported.insert((team, request)) {
                found.push(Violation::WorkAfterWithdrawal {
                    after_us: run.start_us.saturating_sub(*at_us),
                    request: request.clone(),
                });
            }
        }
    }
}

/// Attempts of callers by team and request.
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

/// Compares the running tasks of each worker with what it holds, in the order of its log.
fn check_capacity(history: &History, runs: &[Run], found: &mut Vec<Violation>) {
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
                found.push(Violation::CapacityExceeded {
                    at_us,
                    task: run.task,
                    worker: worker.clone(),
                });
            }
        }
    }
}

fn check_answers(history: &History, found: &mut Vec<Violation>) {
    let wrong = history
        .callers
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Done && !(event.whole && event.own));
    found.extend(wrong.map(|event| Violation::WrongAnswer {
        is_whole: event.whole,
        request: event.request.clone(),
    }));
}

/// A request is not run only if every attempt was rejected: a lost one may have run.
fn check_not_run(requests: &Requests<'_>, runs: &[Run], found: &mut Vec<Violation>) {
    let mut reported = BTreeSet::new();
    for run in runs {
        if let Some((team, request, attempts)) = requests.of_run(run)
            && attempts.iter().all(|event| event.seen == AttemptOutcome::NotRun)
            && reported.insert((team, request))
        {
            found.push(Violation::NotRunRan {
                request: request.clone(),
            });
        }
    }
}

fn check_repeats(history: &History, requests: &Requests<'_>, runs: &[Run], found: &mut Vec<Violation>) {
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
    found.extend(repeated.map(|(subject, starts)| Violation::RanTwice { starts, subject }));
}

/// Each request has one last attempt, and one that was answered `done` has ended on a worker.
fn check_requests_ended(requests: &Requests<'_>, runs: &[Run], found: &mut Vec<Violation>) {
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
                "answered done, but no worker ended it".into()
            }
            1 => continue,
            0 => "no outcome".into(),
            count => format_smolstr!("{count} outcomes"),
        };
        found.push(Violation::NotEndedOnce {
            cause,
            subject: format_smolstr!("request {request} of {team}"),
        });
    }
}

fn check_work_ended(history: &History, runs: &[Run], found: &mut Vec<Violation>) {
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
                    "reported done, but no worker ended it"
                }
                [Some(_)] => continue,
                [] | [None] => "no outcome",
                _ => "its outcome changed",
            };
            found.push(Violation::NotEndedOnce {
                cause: cause.into(),
                subject: work_subject(&task),
            });
        }
    }
}
