//! The engine: one task that owns the scheduling kernel and processes its events in sequence.

use {
    crate::{
        engine_message::{EngineMessage, OwnershipId},
        forward_watch::runs_have_ended,
        hints::{LoadCell, LocalLoad},
        job::{Job, JobClass, JobId, JobSubmission, ReplyTo},
        job_entry::{JobEntry, JobState},
        job_table::JobTable,
        ownership::Ownership,
        retry_budget::RetryBudget,
        run_response::RunResponse,
        shared::Shared,
        team_setting::TeamSetting,
        token_returns::TokenReturns,
        work_tasks::WorkTasks,
        worker_adapter::RunEnd,
    },
    fuchsiatack_kernel::{Event, Kernel, KernelSettings, PeerLoad, PlacementRule, Submission, TaskEnd},
    fuchsiatack_ledger::{TeamUsage, WorkerEntry},
    fuchsiatack_model::{Outcome, Policy, Refusal, SessionId, TaskId, TeamName, WorkerName, WorkerReport},
    fuchsiatack_session::{Load, SessionEvent},
    fuchsiatack_wire::{ForwardedResponse, LoadHint, WireError},
    opentelemetry::trace::SpanKind,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Time between ticks of the kernel while tasks wait.
const TICK_PERIOD: Duration = Duration::from_millis(10);
/// Time within which a request whose peer was lost may start again, also after its deadline. The caller learns
/// sooner that the outcome is unknown if no worker is free.
const REPEATED_START_LIMIT: Duration = Duration::from_secs(2);
/// Time between reports of load and checks of the lease.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Time after which a request that the engine refused may be retried, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u32 = 1_000;

/// Handover of the workers in a planned stop. It starts once no job waits or a time limit has passed.
pub(crate) struct Handover {
    pub(crate) began: Instant,
    pub(crate) reply: oneshot::Sender<()>,
}

/// State of the engine. It owns the kernel.
pub(crate) struct Engine {
    /// Workers that are attached to the kernel, by name.
    pub(crate) attached: HashMap<WorkerName, WorkerEntry>,
    pub(crate) daemons: HashMap<SessionId, fuchsiatack_model::DaemonName>,
    /// All sessions that this daemon has seen since its start, also ended ones. A forwarded request may have
    /// run in any session of its peer.
    pub(crate) seen_sessions: BTreeSet<(fuchsiatack_model::DaemonName, SessionId)>,
    /// Workers on which the kernel starts no new tasks.
    pub(crate) draining: HashSet<WorkerName>,
    /// Events that the kernel has not handled yet.
    pub(crate) events: VecDeque<Event>,
    pub(crate) handover: Option<Handover>,
    pub(crate) jobs: JobTable,
    pub(crate) kernel: Kernel,
    pub(crate) lease_valid: bool,
    pub(crate) load: LoadCell,
    pub(crate) ownerships: HashMap<WorkerName, Ownership>,
    pub(crate) releasing: HashSet<WorkerName>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) sequence: u64,
    pub(crate) session: Option<SessionId>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) started: Instant,
    pub(crate) teams: BTreeMap<TeamName, TeamSetting>,
    pub(crate) token_returns: TokenReturns,
    pub(crate) work_tasks: WorkTasks,
}

impl Engine {
    pub(crate) fn new(shared: Arc<Shared>, load: LoadCell) -> Self {
        Self {
            attached: HashMap::new(),
            daemons: HashMap::new(),
            seen_sessions: BTreeSet::new(),
            draining: HashSet::new(),
            events: VecDeque::new(),
            handover: None,
            jobs: JobTable::default(),
            kernel: new_kernel(shared.settings.placement_rule),
            lease_valid: false,
            load,
            ownerships: HashMap::new(),
            releasing: HashSet::new(),
            retry_budget: RetryBudget::new(),
            sequence: 0,
            session: None,
            shared,
            started: Instant::now(),
            teams: BTreeMap::new(),
            token_returns: TokenReturns::default(),
            work_tasks: WorkTasks::default(),
        }
    }

    /// Handles messages, session events and timers until the future is dropped.
    pub(crate) async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<EngineMessage>,
        mut session: mpsc::Receiver<SessionEvent>,
    ) {
        let mut ticks = interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = interval(REPORT_PERIOD);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let has_waiting_tasks = self.kernel.waiting_count() > 0;
            tokio::select! {
                Some(event) = session.recv() => self.on_session_event(event),
                Some(message) = messages.recv() => self.on_message(message),
                _ = ticks.tick(), if has_waiting_tasks => self.enqueue(Event::Tick),
                _ = reports.tick() => self.report(),
            }
            self.process_events();
        }
    }

    /// Appends an event to those that the kernel handles next.
    pub(crate) fn enqueue(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Lets the kernel handle the queued events, and executes its decisions.
    fn process_events(&mut self) {
        let mut decisions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now_us = self.started.elapsed().as_micros() as u64;
            self.kernel.handle(now_us, event, &mut decisions);
            for decision in decisions.drain(..) {
                self.execute(decision);
            }
        }
    }

    fn on_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::Cancel(job_id) => self.cancel(job_id),
            EngineMessage::Forwarded { result, task } => self.on_forwarded(task, result),
            EngineMessage::ForwardedRunsEnded { are_over, task } => {
                self.on_forwarded_runs_ended(task, are_over)
            }
            EngineMessage::HandOver(reply) => {
                let began = Instant::now();
                self.handover = Some(Handover { began, reply });
                self.hand_over_when_drained();
            }
            EngineMessage::Hint(hint) => self.enqueue(Event::PeerLoadReceived(peer_load(hint))),
            EngineMessage::ListWorkersFreeOf { reply, sessions } => {
                let _ = reply.send(self.kernel.workers_free_of(&sessions));
            }
            EngineMessage::RunEnded { end, ran, task } => self.on_run_ended(task, end, ran),
            EngineMessage::Submit(submission) => self.submit(*submission),
            EngineMessage::TaskStopped(task) => self.on_task_stopped(task),
            EngineMessage::TokensReturned { applied, session } => {
                if self.session == Some(session) {
                    self.token_returns.add_applied(applied);
                    self.finish_returns();
                }
            }
            EngineMessage::WorkSettled { index, task } => self.work_tasks.set_settled(&task, index),
            EngineMessage::WorkerFenced {
                entry,
                ownership,
                report,
            } => self.on_worker_fenced(*entry, &ownership, report),
            EngineMessage::WorkerLeaving(worker) => self.set_draining(worker, true),
            EngineMessage::WorkerRemoved(ownership) => self.on_worker_removed(&ownership),
            EngineMessage::WorkerReported {
                ownership,
                report,
                sent,
            } => self.on_worker_reported(&ownership, report, sent),
            EngineMessage::WorkerUnreachable(ownership) => {
                if self.is_current(&ownership) {
                    self.enqueue(Event::WorkerUnreachable {
                        worker: ownership.worker,
                    });
                }
            }
        }
    }

    /// Returns whether `ownership` is the current one of its worker. Messages of earlier ones are ignored.
    pub(crate) fn is_current(&self, ownership: &OwnershipId) -> bool {
        self.ownerships
            .get(&ownership.worker)
            .is_some_and(|current| current.id == *ownership)
    }

    /// Submits new jobs to the kernel, or refuses all of them.
    fn submit(&mut self, submission: JobSubmission) {
        let refusal = self.check_submission(&submission);
        let session = match (refusal, self.session) {
            (None, Some(session)) => session,
            (refusal, _) => {
                let refusal = refusal.unwrap_or(Refusal::LeaseLapsed);
                let response = RunResponse::not_run(refusal, RETRY_AFTER_MS);
                return submission
                    .jobs
                    .into_iter()
                    .for_each(|job| self.reply(job.reply, response.clone()));
            }
        };
        self.retry_budget.credit_request();
        self.add_default_team(&submission.class.team);
        let mut tasks = Vec::new();
        for job in submission.jobs {
            tasks.push(self.insert(session, submission.class.clone(), job));
        }
        self.enqueue_submission(&submission.class, tasks);
    }

    /// Returns the reason to refuse a submission, or `None` to accept it.
    fn check_submission(&mut self, submission: &JobSubmission) -> Option<Refusal> {
        let class = &submission.class;
        let is_other_session = class.session.is_some_and(|session| Some(session) != self.session);
        let is_work = submission
            .jobs
            .iter()
            .any(|job| matches!(job.reply, ReplyTo::Work(_)));
        let is_cancelled = submission
            .jobs
            .iter()
            .any(|job| matches!(&job.reply, ReplyTo::Work(task) if self.work_tasks.is_cancelled(task)));
        let is_full = class
            .queue
            .as_ref()
            .is_some_and(|(queue, max_waiting)| self.jobs.queued(queue, &class.team) >= *max_waiting);
        match () {
            () if is_cancelled => Some(Refusal::Cancelled),
            () if self.handover.is_some() => Some(Refusal::Stopping),
            () if is_other_session || self.session.is_none() => Some(Refusal::LeaseLapsed),
            // Tasks of queued works wait for the lease, since the ledger assigned them to this session.
            () if !is_work && !self.check_lease() => Some(Refusal::LeaseLapsed),
            () if is_full => Some(Refusal::QueueFull),
            () => None,
        }
    }

    /// Creates a task for a job.
    fn insert(&mut self, session: SessionId, class: JobClass, job: Job) -> TaskId {
        self.sequence += 1;
        let task = TaskId {
            session,
            sequence: self.sequence,
        };
        let wait_span = self
            .shared
            .traces
            .start_span("wait", SpanKind::Internal, job.trace_parent.as_ref());
        let is_work = matches!(job.reply, ReplyTo::Work(_)) && class.task_class.policy != Policy::Service;
        let open_guard = is_work.then(|| self.shared.open_work_tasks.enter());
        self.jobs
            .insert(task, JobEntry::new(class, job, wait_span, open_guard));
        task
    }

    fn enqueue_submission(&mut self, class: &JobClass, tasks: Vec<TaskId>) {
        let deadline_us = class
            .deadline
            .map(|deadline| deadline.saturating_duration_since(self.started).as_micros() as u64);
        self.enqueue(Event::Submit(Submission {
            class: class.task_class.clone(),
            deadline_us,
            may_forward: class.may_forward,
            tasks,
            team: class.team.clone(),
        }));
    }

    /// Submits a job again as a new task, which is never forwarded to a peer.
    pub(crate) fn resubmit(&mut self, task: TaskId) {
        self.resubmit_with(task, |class| JobClass {
            may_forward: false,
            ..class
        });
    }

    /// Submits a job again as a new task with a changed class.
    fn resubmit_with(&mut self, task: TaskId, change: impl FnOnce(JobClass) -> JobClass) {
        let Some(entry) = self.jobs.remove(task) else {
            return;
        };
        let class = change(JobClass {
            queue: None,
            ..entry.class
        });
        let may_run = self.handover.is_none() && self.check_lease();
        match self.session.filter(|_| may_run) {
            Some(session) => {
                let task = self.insert(session, class.clone(), entry.job);
                self.enqueue_submission(&class, vec![task]);
            }
            None => {
                let response = RunResponse::not_run(Refusal::LeaseLapsed, RETRY_AFTER_MS);
                let response = response.after_runs(entry.job.may_have_run);
                self.reply(entry.job.reply, response);
            }
        }
    }

    /// Adds a team that no record names, with the default setting.
    fn add_default_team(&mut self, team: &TeamName) {
        if !self.teams.contains_key(team) {
            let setting = TeamSetting::default();
            self.enqueue(setting.to_event(team));
            self.teams.insert(team.clone(), setting);
        }
    }

    fn cancel(&mut self, job_id: JobId) {
        let Some(task) = self.jobs.task_of(job_id) else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(task) else {
            return;
        };
        entry.cancelled = true;
        match &entry.state {
            JobState::Forwarded { abort, .. } => {
                abort.abort();
                self.finish(task, RunResponse::unknown("the request was cancelled at a peer"));
            }
            JobState::Lost { .. } => {
                self.finish(
                    task,
                    RunResponse::unknown(
                        "the request was cancelled after the connection to its worker was lost",
                    ),
                );
            }
            JobState::Running(running) if Some(task.session) != self.session => {
                let worker = running.worker.clone();
                self.stop_on_worker(task, &worker);
            }
            JobState::Running(_) | JobState::Waiting => self.enqueue(Event::Cancel { task }),
        }
    }

    fn on_run_ended(&mut self, task: TaskId, end: RunEnd, ran: Duration) {
        let Some(entry) = self.jobs.get(task) else {
            return;
        };
        let JobState::Running(running) = &entry.state else {
            return;
        };
        let stopping = entry.stopping;
        let worker = running.worker.clone();
        let run_us = ran.as_micros() as u64;
        self.shared.metrics.observe_run(ran);
        match end {
            // A worker that cancels a task on request also responds to the task's run call.
            RunEnd::Responded(response) if stopping && !response.is_success() => self.on_task_stopped(task),
            RunEnd::Responded(response) => {
                let response = RunResponse::from(response);
                let end = match response.outcome {
                    Outcome::Done => TaskEnd::Done,
                    _ => TaskEnd::Failed,
                };
                self.enqueue(Event::TaskEnded { end, run_us, task });
                self.finish(task, response);
            }
            RunEnd::Refused => self.on_run_refused(task, &worker, run_us),
            RunEnd::Lost => {
                self.on_connection_lost(task, worker.clone(), run_us);
                self.stop_on_worker(task, &worker);
                self.renew_now(&worker);
            }
        }
    }

    fn on_run_refused(&mut self, task: TaskId, worker: &WorkerName, run_us: u64) {
        self.renew_now(worker);
        match Some(task.session) == self.session {
            true => {
                self.jobs.set_state(task, JobState::Waiting);
                let end = TaskEnd::Refused;
                self.enqueue(Event::TaskEnded { end, run_us, task });
            }
            false => self.finish(task, RunResponse::not_run(Refusal::WorkerRefused, RETRY_AFTER_MS)),
        }
    }

    /// Handles a run call whose connection was lost. Once the attempt is known to have ended, the
    /// kernel starts an idempotent task again or abandons it.
    fn on_connection_lost(&mut self, task: TaskId, worker: WorkerName, run_us: u64) {
        let end = TaskEnd::ConnectionLost;
        self.enqueue(Event::TaskEnded { end, run_us, task });
        let may_retry = self
            .jobs
            .get(task)
            .is_some_and(|entry| entry.class.task_class.idempotent && !entry.cancelled);
        match may_retry && Some(task.session) == self.session {
            true => {
                let at = Instant::now();
                self.jobs.set_state(task, JobState::Lost { at, worker });
            }
            false => self.finish(
                task,
                RunResponse::unknown("the connection to the worker was lost"),
            ),
        }
    }

    /// Handles the worker's confirmation that a task no longer runs.
    fn on_task_stopped(&mut self, task: TaskId) {
        let Some(entry) = self.jobs.get(task) else {
            return;
        };
        let JobState::Running(running) = &entry.state else {
            return;
        };
        running.abort.abort();
        let may_wait = !entry.cancelled && entry.class.task_class.idempotent;
        let end = TaskEnd::Failed;
        self.enqueue(Event::TaskEnded { end, run_us: 0, task });
        match may_wait && Some(task.session) == self.session {
            // The kernel has put a task that it preempted back among the waiting tasks.
            true => self.jobs.set_state(task, JobState::Waiting),
            false => self.finish(task, RunResponse::unknown("the task was stopped")),
        }
    }

    fn on_forwarded(&mut self, task: TaskId, result: Result<Box<ForwardedResponse>, WireError>) {
        if self.jobs.get(task).is_none() {
            return;
        }
        let is_retryable = |response: &ForwardedResponse| {
            response.outcome == Outcome::NotRun && response.refusal.is_some_and(Refusal::can_retry)
        };
        match result {
            Ok(response) if is_retryable(&response) => self.resubmit(task),
            Ok(response) => self.finish(task, (*response).into()),
            Err(error) if error.had_no_effect() => self.resubmit(task),
            Err(_) => self.on_peer_lost(task),
        }
    }

    /// Handles a request whose peer was lost before it responded. An idempotent one runs again once the runs
    /// that the peer started have ended.
    fn on_peer_lost(&mut self, task: TaskId) {
        let Some(entry) = self.jobs.get(task) else {
            return;
        };
        let daemon = match &entry.state {
            JobState::Forwarded { daemon, .. } if entry.class.task_class.idempotent && !entry.cancelled => {
                daemon.clone()
            }
            _ => return self.finish_lost_forward(task),
        };
        let sessions: Vec<_> = self.sessions_of(&daemon).collect();
        let shared = self.shared.clone();
        let watch = async move {
            let are_over = runs_have_ended(&shared, &sessions).await;
            shared
                .engine
                .send(EngineMessage::ForwardedRunsEnded { are_over, task });
        };
        let abort = tokio::spawn(watch).abort_handle();
        self.jobs.set_state(task, JobState::Forwarded { abort, daemon });
    }

    /// Runs an idempotent request again after its run at a lost peer, here or at another peer, since the workers
    /// of the lost one may have gone to any. The deadline of the first start may have passed meanwhile; the
    /// caller ends the request when it closes its connection.
    fn on_forwarded_runs_ended(&mut self, task: TaskId, are_over: bool) {
        let may_retry = are_over && Some(task.session) == self.session && self.retry_budget.try_take();
        spdlog::debug!("forwarded request lost with its peer", kv: {
            task = task.to_string(),
            runs_are_over = are_over,
            runs_again = may_retry,
        });
        let Some(entry) = self.jobs.get_mut(task).filter(|_| may_retry) else {
            return self.finish_lost_forward(task);
        };
        entry.job.may_have_run = true;
        self.shared.metrics.retries.inc();
        let earliest = Instant::now() + REPEATED_START_LIMIT;
        self.resubmit_with(task, |class| JobClass {
            deadline: class.deadline.map(|deadline| deadline.max(earliest)),
            ..class
        });
    }

    fn finish_lost_forward(&mut self, task: TaskId) {
        self.finish(task, RunResponse::unknown("the connection to the peer was lost"));
    }

    fn on_worker_reported(&mut self, ownership: &OwnershipId, report: WorkerReport, sent: Instant) {
        if !self.is_current(ownership) {
            return;
        }
        let worker = &ownership.worker;
        let reported: Vec<_> = report.running.iter().map(|running| running.task).collect();
        // A run call whose connection was lost after the renewal was sent may have started its task
        // after the worker wrote the report, so these tasks count as running.
        let lost_later = self.jobs.tasks_where(
            |entry| matches!(&entry.state, JobState::Lost { at, worker: on } if on == worker && *at >= sent),
        );
        let mut running = reported.clone();
        running.extend(lost_later.iter().filter(|task| !reported.contains(task)));
        self.end_adopted(worker, &running);
        if report.leaving {
            self.set_draining(worker.clone(), true);
        }
        let worker = worker.clone();
        self.enqueue(Event::WorkerReported { running, worker });
    }

    /// Ends all tasks on a worker whose leases have expired.
    fn on_worker_removed(&mut self, ownership: &OwnershipId) {
        if !self.is_current(ownership) {
            return;
        }
        let worker = ownership.worker.clone();
        self.attached.remove(&worker);
        self.enqueue(Event::WorkerRemoved {
            worker: worker.clone(),
        });
        for task in self.jobs.on_worker(&worker) {
            self.end_run_on_removed_worker(task);
        }
        self.end_adopted(&worker, &[]);
    }

    /// Ends the run of a task on a removed worker. The kernel expects exactly one end for each start.
    fn end_run_on_removed_worker(&mut self, task: TaskId) {
        let Some(entry) = self.jobs.get(task) else {
            return;
        };
        if let JobState::Running(running) = &entry.state {
            running.abort.abort();
            let worker = running.worker.clone();
            self.on_connection_lost(task, worker, 0);
        }
    }

    pub(crate) fn renew_now(&self, worker: &WorkerName) {
        if let Some(ownership) = self.ownerships.get(worker) {
            ownership.renew_now();
        }
    }

    /// Removes a job and sends its response.
    pub(crate) fn finish(&mut self, task: TaskId, response: RunResponse) {
        if let Some(entry) = self.jobs.remove(task) {
            let response = response.after_runs(entry.job.may_have_run);
            self.shared.metrics.count_outcome(response.outcome);
            self.reply(entry.job.reply, response);
        }
    }

    pub(crate) fn reply(&mut self, reply: ReplyTo, response: RunResponse) {
        match reply {
            ReplyTo::Caller(sender) => drop(sender.send(response)),
            ReplyTo::Work(task) => self.on_work_ended(task, &response),
        }
    }

    /// Returns whether the session lease is valid, and passes a change on to the kernel.
    pub(crate) fn check_lease(&mut self) -> bool {
        let valid = self.shared.session.has_valid_lease() && self.shared.session.id() == self.session;
        if valid != self.lease_valid {
            self.lease_valid = valid;
            self.enqueue(Event::LeaseChanged { valid });
            match valid {
                true => spdlog::info!("session lease is valid"),
                false => spdlog::warn!("session lease is no longer valid"),
            }
        }
        valid
    }

    /// Passes the load of this daemon on to the session, the load hints and the metrics.
    fn report(&mut self) {
        let valid = self.check_lease();
        self.hand_over_when_drained();
        let free = self.kernel.free_resources();
        let usage = self.kernel.team_usage();
        let metrics = &self.shared.metrics;
        metrics.lease_valid.set(i64::from(valid));
        metrics.free_slots.set(i64::from(free.slots));
        metrics.set_usage(&usage);
        self.load.set(LocalLoad {
            free_slots: free.slots,
            token_teams: self.token_teams(),
            waiting: self.kernel.waiting_count(),
        });
        let usage = usage
            .into_iter()
            .map(|(team, running, waiting)| TeamUsage {
                running,
                team,
                waiting,
            })
            .collect();
        let stopping = self.shared.stopping.is_not_ready();
        self.shared.session.set_load(Load {
            free,
            stopping,
            usage,
        });
    }

    fn token_teams(&self) -> Vec<TeamName> {
        let mut teams = self.kernel.token_teams();
        teams.truncate(LoadHint::MAX_TOKEN_TEAMS);
        teams
    }
}

/// Creates a kernel with a random seed, so that daemons do not all choose the same workers.
pub(crate) fn new_kernel(placement_rule: PlacementRule) -> Kernel {
    Kernel::new(KernelSettings {
        placement_rule,
        seed: rand::random(),
        ..KernelSettings::default()
    })
}

fn peer_load(hint: LoadHint) -> PeerLoad {
    PeerLoad {
        daemon: hint.daemon,
        free_slots: hint.free_slots,
        token_teams: hint.token_teams,
        waiting: hint.waiting,
    }
}
