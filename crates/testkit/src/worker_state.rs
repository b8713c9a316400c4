//! What a fake worker holds: epoch, lease and running tasks. Reads no clock.

use {
    crate::{Behaviour, WorkerControl},
    fuchsiatack_model::{Epoch, Resources, RunningTask, TaskId, WorkerReport},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// Factor by which a throttled task is slowed down.
const THROTTLE_FACTOR: u32 = 2;

/// Why a task stopped before its own end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopCause {
    Cancelled,
    /// The lease ended at this time, possibly while the process was paused.
    LeaseEnded(Instant),
    WorkerStops,
}

/// What the running task is told. `ends_at` is absent for a task that hangs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskSignal {
    pub(crate) ends_at: Option<Instant>,
    pub(crate) stop: Option<StopCause>,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    Cancelled,
    Duplicate,
    Epoch,
    Full,
    Lease,
    Told,
}

impl Refused {
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::Epoch | Self::Lease => 409,
            Self::Cancelled | Self::Duplicate | Self::Full | Self::Told => 429,
        }
    }

    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Cancelled => "the task was cancelled before it arrived",
            Self::Duplicate => "duplicate: a task with this identifier was started here before",
            Self::Epoch => "the epoch is not the one held",
            Self::Full => "no free slot or resource",
            Self::Lease => "the lease has ended",
            Self::Told => "the worker is told to refuse",
        }
    }
}

struct Entry {
    signal: watch::Sender<TaskSignal>,
    task: RunningTask,
}

/// State of a fake worker, changed under one lock.
pub(crate) struct WorkerState {
    capacity: Resources,
    /// Tasks that were cancelled before they arrived.
    cancelled: BTreeSet<TaskId>,
    pub(crate) control: WorkerControl,
    pub(crate) epoch: Epoch,
    pub(crate) leaving: bool,
    lease_ends: Option<Instant>,
    running: BTreeMap<TaskId, Entry>,
    started: BTreeSet<TaskId>,
}

impl WorkerState {
    pub(crate) fn new(capacity: Resources, control: WorkerControl) -> Self {
        Self {
            cancelled: BTreeSet::new(),
            capacity,
            control,
            epoch: Epoch::default(),
            leaving: false,
            lease_ends: None,
            running: BTreeMap::new(),
            started: BTreeSet::new(),
        }
    }

    /// Ends the lease if its time has come and tells its tasks to stop.
    /// Returns the time it ended.
    pub(crate) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let end = self.lease_ends.filter(|end| now >= *end)?;
        self.lease_ends = None;
        self.stop_all(StopCause::LeaseEnded(end));
        Some(end)
    }

    /// Accepts a higher epoch, or the same one while its lease lasts.
    pub(crate) fn fence(&mut self, now: Instant, epoch: Epoch, lease_ms: u64) -> Result<bool, Refused> {
        let is_new = match (epoch.cmp(&self.epoch), self.lease_ends) {
            (std::cmp::Ordering::Greater, _) => true,
            (std::cmp::Ordering::Equal, Some(_)) => false,
            (std::cmp::Ordering::Equal, None) => return Err(Refused::Lease),
            (std::cmp::Ordering::Less, _) => return Err(Refused::Epoch),
        };
        self.epoch = epoch;
        self.lease_ends = Some(now + Duration::from_millis(lease_ms));
        Ok(is_new)
    }

    /// Renews the lease of the epoch that is held.
    pub(crate) fn renew(&mut self, now: Instant, epoch: Epoch, lease_ms: u64) -> Result<(), Refused> {
        self.check(epoch)?;
        self.lease_ends = Some(now + Duration::from_millis(lease_ms));
        Ok(())
    }

    /// Returns an error unless `epoch` is held and its lease lasts.
    pub(crate) fn check(&self, epoch: Epoch) -> Result<(), Refused> {
        match self.lease_ends {
            _ if epoch != self.epoch => Err(Refused::Epoch),
            None => Err(Refused::Lease),
            Some(_) => Ok(()),
        }
    }

    /// Starts a task, or refuses it without any effect.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        epoch: Epoch,
        task: RunningTask,
        run_time: Duration,
        behaviour: Behaviour,
    ) -> Result<watch::Receiver<TaskSignal>, Refused> {
        self.check(epoch)?;
        if self.control.refuse {
            return Err(Refused::Told);
        }
        if self.started.contains(&task.task) {
            return Err(Refused::Duplicate);
        }
        if self.cancelled.contains(&task.task) {
            return Err(Refused::Cancelled);
        }
        let needed = self.used().saturating_add(&task.demand);
        if !self.capacity.covers(&needed) {
            return Err(Refused::Full);
        }
        let (signal, receiver) = watch::channel(TaskSignal {
            ends_at: (behaviour != Behaviour::Hang).then(|| now + run_time),
            stop: None,
        });
        self.started.insert(task.task);
        self.running.insert(task.task, Entry { signal, task });
        Ok(receiver)
    }

    /// Tells a task to stop. Returns a receiver that closes at its end, if it runs.
    pub(crate) fn cancel(&mut self, task: TaskId) -> Option<watch::Receiver<TaskSignal>> {
        let Some(entry) = self.running.get(&task) else {
            self.cancelled.insert(task);
            return None;
        };
        stop(entry, StopCause::Cancelled);
        Some(entry.signal.subscribe())
    }

    /// Slows a task down. Returns whether it runs.
    pub(crate) fn throttle(&mut self, now: Instant, task: TaskId) -> bool {
        let Some(entry) = self.running.get(&task) else {
            return false;
        };
        entry.signal.send_modify(|signal| {
            signal.ends_at = signal
                .ends_at
                .map(|end| now + end.saturating_duration_since(now) * THROTTLE_FACTOR);
        });
        true
    }

    /// Forgets a task that has ended. Its slot is free from now on.
    pub(crate) fn finish(&mut self, task: TaskId) {
        self.running.remove(&task);
    }

    pub(crate) fn stop_all(&mut self, cause: StopCause) {
        self.running.values().for_each(|entry| stop(entry, cause));
    }

    pub(crate) fn is_running(&self, task: TaskId) -> bool {
        self.running.contains_key(&task)
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn lease_ends(&self) -> Option<Instant> {
        self.lease_ends
    }

    pub(crate) fn report(&self) -> WorkerReport {
        WorkerReport {
            epoch: self.epoch,
            leaving: self.leaving,
            running: self.running.values().map(|entry| entry.task.clone()).collect(),
        }
    }

    fn used(&self) -> Resources {
        self.running.values().fold(Resources::NONE, |sum, entry| {
            sum.saturating_add(&entry.task.demand)
        })
    }
}

/// Sets the cause once: a lease that ends during a cancel does not change it.
fn stop(entry: &Entry, cause: StopCause) {
    entry.signal.send_modify(|signal| {
        signal.stop.get_or_insert(cause);
    });
}
