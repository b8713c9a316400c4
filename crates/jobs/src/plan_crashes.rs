//! Tells which task crashes the workers that run it, and gives up its job.
//!
//! Handles a task that crashes each worker on which it starts, together with all other tasks there. Every
//! task that had started a short time before the crash is suspected, and its next run gets a worker of its
//! own, so that a second crash points to one task. How likely it is that workers crash by themselves as soon
//! after the starts of the task decides, so that tasks which were beside others, or on workers that crash
//! often, are not given up.

use {
    crate::{
        CrashRecord, JobCommand, JobId, LogEvent, LostTask, Planner, TaskKey,
        crash_record::CERTAIN_MILLIONTHS,
        plan_losses::{LossEvidence, LostRun, StartKnowledge},
        run_view::RunState,
    },
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
};

/// Time after its start until which a run is suspected when its worker crashes, in milliseconds. A task that
/// crashes workers does so when it starts; the leader may notice the loss of a silent worker 1.4 s late.
const RECENT_MS: u64 = 2_000;
/// Accuracy of the time between a start and a crash in milliseconds.
const ACCURACY_MS: u64 = 20;
/// Period over which the rate of crashes is measured, in milliseconds.
const RATE_PERIOD_MS: u64 = 60_000;
/// Shortest period over which a new leader measures it, in milliseconds.
const MIN_RATE_PERIOD_MS: u64 = 5_000;
/// Maximum share of a service's workers that run a suspected task alone, in percent.
const MAX_ISOLATING_PERCENT: usize = 20;
/// Time for which a suspected task waits for an empty worker, in milliseconds.
const ISOLATION_WAIT_MS: u64 = 2_000;

/// How a task is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Sharing {
    /// On a worker without runs, where no other run is started until it has proved itself.
    Alone,
    /// On the worker with the fewest runs, where no other run is started until it has proved itself.
    Fewest,
    /// Not until it is known what became of its workers.
    Held,
    /// Beside other runs.
    Shared,
}

impl Planner {
    /// Records the loss of a worker for the tasks that ran there. Returns those to which the crashes are to
    /// be put down; their jobs have to be given up once the runs on the worker have ended.
    pub(crate) fn record_loss(
        &mut self,
        worker: &WorkerName,
        evidence: LossEvidence,
        lost: &[LostRun],
    ) -> Vec<TaskKey> {
        if lost.is_empty() || self.is_leaving(worker) {
            return Vec::new();
        }
        self.avoid_worker(worker, lost);
        let crashes = |task| self.store.crashes.get(&task).map_or(0, |record| record.crashes);
        let has_suspect = lost.iter().any(|lost| crashes(lost.run.task) > 0);
        let is_crash = evidence != LossEvidence::Silence;
        let tasks: Vec<_> = lost
            .iter()
            .filter(|lost| lost.worked_ms < RECENT_MS && self.is_open(lost.run.task))
            .map(|run| LostTask {
                coincidence_millionths: self.coincidence_millionths(run, lost),
                is_crash,
                is_isolated: match crashes(run.run.task) {
                    0 => run.is_recent(RECENT_MS) && !has_suspect,
                    _ => true,
                },
                task: run.run.task,
                worked_ms: run.worked_ms,
                worker: worker.clone(),
            })
            .collect();
        if is_crash && !has_suspect {
            self.crash_times_ms.push_back(self.now_ms);
        }
        let keys: Vec<_> = tasks.iter().map(|lost| lost.task).collect();
        if keys.is_empty() {
            return keys;
        }
        self.propose(JobCommand::RecordLoss(tasks));
        for task in &keys {
            self.suspect(*task, worker, evidence);
        }
        let is_conclusive = |task: &TaskKey| self.record_of(*task).is_conclusive();
        keys.into_iter().filter(is_conclusive).collect()
    }

    /// Keeps the lost tasks from the worker while others are free. It may crash again.
    fn avoid_worker(&mut self, worker: &WorkerName, lost: &[LostRun]) {
        for LostRun { run, .. } in lost {
            if let Some(step) = self.steps.get_mut(&run.task.step) {
                let failed_on = step.failed_on.entry(run.task.index).or_default();
                failed_on.insert(worker.clone());
            }
        }
    }

    fn suspect(&mut self, task: TaskKey, worker: &WorkerName, evidence: LossEvidence) {
        let Some(record) = self.store.crashes.get(&task).filter(|record| record.is_isolated) else {
            return;
        };
        let event = LogEvent::new("task suspected of crashing workers")
            .job(task.step.job)
            .with("task", task)
            .with("worker", worker)
            .with("evidence", evidence.as_str())
            .with("crashes", record.crashes)
            .with("coincidence_millionths", record.coincidence_millionths)
            .with("longest_ms", record.longest_ms);
        self.log(event);
        self.suspected_since_ms.insert(task, self.now_ms);
    }

    /// Returns whether the worker has said that it will leave, so that its end is no crash.
    fn is_leaving(&self, worker: &WorkerName) -> bool {
        let is_draining = |worker| self.store.workers.get(worker).is_some_and(|entry| entry.draining);
        let view = self.workers.get(worker);
        is_draining(worker) || view.is_some_and(|view| view.left_ms.is_some())
    }

    /// Returns whether a task is not done and its job has not ended.
    fn is_open(&self, task: TaskKey) -> bool {
        let job = self.store.jobs.get(&task.step.job);
        job.is_some_and(|job| job.ended.is_none() && job.task(task).is_some_and(|task| !task.done))
    }

    /// Returns the probability that the worker of a run crashed by itself as soon after the start, if no
    /// other run on it is as likely to have crashed it.
    fn coincidence_millionths(&self, run: &LostRun, lost: &[LostRun]) -> u32 {
        let is_other_suspected = lost.iter().any(|other| {
            let is_recorded = self.store.crashes.contains_key(&other.run.task);
            other.run != run.run && (other.worked_ms < RECENT_MS || is_recorded)
        });
        let exposed_ms = match run.start {
            StartKnowledge::Confirmed => run.worked_ms,
            // The worker may have crashed before it received the order.
            StartKnowledge::Ordered => run.worked_ms.max(run.unheard_ms),
            StartKnowledge::Inherited => return CERTAIN_MILLIONTHS,
        };
        if is_other_suspected {
            return CERTAIN_MILLIONTHS;
        }
        let period_ms = (self.now_ms - self.leader_since_ms).clamp(MIN_RATE_PERIOD_MS, RATE_PERIOD_MS) as f64;
        let crashes = 1 + self.crash_times_ms.len();
        let rate = crashes as f64 / (period_ms * self.workers.len().max(1) as f64);
        let probability = rate * (exposed_ms + ACCURACY_MS) as f64;
        (probability.min(1.0) * f64::from(CERTAIN_MILLIONTHS)).ceil() as u32
    }

    /// Records whether a worker on which leases had expired has crashed. Returns the tasks to which the
    /// crashes are to be put down.
    pub(crate) fn resolve_loss(&mut self, worker: &WorkerName, is_crash: bool) -> Vec<TaskKey> {
        let records = self.store.crashes.iter();
        let concerned = records.filter(|(_, record)| record.unresolved.contains_key(worker));
        let tasks: Vec<_> = concerned.map(|(task, _)| *task).collect();
        if tasks.is_empty() {
            return tasks;
        }
        let is_crash = is_crash && !self.is_leaving(worker);
        if is_crash {
            self.crash_times_ms.push_back(self.now_ms);
        }
        self.propose(JobCommand::ResolveLoss {
            is_crash,
            worker: worker.clone(),
        });
        self.log(
            LogEvent::new("loss of a worker resolved")
                .with("worker", worker)
                .with("crashed", is_crash)
                .with("tasks", tasks.len()),
        );
        let is_conclusive = |task: &TaskKey| self.record_of(*task).is_conclusive();
        tasks.into_iter().filter(is_conclusive).collect()
    }

    fn record_of(&self, task: TaskKey) -> CrashRecord {
        self.store.crashes.get(&task).cloned().unwrap_or_default()
    }

    /// Returns the time for which the present run of a task has certainly worked, in milliseconds.
    pub(crate) fn proved_ms(&self, task: TaskKey) -> u64 {
        let Some(run) = self.runs.get(&task) else {
            return 0;
        };
        let view = self.workers.get(&run.worker);
        match run.state {
            RunState::Confirmed { .. } => {
                view.map_or(0, |view| view.last_response_ms.saturating_sub(run.started_ms))
            }
            RunState::Ordered
            | RunState::Stopping { .. }
            | RunState::Unanswered { .. }
            | RunState::Unverified { .. } => 0,
        }
    }

    /// Drops the records of the tasks whose runs have worked for long enough, and requests reports on those
    /// that are about to. Forgets the crashes that are older than the period of the rate.
    pub(crate) fn end_trials(&mut self) {
        let now_ms = self.now_ms;
        while self
            .crash_times_ms
            .front()
            .is_some_and(|crashed_ms| now_ms > crashed_ms + RATE_PERIOD_MS)
        {
            self.crash_times_ms.pop_front();
        }
        let records = &self.store.crashes;
        self.suspected_since_ms
            .retain(|task, _| records.contains_key(task));
        let mut proved = Vec::new();
        let mut unproved = Vec::new();
        for (task, record) in records {
            let Some(run) = self.runs.get(task) else {
                continue;
            };
            match record.trial_ms() {
                trial_ms if self.proved_ms(*task) >= trial_ms => proved.push(*task),
                trial_ms if now_ms >= run.started_ms + trial_ms => unproved.push(run.worker.clone()),
                _ => {}
            }
        }
        for worker in unproved {
            if let Some(view) = self.workers.get_mut(&worker).filter(|view| view.failures == 0) {
                view.schedule_check(now_ms);
            }
        }
        for task in &proved {
            self.log(
                LogEvent::new("task no longer suspected of crashing workers")
                    .job(task.step.job)
                    .with("task", task)
                    .with("proved_ms", self.proved_ms(*task)),
            );
        }
        if !proved.is_empty() {
            self.propose(JobCommand::ClearLosses(proved));
        }
        let records = &self.store.crashes;
        for view in self.workers.values_mut().filter(|view| !view.isolated.is_empty()) {
            view.isolated.retain(|task| records.contains_key(task));
        }
    }

    /// Gives up the jobs of tasks that crash their workers.
    pub(crate) fn give_up(&mut self, tasks: Vec<TaskKey>) {
        for task in tasks {
            self.give_up_job(task.step.job, task);
        }
    }

    fn give_up_job(&mut self, id: JobId, task: TaskKey) {
        if !self.is_open(task) {
            return;
        }
        let record = self.record_of(task);
        self.log(
            LogEvent::new("job failed: its task crashes workers")
                .job(id)
                .with("task", task)
                .with("crashes", record.crashes)
                .with("coincidence_millionths", record.coincidence_millionths)
                .with("longest_ms", record.longest_ms),
        );
        self.propose(JobCommand::GiveUp {
            job: id,
            unix_ms: self.now_unix_ms,
        });
        self.close_job(id);
    }

    /// Returns how a task is to be placed. A task that was at work during one crash only shares a worker
    /// again if no worker was empty for a time; it may well be innocent.
    pub(crate) fn sharing(&self, task: TaskKey) -> Sharing {
        let Some(record) = self.store.crashes.get(&task).filter(|record| record.is_isolated) else {
            return Sharing::Shared;
        };
        let since_ms = self.suspected_since_ms.get(&task).copied();
        let has_waited = self.now_ms >= since_ms.unwrap_or(self.leader_since_ms) + ISOLATION_WAIT_MS;
        match has_waited {
            _ if record.is_held() => Sharing::Held,
            false => Sharing::Alone,
            true if record.is_repeated() => Sharing::Fewest,
            true => Sharing::Shared,
        }
    }

    /// Returns whether one more worker of a service may be given to a suspected task, beside `chosen` others
    /// that are not yet known as such.
    pub(crate) fn may_isolate(&self, service: &SmolStr, chosen: usize) -> bool {
        let of_service = self.workers.iter().filter(|(name, _)| {
            let entry = self.store.workers.get(*name);
            entry.is_some_and(|entry| entry.service == *service)
        });
        let (mut all, mut isolating) = (0, chosen);
        for (_, view) in of_service {
            all += 1;
            isolating += usize::from(!view.isolated.is_empty());
        }
        isolating < (all * MAX_ISOLATING_PERCENT / 100).max(1)
    }
}
