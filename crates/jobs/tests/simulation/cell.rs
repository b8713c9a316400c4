//! Leaders, a log and workers on simulated time, with seeded faults.

use {
    crate::common::{self, UNIX_START_MS},
    fuchsiatack_jobs::{
        CallId, CellCall, Configuration, Effect, HoldKind, HoldReport, JobAction, JobCall, JobCommand,
        JobEvent, JobId, JobSpec, JobStore, Planner, PlannerSettings, Queue, RunId, StepSpec, TaskKey,
        WorkerCallError, WorkerOrder, WorkerReport,
    },
    fuchsiatack_model::{DataCenter, Resources, WorkerName},
    fuchsiatack_testkit::{JobWork, JobWorker},
    smol_str::SmolStr,
    std::collections::{BTreeMap, BTreeSet},
};

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 25;
/// Time from a worker's crash to the start of its next life. The planner relies on more than the
/// 500 ms for which it takes a worker that answered for the same life.
const RESTART_MS: u64 = 800;
const COMMIT_MS: u64 = 15;
/// Time after which a call counts as unanswered.
const ANSWER_LIMIT_MS: u64 = 350;
const HEARTBEAT_MS: u64 = 1_500;
const WORKERS: usize = 6;
const JOBS: u64 = 40;
const JOB_INTERVAL_MS: u64 = 200;
const ATTEMPTS: u32 = 3;
const TEAM_LIMIT_MILLIS: u32 = 60_000;

/// Which faults happen.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub crashes: bool,
    pub cuts: bool,
    pub failures: bool,
    pub hangs: bool,
    pub leader_changes: bool,
    pub lost_orders: bool,
}

impl Faults {
    pub fn all() -> Self {
        Self {
            crashes: true,
            cuts: true,
            failures: true,
            hangs: true,
            leader_changes: true,
            lost_orders: true,
        }
    }
}

/// Something that happens later, ordered by time.
#[derive(Debug)]
enum Later {
    /// An effect arrives at its worker; `answers` tells whether the answer comes back.
    Arrive {
        answers: bool,
        effect: Effect,
        leader: u64,
        sent_ms: u64,
    },
    /// An event reaches the leader of a term.
    Event { event: JobEvent, leader: u64 },
}

pub struct SimulatedCell {
    book: JobStore,
    /// Effects that wait for their commit.
    committing: Vec<(u64, Vec<JobCommand>, Vec<Effect>)>,
    done: BTreeSet<TaskKey>,
    faults: Faults,
    later: BTreeMap<(u64, u64), Later>,
    next_id: u64,
    /// Tasks whose done end the leader has told a worker to forget.
    noted: BTreeSet<TaskKey>,
    now_ms: u64,
    planner: Planner,
    random: u64,
    sequence: u64,
    specs: BTreeMap<JobId, JobSpec>,
    term: u64,
    pub violations: Vec<String>,
    workers: BTreeMap<WorkerName, JobWorker>,
}

impl SimulatedCell {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut book = JobStore::default();
        book.apply(&JobCommand::Configure(Box::new(configuration())));
        let planner = Planner::new(settings(), book.clone(), 1, 0, UNIX_START_MS);
        let workers = (0..WORKERS).map(|number| {
            let cores = [16_000, 32_000, 64_000][number % 3];
            (
                WorkerName::new(format!("w-{number}")),
                JobWorker::new(0, capacity(cores)),
            )
        });
        Self {
            book,
            committing: Vec::new(),
            done: BTreeSet::new(),
            faults,
            later: BTreeMap::new(),
            next_id: 0,
            noted: BTreeSet::new(),
            now_ms: 0,
            planner,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            sequence: 0,
            specs: BTreeMap::new(),
            term: 1,
            violations: Vec::new(),
            workers: workers.collect(),
        }
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Runs until every job has ended, at the latest until a time.
    pub fn run_until_idle(&mut self, end_ms: u64) {
        while self.now_ms < end_ms && self.unended() > 0 {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.pass_workers();
        self.inject_faults();
        self.submit_due();
        if self.now_ms.is_multiple_of(HEARTBEAT_MS) || self.now_ms == STEP_MS {
            self.heartbeats();
        }
        self.deliver();
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.planner.handle(self.now_ms, self.unix_ms(), JobEvent::Tick);
        }
        self.turn();
        self.commit();
        self.check_capacity();
    }

    pub fn end_faults(&mut self) {
        self.faults = Faults::default();
        self.workers
            .values_mut()
            .for_each(|worker| worker.cut_until_ms = 0);
    }

    /// Number of accepted jobs that have not ended.
    pub fn unended(&self) -> usize {
        self.book.jobs.values().filter(|job| job.ended.is_none()).count()
    }

    pub fn running_job(&self) -> Option<JobId> {
        let tasks = self.workers.values().flat_map(|worker| worker.running.iter());
        let long = tasks.filter(|(_, work)| work.done_ms > self.now_ms + 1_000);
        long.map(|(task, _)| task.step.job).next()
    }

    pub fn runs_on_workers(&self, job: JobId) -> bool {
        let mut tasks = self.workers.values().flat_map(|worker| worker.running.keys());
        tasks.any(|task| task.step.job == job)
    }

    pub fn cancel_and_lose_leader(&mut self, job: JobId) {
        self.book.apply(&JobCommand::Cancel {
            job,
            unix_ms: self.unix_ms(),
        });
        self.change_leader();
    }

    fn unix_ms(&self) -> u64 {
        UNIX_START_MS + self.now_ms
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    fn later(&mut self, at_ms: u64, what: Later) {
        self.next_id += 1;
        self.later.insert((at_ms, self.next_id), what);
    }

    fn pass_workers(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            for run in worker.pass(now_ms) {
                self.done.insert(run.task);
            }
        }
    }

    fn inject_faults(&mut self) {
        let names: Vec<_> = self.workers.keys().cloned().collect();
        let name = names[self.draw(names.len() as u64) as usize].clone();
        if self.faults.crashes && self.draw(400) == 0 {
            let now_ms = self.now_ms;
            let cores = self.workers[&name].capacity;
            // What ran there is gone, done ends that were not seen included.
            let mut fresh = JobWorker::new(now_ms, cores);
            fresh.born_unix_ms = now_ms;
            fresh.cut_until_ms = now_ms + RESTART_MS;
            self.workers.insert(name.clone(), fresh);
            self.forget_unseen(&name);
            self.break_connections(&name);
        }
        if self.faults.cuts && self.draw(400) == 0 {
            let length_ms = 200 + self.draw(7_000);
            let until_ms = self.now_ms + length_ms;
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.cut_until_ms = until_ms;
            }
        }
        if self.faults.hangs && self.draw(500) == 0 {
            let until_ms = self.now_ms + 500 + self.draw(5_000);
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.hang(until_ms);
            }
        }
        if self.faults.leader_changes && self.draw(700) == 0 {
            self.change_leader();
        }
    }

    /// Ends that nobody recorded may be repeated after a crash: only recorded ones are final.
    fn forget_unseen(&mut self, _worker: &WorkerName) {
        let book = &self.book;
        self.done.retain(|task| {
            let job = book.jobs.get(&task.step.job);
            job.and_then(|job| job.task(*task)).is_some_and(|task| task.done)
        });
    }

    /// A crash breaks the connections to a worker: orders on their way never arrive.
    fn break_connections(&mut self, worker: &WorkerName) {
        let later = std::mem::take(&mut self.later);
        for (key, what) in later {
            match what {
                Later::Arrive {
                    answers,
                    effect,
                    leader,
                    sent_ms,
                } if callee_of(&effect) == Some(worker) => {
                    if answers {
                        let event = unanswered(&effect, sent_ms);
                        self.later.insert(key, Later::Event { event, leader });
                    }
                }
                what => {
                    self.later.insert(key, what);
                }
            }
        }
    }

    fn change_leader(&mut self) {
        self.term += 1;
        // Commands whose commit is not known may survive or not.
        let keeps = self.draw(2) == 0;
        let committing = std::mem::take(&mut self.committing);
        if keeps {
            for (_, commands, _) in committing {
                commands.iter().for_each(|command| self.book.apply(command));
            }
        }
        self.planner = Planner::new(
            settings(),
            self.book.clone(),
            self.term,
            self.now_ms,
            self.unix_ms(),
        );
    }

    fn submit_due(&mut self) {
        let number = self.now_ms / JOB_INTERVAL_MS;
        if !self.now_ms.is_multiple_of(JOB_INTERVAL_MS) || number == 0 || number > JOBS {
            return;
        }
        let id = JobId(number);
        let spec = self.job(number);
        self.specs.insert(id, spec.clone());
        self.call(CellCall::Job(JobCall {
            action: JobAction::Submit(Box::new(spec)),
            host: "host".into(),
            key: Some("key".into()),
            path: SmolStr::new(format!("/q/{id}")),
        }));
    }

    fn job(&mut self, number: u64) -> JobSpec {
        let steps = 1 + self.draw(3) as u32;
        let steps = (0..steps).map(|step| StepSpec {
            demand: Resources {
                memory_bytes: 1 << 20,
                processors_millis: 500 + self.draw(8_000) as u32,
                ..Resources::NONE
            },
            depends_on: (0..step).collect(),
            estimated_ms: 100 + self.draw(1_500),
            gang: number.is_multiple_of(7),
            max_per_worker: number.is_multiple_of(5).then_some(2),
            tasks: 1 + self.draw(6) as u32,
            ..StepSpec::default()
        });
        JobSpec {
            payload: "payload".into(),
            schedule: None,
            steps: steps.collect(),
        }
    }

    fn call(&mut self, call: CellCall) {
        self.next_id += 1;
        let event = JobEvent::Called {
            call,
            id: CallId(self.next_id),
        };
        self.planner.handle(self.now_ms, self.unix_ms(), event);
    }

    fn heartbeats(&mut self) {
        let names: Vec<_> = self.workers.keys().cloned().collect();
        names.iter().for_each(|name| self.heartbeat(name));
    }

    fn heartbeat(&mut self, name: &WorkerName) {
        self.report(name, None);
    }

    /// Has a worker say that it leaves in a time.
    pub fn drain(&mut self, name: &WorkerName, remaining_ms: u64) {
        self.report(name, Some(remaining_ms));
    }

    /// Worker of a run that takes at least this much longer.
    pub fn worker_at_work(&self, left_ms: u64) -> Option<WorkerName> {
        let is_at_work = |worker: &JobWorker| {
            worker
                .running
                .values()
                .any(|work| work.done_ms > self.now_ms + left_ms)
        };
        self.workers
            .iter()
            .find(|(_, worker)| is_at_work(worker))
            .map(|(name, _)| name.clone())
    }

    /// Runs on a worker that end later than a time from now.
    pub fn runs_beyond(&self, name: &WorkerName, left_ms: u64) -> usize {
        let running = self.workers[name].running.values();
        running
            .filter(|work| work.done_ms > self.now_ms + left_ms)
            .count()
    }

    fn report(&mut self, name: &WorkerName, remaining_ms: Option<u64>) {
        let worker = &self.workers[name];
        if worker.cut_until_ms > self.now_ms {
            return;
        }
        self.sequence += 1;
        let report = WorkerReport {
            address: "127.0.0.1:1".parse().expect("a constant address"),
            started_unix_ms: worker.born_unix_ms,
            capacity: worker.capacity,
            clock_ms: worker.clock_ms(self.now_ms),
            data_center: DataCenter::new("a"),
            draining: remaining_ms.is_some(),
            labels: vec!["kind".into(), "rack".into()],
            machine: SmolStr::default(),
            name: name.clone(),
            remaining_ms,
            sequence: self.sequence,
            service: "service".into(),
        };
        self.call(CellCall::Heartbeat(Box::new(report)));
    }

    fn turn(&mut self) {
        let output = self.planner.take_output();
        if output.commands.is_empty() && output.after_commit.is_empty() {
            return;
        }
        let due_ms = self.now_ms + COMMIT_MS;
        self.committing
            .push((due_ms, output.commands, output.after_commit));
    }

    fn commit(&mut self) {
        let now_ms = self.now_ms;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.committing)
            .into_iter()
            .partition(|(due_ms, ..)| *due_ms <= now_ms);
        self.committing = waiting;
        for (_, commands, effects) in due {
            commands.iter().for_each(|command| self.book.apply(command));
            effects.into_iter().for_each(|effect| self.send(effect));
        }
    }

    fn send(&mut self, effect: Effect) {
        if matches!(effect, Effect::Advise { .. } | Effect::Respond { .. }) {
            return;
        }
        let (leader, sent_ms) = (self.term, self.now_ms);
        // A call without an answer is lost, or carried out seconds later.
        let fault = match self.faults.lost_orders {
            true => self.draw(20),
            false => u64::MAX,
        };
        let (answers, delay_ms) = match fault {
            0 => (false, 2_000 + self.draw(8_000)),
            1 => (false, 1 + self.draw(5)),
            _ => (true, 1 + self.draw(5)),
        };
        // A worker carries out late only what it received; one that is down receives nothing.
        let is_down = callee_of(&effect)
            .and_then(|name| self.workers.get(name))
            .is_none_or(|worker| worker.cut_until_ms > sent_ms);
        if !answers {
            let event = unanswered(&effect, sent_ms);
            self.later(sent_ms + ANSWER_LIMIT_MS, Later::Event { event, leader });
        }
        if !answers && is_down {
            return;
        }
        self.later(
            sent_ms + delay_ms,
            Later::Arrive {
                answers,
                effect,
                leader,
                sent_ms,
            },
        );
    }

    fn deliver(&mut self) {
        while let Some(((at_ms, _), _)) = self.later.first_key_value()
            && *at_ms <= self.now_ms
        {
            match self.later.pop_first() {
                Some((
                    _,
                    Later::Arrive {
                        answers,
                        effect,
                        leader,
                        sent_ms,
                    },
                )) => self.arrive(effect, leader, sent_ms, answers),
                Some((_, Later::Event { event, leader })) if leader == self.term => {
                    self.planner.handle(self.now_ms, self.unix_ms(), event);
                }
                _ => {}
            }
        }
    }

    fn arrive(&mut self, effect: Effect, leader: u64, sent_ms: u64, answers: bool) {
        let now_ms = self.now_ms;
        let Some(name) = callee_of(&effect).cloned() else {
            return;
        };
        let is_cut = self
            .workers
            .get(&name)
            .is_none_or(|worker| worker.cut_until_ms > now_ms);
        if is_cut {
            if answers {
                let event = unanswered(&effect, sent_ms);
                self.later(now_ms + ANSWER_LIMIT_MS, Later::Event { event, leader });
            }
            return;
        }
        let event = match effect {
            Effect::Order(WorkerOrder::Hold {
                deadline_ms,
                kind,
                last_seen,
                to,
                ..
            }) => {
                let worker = self.workers.get_mut(&name).expect("workers stay");
                let result = worker.hold(now_ms, to.fencing_token, deadline_ms, last_seen);
                let noted = std::mem::take(&mut worker.noted);
                self.noted.extend(noted.iter().map(|run| run.task));
                held(name, kind, sent_ms, result)
            }
            Effect::Order(WorkerOrder::Start {
                deadline_ms, run, to, ..
            }) => {
                let result = self.start(&name, to.fencing_token, deadline_ms, run);
                JobEvent::Started {
                    result,
                    run,
                    worker: name,
                }
            }
            Effect::Order(WorkerOrder::Stop { run, to }) => {
                let worker = self.workers.get_mut(&name).expect("workers stay");
                let result = worker.stop(now_ms, to.fencing_token, run);
                JobEvent::Stopped {
                    result,
                    run,
                    worker: name,
                }
            }
            Effect::Advise { .. } | Effect::Respond { .. } => return,
        };
        if answers {
            let delay_ms = 1 + self.draw(5);
            self.later(now_ms + delay_ms, Later::Event { event, leader });
        }
    }

    fn start(
        &mut self,
        name: &WorkerName,
        fence: u64,
        deadline_ms: u64,
        run: RunId,
    ) -> Result<u64, WorkerCallError> {
        let now_ms = self.now_ms;
        let fails = self.faults.failures && self.draw(12) == 0;
        let step = self.specs[&run.task.step.job].steps[run.task.step.step as usize].clone();
        let length_ms = step.estimated_ms / 2 + self.draw(step.estimated_ms);
        let work = JobWork {
            done_ms: now_ms + length_ms,
            fails,
            number: run.number,
            reserved: step.demand,
            since_ms: now_ms,
        };
        let worker = self.workers.get_mut(name).expect("workers stay");
        let before = worker.running.len();
        let result = worker.start(now_ms, fence, deadline_ms, run, work);
        if worker.running.len() > before {
            self.check_start(name, run, &step);
        }
        result
    }

    fn check_start(&mut self, on: &WorkerName, run: RunId, step: &StepSpec) {
        let runs_elsewhere = self
            .workers
            .iter()
            .any(|(name, worker)| name != on && worker.running.contains_key(&run.task));
        if runs_elsewhere {
            self.violations
                .push(format!("{run} runs in two places at {} ms", self.now_ms));
        }
        // A done end that was recorded must never be followed by a start.
        let job = self.book.jobs.get(&run.task.step.job);
        let is_done = |task: &TaskKey| job.and_then(|job| job.task(*task)).is_some_and(|task| task.done);
        // Members of a simulated gang end one by one, so that a late one may start after the first
        // end, which stands for all. Real members work only while all are present.
        if is_done(&run.task) && !step.gang {
            self.violations.push(format!("{run} starts after it was done"));
        }
        if self.noted.contains(&run.task) {
            self.violations
                .push(format!("{run} starts after its done end was seen"));
        }
        let waits = job.is_none_or(|job| {
            let occurrence = run.task.step.occurrence;
            step.depends_on
                .iter()
                .any(|earlier| !job.is_step_done(occurrence, *earlier))
        });
        if waits {
            self.violations
                .push(format!("{run} starts before the steps it depends on"));
        }
        let failures = job
            .and_then(|job| job.task(run.task))
            .map_or(0, |task| task.failures);
        if failures >= ATTEMPTS {
            self.violations
                .push(format!("{run} starts after {failures} failures"));
        }
        let on_worker = self.workers[on]
            .running
            .keys()
            .filter(|task| task.step == run.task.step)
            .count();
        if step
            .max_per_worker
            .is_some_and(|limit| on_worker > limit as usize)
        {
            self.violations
                .push(format!("{run} makes {on_worker} tasks of its step on {on}"));
        }
    }

    fn check_capacity(&mut self) {
        let mut total = Resources::NONE;
        for (name, worker) in &self.workers {
            let used = worker.used();
            total = total.plus(&used);
            if !worker.capacity.covers(&used) {
                self.violations
                    .push(format!("{name} is overfull at {} ms", self.now_ms));
            }
        }
        if total.processors_millis > TEAM_LIMIT_MILLIS {
            self.violations
                .push(format!("the team has {} millis running", total.processors_millis));
        }
    }
}

fn callee_of(effect: &Effect) -> Option<&WorkerName> {
    match effect {
        Effect::Order(order) => Some(&order.to().worker),
        Effect::Advise { .. } | Effect::Respond { .. } => None,
    }
}

fn settings() -> PlannerSettings {
    PlannerSettings::default()
}

fn capacity(processors_millis: u32) -> Resources {
    Resources {
        memory_bytes: 64 << 30,
        processors_millis,
        ..Resources::NONE
    }
}

/// The configuration of the other tests, with a limit of the team.
fn configuration() -> Configuration {
    let mut configuration = common::configuration(Queue {
        max_attempts: ATTEMPTS,
        ..common::queue()
    });
    configuration.teams[0].limit = capacity_limit();
    configuration
}

fn capacity_limit() -> Resources {
    Resources {
        processors_millis: TEAM_LIMIT_MILLIS,
        ..Resources::NONE
    }
}

fn held(
    worker: WorkerName,
    kind: HoldKind,
    sent_ms: u64,
    result: Result<HoldReport, WorkerCallError>,
) -> JobEvent {
    JobEvent::Held {
        kind,
        result,
        sent_ms,
        worker,
    }
}

fn unanswered(effect: &Effect, sent_ms: u64) -> JobEvent {
    match effect {
        Effect::Order(order) => {
            let reply = order.failed(WorkerCallError::Unanswered);
            order.clone().event(sent_ms, reply)
        }
        Effect::Advise { .. } | Effect::Respond { .. } => JobEvent::Tick,
    }
}
