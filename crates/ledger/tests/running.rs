//! Number of running tasks of a team in a simulated cell whose daemons and workers crash.

mod support;

use {
    fuchsiatack_ledger::{Change, Command},
    fuchsiatack_model::{Epoch, SessionId},
    quickcheck::{Gen, QuickCheck},
    std::collections::BTreeMap,
    support::{Byte, Cell, end, lost, release},
};

const LIMIT: u32 = 10;

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

/// The action, and two numbers that select a worker and a session.
type Step = (Byte, Byte, Byte);

/// State of a simulated worker.
#[derive(Default)]
struct Worker {
    /// Highest epoch that an owner has presented.
    epoch: Epoch,
    /// Number of running tasks reported for an epoch whose fence is not committed yet.
    report: Option<u32>,
    running: u32,
}

/// State of a simulated daemon.
#[derive(Default)]
struct Daemon {
    /// Workers that the daemon has fenced, with their epoch.
    attached: BTreeMap<&'static str, Epoch>,
    /// Number of running tasks on workers that the daemon released, until the new owner's fence is
    /// committed. Their tokens must not be used for other tasks.
    frozen: BTreeMap<&'static str, u32>,
    tokens: u32,
}

#[derive(Default)]
struct Model {
    cell: Cell,
    daemons: BTreeMap<SessionId, Daemon>,
    workers: BTreeMap<&'static str, Worker>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self::default();
        model.cell.limit("red", 0, LIMIT);
        for name in ["a", "b", "c"] {
            model.open(name);
        }
        for worker in WORKERS {
            model.workers.insert(worker, Worker::default());
        }
        model
    }

    fn open(&mut self, name: &str) {
        let session = self.cell.open(name);
        self.daemons.insert(session, Daemon::default());
        self.deliver();
    }

    fn apply(&mut self, command: Command) {
        self.cell.apply(command);
        self.deliver();
    }

    /// Delivers the changes of the last command to the daemons.
    fn deliver(&mut self) {
        for sent in &self.cell.changes {
            if let Change::DaemonLeft { session } = &sent.change {
                self.daemons.remove(session);
            }
        }
        for (session, daemon) in &mut self.daemons {
            for change in self.cell.sent_to(*session) {
                match change {
                    Change::TokensSet { tokens, .. } => daemon.tokens = *tokens,
                    Change::WorkerDetached { worker, .. } => {
                        daemon.frozen.remove(worker.as_str());
                        daemon.attached.remove(worker.as_str());
                    }
                    _ => {}
                }
            }
        }
        self.cell.changes.clear();
    }

    /// Returns the number of a daemon's tokens that are neither used by a task nor frozen.
    fn idle_tokens(&self, session: SessionId) -> u32 {
        let daemon = &self.daemons[&session];
        let running = daemon.attached.keys().map(|worker| self.workers[worker].running);
        let used: u32 = running.chain(daemon.frozen.values().copied()).sum();
        daemon.tokens.saturating_sub(used)
    }

    fn owner(&self, worker: &str) -> Option<(SessionId, Epoch)> {
        let workers = self.cell.status().workers;
        let entry = workers
            .into_iter()
            .find(|entry| entry.announcement.name.as_str() == worker)?;
        Some((entry.owner?, entry.epoch))
    }

    fn step(&mut self, (Byte(action), Byte(first), Byte(second)): Step) {
        let worker = WORKERS[usize::from(first) % WORKERS.len()];
        let sessions: Vec<SessionId> = self.daemons.keys().copied().collect();
        let session = sessions[usize::from(second) % sessions.len()];
        let owner = self.owner(worker);
        match (action % 64, owner) {
            (0, _) => self.open(["a", "b", "c"][usize::from(second % 3)]),
            (1, _) if sessions.len() > 1 => self.apply(end(session)),
            (2, Some((_, epoch))) => {
                *self.workers.get_mut(worker).unwrap() = Worker {
                    epoch,
                    ..Worker::default()
                };
                for daemon in self.daemons.values_mut() {
                    daemon.attached.remove(worker);
                }
                self.apply(lost(worker, epoch));
            }
            (3 | 4, Some((owner, _))) => self.release(worker, owner),
            (5..=8, _) => drop(self.cell.grant(session, "red", u32::from(first % 8))),
            (9, _) => {
                let tokens = self.idle_tokens(session).min(second.into());
                self.daemons.get_mut(&session).unwrap().tokens -= tokens;
                let command = self.cell.return_tokens(session, "red", tokens);
                self.apply(command);
            }
            (10..=29, None) => {
                self.cell.register(worker);
                let worker = worker.into();
                self.apply(Command::AssignWorker { session, worker });
            }
            (10..=19, Some((_, epoch))) => {
                let worker = self.workers.get_mut(worker).unwrap();
                if epoch > worker.epoch {
                    (worker.epoch, worker.report) = (epoch, Some(worker.running));
                }
            }
            (20..=29, Some((owner, epoch))) => self.commit_fence(worker, owner, epoch),
            (30..=56, _) => self.start(worker, second),
            _ => {
                let worker = self.workers.get_mut(worker).unwrap();
                worker.running = worker.running.saturating_sub(1);
            }
        }
        self.deliver();
    }

    fn commit_fence(&mut self, name: &'static str, owner: SessionId, epoch: Epoch) {
        let worker = self.workers.get_mut(name).unwrap();
        if worker.epoch == epoch
            && let Some(running) = worker.report.take()
        {
            self.cell.fence(name, epoch, &[("red", running)]);
            self.deliver();
            self.daemons.get_mut(&owner).unwrap().attached.insert(name, epoch);
        }
    }

    fn release(&mut self, worker: &'static str, owner: SessionId) {
        let daemon = self.daemons.get_mut(&owner).unwrap();
        if daemon.attached.remove(worker).is_some() {
            daemon.frozen.insert(worker, self.workers[worker].running);
            self.apply(release(worker, owner));
        }
    }

    /// Starts tasks on a worker while its daemon has idle tokens. Every daemon that has the worker
    /// attached tries; the worker accepts only tasks under its current epoch.
    fn start(&mut self, worker: &'static str, count: u8) {
        let sessions: Vec<SessionId> = self.daemons.keys().copied().collect();
        for session in sessions {
            for _ in 0..count % 4 {
                let epoch = self.daemons[&session].attached.get(worker).copied();
                if self.idle_tokens(session) > 0 && epoch == Some(self.workers[worker].epoch) {
                    self.workers.get_mut(worker).unwrap().running += 1;
                }
            }
        }
    }
}

/// Guards against a sequence of crashes, hand-overs and losses after which a team runs more tasks
/// than its limit.
#[test]
fn a_team_never_runs_more_than_its_limit() {
    fn property(steps: Vec<Step>) {
        let mut model = Model::new();
        for step in steps {
            model.step(step);
            let running: u32 = model.workers.values().map(|worker| worker.running).sum();
            assert!(running <= LIMIT, "{running} tasks run after {step:?}");
        }
    }
    let random = Gen::from_size_and_seed(1_500, 3);
    QuickCheck::new()
        .rng(random)
        .tests(200)
        .quickcheck(property as fn(Vec<Step>));
}
