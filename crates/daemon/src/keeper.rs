//! Ownership of one worker: presents the epoch, renews the task lease, notices a lost worker.

use {
    crate::{
        engine_message::{EngineMessage, Owned},
        shared::Shared,
        worker_adapter::WorkerError,
    },
    fuchsiatack_ledger::{Command, TeamCount, WorkerEntry},
    fuchsiatack_model::{EpochRequest, LeaseRequest, LogIndex, SessionId, TeamName, WorkerReport},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::{
        sync::Notify,
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// First pause after a failed call to a worker; it doubles up to `MAX_RETRY_DELAY`.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest wait for one attempt to commit.
const PROPOSE_LIMIT: Duration = Duration::from_secs(2);
/// Pause while the session's lease is lost.
const LEASE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Task that keeps one ownership. Dropping this ends it.
pub(crate) struct Keeper {
    pub(crate) owned: Owned,
    poke: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Keeper {
    /// Starts to present the epoch of `entry`, in `session`.
    pub(crate) fn start(shared: Arc<Shared>, entry: WorkerEntry, session: SessionId) -> Self {
        let owned = Owned {
            epoch: entry.epoch,
            worker: entry.announcement.name.clone(),
        };
        let poke = Arc::new(Notify::new());
        let keeping = Keeping {
            entry,
            lease: Duration::from_millis(shared.settings.leases.task_ms),
            margin: Duration::from_millis(shared.settings.leases.margin_ms),
            owned: owned.clone(),
            poke: poke.clone(),
            renewal: Duration::from_millis(shared.settings.leases.task_renewal_ms),
            // One renewal of the former owner may still be under way when its session ends, and
            // extends the lease once.
            quiet_from: Instant::now() + Duration::from_millis(shared.settings.leases.task_ms),
            sent: Instant::now(),
            session,
            shared,
        };
        Self {
            owned,
            poke,
            task: tokio::spawn(keeping.run()),
        }
    }

    /// Renews at once, to get a report soon.
    pub(crate) fn poke(&self) {
        self.poke.notify_one();
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Keeping {
    entry: WorkerEntry,
    lease: Duration,
    margin: Duration,
    owned: Owned,
    poke: Arc<Notify>,
    /// Time from which no call of a former owner extends the worker's lease any more.
    quiet_from: Instant,
    renewal: Duration,
    /// When the last call that may have extended the worker's lease was sent.
    sent: Instant,
    session: SessionId,
    shared: Arc<Shared>,
}

impl Keeping {
    async fn run(mut self) {
        let kept = match self.fence().await {
            Some(report) => self.attach(report).await,
            None => false,
        };
        if kept {
            self.renew_until_lost().await;
        }
        self.lose().await;
    }

    fn address(&self) -> &str {
        &self.entry.announcement.address
    }

    fn lease_ms(&self) -> u64 {
        self.lease.as_millis() as u64
    }

    fn send(&self, message: EngineMessage) {
        self.shared.engine.send(message);
    }

    /// Waits until the session's lease holds: without it, no worker's lease is extended.
    async fn wait_for_lease(&self) {
        while !self.shared.session.has_valid_lease() {
            sleep(LEASE_POLL_PERIOD).await;
        }
    }

    /// Presents the epoch until the worker accepts it. Returns `None` when the worker is lost.
    async fn fence(&mut self) -> Option<WorkerReport> {
        let request = EpochRequest {
            epoch: self.owned.epoch,
            lease_ms: self.lease_ms(),
        };
        let began = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        self.sent = began;
        while self.may_call(began) {
            self.wait_for_lease().await;
            let before = self.sent;
            self.sent = Instant::now();
            match self.shared.adapter.present_epoch(self.address(), &request).await {
                Ok(report) => {
                    self.quiet_from = self.sent;
                    return Some(report);
                }
                Err(WorkerError::Conflict) => return None,
                Err(WorkerError::NotSent) => self.sent = before,
                Err(WorkerError::Lost) => {}
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        None
    }

    /// Calls that may have arrived are sent for one lease after the first failure. After that the
    /// worker is left alone, since each of them may extend its lease.
    fn may_call(&self, since: Instant) -> bool {
        since.elapsed() < self.lease
    }

    /// Commits what the worker runs, then hands it to the kernel. Returns false if it is lost.
    async fn attach(&mut self, report: WorkerReport) -> bool {
        let Some(index) = self.propose_fenced(&report).await else {
            return false;
        };
        while !self.shared.session.wait_for(index, PROPOSE_LIMIT).await {}
        self.send(EngineMessage::Fenced {
            entry: Box::new(self.entry.clone()),
            owned: self.owned.clone(),
            report,
        });
        true
    }

    /// Proposes `WorkerFenced` until it is applied, and renews the lease meanwhile.
    async fn propose_fenced(&mut self, report: &WorkerReport) -> Option<LogIndex> {
        let command = Command::WorkerFenced {
            epoch: self.owned.epoch,
            running: counts_of(report),
            worker: self.owned.worker.clone(),
            work_tasks: report
                .running
                .iter()
                .filter_map(|task| task.work.clone())
                .collect(),
        };
        loop {
            let proposed = self
                .shared
                .session
                .cell()
                .propose(command.clone(), true, PROPOSE_LIMIT)
                .await;
            match proposed {
                Ok(committed) if is_refused(&committed.reply) => return None,
                Ok(committed) => return Some(committed.index),
                Err(error) => {
                    spdlog::warn!("cannot propose the fencing of a worker; retrying", kv: {
                        worker = self.owned.worker.to_string(),
                        error = error.to_string(),
                    });
                    let _ = self.renew().await;
                }
            }
        }
    }

    async fn renew(&mut self) -> Result<(), WorkerError> {
        self.wait_for_lease().await;
        let request = LeaseRequest {
            epoch: self.owned.epoch,
            lease_ms: self.lease_ms(),
        };
        let before = self.sent;
        let sent = Instant::now();
        self.sent = sent;
        match self.shared.adapter.renew(self.address(), &request).await {
            Ok(report) => {
                self.send(EngineMessage::Reported {
                    owned: self.owned.clone(),
                    report,
                    sent,
                });
                Ok(())
            }
            Err(error) => {
                if error != WorkerError::Lost {
                    self.sent = before;
                }
                Err(error)
            }
        }
    }

    async fn renew_until_lost(&mut self) {
        // A random first pause spreads the renewals of workers that were assigned together.
        let mut pause = self.renewal.mul_f64(rand::random_range(0.0..1.0));
        loop {
            let _ = timeout(pause, self.poke.notified()).await;
            pause = self.renewal;
            if self.renew().await.is_err() && !self.recover().await {
                return;
            }
        }
    }

    /// Tries to reach the worker again. Returns false if it did not answer in time.
    async fn recover(&mut self) -> bool {
        self.send(EngineMessage::Unreachable(self.owned.clone()));
        let began = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        while self.may_call(began) {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
            match self.renew().await {
                Ok(()) => return true,
                Err(WorkerError::Conflict) => return false,
                Err(_) => {}
            }
        }
        false
    }

    /// Waits until the worker's lease has certainly ended, then gives it up. The directory ends
    /// this task earlier if the worker has a new owner.
    async fn lose(&mut self) {
        self.send(EngineMessage::Unreachable(self.owned.clone()));
        let last_extension = self.sent.max(self.quiet_from);
        tokio::time::sleep_until(last_extension + self.lease + self.margin).await;
        self.send(EngineMessage::Removed(self.owned.clone()));
        let command = Command::WorkerLost {
            epoch: self.owned.epoch,
            worker: self.owned.worker.clone(),
        };
        spdlog::warn!("a worker is lost", kv: { worker = self.owned.worker.to_string() });
        while self.shared.session.id() == Some(self.session) {
            match self
                .shared
                .session
                .cell()
                .propose(command.clone(), true, PROPOSE_LIMIT)
                .await
            {
                Ok(_) => return,
                Err(_) => sleep(MAX_RETRY_DELAY).await,
            }
        }
    }
}

fn is_refused(reply: &fuchsiatack_ledger::Reply) -> bool {
    matches!(reply, fuchsiatack_ledger::Reply::Refused(_))
}

fn counts_of(report: &WorkerReport) -> Vec<TeamCount> {
    let mut counts: BTreeMap<&TeamName, u32> = BTreeMap::new();
    for task in &report.running {
        *counts.entry(&task.team).or_default() += 1;
    }
    counts
        .into_iter()
        .map(|(team, count)| TeamCount {
            count,
            team: team.clone(),
        })
        .collect()
}
