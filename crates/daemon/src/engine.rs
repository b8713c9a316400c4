//! The engine: one task that owns the kernel and serialises its events.

use {
    crate::{
        answer::Answer,
        engine_message::{EngineMessage, Owned},
        entries::Entries,
        entry::{Entry, EntryState},
        hints::{LoadCell, OwnLoad},
        job::{Job, JobClass, NewJobs, ReplyTo, Ticket},
        keeper::Keeper,
        retry_budget::RetryBudget,
        shared::Shared,
        team_setting::TeamSetting,
        token_returns::TokenReturns,
        work_book::WorkBook,
        worker_adapter::RunEnd,
    },
    fuchsiatack_kernel::{Event, Kernel, KernelSettings, PeerLoad, PlacementRule, Submission, TaskEnd},
    fuchsiatack_ledger::{TeamUsage, WorkerEntry},
    fuchsiatack_model::{Outcome, Policy, Refusal, SessionId, TaskId, TeamName, WorkerName, WorkerReport},
    fuchsiatack_session::{Load, SessionEvent},
    fuchsiatack_wire::{ForwardedResponse, LoadHint, WireError},
    opentelemetry::trace::SpanKind,
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Time between ticks of the kernel while something waits.
const TICK_PERIOD: Duration = Duration::from_millis(10);
/// Time between reports of load and checks of the lease.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// When a request that was refused because of the lease may be sent again, in milliseconds.
pub(crate) const LEASE_RETRY_MS: u32 = 1_000;

/// A planned stop that waits for the queue to drain.
pub(crate) struct HandingOver {
    pub(crate) began: Instant,
    pub(crate) reply: oneshot::Sender<()>,
}

/// Owner of the kernel.
pub(crate) struct Engine {
    /// Workers that the kernel may use or counts, by name.
    pub(crate) attached: HashMap<WorkerName, WorkerEntry>,
    pub(crate) book: WorkBook,
    pub(crate) budget: RetryBudget,
    pub(crate) daemons: HashMap<SessionId, fuchsiatack_model::DaemonName>,
    pub(crate) entries: Entries,
    /// Events that wait for the kernel.
    pub(crate) events: VecDeque<Event>,
    pub(crate) handing_over: Option<HandingOver>,
    /// Workers that get no new work.
    pub(crate) held: HashSet<WorkerName>,
    pub(crate) keepers: HashMap<WorkerName, Keeper>,
    pub(crate) kernel: Kernel,
    pub(crate) load: LoadCell,
    pub(crate) releasing: HashSet<WorkerName>,
    pub(crate) returns: TokenReturns,
    pub(crate) sequence: u64,
    pub(crate) session: Option<SessionId>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) started: Instant,
    pub(crate) teams: BTreeMap<TeamName, TeamSetting>,
    pub(crate) valid: bool,
}

impl Engine {
    pub(crate) fn new(shared: Arc<Shared>, load: LoadCell) -> Self {
        Self {
            attached: HashMap::new(),
            book: WorkBook::default(),
            budget: RetryBudget::new(),
            daemons: HashMap::new(),
            entries: Entries::default(),
            events: VecDeque::new(),
            handing_over: None,
            held: HashSet::new(),
            keepers: HashMap::new(),
            kernel: new_kernel(shared.settings.placement_rule),
            load,
            releasing: HashSet::new(),
            returns: TokenReturns::default(),
            sequence: 0,
            session: None,
            shared,
            started: Instant::now(),
            teams: BTreeMap::new(),
            valid: false,
        }
    }

    /// Runs until the future is dropped.
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
            let something_waits = self.kernel.waiting_count() > 0;
            tokio::select! {
                Some(event) = session.recv() => self.on_session(event),
                Some(message) = messages.recv() => self.on_message(message),
                _ = ticks.tick(), if something_waits => self.feed(Event::Tick),
                _ = reports.tick() => self.report(),
            }
            self.settle();
        }
    }

    /// Queues an event for the kernel.
    pub(crate) fn feed(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Gives the queued events to the kernel and carries out what it decides.
    fn settle(&mut self) {
        let mut decisions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now_us = self.started.elapsed().as_micros() as u64;
            self.kernel.handle(now_us, event, &mut decisions);
            for decision in decisions.drain(..) {
                self.carry_out(decision);
            }
        }
    }

    fn on_message(&mut self, message: EngineMessage) {
        match message {
            EngineMessage::Cancel(ticket) => self.cancel(ticket),
            EngineMessage::Fenced { entry, owned, report } => self.on_fenced(*entry, &owned, report),
            EngineMessage::Forwarded { result, task } => self.on_forwarded(task, result),
            EngineMessage::HandOver(reply) => {
                let began = Instant::now();
                self.handing_over = Some(HandingOver { began, reply });
                self.hand_over_when_drained();
            }
            EngineMessage::Hint(hint) => self.feed(Event::PeerLoadReceived(peer_load(hint))),
            EngineMessage::Leaving(worker) => self.hold(worker, true),
            EngineMessage::Removed(owned) => self.on_removed(&owned),
            EngineMessage::Reported { owned, report, sent } => self.on_reported(&owned, report, sent),
            EngineMessage::RunEnded { end, ran, task } => self.on_run_ended(task, end, ran),
            EngineMessage::Stopped(task) => self.on_stopped(task),
            EngineMessage::Submit(new) => self.submit(*new),
            EngineMessage::TokensReturned { applied, session } => {
                if self.session == Some(session) {
                    self.returns.applied(applied);
                    self.end_returns();
                }
            }
            EngineMessage::Unreachable(owned) => {
                if self.owns(&owned) {
                    self.feed(Event::WorkerUnreachable { worker: owned.worker });
                }
            }
            EngineMessage::WorkSettled { index, task } => self.book.settled(&task, index),
        }
    }

    /// Returns whether a keeper's message is of the present ownership.
    pub(crate) fn owns(&self, owned: &Owned) -> bool {
        self.keepers
            .get(&owned.worker)
            .is_some_and(|keeper| keeper.owned == *owned)
    }

    /// Takes new jobs, or refuses them at once.
    fn submit(&mut self, new: NewJobs) {
        let refusal = self.refusal_of(&new);
        let session = match (refusal, self.session) {
            (None, Some(session)) => session,
            (refusal, _) => {
                let refusal = refusal.unwrap_or(Refusal::LeaseLapsed);
                let answer = Answer::not_run(refusal, LEASE_RETRY_MS);
                return new
                    .jobs
                    .into_iter()
                    .for_each(|job| self.reply(job.reply, answer.clone()));
            }
        };
        self.budget.earn();
        self.know_team(&new.class.team);
        let mut tasks = Vec::new();
        for job in new.jobs {
            tasks.push(self.insert(session, new.class.clone(), job));
        }
        self.feed_submission(&new.class, tasks);
    }

    fn refusal_of(&mut self, new: &NewJobs) -> Option<Refusal> {
        let class = &new.class;
        let is_other = class.session.is_some_and(|session| Some(session) != self.session);
        let is_work = new.jobs.iter().any(|job| matches!(job.reply, ReplyTo::Work(_)));
        let is_cancelled = new
            .jobs
            .iter()
            .any(|job| matches!(&job.reply, ReplyTo::Work(task) if self.book.is_cancelled(task)));
        let is_full = class
            .queue
            .as_ref()
            .is_some_and(|(queue, most)| self.entries.queued(queue, &class.team) >= *most);
        match () {
            () if is_cancelled => Some(Refusal::Cancelled),
            () if self.handing_over.is_some() => Some(Refusal::Stopping),
            () if is_other || self.session.is_none() => Some(Refusal::LeaseLapsed),
            // Queued work waits for the lease, since its assignment is the ledger's.
            () if !is_work && !self.check_lease() => Some(Refusal::LeaseLapsed),
            () if is_full => Some(Refusal::QueueFull),
            () => None,
        }
    }

    /// Creates the task of a job.
    fn insert(&mut self, session: SessionId, class: JobClass, job: Job) -> TaskId {
        self.sequence += 1;
        let task = TaskId {
            session,
            sequence: self.sequence,
        };
        let wait = self
            .shared
            .traces
            .hop("wait", SpanKind::Internal, job.trace_parent.as_ref());
        let is_work = matches!(job.reply, ReplyTo::Work(_)) && class.class.policy != Policy::Service;
        let open = is_work.then(|| self.shared.open_work.enter());
        self.entries.insert(task, Entry::new(class, job, wait, open));
        task
    }

    fn feed_submission(&mut self, class: &JobClass, tasks: Vec<TaskId>) {
        let deadline_us = class
            .deadline
            .map(|deadline| deadline.saturating_duration_since(self.started).as_micros() as u64);
        self.feed(Event::Submit(Submission {
            class: class.class.clone(),
            deadline_us,
            may_forward: class.may_forward,
            tasks,
            team: class.team.clone(),
        }));
    }

    /// Runs a job again as another task. It is not forwarded any more.
    pub(crate) fn resubmit(&mut self, task: TaskId) {
        let Some(entry) = self.entries.remove(task) else {
            return;
        };
        let class = JobClass {
            may_forward: false,
            queue: None,
            ..entry.class
        };
        let may_run = self.handing_over.is_none() && self.check_lease();
        match self.session.filter(|_| may_run) {
            Some(session) => {
                let task = self.insert(session, class.clone(), entry.job);
                self.feed_submission(&class, vec![task]);
            }
            None => {
                let answer = Answer::not_run(Refusal::LeaseLapsed, LEASE_RETRY_MS);
                self.reply(entry.job.reply, answer);
            }
        }
    }

    /// Tells the kernel of a team that no record names.
    fn know_team(&mut self, team: &TeamName) {
        if !self.teams.contains_key(team) {
            let setting = TeamSetting::default();
            self.feed(setting.event(team));
            self.teams.insert(team.clone(), setting);
        }
    }

    fn cancel(&mut self, ticket: Ticket) {
        let Some(task) = self.entries.task_of(ticket) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(task) else {
            return;
        };
        entry.cancelled = true;
        match &entry.state {
            EntryState::Forwarded(abort) => {
                abort.abort();
                self.finish(task, Answer::unknown("the request was cancelled at a peer"));
            }
            EntryState::Lost { .. } => {
                self.finish(
                    task,
                    Answer::unknown("the request was cancelled after its connection broke"),
                );
            }
            EntryState::Running(running) if Some(task.session) != self.session => {
                let worker = running.worker.clone();
                self.stop_on_worker(task, &worker);
            }
            EntryState::Running(_) | EntryState::Waiting => self.feed(Event::Cancel { task }),
        }
    }

    fn on_run_ended(&mut self, task: TaskId, end: RunEnd, ran: Duration) {
        let Some(entry) = self.entries.get(task) else {
            return;
        };
        let EntryState::Running(running) = &entry.state else {
            return;
        };
        let stopping = entry.stopping;
        let worker = running.worker.clone();
        let run_us = ran.as_micros() as u64;
        self.shared.metrics.ran(ran);
        match end {
            // A worker that stops a task on request answers its call too.
            RunEnd::Answered(answer) if stopping && !answer.is_success() => self.on_stopped(task),
            RunEnd::Answered(answer) => {
                let answer = Answer::from(answer);
                let end = match answer.outcome {
                    Outcome::Done => TaskEnd::Done,
                    _ => TaskEnd::Failed,
                };
                self.feed(Event::TaskEnded { end, run_us, task });
                self.finish(task, answer);
            }
            RunEnd::Refused => self.on_refused(task, &worker, run_us),
            RunEnd::Lost => {
                self.on_lost(task, worker.clone(), run_us);
                self.stop_on_worker(task, &worker);
                self.poke(&worker);
            }
        }
    }

    fn on_refused(&mut self, task: TaskId, worker: &WorkerName, run_us: u64) {
        self.poke(worker);
        match Some(task.session) == self.session {
            true => {
                self.entries.set_state(task, EntryState::Waiting);
                let end = TaskEnd::Refused;
                self.feed(Event::TaskEnded { end, run_us, task });
            }
            false => self.finish(task, Answer::not_run(Refusal::WorkerRefused, LEASE_RETRY_MS)),
        }
    }

    /// Reacts to a broken call. The kernel starts an idempotent task again, or abandons it, once
    /// the attempt is known to be over.
    fn on_lost(&mut self, task: TaskId, worker: WorkerName, run_us: u64) {
        let end = TaskEnd::ConnectionLost;
        self.feed(Event::TaskEnded { end, run_us, task });
        let is_kept = self
            .entries
            .get(task)
            .is_some_and(|entry| entry.class.class.idempotent && !entry.cancelled);
        match is_kept && Some(task.session) == self.session {
            true => {
                let at = Instant::now();
                self.entries.set_state(task, EntryState::Lost { at, worker });
            }
            false => self.finish(task, Answer::unknown("the connection to the worker was lost")),
        }
    }

    /// Reacts to the worker's word that a task no longer runs.
    fn on_stopped(&mut self, task: TaskId) {
        let Some(entry) = self.entries.get(task) else {
            return;
        };
        let EntryState::Running(running) = &entry.state else {
            return;
        };
        running.abort.abort();
        let may_wait = !entry.cancelled && entry.class.class.idempotent;
        let end = TaskEnd::Failed;
        self.feed(Event::TaskEnded { end, run_us: 0, task });
        match may_wait && Some(task.session) == self.session {
            // The kernel has a task that it stopped to make room wait again.
            true => self.entries.set_state(task, EntryState::Waiting),
            false => self.finish(task, Answer::unknown("the task was stopped")),
        }
    }

    fn on_forwarded(&mut self, task: TaskId, result: Result<Box<ForwardedResponse>, WireError>) {
        if self.entries.get(task).is_none() {
            return;
        }
        let refused = |answer: &ForwardedResponse| {
            answer.outcome == Outcome::NotRun && answer.refusal.is_some_and(Refusal::can_retry)
        };
        match result {
            Ok(answer) if refused(&answer) => self.resubmit(task),
            Ok(answer) => self.finish(task, (*answer).into()),
            Err(error) if error.had_no_effect() => self.resubmit(task),
            Err(_) => self.finish(task, Answer::unknown("the connection to the peer was lost")),
        }
    }

    fn on_reported(&mut self, owned: &Owned, report: WorkerReport, sent: Instant) {
        if !self.owns(owned) {
            return;
        }
        let worker = &owned.worker;
        let reported: Vec<_> = report.running.iter().map(|running| running.task).collect();
        // A call that broke after the renewal was sent may have started its task after the report.
        let broken_later = self.entries.tasks_where(
            |entry| matches!(&entry.state, EntryState::Lost { at, worker: on } if on == worker && *at >= sent),
        );
        let mut running = reported.clone();
        running.extend(broken_later.iter().filter(|task| !reported.contains(task)));
        self.end_adopted(worker, &running);
        if report.leaving {
            self.hold(worker.clone(), true);
        }
        let worker = worker.clone();
        self.feed(Event::WorkerReported { running, worker });
    }

    /// Ends everything on a worker whose leases have certainly ended.
    fn on_removed(&mut self, owned: &Owned) {
        if !self.owns(owned) {
            return;
        }
        let worker = owned.worker.clone();
        self.attached.remove(&worker);
        self.feed(Event::WorkerRemoved {
            worker: worker.clone(),
        });
        for task in self.entries.on_worker(&worker) {
            self.end_on_removed_worker(task);
        }
        self.end_adopted(&worker, &[]);
    }

    /// Ends the call of a task whose worker is gone. The kernel expects one end for each start.
    fn end_on_removed_worker(&mut self, task: TaskId) {
        let Some(entry) = self.entries.get(task) else {
            return;
        };
        if let EntryState::Running(running) = &entry.state {
            running.abort.abort();
            let worker = running.worker.clone();
            self.on_lost(task, worker, 0);
        }
    }

    pub(crate) fn poke(&self, worker: &WorkerName) {
        if let Some(keeper) = self.keepers.get(worker) {
            keeper.poke();
        }
    }

    /// Removes a job and answers it.
    pub(crate) fn finish(&mut self, task: TaskId, answer: Answer) {
        if let Some(entry) = self.entries.remove(task) {
            self.shared.metrics.ended(answer.outcome);
            self.reply(entry.job.reply, answer);
        }
    }

    pub(crate) fn reply(&mut self, reply: ReplyTo, answer: Answer) {
        match reply {
            ReplyTo::Caller(sender) => drop(sender.send(answer)),
            ReplyTo::Work(task) => self.on_work_ended(task, &answer),
        }
    }

    /// Compares the lease with what the kernel knows, and tells it of a change.
    pub(crate) fn check_lease(&mut self) -> bool {
        let valid = self.shared.session.has_valid_lease() && self.shared.session.id() == self.session;
        if valid != self.valid {
            self.valid = valid;
            self.feed(Event::LeaseChanged { valid });
            match valid {
                true => spdlog::info!("the session's lease holds"),
                false => spdlog::warn!("the session's lease is lost"),
            }
        }
        valid
    }

    /// Reports load to the session, the hints and the metrics.
    fn report(&mut self) {
        let valid = self.check_lease();
        self.hand_over_when_drained();
        let free = self.kernel.free_resources();
        let usage = self.kernel.team_usage();
        let metrics = &self.shared.metrics;
        metrics.lease_valid.set(i64::from(valid));
        metrics.free_slots.set(i64::from(free.slots));
        metrics.set_usage(&usage);
        self.load.set(OwnLoad {
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

/// Creates a kernel with a seed of its own, so that daemons do not make the same choices.
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
