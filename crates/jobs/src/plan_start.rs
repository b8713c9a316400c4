//! Orders the waiting steps and starts their tasks.
//!
//! Handles bursts of urgent jobs beside a backlog of large ones: queues with a lower priority
//! number come first and have a reserved part of each worker. Within a priority, jobs that can
//! still meet their latency objective come first, the most urgent at the front. Jobs that are
//! already late wait behind them, since serving them first would make the others late as well. While steps
//! of a priority wait for capacity, those of teams over their share wait behind those of the others.

use {
    crate::{
        AdvicePolicy, JobCommand, LogEvent, Planner, RunId, StepId, StepSpec, TaskKey, WaitReason,
        WorkerOrder, plan_advice::MIN_WORKERS_PER_REQUEST, plan_choice::Starts,
        plan_reservations::ROOM_SEARCHES_PER_PASS, run_view::RunState,
    },
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::{cmp::Reverse, collections::BTreeMap},
};

/// Number of steps that fail to be placed in one planning pass after which the others are tried in turn
/// only. It bounds the processor time that a long backlog takes.
const MAX_FAILED_STEPS: usize = 64;
/// Number of steps that wait for the limit of their team in one planning pass after which the others are
/// tried in turn only. These steps take little processor time, and a team at its limit must not keep the
/// steps of others from being tried.
const MAX_LIMITED_STEPS: usize = 1_000;
/// Maximum number of steps of each priority that one planning pass tries in turn, those that were not
/// tried for the longest time first. A backlog of one priority never keeps others from being tried.
const STEPS_IN_TURN: usize = 8;

/// Wait from which a lasting step is tried before the urgent ones and may use the reserve for them, in
/// milliseconds.
const LASTING_WAIT_MS: u64 = 1_000;
/// Interval between two lasting steps that are tried before the urgent ones, in milliseconds. It bounds
/// what a backlog of lasting steps takes from urgent ones.
const LASTING_TURN_MS: u64 = 100;

/// Pause before a step that could not be placed completely is tried again, in milliseconds.
pub(crate) const NO_CAPACITY_PAUSE_MS: u64 = 20;
/// Pause before a step that awaits results of start orders is tried again, in milliseconds.
const START_RESULT_PAUSE_MS: u64 = 5;

impl Planner {
    /// Starts the waiting tasks for which there is free capacity.
    pub(crate) fn place(&mut self) {
        self.open_ready_steps();
        let now_ms = self.now_ms;
        for view in self.steps.values_mut() {
            view.observe_waiting(now_ms);
        }
        self.reservations.expire(now_ms);
        self.room_searches_left = ROOM_SEARCHES_PER_PASS;
        self.observe_urgent_work();
        self.last_priority = self.steps.values().map(|view| view.priority).max();
        self.observe_shares();
        let order = self.order_of_steps();
        self.place_lasting_in_turn();
        self.place_overdue_request();
        let mut order = order.into_iter();
        let (mut failed, mut limited) = (0, 0);
        while failed < MAX_FAILED_STEPS
            && limited < MAX_LIMITED_STEPS
            && let Some(step) = order.next()
        {
            let kept_free_percent = self.kept_free_percent(step);
            match self.try_step(step, kept_free_percent) {
                Ok(()) => {}
                Err(WaitReason::TeamLimit) => limited += 1,
                Err(_) => failed += 1,
            }
        }
        self.place_in_turn(order);
        self.send_planned_requests();
    }

    /// Tries lasting steps that have waited for long, until a task of one is started, and lets them use the
    /// reserve. In a cell that urgent steps keep full, those would take all capacity that becomes free. The
    /// steps take turns, so that some that fit no worker do not keep the others waiting.
    fn place_lasting_in_turn(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.lasting_turn_ms {
            return;
        }
        let overdue = self.steps.iter().filter_map(|(step, view)| {
            let wait_ms = view
                .wait_ms(now_ms)
                .filter(|wait_ms| *wait_ms >= LASTING_WAIT_MS)?;
            let may_try = view.is_long_running && now_ms >= view.paused_until_ms;
            may_try.then_some((view.turn_ms, Reverse(wait_ms), *step))
        });
        let mut overdue: Vec<_> = overdue.collect();
        overdue.sort_unstable();
        for (.., step) in overdue.into_iter().take(STEPS_IN_TURN) {
            let waiting = self.waiting_tasks_of(step);
            if let Some(view) = self.steps.get_mut(&step) {
                view.turn_ms = now_ms;
            }
            // The view records why a step still waits.
            let _ = self.try_step(step, 0);
            if self.waiting_tasks_of(step) < waiting {
                self.lasting_turn_ms = now_ms + LASTING_TURN_MS;
                return;
            }
        }
    }

    fn waiting_tasks_of(&self, step: StepId) -> usize {
        self.steps.get(&step).map_or(0, |view| view.waiting.len())
    }

    /// Tries a bounded number of steps of each priority, those that were not tried for the longest time
    /// first.
    fn place_in_turn(&mut self, untried: impl Iterator<Item = StepId>) {
        let mut turns: BTreeMap<u32, Vec<(bool, u64, StepId)>> = BTreeMap::new();
        for step in untried {
            if let Some(view) = self.steps.get(&step) {
                let of_priority = turns.entry(view.priority).or_default();
                // Teams behind a long backlog of another one get their share of the advice requests.
                of_priority.push((self.has_planned_request(step), view.tried_ms, step));
            }
        }
        for mut of_priority in turns.into_values() {
            of_priority.sort_unstable();
            for (.., step) in of_priority.into_iter().take(STEPS_IN_TURN) {
                let kept_free_percent = self.kept_free_percent(step);
                // The view records why a step still waits.
                let _ = self.try_step(step, kept_free_percent);
            }
        }
    }

    /// Returns the part of each worker that a step leaves free for the first priority of its service, in
    /// percent.
    pub(crate) fn kept_free_percent(&self, step: StepId) -> u32 {
        match self.is_first_priority(step) {
            true => 0,
            false => self.settings.urgent_reserve_percent,
        }
    }

    /// Returns whether a step has the first priority of its service.
    fn is_first_priority(&self, step: StepId) -> bool {
        let first = self
            .queue_of(step.job)
            .and_then(|queue| self.first_priorities.get(&queue.service));
        let priority = self.steps.get(&step).map(|view| view.priority);
        priority.is_some() && first.copied() == priority
    }

    /// Tries to start the waiting tasks of a step. A step that still waits is paused.
    pub(crate) fn try_step(&mut self, step: StepId, kept_free_percent: u32) -> Result<(), WaitReason> {
        if let Some(view) = self.steps.get_mut(&step) {
            let (reason, waited_ms) = view.account_wait(self.now_ms);
            view.tried_ms = self.now_ms;
            self.priority_waits
                .entry(view.priority)
                .or_default()
                .add(reason, waited_ms);
        }
        let result = self.place_step(step, kept_free_percent);
        let result = result.map_err(|reason| self.refine_wait_reason(step, reason));
        if let Some(view) = self.steps.get_mut(&step) {
            view.advice.observe_attempt(self.now_ms, result);
            // The pause after an attempt hides why that attempt failed.
            if result != Err(WaitReason::AdvicePause) {
                view.wait_reason = result.err();
            }
            let pause_ms = match result {
                Ok(()) => None,
                Err(WaitReason::AwaitsStartResults) => Some(START_RESULT_PAUSE_MS),
                Err(_) => Some(NO_CAPACITY_PAUSE_MS),
            };
            if let Some(pause_ms) = pause_ms {
                view.paused_until_ms = self.now_ms + pause_ms;
            }
        }
        result
    }

    /// Returns the first priority of the configured queues.
    pub(crate) fn top_priority(&self) -> Option<u32> {
        self.first_priorities.values().min().copied()
    }

    /// Tries to start the waiting tasks of a step. Fails if some of them still wait.
    fn place_step(&mut self, step: StepId, kept_free_percent: u32) -> Result<(), WaitReason> {
        let (Some(job), Some(view)) = (self.store.jobs.get(&step.job), self.steps.get(&step)) else {
            return Ok(());
        };
        let (job_spec, tasks) = (job.spec.clone(), view.waiting.len());
        let Some(spec) = job_spec.steps.get(step.step as usize) else {
            return Ok(());
        };
        let Some(queue) = self.queue_of(step.job) else {
            return Err(WaitReason::NoQueue);
        };
        let (advice, service) = (queue.advice.clone(), queue.service.clone());
        // A gang starts only when none of its members has a present run.
        if spec.gang && tasks < spec.tasks as usize {
            return Err(WaitReason::GangEnding);
        }
        let allowed = self.allowed_by_limit(step, spec, tasks);
        if allowed < tasks {
            self.preempt_for_limit(step, spec, &service);
        }
        if allowed == 0 || (spec.gang && allowed < spec.tasks as usize) {
            self.reservations.end(step);
            return Err(WaitReason::TeamLimit);
        }
        let waiting = self.steps.get(&step).into_iter().flat_map(|view| &view.waiting);
        let waiting: Vec<_> = waiting
            .map(|index| TaskKey { index: *index, step })
            .take(self.allowed_in_turn(step, spec, allowed))
            .collect();
        let usable = match advice {
            None => self.all_candidates(step, spec, &service),
            Some(_) => self.advised_candidates(step, spec, &service),
        };
        let starts = match spec.gang {
            true => self.choose_gang(step, spec, &waiting, usable, kept_free_percent),
            false => self.choose_single(step, spec, &waiting, usable, kept_free_percent),
        };
        let placed: usize = starts.values().map(Vec::len).sum();
        if placed > 0 {
            self.count_started(step, spec, placed);
            self.shares.end_turn(step);
            self.start(step, spec, starts);
        }
        let left = waiting.len() - placed;
        if left == 0 {
            self.reservations.end(step);
            return match placed {
                _ if placed == tasks => Ok(()),
                // The others had no turn.
                _ if placed < allowed => Err(WaitReason::NoCapacity),
                _ => Err(WaitReason::TeamLimit),
            };
        }
        if self.awaits_start_results(step, spec, &service, advice.is_some()) {
            return Err(WaitReason::AwaitsStartResults);
        }
        if self.needs_reservation(spec, &service)
            && let Some(reason) = self.reserve_room(step, spec, &service, advice.as_ref(), left)
        {
            return Err(reason);
        }
        let reason = match &advice {
            None => WaitReason::NoCapacity,
            Some(policy) => self.seek_workers(step, spec, &service, policy, left, kept_free_percent),
        };
        // What is left to urgent work is the room of runs that can continue elsewhere.
        let reserved = match reason {
            WaitReason::NoCapacity if self.may_preempt(step) => {
                self.reserve_room(step, spec, &service, advice.as_ref(), left)
            }
            _ => {
                self.reclaim_for(step, spec, &service, kept_free_percent);
                None
            }
        };
        Err(reserved.unwrap_or(reason))
    }

    /// Returns whether a step has the first priority of its service, and steps of a later one are open.
    fn may_preempt(&self, step: StepId) -> bool {
        let priority = self.steps.get(&step).map(|view| view.priority);
        self.is_first_priority(step) && priority < self.last_priority
    }

    /// Asks for advice on workers with room for the waiting tasks of a step. Returns what the step waits for
    /// then.
    fn seek_workers(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        policy: &AdvicePolicy,
        tasks: usize,
        kept_free_percent: u32,
    ) -> WaitReason {
        if let Some(reason) = self.advice_pause(step, policy) {
            return reason;
        }
        // Lasting tasks find room in their turn.
        if !spec.long_running && !self.is_urgent(step) {
            return match self.needs_reservation(spec, service) {
                true => self.request_advice_for_gang(step, spec, service, policy, tasks, kept_free_percent),
                false => self.request_advice_for_room(step, spec, service, policy, tasks, kept_free_percent),
            };
        }
        let candidates =
            self.candidates_for_advice(step, spec, service, kept_free_percent, MIN_WORKERS_PER_REQUEST);
        let all = if spec.gang { spec.tasks as usize } else { tasks };
        self.request_advice(step, spec, policy, all, &candidates)
    }

    /// Records the intent to start runs, and sends their start orders once it is committed.
    fn start(&mut self, step: StepId, spec: &StepSpec, starts: Starts) {
        let Some(job) = self.store.jobs.get(&step.job) else {
            return;
        };
        let payload = job.spec.payload.clone();
        let tasks = || starts.values().flatten();
        let last_run = |task: &TaskKey| job.task(*task).map_or(0, |task| task.last_run);
        let gang_number = tasks().map(last_run).max().unwrap_or(0) + 1;
        let checkpoint_of = |task: &TaskKey| {
            job.task(*task)
                .map(|task| task.checkpoint.clone())
                .unwrap_or_default()
        };
        let gang_checkpoint = tasks()
            .map(checkpoint_of)
            .find(|checkpoint| !checkpoint.is_empty());
        let mut orders = Vec::new();
        for (worker, tasks) in &starts {
            for task in tasks {
                let (number, checkpoint) = match spec.gang {
                    true => (gang_number, gang_checkpoint.clone().unwrap_or_default()),
                    false => (last_run(task) + 1, checkpoint_of(task)),
                };
                let run = RunId { number, task: *task };
                orders.push((worker.clone(), run, checkpoint));
            }
        }
        let view = self.steps.get(&step);
        let waited_ms = view.and_then(|view| view.wait_ms(self.now_ms)).unwrap_or(0);
        let waits = view.map(|view| view.waits.to_string()).unwrap_or_default();
        self.log(
            LogEvent::new("runs started")
                .job(step.job)
                .with("step", step)
                .with("runs", orders.len())
                .with("workers", starts.len())
                .with("waited_ms", waited_ms)
                .with("waits", waits)
                .with(
                    "configuration",
                    self.store
                        .configuration
                        .as_ref()
                        .map_or(0, |present| present.version),
                ),
        );
        for (worker, tasks) in starts {
            let numbers: BTreeMap<_, _> = orders.iter().map(|(_, run, _)| (run.task, run.number)).collect();
            let runs = tasks.into_iter().map(|task| RunId {
                number: numbers.get(&task).copied().unwrap_or(1),
                task,
            });
            self.propose(JobCommand::Start {
                runs: runs.collect(),
                worker,
            });
        }
        for (worker, run, checkpoint) in orders {
            if let Some(view) = self.steps.get_mut(&step) {
                view.waiting.remove(&run.task.index);
                view.advice.record_start();
            }
            self.add_run(run, &worker, RunState::Ordered);
            self.record_cold_start(&worker);
            self.send_start(&worker, run, checkpoint, payload.clone());
        }
    }

    fn send_start(&mut self, worker: &WorkerName, run: RunId, checkpoint: SmolStr, payload: SmolStr) {
        let step = self.steps.get(&run.task.step);
        let ticket = step
            .and_then(|view| view.advice.ticket(worker, self.now_ms))
            .cloned();
        if ticket.is_some() {
            self.record_ticket(run);
        }
        let Some(to) = self.callee(worker) else {
            return;
        };
        let (now_ms, lease_ms) = (self.now_ms, self.settings.lease_ms);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let deadline_ms = view.clock.map_or(0, |clock| clock.lower_bound_ms(now_ms)) + lease_ms;
        view.granted_until_ms = view.granted_until_ms.max(deadline_ms);
        view.unanswered_starts.insert(run);
        self.send_order(WorkerOrder::Start {
            checkpoint,
            deadline_ms,
            payload,
            run,
            ticket,
            to,
        });
    }
}
