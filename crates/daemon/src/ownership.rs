//! Ownership of one worker: presents the epoch, renews the task lease and detects a lost worker.

use {
    crate::{
        engine_message::{EngineMessage, OwnershipId},
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
/// Limit for one attempt to commit a command, or to wait until it is applied here.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between checks of the session lease while it is not valid.
const LEASE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Handle of the task that maintains one ownership. Dropping it aborts the task.
pub(crate) struct Ownership {
    pub(crate) id: OwnershipId,
    renew_signal: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Ownership {
    /// Starts the task, which first presents the epoch of `entry` to the worker.
    pub(crate) fn start(shared: Arc<Shared>, entry: WorkerEntry, session: SessionId) -> Self {
        let id = OwnershipId {
            epoch: entry.epoch,
            worker: entry.announcement.name.clone(),
        };
        let renew_signal = Arc::new(Notify::new());
        let task = OwnershipTask {
            entry,
            // One renewal of the former owner may still be in transit when its session ends. It
            // extends the worker's lease once more.
            former_owner_calls_end: Instant::now() + Duration::from_millis(shared.settings.leases.task_ms),
            id: id.clone(),
            last_call_sent: Instant::now(),
            lease: Duration::from_millis(shared.settings.leases.task_ms),
            margin: Duration::from_millis(shared.settings.leases.margin_ms),
            renew_signal: renew_signal.clone(),
            renewal: Duration::from_millis(shared.settings.leases.task_renewal_ms),
            session,
            shared,
        };
        Self {
            id,
            renew_signal,
            task: tokio::spawn(task.run()),
        }
    }

    /// Renews the lease now, in order to get a report before the next regular renewal.
    pub(crate) fn renew_now(&self) {
        self.renew_signal.notify_one();
    }
}

impl Drop for Ownership {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct OwnershipTask {
    entry: WorkerEntry,
    /// Time from which no call of a former owner can extend the worker's lease.
    former_owner_calls_end: Instant,
    id: OwnershipId,
    /// Time at which the last call that may have extended the worker's lease was sent.
    last_call_sent: Instant,
    lease: Duration,
    margin: Duration,
    renew_signal: Arc<Notify>,
    renewal: Duration,
    session: SessionId,
    shared: Arc<Shared>,
}

impl OwnershipTask {
    async fn run(mut self) {
        let is_attached = match self.fence().await {
            Some(report) => self.attach(report).await,
            None => false,
        };
        if is_attached {
            self.renew_until_lost().await;
        }
        self.report_lost().await;
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

    /// Waits until the session lease is valid. Without it, no worker's lease may be extended.
    async fn wait_for_lease(&self) {
        while !self.shared.session.has_valid_lease() {
            sleep(LEASE_POLL_PERIOD).await;
        }
    }

    /// Presents the epoch until the worker accepts it. Returns `None` if the worker rejects the
    /// epoch or does not respond for one lease.
    async fn fence(&mut self) -> Option<WorkerReport> {
        let request = EpochRequest {
            epoch: self.id.epoch,
            lease_ms: self.lease_ms(),
        };
        let began = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        self.last_call_sent = began;
        while self.may_retry(began) {
            self.wait_for_lease().await;
            let previous = self.last_call_sent;
            self.last_call_sent = Instant::now();
            match self.shared.adapter.present_epoch(self.address(), &request).await {
                Ok(report) => {
                    self.former_owner_calls_end = self.last_call_sent;
                    return Some(report);
                }
                Err(WorkerError::Conflict) => return None,
                Err(WorkerError::NotSent) => self.last_call_sent = previous,
                Err(WorkerError::Lost) => {}
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        None
    }

    /// Returns whether calls may still be retried: for one lease after `since`. Further calls could
    /// extend the worker's lease, so that it would never expire.
    fn may_retry(&self, since: Instant) -> bool {
        since.elapsed() < self.lease
    }

    /// Commits the tasks that the worker runs, then has the engine attach it. Returns false if the
    /// ledger refuses the ownership.
    async fn attach(&mut self, report: WorkerReport) -> bool {
        let Some(index) = self.propose_fenced(&report).await else {
            return false;
        };
        while !self.shared.session.wait_for(index, PROPOSE_TIMEOUT).await {}
        self.send(EngineMessage::WorkerFenced {
            entry: Box::new(self.entry.clone()),
            ownership: self.id.clone(),
            report,
        });
        true
    }

    /// Proposes `WorkerFenced` until it is committed, and renews the lease between attempts.
    /// Returns `None` if the ledger refuses it.
    async fn propose_fenced(&mut self, report: &WorkerReport) -> Option<LogIndex> {
        let command = Command::WorkerFenced {
            epoch: self.id.epoch,
            running: running_by_team(report),
            worker: self.id.worker.clone(),
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
                .propose(command.clone(), true, PROPOSE_TIMEOUT)
                .await;
            match proposed {
                Ok(committed) if is_refused(&committed.reply) => return None,
                Ok(committed) => return Some(committed.index),
                Err(error) => {
                    spdlog::warn!("cannot commit the fencing of a worker; retrying", kv: {
                        worker = self.id.worker.to_string(),
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
            epoch: self.id.epoch,
            lease_ms: self.lease_ms(),
        };
        let previous = self.last_call_sent;
        let sent = Instant::now();
        self.last_call_sent = sent;
        match self.shared.adapter.renew(self.address(), &request).await {
            Ok(report) => {
                self.send(EngineMessage::WorkerReported {
                    ownership: self.id.clone(),
                    report,
                    sent,
                });
                Ok(())
            }
            Err(error) => {
                if error != WorkerError::Lost {
                    self.last_call_sent = previous;
                }
                Err(error)
            }
        }
    }

    async fn renew_until_lost(&mut self) {
        // A random first pause spreads the renewals of workers that were assigned at the same time.
        let mut pause = self.renewal.mul_f64(rand::random_range(0.0..1.0));
        loop {
            let _ = timeout(pause, self.renew_signal.notified()).await;
            pause = self.renewal;
            if self.renew().await.is_err() && !self.recover().await {
                return;
            }
        }
    }

    /// Retries the renewal for one lease. Returns false if the worker rejects the epoch or does not respond.
    async fn recover(&mut self) -> bool {
        self.send(EngineMessage::WorkerUnreachable(self.id.clone()));
        let began = Instant::now();
        let mut delay = MIN_RETRY_DELAY;
        while self.may_retry(began) {
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

    /// Waits until the worker's lease has expired even with the margin, then reports the worker as
    /// lost. The engine aborts this task earlier if the worker gets a new owner.
    async fn report_lost(&mut self) {
        self.send(EngineMessage::WorkerUnreachable(self.id.clone()));
        let last_extension = self.last_call_sent.max(self.former_owner_calls_end);
        tokio::time::sleep_until(last_extension + self.lease + self.margin).await;
        self.send(EngineMessage::WorkerRemoved(self.id.clone()));
        let command = Command::WorkerLost {
            epoch: self.id.epoch,
            worker: self.id.worker.clone(),
        };
        spdlog::warn!("worker is lost; its lease has expired", kv: { worker = self.id.worker.to_string() });
        while self.shared.session.id() == Some(self.session) {
            match self
                .shared
                .session
                .cell()
                .propose(command.clone(), true, PROPOSE_TIMEOUT)
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

fn running_by_team(report: &WorkerReport) -> Vec<TeamCount> {
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
