//! Handles the results of start and stop orders, and the ends of runs.

use {
    crate::{
        JobCommand, JobId, JobState, LogEvent, OrderRejection, OrderResult, Planner, RunEnd, RunId, TaskKey,
        WorkerCallError, WorkerOrder, kind_speed::NEUTRAL_SLOWNESS_THOUSANDTHS, plan_losses::RemovalReason,
        run_view::RunState,
    },
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
};

/// Pause before a stop order without a response is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 300;
/// Time without new starts on a worker that did not answer or rejected a start order, in
/// milliseconds.
const REJECTION_PAUSE_MS: u64 = 300;
/// Pause in the placement of a step after one of its start orders was rejected or found no
/// connection, in milliseconds.
const STEP_PAUSE_MS: u64 = 100;

impl Planner {
    /// Handles the result of a start order.
    pub(crate) fn handle_start_result(
        &mut self,
        worker: &WorkerName,
        run: RunId,
        sent_ms: u64,
        result: OrderResult,
    ) {
        let now_ms = self.now_ms;
        self.observe_start_result(run, result);
        self.count_start_result(worker, run);
        // What an earlier incarnation confirmed tells nothing about the run on the present one.
        let result = match result {
            Ok(_) if self.is_before_restart(worker, sent_ms) => Err(WorkerCallError::Unanswered),
            result => result,
        };
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
                self.pause_worker(worker, now_ms + REJECTION_PAUSE_MS);
                self.schedule_check(worker);
                self.log(
                    LogEvent::new("start order unanswered")
                        .job(run.task.step.job)
                        .with("run", run)
                        .with("worker", worker),
                );
            }
            (Err(WorkerCallError::Unanswered), _) => {}
            (Err(error), _) => self.handle_start_rejection(worker, run, sent_ms, error),
        }
    }

    /// Takes into account that a start order has a result, so that others may be sent to the worker.
    fn count_start_result(&mut self, worker: &WorkerName, run: RunId) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        self.needs_placement |= view.starts_left() == 0;
        view.unanswered_starts.remove(&run);
    }

    fn handle_start_rejection(
        &mut self,
        worker: &WorkerName,
        run: RunId,
        sent_ms: u64,
        error: WorkerCallError,
    ) {
        let now_ms = self.now_ms;
        match error {
            WorkerCallError::WrongWorker if !self.is_before_restart(worker, sent_ms) => {
                return self.remove_worker(worker, RemovalReason::Successor);
            }
            WorkerCallError::Unreachable => {
                if let Some(view) = self.workers.get_mut(worker) {
                    view.record_failure(now_ms, error);
                    view.hold_due_ms = now_ms;
                }
            }
            WorkerCallError::Rejected(OrderRejection::InvalidTicket) => {
                if let Some(step) = self.steps.get_mut(&run.task.step) {
                    step.advice.eligible.remove(worker);
                    step.advice.evaluated.remove(worker);
                }
            }
            WorkerCallError::Rejected(_) | WorkerCallError::Unanswered | WorkerCallError::WrongWorker => {
                self.pause_worker(worker, now_ms + REJECTION_PAUSE_MS);
            }
        }
        if let Some(step) = self.steps.get_mut(&run.task.step) {
            step.paused_until_ms = now_ms + STEP_PAUSE_MS;
        }
        self.end_run(run, RunEnd::Interrupted, None, error.as_str());
    }

    pub(crate) fn pause_worker(&mut self, worker: &WorkerName, until_ms: u64) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.paused_until_ms = view.paused_until_ms.max(until_ms);
        }
    }

    fn schedule_check(&mut self, worker: &WorkerName) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.schedule_check(self.now_ms);
            self.is_check_scheduled = true;
        }
    }

    /// Handles the result of a stop order.
    pub(crate) fn handle_stop_result(
        &mut self,
        worker: &WorkerName,
        run: RunId,
        sent_ms: u64,
        result: OrderResult,
    ) {
        let now_ms = self.now_ms;
        if let Some(view) = self.workers.get_mut(worker) {
            view.unanswered_stops.remove(&run);
        }
        if self.is_before_restart(worker, sent_ms) {
            return;
        }
        if let Ok(_) | Err(WorkerCallError::Rejected(OrderRejection::Outdated)) = result {
            self.confirm_late_stop(worker, run);
        }
        let view = self
            .runs
            .get_mut(&run.task)
            .filter(|view| view.run == run && view.worker == *worker);
        let Some(view) = view else {
            return;
        };
        match (result, &mut view.state) {
            // A worker on which a later run has ended rejects the start of this run, so that the run
            // cannot start there any more.
            (
                Ok(_) | Err(WorkerCallError::Rejected(OrderRejection::Outdated)),
                RunState::Stopping {
                    is_start_unconfirmed,
                    confirmed_ms,
                    ..
                },
            ) => {
                confirmed_ms.get_or_insert(now_ms);
                if *is_start_unconfirmed {
                    self.schedule_check(worker);
                }
            }
            (Err(WorkerCallError::WrongWorker), _) => {
                self.remove_worker(worker, RemovalReason::Successor);
            }
            (Ok(_) | Err(_), _) => {}
        }
    }

    /// Returns whether an order was sent before the present incarnation of its worker was known.
    pub(crate) fn is_before_restart(&self, worker: &WorkerName, sent_ms: u64) -> bool {
        let view = self.workers.get(worker);
        view.is_some_and(|view| sent_ms < view.incarnation_known_ms)
    }

    /// Returns whether the worker has confirmed the present run of a task.
    pub(crate) fn is_confirmed(&self, task: TaskKey) -> bool {
        let view = self.runs.get(&task);
        view.is_some_and(|view| matches!(view.state, RunState::Confirmed { .. }))
    }

    /// Stops the present run of a task, unless it is being stopped. The order is sent at once, or as soon as
    /// enough others to its worker have a result.
    pub(crate) fn stop_run(&mut self, task: TaskKey) {
        let now_ms = self.now_ms;
        let Some(view) = self.runs.get_mut(&task) else {
            return;
        };
        if matches!(view.state, RunState::Stopping { .. }) {
            return;
        }
        let on = self.workers.get_mut(&view.worker);
        let is_sent = on.is_none_or(|on| on.begin_stop(view.run));
        view.state = RunState::Stopping {
            is_start_unconfirmed: !matches!(view.state, RunState::Confirmed { .. }),
            retry_ms: now_ms + if is_sent { STOP_RETRY_MS } else { 0 },
            confirmed_ms: None,
        };
        let (run, worker) = (view.run, view.worker.clone());
        if is_sent {
            self.send_stop(run, &worker);
        }
    }

    /// Sends the stop order of a run again although its worker has confirmed one.
    pub(crate) fn repeat_stop(&mut self, task: TaskKey) {
        let retry_ms = self.now_ms + STOP_RETRY_MS;
        let Some(view) = self.runs.get_mut(&task) else {
            return;
        };
        view.state = RunState::Stopping {
            is_start_unconfirmed: true,
            retry_ms,
            confirmed_ms: None,
        };
        let (run, worker) = (view.run, view.worker.clone());
        self.log(
            LogEvent::new("run listed after a confirmed stop")
                .job(task.step.job)
                .with("run", run)
                .with("worker", &worker),
        );
        self.send_stop(run, &worker);
    }

    pub(crate) fn send_stop(&mut self, run: RunId, worker: &WorkerName) {
        if let Some(to) = self.callee(worker) {
            self.send_order(WorkerOrder::Stop { run, to });
        }
    }

    /// Sends stop orders that have had no response, or were not sent yet.
    pub(crate) fn resend_stops(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for view in self.runs.values_mut() {
            if let RunState::Stopping {
                retry_ms,
                confirmed_ms: None,
                ..
            } = &mut view.state
                && now_ms >= *retry_ms
                && self
                    .workers
                    .get_mut(&view.worker)
                    .is_none_or(|on| on.begin_stop(view.run))
            {
                *retry_ms = now_ms + STOP_RETRY_MS;
                due.push((view.run, view.worker.clone()));
            }
        }
        for (run, worker) in due {
            self.send_stop(run, &worker);
        }
    }

    /// Records the end of a run. Then closes its job if it has ended, opens the steps that depend on
    /// the run's step if that is done, or stops the rest of a gang. An empty or absent checkpoint
    /// keeps the latest known one.
    pub(crate) fn end_run(&mut self, run: RunId, end: RunEnd, checkpoint: Option<&SmolStr>, reason: &str) {
        let Some(view) = self.remove_run(run.task) else {
            return;
        };
        let end = match end {
            RunEnd::Done if self.is_long_running(run) => RunEnd::Interrupted,
            _ => end,
        };
        let is_final = end == RunEnd::Failed && self.fails_job(run);
        self.update_health(run, end, &view.worker, view.started_ms);
        self.record_duration(run, end, &view.worker, view.started_ms);
        if end != RunEnd::Done {
            self.log(
                LogEvent::new("run failed or interrupted")
                    .job(run.task.step.job)
                    .with("run", run)
                    .with("worker", &view.worker)
                    .with("end", end.as_str())
                    .with("reason", reason)
                    .with("ran_ms", self.now_ms.saturating_sub(view.started_ms))
                    .with("job_ended_ms_ago", self.job_ended_ms_ago(run.task.step.job)),
            );
        }
        let checkpoint = match checkpoint {
            Some(checkpoint) if !checkpoint.is_empty() => checkpoint.clone(),
            _ => view.checkpoint,
        };
        let id = run.task.step.job;
        let had_ended = self.store.jobs.get(&id).is_some_and(|job| job.ended.is_some());
        self.propose(JobCommand::End {
            checkpoint,
            end,
            is_final,
            run,
            unix_ms: self.now_unix_ms,
        });
        let Some(job) = self.store.jobs.get(&id) else {
            return;
        };
        let is_gang = job.step(run.task.step.step).is_some_and(|spec| spec.gang);
        let is_done = job.task(run.task).is_some_and(|task| task.done);
        if let Some(step) = self.steps.get_mut(&run.task.step).filter(|_| !is_done) {
            step.waiting.insert(run.task.index);
        }
        let is_step_done = job.is_step_done(run.task.step.occurrence, run.task.step.step);
        match job.ended.as_ref().map(|ended| ended.state) {
            Some(_) if had_ended => {}
            Some(state) => {
                self.log(
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
            None if is_step_done => self.close_done_step(run.task.step),
            None if is_gang && end != RunEnd::Done => self.stop_gang(run),
            None => {}
        }
    }

    /// Returns the time since the end of a job in milliseconds, for logs; empty if it has not ended.
    fn job_ended_ms_ago(&self, id: JobId) -> SmolStr {
        let ended = self.store.jobs.get(&id).and_then(|job| job.ended.as_ref());
        ended.map_or(SmolStr::default(), |ended| {
            SmolStr::new(self.now_unix_ms.saturating_sub(ended.unix_ms).to_string())
        })
    }

    fn is_long_running(&self, run: RunId) -> bool {
        let job = self.store.jobs.get(&run.task.step.job);
        job.and_then(|job| job.step(run.task.step.step))
            .is_some_and(|spec| spec.long_running)
    }

    fn accepted_unix_ms(&self, job: JobId) -> u64 {
        self.store.jobs.get(&job).map_or(0, |job| job.accepted_unix_ms)
    }

    /// Returns whether a failure of this run uses up the attempts of its task, so that the job
    /// fails.
    fn fails_job(&self, run: RunId) -> bool {
        let Some(job) = self.store.jobs.get(&run.task.step.job) else {
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

    /// Stops the runs of a job that has ended, and closes its steps.
    pub(crate) fn close_job(&mut self, id: JobId) {
        let Some(job) = self.store.jobs.get(&id) else {
            return;
        };
        // Members of a gang that is done end without a stop order. Those of a cancelled job get one, since
        // a member that ends late would run beyond the cancel.
        let is_cancelled = job.state() == JobState::Cancelled;
        let is_done = |task: TaskKey| job.task(task).is_some_and(|task| task.done);
        let mut runs: Vec<_> = job.runs().map(|(run, _)| run.task).collect();
        let units = runs.len();
        runs.retain(|task| is_cancelled || !is_done(*task));
        self.count_work(id, units);
        for task in runs {
            self.stop_run(task);
        }
        self.close_steps(id);
    }

    /// Updates the health of a worker after the end of a run.
    fn update_health(&mut self, run: RunId, end: RunEnd, worker: &WorkerName, started_ms: u64) {
        let now_ms = self.now_ms;
        let ran_ms = now_ms.saturating_sub(started_ms);
        let is_slow = self.is_slow(run.task, worker, ran_ms);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        match end {
            // A run that took far too long is no sign of a healthy worker.
            RunEnd::Done if is_slow => {}
            RunEnd::Done => view.health.record_success(),
            RunEnd::Failed => {
                if view.health.record_failure(now_ms, run.task.step.job) {
                    self.log(
                        LogEvent::new("worker ejected")
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

    /// Adds the duration of a run that is done to the statistics of its step and of its kind of
    /// worker.
    fn record_duration(&mut self, run: RunId, end: RunEnd, worker: &WorkerName, started_ms: u64) {
        let estimated_ms = self
            .store
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
        let Some(entry) = self.store.workers.get(worker) else {
            return;
        };
        if end != RunEnd::Done || estimated_ms == 0 {
            return;
        }
        let ran_ms = self.now_ms.saturating_sub(started_ms);
        let slowness = self.slowness_of(worker);
        if let Some(step) = self.steps.get_mut(&run.task.step) {
            step.add_duration(ran_ms * NEUTRAL_SLOWNESS_THOUSANDTHS / slowness);
        }
        let kind = SmolStr::new(entry.kind());
        self.kinds.entry(kind).or_default().record(ran_ms, estimated_ms);
    }
}
