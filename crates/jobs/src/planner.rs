//! The leader's decisions on jobs, workers and runs.
//!
//! The planner does no I/O and reads no clock. It applies each command to its own copy of the book
//! when it proposes it, so that it never waits for the log; what the outside sees waits for the
//! commit.

use {
    crate::{
        CallId, Callee, CellResponse, Effect, JobCommand, JobEvent, JobId, JobStore, KindPace, LogEvent,
        Output, PlannerSettings, Progress, Queue, StepId, TaskKey, WorkerOrder,
        advisers::Advisers,
        clock_sample::SLOWEST_RATE_THOUSANDTHS,
        run_view::{RunState, RunView},
        step_view::StepView,
        worker_view::WorkerView,
    },
    fuchsiatack_model::{QueueName, Resources, TeamName, WorkerName},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Margin after the longest lease of an earlier leader, in milliseconds. It covers the time in
/// which a leader that was just replaced may still have sent a renewal.
const INHERITED_MARGIN_MS: u64 = 700;

/// Declared duration below which a task is brief, in milliseconds.
const BRIEF_MS: u64 = 2_000;

/// The leader's planner.
pub struct Planner {
    pub(crate) advisers: Advisers,
    /// When advice for steps that come soon is asked for next.
    pub(crate) ahead_due_ms: u64,
    pub(crate) book: JobStore,
    /// Whether something changed that placement depends on.
    pub(crate) dirty: bool,
    pub(crate) fence: u64,
    pub(crate) forget_due_ms: u64,
    /// Share of asked workers that may run a queue's steps, in thousandths.
    pub(crate) good_shares: BTreeMap<QueueName, u64>,
    /// How long tasks take on each kind of worker.
    /// Whether a worker is to be looked at in this turn.
    pub(crate) is_check_planned: bool,
    pub(crate) kinds: BTreeMap<SmolStr, KindPace>,
    pub(crate) members: Vec<SocketAddr>,
    pub(crate) now_ms: u64,
    pub(crate) now_unix_ms: u64,
    pub(crate) output: Output,
    /// Positions of the queues in the configuration, by name.
    pub(crate) queues: BTreeMap<QueueName, usize>,
    pub(crate) runs: BTreeMap<TaskKey, RunView>,
    /// Jobs with occurrences that are due later, by the next due time since the Unix epoch.
    pub(crate) scheduled: BTreeSet<(u64, JobId, u32)>,
    pub(crate) settings: PlannerSettings,
    /// When stalled workers are looked for next.
    pub(crate) stalls_due_ms: u64,
    pub(crate) steps: BTreeMap<StepId, StepView>,
    pub(crate) team_used: BTreeMap<TeamName, Resources>,
    pub(crate) workers: BTreeMap<WorkerName, WorkerView>,
}

impl Planner {
    /// Starts the work of a leader from the committed state. `fence` is higher than that of every
    /// earlier leader. Times are in milliseconds; `now_ms` must count while the VM is suspended.
    pub fn new(settings: PlannerSettings, book: JobStore, fence: u64, now_ms: u64, now_unix_ms: u64) -> Self {
        let mut planner = Self {
            advisers: Advisers::new(),
            ahead_due_ms: now_ms,
            book,
            dirty: true,
            fence,
            forget_due_ms: now_ms,
            good_shares: BTreeMap::new(),
            is_check_planned: false,
            kinds: BTreeMap::new(),
            members: Vec::new(),
            now_ms,
            now_unix_ms,
            output: Output::default(),
            queues: BTreeMap::new(),
            runs: BTreeMap::new(),
            scheduled: BTreeSet::new(),
            settings,
            stalls_due_ms: now_ms,
            steps: BTreeMap::new(),
            team_used: BTreeMap::new(),
            workers: BTreeMap::new(),
        };
        planner.restore();
        planner
    }

    /// Takes an event at a time. Its consequences are in the next `take_output`.
    pub fn handle(&mut self, now_ms: u64, now_unix_ms: u64, event: JobEvent) {
        self.now_ms = self.now_ms.max(now_ms);
        self.now_unix_ms = now_unix_ms;
        match event {
            JobEvent::Advised {
                by,
                response: reply,
                step,
            } => self.advised(by, reply, step),
            JobEvent::Called { call, id } => self.called(id, call),
            JobEvent::Held {
                kind,
                result,
                sent_ms,
                worker,
            } => self.held(&worker, kind, sent_ms, result),
            JobEvent::Started { result, run, worker } => self.started(&worker, run, result),
            JobEvent::Stopped { result, run, worker } => self.stopped(&worker, run, result),
            JobEvent::Tick => self.tick(),
        }
    }

    /// Places what can be placed and returns everything since the last call.
    pub fn take_output(&mut self) -> Output {
        if std::mem::take(&mut self.dirty) {
            self.place();
        }
        if std::mem::take(&mut self.is_check_planned) {
            self.check_due();
        }
        std::mem::take(&mut self.output)
    }

    /// Sets the peer addresses of the store members, for daemons that ask.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.members = members;
    }

    /// Number of steps with tasks that wait for a worker.
    pub fn waiting_steps(&self) -> usize {
        let waiting = self.steps.values().filter(|view| !view.waiting.is_empty());
        waiting.count()
    }

    /// The state with all proposed commands applied.
    pub fn book(&self) -> &JobStore {
        &self.book
    }

    /// When leases of a length that may have been granted until now have ended for certain.
    pub(crate) fn inherited_until_ms(&self, lease_ms: u64) -> u64 {
        let longest_ms = lease_ms * 1_000 / SLOWEST_RATE_THOUSANDTHS;
        self.now_ms + longest_ms + INHERITED_MARGIN_MS
    }

    fn restore(&mut self) {
        self.index_queues();
        let until_ms = self.inherited_until_ms(self.settings.lease_ms);
        for worker in self.book.workers.keys() {
            let view = WorkerView::new(self.now_ms, until_ms);
            self.workers.insert(worker.clone(), view);
        }
        let jobs: Vec<_> = self.book.jobs.keys().copied().collect();
        for id in jobs {
            let Some(job) = self.book.jobs.get(&id) else {
                continue;
            };
            let runs: Vec<_> = job.runs().map(|(run, worker)| (run, worker.clone())).collect();
            for (run, worker) in runs {
                let since_ms = self.now_ms;
                self.home(run, &worker, RunState::Unverified { since_ms });
            }
            // An earlier leader may have been lost before it stopped what a cancelled job runs.
            match self.book.jobs.get(&id).is_some_and(|job| job.ended.is_some()) {
                true => self.close_job(id),
                false => self.refresh_job(id),
            }
        }
        self.note(
            LogEvent::new("leadership started")
                .with("fence", self.fence)
                .with("jobs", self.book.jobs.len())
                .with("runs", self.runs.len())
                .with("workers", self.workers.len()),
        );
    }

    pub(crate) fn propose(&mut self, command: JobCommand) {
        self.book.apply(&command);
        self.output.commands.push(command);
    }

    pub(crate) fn after_commit(&mut self, effect: Effect) {
        self.output.after_commit.push(effect);
    }

    pub(crate) fn order(&mut self, order: WorkerOrder) {
        self.after_commit(Effect::Order(order));
    }

    pub(crate) fn answer(&mut self, id: CallId, answer: CellResponse) {
        self.after_commit(Effect::Respond { response: answer, id });
    }

    pub(crate) fn note(&mut self, note: LogEvent) {
        self.output.log_events.push(note);
    }

    pub(crate) fn callee(&self, worker: &WorkerName) -> Option<Callee> {
        let entry = self.book.workers.get(worker)?;
        Some(Callee {
            address: entry.address,
            fencing_token: self.fence,
            worker: worker.clone(),
        })
    }

    pub(crate) fn queue_of(&self, job: JobId) -> Option<&Queue> {
        let queue = &self.book.jobs.get(&job)?.queue;
        let position = *self.queues.get(queue)?;
        self.book.configuration.as_ref()?.queues.get(position)
    }

    /// Notes where each queue stands in the configuration, which may hold hundreds.
    pub(crate) fn index_queues(&mut self) {
        let configuration = self.book.configuration.as_ref();
        let queues = configuration.map(|configuration| configuration.queues.iter());
        let names = queues.into_iter().flatten().map(|queue| queue.name.clone());
        self.queues = names.zip(0..).collect();
    }

    /// Counts a run on its worker and its team.
    pub(crate) fn home(&mut self, run: crate::RunId, worker: &WorkerName, state: RunState) {
        let Some(job) = self.book.jobs.get(&run.task.step.job) else {
            return;
        };
        let Some(spec) = job.step(run.task.step.step) else {
            return;
        };
        let view = RunView {
            checkpoint: SmolStr::default(),
            demand: spec.demand,
            is_brief: spec.estimated_ms < BRIEF_MS && !spec.long_running,
            progress: Progress::default(),
            reserved: spec.reserved(),
            run,
            started_ms: self.now_ms,
            state,
            team: job.team.clone(),
            worker: worker.clone(),
        };
        if let Some(on) = self.workers.get_mut(worker) {
            on.used = on.used.plus(&view.reserved);
            on.runs.insert(run.task);
        }
        if let Some(team) = &view.team {
            let used = self.team_used.entry(team.clone()).or_insert(Resources::NONE);
            *used = used.plus(&view.demand);
        }
        self.runs.insert(run.task, view);
    }

    /// Removes a run from its worker and its team.
    pub(crate) fn unhome(&mut self, task: TaskKey) -> Option<RunView> {
        let view = self.runs.remove(&task)?;
        if let Some(on) = self.workers.get_mut(&view.worker) {
            on.used = on.used.minus(&view.reserved);
            on.runs.remove(&task);
        }
        if let Some(used) = view.team.as_ref().and_then(|team| self.team_used.get_mut(team)) {
            *used = used.minus(&view.demand);
        }
        self.dirty = true;
        Some(view)
    }

    fn tick(&mut self) {
        self.open_due_occurrences();
        self.ask_ahead();
        self.watch_workers();
        self.check_due();
        self.renew_due();
        self.watch_stalls();
        self.retry_stops();
        self.expire_questions();
        for name in self.advisers.expire(self.now_ms) {
            self.note(LogEvent::new("daemon lost").with("daemon", name));
        }
        self.forget_old_jobs();
        self.dirty = true;
    }

    fn forget_old_jobs(&mut self) {
        const INTERVAL_MS: u64 = 5_000;
        if self.now_ms < self.forget_due_ms {
            return;
        }
        self.forget_due_ms = self.now_ms + INTERVAL_MS;
        let limit_unix_ms = self.now_unix_ms.saturating_sub(self.settings.retention_ms);
        let is_old = |job: &&crate::Job| {
            let ended = job.ended.as_ref();
            ended.is_some_and(|ended| ended.unix_ms < limit_unix_ms) && job.runs().next().is_none()
        };
        let old: Vec<_> = self.book.jobs.values().filter(is_old).map(|job| job.id).collect();
        if !old.is_empty() {
            self.propose(JobCommand::Forget(old));
        }
    }
}
