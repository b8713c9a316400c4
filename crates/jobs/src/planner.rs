//! Makes the leader's decisions on jobs, workers and runs.
//!
//! The planner does no I/O and reads no clock. It applies each command to its own copy of the job
//! state as soon as it proposes it, so that it never waits for replication. Effects that depend on
//! a command wait for its commit.

use {
    crate::{
        CallId, Callee, CellResponse, Effect, JobCommand, JobEvent, JobId, JobStore, KindSpeed, LogEvent,
        Output, PlannerSettings, Progress, Queue, RunId, StepId, TaskKey, WaitTimes, WorkerOrder,
        advice_claims::AdviceClaims,
        advice_senders::AdviceSenders,
        clock_sample::SLOWEST_RATE_THOUSANDTHS,
        job_view::JobView,
        pacing::Pacing,
        plan_advice_choice::PlannedRequest,
        plan_advice_room::RoomForecast,
        plan_data_center_moves::DataCenterMoves,
        plan_late_starts::LateStart,
        plan_shares::Shares,
        plan_work::JobWork,
        reservation::Reservations,
        run_view::{RunState, RunView, StartOrder},
        step_view::StepView,
        team_use::TeamUse,
        worker_view::WorkerView,
    },
    fuchsiatack_model::{QueueName, TeamName, WorkerName},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
    },
};

/// Margin after the longest lease of an earlier leader, in milliseconds. It covers the time in
/// which a leader that was just replaced may still have sent a renewal.
const INHERITED_MARGIN_MS: u64 = 700;

/// Estimated duration below which a task is brief, in milliseconds.
const BRIEF_MS: u64 = 2_000;

/// Scheduler of the leader: turns events into commands and effects.
pub struct Planner {
    /// Room that steps with tickets, or that await them, are expected to use.
    pub(crate) advice_claims: AdviceClaims,
    pub(crate) advice_senders: AdviceSenders,
    /// Whether most heartbeats are overdue.
    pub(crate) are_heartbeats_late: bool,
    /// Time of the planning pass in which the claims were computed.
    pub(crate) claims_ms: Option<u64>,
    /// Time of the next report of the waiting steps.
    pub(crate) backlog_due_ms: u64,
    /// Job with most work at once since the last output.
    pub(crate) busiest_job: Option<JobWork>,
    /// Last priority of the open steps in the present planning pass.
    pub(crate) last_priority: Option<u32>,
    /// Number of responses of the advice service of which all tickets have expired without a start, while the
    /// step waited.
    pub(crate) calls_without_start: u64,
    /// Number of tickets that were requested again since they had expired unused.
    pub(crate) lapsed_tickets: u64,
    /// Step for whose advice requests daemons are left free in the present planning pass, with its priority.
    pub(crate) overdue_request: Option<(u32, StepId)>,
    /// Time from which the next step gets such a turn.
    pub(crate) overdue_turn_ms: u64,
    /// Advice requests of the present planning pass.
    pub(crate) planned_requests: Vec<PlannedRequest>,
    /// Time of the next search for steps whose advice is requested before they are ready.
    pub(crate) prefetch_due_ms: u64,
    pub(crate) store: JobStore,
    /// Whether something has changed since the last placement that it depends on.
    pub(crate) needs_placement: bool,
    /// Times of the crashes that no suspected task explains, by the planner's clock in milliseconds.
    pub(crate) crash_times_ms: VecDeque<u64>,
    pub(crate) data_center_moves: DataCenterMoves,
    pub(crate) fencing_token: u64,
    pub(crate) cleanup_due_ms: u64,
    /// Time from which the planner has known that a job has ended, for jobs that it may remove.
    pub(crate) ended_since_ms: BTreeMap<JobId, u64>,
    /// Mean share of requested workers that may run a queue's steps, in thousandths.
    pub(crate) eligible_shares: BTreeMap<QueueName, u64>,
    /// Whether a check was scheduled that `take_output` must send.
    pub(crate) is_check_scheduled: bool,
    /// What is known of the steps of the jobs that have not ended.
    pub(crate) job_views: BTreeMap<JobId, JobView>,
    /// Measured speed of the tasks on each kind of worker.
    pub(crate) kinds: BTreeMap<SmolStr, KindSpeed>,
    /// Time at which the leadership started.
    pub(crate) leader_since_ms: u64,
    /// Times at which the last renewals that acknowledge ends and had no response were sent, by the planner's
    /// clock in milliseconds.
    pub(crate) late_acknowledgements: BTreeMap<WorkerName, u64>,
    /// Runs that have ended while their start orders may still be carried out.
    pub(crate) late_starts: BTreeMap<(WorkerName, RunId), LateStart>,
    /// Time from which a lasting step may again be started before the urgent ones.
    pub(crate) lasting_turn_ms: u64,
    /// Last job of which steps were opened.
    pub(crate) last_opened_job: Option<JobId>,
    pub(crate) members: Vec<SocketAddr>,
    pub(crate) now_ms: u64,
    pub(crate) now_unix_ms: u64,
    pub(crate) output: Output,
    /// Encoded size of the submissions among the commands of the next output.
    pub(crate) pending_bytes: usize,
    /// Paces of the present runs that use idle processors.
    pub(crate) pacings: BTreeMap<TaskKey, Pacing>,
    /// Positions of the queues in the configuration, by name.
    pub(crate) queues: BTreeMap<QueueName, usize>,
    /// How the waits of steps divide since the leadership started, by priority.
    pub(crate) priority_waits: BTreeMap<u32, WaitTimes>,
    /// First priority of the queues of each service.
    pub(crate) first_priorities: BTreeMap<SmolStr, u32>,
    pub(crate) runs: BTreeMap<TaskKey, RunView>,
    /// Room that is kept for waiting steps.
    pub(crate) reservations: Reservations,
    /// Expected ends of the present runs.
    pub(crate) room_forecast: RoomForecast,
    /// Number of workers that the present planning pass may still search for room to reserve.
    pub(crate) room_searches_left: usize,
    /// Occurrences that are due later, as due time since the Unix epoch in milliseconds, job and
    /// number.
    pub(crate) scheduled: BTreeSet<(u64, JobId, u32)>,
    pub(crate) settings: PlannerSettings,
    pub(crate) shares: Shares,
    /// Time of the next check for stalled runs.
    pub(crate) stalls_due_ms: u64,
    pub(crate) steps: BTreeMap<StepId, StepView>,
    /// Time since which tasks have been suspected of crashing workers.
    pub(crate) suspected_since_ms: BTreeMap<TaskKey, u64>,
    /// Positions of the teams in the configuration, by name.
    pub(crate) team_positions: BTreeMap<TeamName, usize>,
    /// What teams with runs or urgent steps use.
    pub(crate) teams: BTreeMap<TeamName, TeamUse>,
    /// Jobs with steps that are ready and not open, or with occurrences to look at.
    pub(crate) unopened_jobs: BTreeSet<JobId>,
    /// Number of steps and tasks looked at to open or close steps.
    pub(crate) work_units: u64,
    pub(crate) workers: BTreeMap<WorkerName, WorkerView>,
}

impl Planner {
    /// Creates the planner of a new leader from the committed state. `fencing_token` is higher than
    /// that of every earlier leader. Times are in milliseconds; `now_ms` must also count while the
    /// VM is suspended.
    pub fn new(
        settings: PlannerSettings,
        store: JobStore,
        fencing_token: u64,
        now_ms: u64,
        now_unix_ms: u64,
    ) -> Self {
        let mut planner = Self {
            advice_claims: AdviceClaims::default(),
            advice_senders: AdviceSenders::new(),
            are_heartbeats_late: false,
            claims_ms: None,
            backlog_due_ms: now_ms,
            busiest_job: None,
            calls_without_start: 0,
            lapsed_tickets: 0,
            last_priority: None,
            overdue_request: None,
            overdue_turn_ms: now_ms,
            planned_requests: Vec::new(),
            prefetch_due_ms: now_ms,
            store,
            needs_placement: true,
            crash_times_ms: VecDeque::new(),
            data_center_moves: DataCenterMoves::default(),
            fencing_token,
            cleanup_due_ms: now_ms,
            eligible_shares: BTreeMap::new(),
            ended_since_ms: BTreeMap::new(),
            is_check_scheduled: false,
            job_views: BTreeMap::new(),
            kinds: BTreeMap::new(),
            leader_since_ms: now_ms,
            late_acknowledgements: BTreeMap::new(),
            late_starts: BTreeMap::new(),
            lasting_turn_ms: now_ms,
            last_opened_job: None,
            members: Vec::new(),
            now_ms,
            now_unix_ms,
            output: Output::default(),
            pending_bytes: 0,
            pacings: BTreeMap::new(),
            queues: BTreeMap::new(),
            priority_waits: BTreeMap::new(),
            first_priorities: BTreeMap::new(),
            runs: BTreeMap::new(),
            reservations: Reservations::default(),
            room_forecast: RoomForecast::default(),
            room_searches_left: 0,
            scheduled: BTreeSet::new(),
            settings,
            shares: Shares::default(),
            stalls_due_ms: now_ms,
            steps: BTreeMap::new(),
            suspected_since_ms: BTreeMap::new(),
            team_positions: BTreeMap::new(),
            teams: BTreeMap::new(),
            unopened_jobs: BTreeSet::new(),
            work_units: 0,
            workers: BTreeMap::new(),
        };
        planner.restore();
        planner
    }

    /// Handles an event. `now_ms` is the time by the planner's clock; if it is earlier than at the last
    /// event, the time of that event is used. `now_unix_ms` is the time since the Unix epoch. The
    /// resulting commands and effects are in the next `take_output`.
    pub fn handle(&mut self, now_ms: u64, now_unix_ms: u64, event: JobEvent) {
        self.now_ms = self.now_ms.max(now_ms);
        self.now_unix_ms = now_unix_ms;
        match event {
            JobEvent::Advised { by, response, step } => self.handle_advice_response(by, response, step),
            JobEvent::Called { call, id } => self.handle_call(id, call),
            JobEvent::Held {
                kind,
                result,
                sent_ms,
                worker,
            } => self.handle_hold_result(&worker, kind, sent_ms, result),
            JobEvent::Paced {
                percent,
                result,
                run,
                worker,
            } => self.handle_pace_result(&worker, run, percent, result),
            JobEvent::Started {
                result,
                run,
                sent_ms,
                worker,
            } => self.handle_start_result(&worker, run, sent_ms, result),
            JobEvent::Stopped {
                result,
                run,
                sent_ms,
                worker,
            } => self.handle_stop_result(&worker, run, sent_ms, result),
            JobEvent::Tick => self.tick(),
        }
    }

    /// Places waiting tasks if anything has changed, and returns the output since the last call.
    pub fn take_output(&mut self) -> Output {
        self.busiest_job = None;
        self.pending_bytes = 0;
        if std::mem::take(&mut self.needs_placement) {
            self.place();
        }
        if std::mem::take(&mut self.is_check_scheduled) {
            self.send_due_checks();
        }
        std::mem::take(&mut self.output)
    }

    /// Returns the encoded size of the submissions among the commands of the next output, in bytes. All other
    /// commands are small.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Sets the peer addresses of the store members, which daemons get in response to their
    /// announcements.
    pub fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.members = members;
    }

    /// Returns the number of steps with tasks that wait for a worker.
    pub fn waiting_steps(&self) -> usize {
        let waiting = self.steps.values().filter(|view| !view.waiting.is_empty());
        waiting.count()
    }

    /// Returns the job state with all proposed commands applied, committed or not.
    pub fn store(&self) -> &JobStore {
        &self.store
    }

    /// Time by the planner's clock at which leases of `lease_ms` that an earlier leader may have
    /// granted until now have certainly expired.
    pub(crate) fn inherited_until_ms(&self, lease_ms: u64) -> u64 {
        let longest_ms = lease_ms * 1_000 / SLOWEST_RATE_THOUSANDTHS;
        self.now_ms + longest_ms + INHERITED_MARGIN_MS
    }

    fn restore(&mut self) {
        self.index_queues();
        let until_ms = self.inherited_until_ms(self.settings.lease_ms);
        for worker in self.store.workers.keys() {
            let view = WorkerView::new(self.now_ms, until_ms);
            self.workers.insert(worker.clone(), view);
        }
        let jobs: Vec<_> = self.store.jobs.keys().copied().collect();
        for id in jobs {
            let Some(job) = self.store.jobs.get(&id) else {
                continue;
            };
            let runs: Vec<_> = job.runs().map(|(run, worker)| (run, worker.clone())).collect();
            for (run, worker) in &runs {
                let since_ms = self.now_ms;
                self.add_run(*run, worker, RunState::Unverified { since_ms });
            }
            // An earlier leader may have been lost before it stopped the runs of a cancelled job.
            match self.store.jobs.get(&id).is_some_and(|job| job.ended.is_some()) {
                true => self.close_job(id),
                false => {
                    self.begin_job(id);
                    let running = runs.iter().map(|(run, _)| run.task.step);
                    self.open_running_steps(id, running.collect());
                }
            }
        }
        self.fail_spent_jobs();
        self.log(
            LogEvent::new("leadership started")
                .with("fence", self.fencing_token)
                .with("jobs", self.store.jobs.len())
                .with("runs", self.runs.len())
                .with("workers", self.workers.len()),
        );
    }

    pub(crate) fn propose(&mut self, command: JobCommand) {
        self.store.apply(&command);
        if let JobCommand::Submit(submission) = &command {
            self.pending_bytes += submission.encoded_bytes();
        }
        self.output.commands.push(command);
    }

    pub(crate) fn after_commit(&mut self, effect: Effect) {
        self.output.after_commit.push(effect);
    }

    pub(crate) fn send_order(&mut self, order: WorkerOrder) {
        self.after_commit(Effect::Order(order));
    }

    pub(crate) fn respond(&mut self, id: CallId, response: CellResponse) {
        self.after_commit(Effect::Respond { response, id });
    }

    pub(crate) fn log(&mut self, event: LogEvent) {
        self.output.log_events.push(event);
    }

    pub(crate) fn callee(&self, worker: &WorkerName) -> Option<Callee> {
        let entry = self.store.workers.get(worker)?;
        Some(Callee {
            address: entry.address,
            fencing_token: self.fencing_token,
            worker: worker.clone(),
        })
    }

    pub(crate) fn queue_of(&self, job: JobId) -> Option<&Queue> {
        let queue = &self.store.jobs.get(&job)?.queue;
        let position = *self.queues.get(queue)?;
        self.store.configuration.as_ref()?.queues.get(position)
    }

    /// Indexes the queues of the configuration by name and by service, and the teams by name; there may be
    /// hundreds.
    pub(crate) fn index_queues(&mut self) {
        self.queues.clear();
        self.first_priorities.clear();
        let configuration = self.store.configuration.as_ref();
        let queues = configuration.into_iter().flat_map(|present| &present.queues);
        for (position, queue) in queues.enumerate() {
            self.queues.insert(queue.name.clone(), position);
            let first = self.first_priorities.entry(queue.service.clone());
            let first = first.or_insert(queue.priority);
            *first = queue.priority.min(*first);
        }
        let teams = configuration.into_iter().flat_map(|present| &present.teams);
        let positions = teams
            .enumerate()
            .map(|(position, team)| (team.name.clone(), position));
        self.team_positions = positions.collect();
    }

    /// Adds a run and counts it towards the use of its worker and its team.
    pub(crate) fn add_run(&mut self, run: RunId, worker: &WorkerName, state: RunState) {
        let Some(job) = self.store.jobs.get(&run.task.step.job) else {
            return;
        };
        let Some(spec) = job.step(run.task.step.step) else {
            return;
        };
        let start_order = match state {
            RunState::Unverified { .. } => self.inherited_start_order(run.task.step.job),
            _ => StartOrder::InFlight,
        };
        let view = RunView {
            checkpoint: SmolStr::default(),
            demand: spec.demand,
            is_brief: spec.estimated_ms < BRIEF_MS && !spec.long_running,
            is_inherited: matches!(state, RunState::Unverified { .. }),
            is_loss_recorded: false,
            is_urgent: self.is_urgent(run.task.step),
            progress: Progress::default(),
            reserved: spec.reserved(),
            run,
            service: self
                .queue_of(job.id)
                .map(|queue| queue.service.clone())
                .unwrap_or_default(),
            start_order,
            started_ms: self.now_ms,
            state,
            team: job.team.clone().unwrap_or_default(),
            worker: worker.clone(),
        };
        if let Some(on) = self.workers.get_mut(worker) {
            on.used = on.used.saturating_add(&view.reserved);
            if let Some(record) = self.store.crashes.get(&run.task)
                && record.is_isolated
                && (record.is_repeated() || on.runs.is_empty())
            {
                on.isolated.insert(run.task);
            }
            on.runs.insert(run.task);
            on.health.record_start(self.now_ms, run.task);
        }
        self.teams.entry(view.team.clone()).or_default().add(&view);
        let is_inherited = view.is_inherited;
        self.runs.insert(run.task, view);
        self.begin_pacing(run.task, is_inherited);
    }

    /// Returns the tasks of a job that have a present run.
    pub(crate) fn runs_of(&self, job: JobId) -> impl Iterator<Item = TaskKey> {
        let step = |occurrence, step| StepId {
            job,
            occurrence,
            step,
        };
        let first = TaskKey {
            index: 0,
            step: step(0, 0),
        };
        let last = TaskKey {
            index: u32::MAX,
            step: step(u32::MAX, u32::MAX),
        };
        self.runs.range(first..=last).map(|(task, _)| *task)
    }

    /// Removes a run and its use of its worker and its team.
    pub(crate) fn remove_run(&mut self, task: TaskKey) -> Option<RunView> {
        let view = self.runs.remove(&task)?;
        self.pacings.remove(&task);
        if let Some(on) = self.workers.get_mut(&view.worker) {
            on.used = on.used.saturating_sub(&view.reserved);
            on.runs.remove(&task);
            on.isolated.remove(&task);
            on.health.record_end(task);
            on.unanswered_starts.remove(&view.run);
            on.unanswered_stops.remove(&view.run);
        }
        if let Some(team) = self.teams.get_mut(&view.team) {
            team.remove(&view, self.now_ms);
        }
        self.shares.count_freed(&view.service, self.now_ms);
        self.needs_placement = true;
        Some(view)
    }

    fn tick(&mut self) {
        self.open_due_occurrences();
        self.observe_heartbeats();
        self.prefetch_advice();
        self.expire_workers();
        self.end_trials();
        self.send_due_checks();
        self.send_due_renewals();
        self.detect_stalls();
        self.end_probations();
        self.send_due_paces();
        self.stop_unanswered_starts();
        self.move_out_of_evacuated();
        self.resend_stops();
        self.send_late_stops();
        self.expire_late_acknowledgements();
        self.expire_advice_requests();
        self.end_unused_rounds();
        for name in self.advice_senders.expire(self.now_ms) {
            self.log(LogEvent::new("daemon announcement expired").with("daemon", name));
        }
        self.remove_old_jobs();
        self.report_backlog();
        self.needs_placement = true;
    }

    /// Removes jobs that have been known as ended for the retention period.
    ///
    /// The period is counted by the planner's clock, because a step of the wall clock must not shorten it: a
    /// repeated submission of a removed job is accepted as a new job. A new leader counts it anew.
    fn remove_old_jobs(&mut self) {
        const INTERVAL_MS: u64 = 5_000;
        if self.now_ms < self.cleanup_due_ms {
            return;
        }
        self.cleanup_due_ms = self.now_ms + INTERVAL_MS;
        let ended = self.store.jobs.values().filter(|job| job.ended.is_some());
        for job in ended {
            self.ended_since_ms.entry(job.id).or_insert(self.now_ms);
        }
        let limit_ms = self.now_ms.saturating_sub(self.settings.retention_ms);
        let is_idle = |id: &&JobId| {
            let job = self.store.jobs.get(*id);
            job.is_none_or(|job| job.runs().next().is_none())
        };
        let old: Vec<_> = self
            .ended_since_ms
            .iter()
            .filter(|(_, since_ms)| **since_ms < limit_ms)
            .map(|(id, _)| id)
            .filter(is_idle)
            .copied()
            .collect();
        for id in &old {
            self.log_removal(*id);
        }
        if !old.is_empty() {
            self.remove_jobs(old);
        }
    }

    /// Removes jobs and what the planner knows of their ends.
    pub(crate) fn remove_jobs(&mut self, jobs: Vec<JobId>) {
        for job in &jobs {
            self.ended_since_ms.remove(job);
            self.close_steps(*job);
        }
        self.propose(JobCommand::RemoveJobs(jobs));
    }

    fn log_removal(&mut self, id: JobId) {
        let ended = self.store.jobs.get(&id).and_then(|job| job.ended.as_ref());
        let Some((state, ended_unix_ms)) = ended.map(|ended| (ended.state, ended.unix_ms)) else {
            return;
        };
        let since_ms = self.ended_since_ms.get(&id).copied().unwrap_or(self.now_ms);
        self.log(
            LogEvent::new("ended job removed")
                .job(id)
                .with("state", state.as_str())
                .with("known_ms", self.now_ms - since_ms)
                .with("wall_age_ms", self.now_unix_ms.saturating_sub(ended_unix_ms)),
        );
    }
}
