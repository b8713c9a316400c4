//! Invariants that hold after every event, checked against an independent model of the running tasks.

mod common;

use {
    common::{id, inherited, slots_only},
    fuchsiatack_kernel::{Decision, Event, Kernel, KernelSettings, PeerLoad, Submission, TaskEnd},
    fuchsiatack_model::{Epoch, Policy, Resources, TaskClass, TaskId, TeamName, WorkerName},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::collections::{BTreeMap, HashMap, HashSet},
};

const TEAMS: u8 = 4;
const WORKERS: u8 = 4;

/// One random step. Its numbers are reduced to what exists in the model, so that every step is valid
/// in any state.
#[derive(Clone, Debug)]
struct Step {
    amount: u8,
    kind: u8,
    pick: u8,
    wait_ms: u16,
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let wait_ms = u16::arbitrary(random);
        Self {
            amount: u8::arbitrary(random),
            kind: u8::arbitrary(random),
            pick: u8::arbitrary(random),
            wait_ms: if u8::arbitrary(random) < 25 {
                wait_ms
            } else {
                wait_ms % 20
            },
        }
    }
}

/// State of a task in the model.
#[derive(Clone, Default)]
struct ModelTask {
    awaits_end: bool,
    connection_lost: bool,
    deadline_us: Option<u64>,
    demand: u32,
    finished: bool,
    gang: Vec<u64>,
    idempotent: bool,
    inherited: bool,
    may_forward: bool,
    may_start: bool,
    owner_changed: bool,
    ran: bool,
    stopped: bool,
    team: u8,
    worker: Option<u8>,
}

#[derive(Clone, Default)]
struct ModelWorker {
    capacity: u32,
    draining: bool,
    epoch: u64,
    frozen: HashMap<u8, u32>,
    releasing: bool,
    unreachable: bool,
}

#[derive(Default)]
struct ModelTeam {
    has_record: bool,
    limited: bool,
    returned: u32,
    tokens: u32,
}

#[derive(Default)]
struct Model {
    draining_workers: HashSet<u8>,
    epoch: u64,
    kernel: Kernel,
    lease: bool,
    next: u64,
    now_us: u64,
    tasks: BTreeMap<u64, ModelTask>,
    teams: HashMap<u8, ModelTeam>,
    workers: BTreeMap<u8, ModelWorker>,
}

fn team_name(team: u8) -> TeamName {
    TeamName::new(format!("team-{team}"))
}

fn worker_name(worker: u8) -> WorkerName {
    WorkerName::new(format!("worker-{worker}"))
}

fn index_of(name: &str) -> u8 {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

impl Model {
    fn new(seed: u64) -> Self {
        let settings = KernelSettings {
            seed,
            ..KernelSettings::default()
        };
        Self {
            kernel: Kernel::new(settings),
            ..Self::default()
        }
    }

    fn used(&self, worker: u8) -> u32 {
        let on = |task: &&ModelTask| task.worker == Some(worker);
        self.tasks.values().filter(on).map(|task| task.demand).sum()
    }

    fn used_tokens(&self, team: u8) -> u32 {
        let running = self
            .tasks
            .values()
            .filter(|task| task.worker.is_some() && task.team == team);
        let frozen = self
            .workers
            .values()
            .filter_map(|worker| worker.frozen.get(&team));
        running.count() as u32 + frozen.sum::<u32>()
    }

    fn send(&mut self, event: Event) -> Result<(), String> {
        let shown = format!("{event:?}");
        let mut decisions = Vec::new();
        self.kernel.handle(self.now_us, event, &mut decisions);
        let mut started = Vec::new();
        for decision in decisions {
            self.check(&decision, &mut started)
                .map_err(|problem| format!("{problem}: {decision:?} after {shown}"))?;
        }
        for task in &started {
            let gang = &self.tasks[task].gang;
            if !gang.iter().all(|member| started.contains(member)) {
                return Err(format!("only a part of a gang started after {shown}"));
            }
        }
        for task in started {
            self.tasks.get_mut(&task).unwrap().gang.clear();
        }
        self.compare_usage()
            .map_err(|problem| format!("{problem} after {shown}"))
    }

    fn check(&mut self, decision: &Decision, started: &mut Vec<u64>) -> Result<(), &'static str> {
        match decision {
            Decision::Start { epoch, task, worker } => self.check_start(*epoch, *task, worker, started),
            Decision::Refuse { task, .. } | Decision::Forward { task, .. } => {
                let task = self.tasks.get_mut(&task.sequence).ok_or("unknown task")?;
                let may_leave = task.may_forward || matches!(decision, Decision::Refuse { .. });
                let valid = task.may_start && !task.ran && may_leave;
                task.may_start = false;
                task.finished = true;
                valid
                    .then_some(())
                    .ok_or("refused a task that was started, or forwarded one twice")
            }
            Decision::Abandon { task } => {
                let task = self.tasks.get_mut(&task.sequence).ok_or("unknown task")?;
                let valid = (task.ran || task.awaits_end) && task.worker.is_none() && !task.finished;
                task.may_start = false;
                task.finished = true;
                valid
                    .then_some(())
                    .ok_or("abandoned a task that never ran or still runs")
            }
            Decision::ReturnTokens { team, tokens } => {
                let team = self
                    .teams
                    .get_mut(&index_of(team.as_str()))
                    .ok_or("unknown team")?;
                team.returned += tokens;
                (team.returned <= team.tokens)
                    .then_some(())
                    .ok_or("returned too many tokens")
            }
            Decision::Stop { task, worker } => {
                let task = self.tasks.get_mut(&task.sequence).ok_or("unknown task")?;
                task.stopped = true;
                (task.worker == Some(index_of(worker.as_str())))
                    .then_some(())
                    .ok_or("stopped on a worker that does not run the task")
            }
            Decision::Blocked { .. } => Ok(()),
        }
    }

    fn check_start(
        &mut self,
        epoch: Epoch,
        task: TaskId,
        worker: &WorkerName,
        started: &mut Vec<u64>,
    ) -> Result<(), &'static str> {
        let worker_number = index_of(worker.as_str());
        let target = self
            .workers
            .get(&worker_number)
            .ok_or("started on a removed worker")?;
        if !self.lease || target.draining || target.releasing || target.unreachable {
            return Err("started without lease or on an unusable worker");
        }
        if target.epoch != epoch.0 {
            return Err("started under another epoch");
        }
        let capacity = target.capacity;
        let entry = self.tasks.get_mut(&task.sequence).ok_or("unknown task")?;
        if !entry.may_start || entry.worker.is_some() {
            return Err("started twice");
        }
        if entry
            .deadline_us
            .is_some_and(|deadline_us| deadline_us <= self.now_us)
        {
            return Err("started after its deadline");
        }
        entry.may_start = false;
        entry.may_forward = false;
        entry.worker = Some(worker_number);
        let team = entry.team;
        started.push(task.sequence);
        let pool = &self.teams[&team];
        if pool.limited && self.used_tokens(team) > pool.tokens - pool.returned {
            return Err("more running tasks than tokens");
        }
        (self.used(worker_number) <= capacity)
            .then_some(())
            .ok_or("capacity of the worker exceeded")
    }

    fn compare_usage(&self) -> Result<(), String> {
        for (team, running, _) in self.kernel.team_usage() {
            let team_number = index_of(team.as_str());
            let runs = |task: &&ModelTask| task.worker.is_some() && task.team == team_number;
            let expected = self.tasks.values().filter(runs).count() as u32;
            if running != expected {
                return Err(format!("{team} runs {expected}, the kernel counts {running}"));
            }
        }
        Ok(())
    }

    /// Ends an attempt of which the kernel learns by an event about its worker, not by the end of a call.
    fn end_attempt(&mut self, task: u64) {
        let entry = self.tasks.get_mut(&task).unwrap();
        entry.worker = None;
        if entry.connection_lost {
            entry.connection_lost = false;
            entry.ran = true;
            entry.may_start = entry.idempotent;
            entry.finished = !entry.idempotent;
        } else if entry.inherited {
            entry.finished = true;
        } else {
            entry.awaits_end = true;
        }
    }

    fn running_on(&self, worker: u8) -> Vec<u64> {
        let on = |entry: &(&u64, &ModelTask)| entry.1.worker == Some(worker);
        self.tasks.iter().filter(on).map(|(task, _)| *task).collect()
    }

    fn picked(&self, pick: u8, wanted: impl Fn(&ModelTask) -> bool) -> Option<u64> {
        let found: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, task)| wanted(task))
            .map(|(task, _)| *task)
            .collect();
        (!found.is_empty()).then(|| found[pick as usize % found.len()])
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        self.now_us += u64::from(step.wait_ms) * 1_000;
        let worker = step.pick % WORKERS;
        let team = step.pick % TEAMS;
        match step.kind % 64 {
            0..24 => self.submit(step),
            24..40 => self.end(step),
            40..43 => self.attach(worker, step.amount),
            43 => self.remove(worker),
            44..46 => self.set_team(team, step.amount),
            46..49 => self.set_tokens(team, step.amount),
            49 => self.set_token_target(team, step.amount),
            50 => self.release(worker),
            51 => self.detach(worker),
            52 => self.drain(worker, step.amount.is_multiple_of(2)),
            53 => self.unreachable(worker),
            54..57 => self.report(worker, step.amount),
            57 => self.lease(!step.amount.is_multiple_of(3)),
            58 => self.cancel(step.pick),
            59 => self.send(Event::FleetUsage {
                running: u32::from(step.amount),
                team: team_name(team),
            }),
            60 => self.send(Event::PeerLoadReceived(PeerLoad {
                daemon: format!("peer-{worker}").as_str().into(),
                free_slots: u32::from(step.amount % 4),
                token_teams: vec![team_name(team)],
                waiting: 0,
            })),
            61 if step.amount.is_multiple_of(4) => self.remove_team(team),
            _ => self.send(Event::Tick),
        }
    }

    fn submit(&mut self, step: &Step) -> Result<(), String> {
        let policy =
            [Policy::Interactive, Policy::Service, Policy::Gang, Policy::Batch][(step.amount % 4) as usize];
        let size = if policy == Policy::Gang {
            1 + u64::from(step.amount / 4 % 5)
        } else {
            1
        };
        let demand = 1 + u32::from(step.amount / 16 % 3);
        let team = step.pick % TEAMS;
        let tasks: Vec<u64> = (1..=size).map(|offset| self.next + offset).collect();
        self.next += size;
        let idempotent = step.pick % 8 > 1;
        let deadline_us = step
            .pick
            .is_multiple_of(3)
            .then_some(self.now_us + u64::from(step.amount) * 20_000);
        let may_forward = step.pick.is_multiple_of(5);
        for task in &tasks {
            let entry = ModelTask {
                deadline_us,
                demand,
                gang: tasks.clone(),
                idempotent,
                may_forward,
                may_start: true,
                team,
                ..ModelTask::default()
            };
            self.tasks.insert(*task, entry);
        }
        self.send(Event::Submit(Submission {
            class: TaskClass {
                demand: slots_only(demand),
                idempotent,
                policy,
            },
            deadline_us,
            may_forward,
            tasks: tasks.into_iter().map(id).collect(),
            team: team_name(team),
        }))
    }

    fn end(&mut self, step: &Step) -> Result<(), String> {
        let calls = |task: &ModelTask| {
            (task.worker.is_some() && !task.connection_lost && !task.inherited)
                || (task.awaits_end && !task.finished)
        };
        let Some(task) = self.picked(step.pick, calls) else {
            return Ok(());
        };
        let end = match step.amount % 8 {
            0 => TaskEnd::Failed,
            1 => TaskEnd::ConnectionLost,
            2 => TaskEnd::Refused,
            _ => TaskEnd::Done,
        };
        let worker = self.tasks[&task].worker;
        let entry = self.tasks.get_mut(&task).unwrap();
        let detached = std::mem::take(&mut entry.awaits_end);
        match end {
            TaskEnd::ConnectionLost if !detached => entry.connection_lost = true,
            TaskEnd::ConnectionLost => {
                entry.ran = true;
                entry.may_start = entry.idempotent && !entry.owner_changed;
            }
            TaskEnd::Refused => entry.may_start = true,
            TaskEnd::Failed if entry.stopped && entry.idempotent => {
                entry.ran = true;
                entry.may_start = true;
            }
            _ => entry.finished = true,
        }
        entry.owner_changed = false;
        entry.stopped = false;
        if !entry.connection_lost {
            entry.worker = None;
            let team = entry.team;
            let target = worker.and_then(|worker| self.workers.get_mut(&worker));
            if let Some(target) = target.filter(|target| target.releasing) {
                *target.frozen.entry(team).or_default() += 1;
            }
        }
        self.send(Event::TaskEnded {
            end,
            run_us: u64::from(step.amount) * 1_000,
            task: id(task),
        })
    }

    fn attach(&mut self, worker: u8, amount: u8) -> Result<(), String> {
        let mut running = Vec::new();
        for task in self.running_on(worker) {
            if task.is_multiple_of(2) {
                let entry = &self.tasks[&task];
                let mut listed = inherited(task, team_name(entry.team).as_str());
                listed.demand = slots_only(entry.demand);
                running.push(listed);
            } else {
                self.end_attempt(task);
            }
        }
        let capacity = 1 + u32::from(amount % 6);
        if amount.is_multiple_of(4) {
            self.next += 1;
            let team = amount % TEAMS;
            self.teams.entry(team).or_default();
            let entry = ModelTask {
                demand: 1,
                inherited: true,
                worker: Some(worker),
                team,
                ..ModelTask::default()
            };
            self.tasks.insert(self.next, entry);
            running.push(inherited(self.next, team_name(team).as_str()));
        }
        self.epoch += 1;
        let entry = ModelWorker {
            capacity,
            draining: self.draining_workers.contains(&worker),
            epoch: self.epoch,
            ..ModelWorker::default()
        };
        self.workers.insert(worker, entry);
        self.send(Event::WorkerAttached {
            capacity: Resources {
                connections: 64,
                ..slots_only(capacity)
            },
            data_center: "zone".into(),
            epoch: Epoch(self.epoch),
            rack: "rack".into(),
            running,
            speed_millis: 500 + u32::from(amount) * 10,
            worker: worker_name(worker),
        })
    }

    fn remove(&mut self, worker: u8) -> Result<(), String> {
        for task in self.running_on(worker) {
            self.end_attempt(task);
        }
        self.workers.remove(&worker);
        self.send(Event::WorkerRemoved {
            worker: worker_name(worker),
        })
    }

    fn detach(&mut self, worker: u8) -> Result<(), String> {
        if !self.workers.get(&worker).is_some_and(|worker| worker.releasing) {
            return Ok(());
        }
        let mut moved: BTreeMap<u8, u32> = BTreeMap::new();
        for task in self.running_on(worker) {
            let entry = self.tasks.get_mut(&task).unwrap();
            *moved.entry(entry.team).or_default() += 1;
            entry.worker = None;
            entry.ran |= entry.connection_lost;
            entry.finished = entry.inherited || (entry.connection_lost && !entry.idempotent);
            entry.awaits_end = !entry.inherited && !entry.connection_lost;
            entry.owner_changed = entry.awaits_end;
        }
        self.workers.remove(&worker);
        for (team, tokens) in &moved {
            let pool = self.teams.get_mut(team).unwrap();
            pool.tokens = pool.tokens.saturating_sub(*tokens).max(pool.returned);
        }
        self.send(Event::WorkerDetached {
            moved_tokens: moved
                .into_iter()
                .map(|(team, tokens)| (team_name(team), tokens))
                .collect(),
            worker: worker_name(worker),
        })
    }

    fn set_team(&mut self, team: u8, amount: u8) -> Result<(), String> {
        let pool = self.teams.entry(team).or_default();
        pool.limited = amount.is_multiple_of(2);
        pool.has_record = true;
        self.send(Event::TeamSet {
            limited: amount.is_multiple_of(2),
            max_waiting: 50,
            team: team_name(team),
            weight_millis: 1_000 + u32::from(amount),
        })
    }

    /// Confirms all returns of tokens, as the ledger does, and then sets the pool size from `amount`.
    fn set_tokens(&mut self, team: u8, amount: u8) -> Result<(), String> {
        let pool = self.teams.entry(team).or_default();
        let returned = std::mem::take(&mut pool.returned);
        pool.tokens -= returned;
        let applied = pool.tokens;
        self.send_tokens(team, applied)?;
        self.send(Event::TokensReturned {
            team: team_name(team),
            tokens: returned,
        })?;
        let pool = self.teams.get_mut(&team).unwrap();
        pool.tokens = u32::from(amount % 12);
        pool.returned = 0;
        self.send_tokens(team, u32::from(amount % 12))
    }

    fn send_tokens(&mut self, team: u8, tokens: u32) -> Result<(), String> {
        self.send(Event::TokensSet {
            team: team_name(team),
            tokens,
        })
    }

    fn set_token_target(&mut self, team: u8, amount: u8) -> Result<(), String> {
        self.send(Event::TokenTargetSet {
            target: u32::from(amount % 8),
            team: team_name(team),
        })
    }

    fn change(&mut self, worker: u8, change: impl Fn(&mut ModelWorker)) {
        self.workers.get_mut(&worker).into_iter().for_each(change);
    }

    fn release(&mut self, worker: u8) -> Result<(), String> {
        self.change(worker, |worker| worker.releasing = true);
        self.send(Event::WorkerReleasing {
            worker: worker_name(worker),
        })
    }

    fn drain(&mut self, worker: u8, draining: bool) -> Result<(), String> {
        match draining {
            true => self.draining_workers.insert(worker),
            false => self.draining_workers.remove(&worker),
        };
        self.change(worker, |worker| worker.draining = draining);
        self.send(Event::WorkerDraining {
            draining,
            worker: worker_name(worker),
        })
    }

    fn unreachable(&mut self, worker: u8) -> Result<(), String> {
        self.change(worker, |worker| worker.unreachable = true);
        self.send(Event::WorkerUnreachable {
            worker: worker_name(worker),
        })
    }

    fn report(&mut self, worker: u8, amount: u8) -> Result<(), String> {
        let Some(target) = self.workers.get_mut(&worker) else {
            return Ok(());
        };
        target.unreachable = false;
        let releasing = target.releasing;
        let mut running = Vec::new();
        for task in self.running_on(worker) {
            let entry = &self.tasks[&task];
            let ends = (entry.connection_lost || entry.inherited) && amount.is_multiple_of(2);
            if !ends {
                running.push(id(task));
                continue;
            }
            let team = entry.team;
            self.end_attempt(task);
            if releasing {
                *self
                    .workers
                    .get_mut(&worker)
                    .unwrap()
                    .frozen
                    .entry(team)
                    .or_default() += 1;
            }
        }
        self.send(Event::WorkerReported {
            running,
            worker: worker_name(worker),
        })
    }

    fn lease(&mut self, valid: bool) -> Result<(), String> {
        self.lease = valid;
        self.send(Event::LeaseChanged { valid })
    }

    fn cancel(&mut self, pick: u8) -> Result<(), String> {
        let Some(task) = self.picked(pick, |task| !task.finished && !task.inherited) else {
            return Ok(());
        };
        self.send(Event::Cancel { task: id(task) })
    }

    fn remove_team(&mut self, team: u8) -> Result<(), String> {
        self.send(Event::TeamRemoved {
            team: team_name(team),
        })
    }
}

/// Guards against starts beyond capacity or tokens, without lease, on unusable workers, twice, or of
/// a part of a gang; against refusals of started tasks; and against counts of running tasks that
/// differ from the model.
#[test]
fn invariants_hold_after_every_event() {
    fn invariants(seed: u64, steps: Vec<Step>) -> Result<bool, String> {
        let mut model = Model::new(seed);
        model.lease(true)?;
        for worker in 0..WORKERS {
            model.attach(worker, 5 + 4 * worker + 1)?;
        }
        for team in 0..TEAMS {
            model.set_team(team, team)?;
            model.set_tokens(team, 6)?;
        }
        for step in &steps {
            model.step(step)?;
        }
        Ok(true)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 7))
        .tests(600)
        .quickcheck(invariants as fn(u64, Vec<Step>) -> Result<bool, String>);
}
