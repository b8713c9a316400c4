//! Prevents late starts of runs that the leader has given up.
//!
//! Handles a start order that had no response and is carried out seconds later by a worker that has
//! restarted under its name in the meantime. The new incarnation knows neither the stop that the earlier
//! one confirmed nor its fencing token, and the deadline in the order is on the clock of the earlier one.
//! The leader therefore stops such runs again on every new incarnation of the worker.
//!
//! The stop may still arrive after the order. A run of which no report and no response has shown that it was
//! started therefore stays the present run of its task until its order has certainly expired, unless the order
//! carried a ticket, which the next incarnation rejects. As the run is part of the replicated state, a new
//! leader waits as well.

use {
    crate::{
        EndedRun, JobId, ListedEnd, LogEvent, OrderResult, Planner, RunId, TaskKey, WorkerCallError,
        run_view::{RunState, RunView, StartOrder},
        worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
};

/// Time for which an order without a response may still be carried out, in milliseconds. The platform
/// delays orders by up to 12 s.
pub(crate) const LATE_ORDER_MS: u64 = 15_000;
/// Pause before a stop order without a response is sent again, in milliseconds.
const RETRY_MS: u64 = 300;

/// A run that has ended for the leader while its start order may still be carried out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateStart {
    /// Time at which the order can certainly no longer be carried out.
    expires_ms: u64,
    /// Time at which the next stop order is due; `None` if the present incarnation of the worker has
    /// confirmed one.
    stop_due_ms: Option<u64>,
}

impl Planner {
    /// Returns what a new leader knows of the start order of an inherited run. An earlier leader may have sent
    /// it until now, and only the policy of the queue tells whether it carried a ticket.
    pub(crate) fn inherited_start_order(&self, job: JobId) -> StartOrder {
        match self.queue_of(job) {
            Some(queue) if queue.advice.is_some() => StartOrder::Ticketed,
            Some(_) | None => self.expiring_order(),
        }
    }

    /// Records that the start order of a run carries a ticket.
    pub(crate) fn record_ticket(&mut self, run: RunId) {
        if let Some(view) = self.runs.get_mut(&run.task).filter(|view| view.run == run) {
            view.start_order = StartOrder::Ticketed;
        }
    }

    /// Records what the result of a start order tells about its execution. A response of an earlier incarnation
    /// counts: the order was carried out then.
    pub(crate) fn observe_start_result(&mut self, run: RunId, result: OrderResult) {
        let unanswered = self.expiring_order();
        let Some(view) = self.runs.get_mut(&run.task).filter(|view| view.run == run) else {
            return;
        };
        let present = view.start_order;
        view.start_order = match (result, present) {
            (Ok(_), _) => StartOrder::Executed,
            (Err(WorkerCallError::Unanswered), StartOrder::InFlight) => unanswered,
            (Err(_), present) => present,
        };
        if view.start_order != present && view.start_order == unanswered {
            self.log_late_start(run);
        }
    }

    /// Logs that the task of a run does not start again before the start order has expired.
    pub(crate) fn log_late_start(&mut self, run: RunId) {
        let Some(view) = self.runs.get(&run.task) else {
            return;
        };
        let StartOrder::Unanswered { expires_ms } = view.start_order else {
            return;
        };
        self.log(
            LogEvent::new("start order may be carried out late")
                .job(run.task.step.job)
                .with("run", run)
                .with("worker", &view.worker)
                .with("inherited", view.is_inherited)
                .with("expires_in_ms", expires_ms.saturating_sub(self.now_ms)),
        );
    }

    /// Returns the state of an order that was sent at the latest now and has had no response.
    fn expiring_order(&self) -> StartOrder {
        StartOrder::Unanswered {
            expires_ms: self.now_ms + LATE_ORDER_MS,
        }
    }

    /// Returns whether the next incarnation of its worker may start a run at a time of the planner's clock, in
    /// milliseconds, while its task could start again elsewhere. The tasks of ended jobs do not start again.
    pub(crate) fn may_start_at(&self, run: &RunView, at_ms: u64) -> bool {
        let job = self.store.jobs.get(&run.run.task.step.job);
        let is_open = job.is_some_and(|job| job.ended.is_none());
        match run.start_order {
            StartOrder::Executed | StartOrder::Ticketed => false,
            StartOrder::InFlight => is_open,
            StartOrder::Unanswered { expires_ms } => is_open && at_ms < expires_ms,
        }
    }

    /// Returns the runs on an unreachable worker that can be given up. Until its order has certainly expired, a
    /// run may start there under a lease of full length.
    pub(crate) fn runs_to_give_up(&self, view: &WorkerView) -> Vec<TaskKey> {
        let lease_ms = self.inherited_until_ms(self.settings.max_lease_ms) - self.now_ms;
        let earlier_ms = self.now_ms.saturating_sub(lease_ms);
        let runs = view.runs.iter().copied();
        runs.filter(|task| {
            let run = self.runs.get(task);
            run.is_none_or(|run| !self.may_start_at(run, earlier_ms))
        })
        .collect()
    }

    /// Returns whether an end would make a gang done while the start order of another member may still be
    /// carried out. Such an end is neither recorded nor acknowledged, so that its worker lists it again.
    pub(crate) fn is_end_held_back(&self, ended: &EndedRun) -> bool {
        let step = ended.run.task.step;
        let spec = self.store.jobs.get(&step.job).and_then(|job| job.step(step.step));
        let is_present = |task: TaskKey| self.runs.get(&task).is_some_and(|view| view.run == ended.run);
        let completes_gang =
            ended.end == ListedEnd::Done && spec.is_some_and(|spec| spec.gang) && is_present(ended.run.task);
        completes_gang
            && self.runs.range(step.tasks()).any(|(_, member)| {
                member.run.task != ended.run.task && self.may_start_at(member, self.now_ms)
            })
    }

    /// Stops the runs that stay on a worker which is lost, on each incarnation that responds.
    pub(crate) fn stop_kept_runs(&mut self, worker: &WorkerName) {
        let tasks = self.workers.get(worker).map(|view| view.runs.clone());
        for task in tasks.unwrap_or_default() {
            self.stop_run(task);
        }
        self.repeat_stops_on(worker);
    }

    /// Sends the stops of runs on a worker again. Its next incarnation does not know those that were confirmed,
    /// and may still receive the start orders.
    pub(crate) fn repeat_stops_on(&mut self, worker: &WorkerName) {
        let now_ms = self.now_ms;
        let tasks = self.workers.get(worker).map(|view| view.runs.clone());
        for task in tasks.unwrap_or_default() {
            if let Some(RunState::Stopping {
                is_start_unconfirmed,
                retry_ms,
                confirmed_ms,
            }) = self.runs.get_mut(&task).map(|view| &mut view.state)
            {
                *is_start_unconfirmed = true;
                *retry_ms = now_ms;
                *confirmed_ms = None;
            }
        }
    }

    /// Returns the runs on an unreachable worker that can be given up, by its name.
    pub(crate) fn runs_to_give_up_on(&self, worker: &WorkerName) -> Vec<TaskKey> {
        let view = self.workers.get(worker);
        view.map(|view| self.runs_to_give_up(view)).unwrap_or_default()
    }

    /// Records that the start order of a run in the given state may still be carried out, unless the state
    /// shows that it was carried out before.
    pub(crate) fn remember_late_start(&mut self, worker: &WorkerName, run: RunId, state: RunState) {
        if state.is_start_pending() {
            let late_start = LateStart {
                expires_ms: self.now_ms + LATE_ORDER_MS,
                stop_due_ms: None,
            };
            self.late_starts.insert((worker.clone(), run), late_start);
        }
    }

    /// Stops a run that a worker reports although the leader does not expect it there. The stop is repeated
    /// until the worker confirms it.
    pub(crate) fn stop_unexpected_run(&mut self, worker: &WorkerName, run: RunId) {
        let late_start = LateStart {
            expires_ms: self.now_ms + LATE_ORDER_MS,
            stop_due_ms: Some(self.now_ms + RETRY_MS),
        };
        self.late_starts.insert((worker.clone(), run), late_start);
        self.send_stop(run, worker);
    }

    /// Schedules the stops of all late starts on a worker: on a new incarnation, and on one that responds
    /// again after the leader had given its runs up.
    pub(crate) fn stop_late_starts_on(&mut self, worker: &WorkerName) {
        let now_ms = self.now_ms;
        let mut runs = 0;
        for ((on, _), late_start) in &mut self.late_starts {
            if on == worker {
                late_start.stop_due_ms = Some(now_ms);
                runs += 1;
            }
        }
        if runs > 0 {
            self.log(
                LogEvent::new("stops of late starts scheduled")
                    .with("worker", worker)
                    .with("runs", runs),
            );
        }
    }

    /// Records that the present incarnation of a worker has confirmed the stop of a run.
    pub(crate) fn confirm_late_stop(&mut self, worker: &WorkerName, run: RunId) {
        if let Some(late_start) = self.late_starts.get_mut(&(worker.clone(), run)) {
            late_start.stop_due_ms = None;
        }
    }

    /// Sends the stop orders of late starts that are due, and forgets those that have expired.
    pub(crate) fn send_late_stops(&mut self) {
        let now_ms = self.now_ms;
        self.late_starts
            .retain(|_, late_start| now_ms < late_start.expires_ms);
        let mut due = Vec::new();
        for ((worker, run), late_start) in &mut self.late_starts {
            if late_start.stop_due_ms.is_some_and(|due_ms| now_ms >= due_ms) {
                late_start.stop_due_ms = Some(now_ms + RETRY_MS);
                due.push((*run, worker.clone()));
            }
        }
        for (run, worker) in due {
            self.send_stop(run, &worker);
        }
    }
}
