//! Orders to workers and ends of runs.

use {
    crate::{
        JobCommand, JobId, LogEvent, OrderRejection, OrderResult, Planner, RunEnd, RunId, TaskKey,
        WorkerCallError, WorkerOrder, kind_pace::UNKNOWN_SLOWNESS, run_view::RunState,
    },
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
};

/// Pause before a stop without an answer is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 300;
/// Pause of a worker that did not answer or refused an order, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 300;
/// Pause of a step after one of its orders was refused, in milliseconds.
const STEP_PAUSE_MS: u64 = 100;

impl Planner {
    /// Takes the answer to an order to start a run.
    pub(crate) fn started(&mut self, worker: &WorkerName, run: RunId, result: OrderResult) {
        let now_ms = self.now_ms;
        let Some(view) = self.runs.get_mut(&run.task).filter(|view| view.run == run) else {
            return;
        };
        match (result, view.state) {
            (Ok(clock_ms), RunState::Ordered | RunState::Unanswered { .. }) => {
                view.state = RunState::Confirmed { clock_ms };
            }
            (Ok(_), _) => {}
            (Err(WorkerCallError::Unanswered), RunState::Ordered) => {
                view.state = RunState::Unanswered { since_ms: now_ms };
                self.shun(worker, now_ms + REFUSAL_PAUSE_MS);
                self.plan_check(worker);
                self.note(
                    LogEvent::new("order unanswered")
                        .job(run.task.step.job)
                        .with("run", run)
                        .with("worker", worker),
                );
            }
            (Err(WorkerCallError::Unanswered), _) => {}
            (Err(error), _) => self.refused(worker, run, error),
        }
    }

    fn refused(&mut self, worker: &WorkerName, run: RunId, error: WorkerCallError) {
        let now_ms = self.now_ms;
        match error {
            WorkerCallError::WrongWorker => return self.remove_worker(worker, error.as_str()),
            WorkerCallError::Unreachable => {
                if let Some(view) = self.workers.get_mut(worker) {
                    view.failures += 1;
                    view.hold_due_ms = now_ms;
                }
            }
            WorkerCallError::Rejected(OrderRejection::InvalidTicket) => {
                if let Some(step) = self.steps.get_mut(&run.task.step) {
                    step.advice.good.remove(worker);
                    step.advice.asked.remove(worker);
                }
            }
            WorkerCallError::Rejected(_) | WorkerCallError::Unanswered => {
                self.shun(worker, now_ms + REFUSAL_PAUSE_MS);
            }
        }
        if let Some(step) = self.steps.get_mut(&run.task.step) {
            step.held_until_ms = now_ms + STEP_PAUSE_MS;
        }
        self.end_run(run, RunEnd::Interrupted, None, error.as_str());
    }

    pub(crate) fn shun(&mut self, worker: &WorkerName, until_ms: u64) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.shunned_until_ms = view.shunned_until_ms.max(until_ms);
        }
    }

    fn plan_check(&mut self, worker: &WorkerName) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.plan_check(self.now_ms);
            self.is_check_planned = true;
        }
    }

    /// Takes the answer to an order to stop a run.
    pub(crate) fn stopped(&mut self, worker: &WorkerName, run: RunId, result: OrderResult) {
        let now_ms = self.now_ms;
        let view = self
            .runs
            .get_mut(&run.task)
            .filter(|view| view.run == run && view.worker == *worker);
        let Some(view) = view else {
            return;
        };
        match (result, &mut view.state) {
            // If a later run ended there, this one cannot start any more either.
            (
                Ok(_) | Err(WorkerCallError::Rejected(OrderRejection::Outdated)),
                RunState::Stopping {
                    is_doubtful,
                    settled_ms,
                    ..
                },
            ) => {
                settled_ms.get_or_insert(now_ms);
                if *is_doubtful {
                    self.plan_check(worker);
                }
            }
            (Err(WorkerCallError::WrongWorker), _) => {
                self.remove_worker(worker, WorkerCallError::WrongWorker.as_str());
            }
            (Ok(_) | Err(_), _) => {}
        }
    }

    /// Returns whether the worker has confirmed a run.
    pub(crate) fn is_confirmed(&self, task: TaskKey) -> bool {
        let view = self.runs.get(&task);
        view.is_some_and(|view| matches!(view.state, RunState::Confirmed { .. }))
    }

    /// Orders the stop of a present run.
    pub(crate) fn stop_run(&mut self, task: TaskKey) {
        let now_ms = self.now_ms;
        let Some(view) = self.runs.get_mut(&task) else {
            return;
        };
        if matches!(view.state, RunState::Stopping { .. }) {
            return;
        }
        view.state = RunState::Stopping {
            is_doubtful: !matches!(view.state, RunState::Confirmed { .. }),
            retry_ms: now_ms + STOP_RETRY_MS,
            settled_ms: None,
        };
        let (run, worker) = (view.run, view.worker.clone());
        self.order_stop(run, &worker);
    }

    fn order_stop(&mut self, run: RunId, worker: &WorkerName) {
        if let Some(to) = self.callee(worker) {
            self.order(WorkerOrder::Stop { run, to });
        }
    }

    /// Sends stops again that had no answer.
    pub(crate) fn retry_stops(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for view in self.runs.values_mut() {
            if let RunState::Stopping {
                retry_ms,
                settled_ms: None,
                ..
            } = &mut view.state
                && now_ms >= *retry_ms
            {
                *retry_ms = now_ms + STOP_RETRY_MS;
                due.push((view.run, view.worker.clone()));
            }
        }
        for (run, worker) in due {
            self.order_stop(run, &worker);
        }
    }

    /// Records that a run is over, and what follows from it.
    pub(crate) fn end_run(&mut self, run: RunId, end: RunEnd, checkpoint: Option<&SmolStr>, reason: &str) {
        let Some(view) = self.unhome(run.task) else {
            return;
        };
        let end = match end {
            RunEnd::Done if self.is_long_running(run) => RunEnd::Interrupted,
            _ => end,
        };
        let is_final = end == RunEnd::Failed && self.fails_job(run);
        self.judge(run, end, &view.worker, view.started_ms);
        self.learn(run, end, &view.worker, view.started_ms);
        if end != RunEnd::Done {
            self.note(
                LogEvent::new("run over")
                    .job(run.task.step.job)
                    .with("run", run)
                    .with("worker", &view.worker)
                    .with("end", end.as_str())
                    .with("reason", reason)
                    .with("ran_ms", self.now_ms.saturating_sub(view.started_ms)),
            );
        }
        let checkpoint = match checkpoint {
            Some(checkpoint) if !checkpoint.is_empty() => checkpoint.clone(),
            _ => view.checkpoint,
        };
        self.propose(JobCommand::End {
            checkpoint,
            end,
            is_final,
            run,
            unix_ms: self.now_unix_ms,
        });
        let id = run.task.step.job;
        let Some(job) = self.book.jobs.get(&id) else {
            return;
        };
        let is_gang = job.step(run.task.step.step).is_some_and(|spec| spec.gang);
        let is_done = job.task(run.task).is_some_and(|task| task.done);
        if let Some(step) = self.steps.get_mut(&run.task.step).filter(|_| !is_done) {
            step.waiting.insert(run.task.index);
        }
        let is_step_done = job.is_step_done(run.task.step.occurrence, run.task.step.step);
        match job.ended.as_ref().map(|ended| ended.state) {
            Some(state) => {
                self.note(
                    LogEvent::new("job ended")
                        .job(id)
                        .with("state", state.as_str())
                        .with(
                            "after_ms",
                            self.now_unix_ms.saturating_sub(self.accepted_unix_ms(id)),
                        ),
                );
                self.close_job(id);
            }
            None if is_step_done => self.refresh_job(id),
            None if is_gang && end != RunEnd::Done => self.stop_gang(run),
            None => {}
        }
    }

    fn is_long_running(&self, run: RunId) -> bool {
        let job = self.book.jobs.get(&run.task.step.job);
        job.and_then(|job| job.step(run.task.step.step))
            .is_some_and(|spec| spec.long_running)
    }

    fn accepted_unix_ms(&self, job: JobId) -> u64 {
        self.book.jobs.get(&job).map_or(0, |job| job.accepted_unix_ms)
    }

    /// Returns whether a failed run is the last one that its task may have.
    fn fails_job(&self, run: RunId) -> bool {
        let Some(job) = self.book.jobs.get(&run.task.step.job) else {
            return false;
        };
        let Some(spec) = job.step(run.task.step.step) else {
            return false;
        };
        let counted = TaskKey {
            index: if spec.gang { 0 } else { run.task.index },
            ..run.task
        };
        let task = job.task(counted);
        let is_counted = task.is_none_or(|task| task.failed_run < run.number);
        let failures = task.map_or(0, |task| task.failures) + u32::from(is_counted);
        let limit = self
            .queue_of(run.task.step.job)
            .map_or(u32::MAX, |queue| queue.max_attempts);
        !spec.long_running && failures >= limit.max(1)
    }

    fn stop_gang(&mut self, run: RunId) {
        let members: Vec<_> = self
            .runs
            .range(run.task.step.tasks())
            .filter(|(_, view)| view.run.number == run.number)
            .map(|(task, _)| *task)
            .collect();
        for task in members {
            self.stop_run(task);
        }
    }

    /// Stops what runs of a job that has ended, and closes its steps.
    pub(crate) fn close_job(&mut self, id: JobId) {
        let Some(job) = self.book.jobs.get(&id) else {
            return;
        };
        // Members of a gang that is done end by themselves.
        let is_done = |task: TaskKey| job.task(task).is_some_and(|task| task.done);
        let runs: Vec<_> = job
            .runs()
            .map(|(run, _)| run.task)
            .filter(|task| !is_done(*task))
            .collect();
        for task in runs {
            self.stop_run(task);
        }
        self.refresh_job(id);
    }

    /// Judges a worker by the end of a run.
    fn judge(&mut self, run: RunId, end: RunEnd, worker: &WorkerName, started_ms: u64) {
        let now_ms = self.now_ms;
        let ran_ms = now_ms.saturating_sub(started_ms);
        let is_slow = self.is_slow(run.task, worker, ran_ms);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        match end {
            // A run that took far too long shows no sound worker.
            RunEnd::Done if is_slow => {}
            RunEnd::Done => view.health.succeeded(),
            RunEnd::Failed => {
                if view.health.failed(now_ms, run.task.step.job) {
                    self.note(
                        LogEvent::new("worker taken out")
                            .with("worker", worker)
                            .with("reason", "runs of several jobs failed in a row"),
                    );
                }
                if let Some(step) = self.steps.get_mut(&run.task.step) {
                    let failed_on = step.failed_on.entry(run.task.index).or_default();
                    failed_on.insert(worker.clone());
                }
            }
            RunEnd::Interrupted => {}
        }
    }

    /// Learns from the end of a run how its kind of worker works.
    fn learn(&mut self, run: RunId, end: RunEnd, worker: &WorkerName, started_ms: u64) {
        let estimated_ms = self
            .book
            .jobs
            .get(&run.task.step.job)
            .and_then(|job| job.step(run.task.step.step))
            .map_or(0, |spec| {
                if spec.fills_idle || spec.long_running {
                    0
                } else {
                    spec.estimated_ms
                }
            });
        let Some(entry) = self.book.workers.get(worker) else {
            return;
        };
        if end != RunEnd::Done || estimated_ms == 0 {
            return;
        }
        let ran_ms = self.now_ms.saturating_sub(started_ms);
        let slowness = self.slowness_of(worker);
        if let Some(step) = self.steps.get_mut(&run.task.step) {
            step.add_duration(ran_ms * UNKNOWN_SLOWNESS / slowness);
        }
        let kind = SmolStr::new(entry.kind());
        self.kinds.entry(kind).or_default().learn(ran_ms, estimated_ms);
    }
}
