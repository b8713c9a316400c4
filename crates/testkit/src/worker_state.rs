//! State of a fake worker: epoch, lease and running tasks. Reads no clock.

use {
    crate::{Behaviour, WorkerControl},
    fuchsiatack_model::{Epoch, Resources, RunningTask, TaskId, WorkerReport},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// Factor by which throttling lengthens the remaining run time of a task.
const THROTTLE_FACTOR: u32 = 2;

/// Why a task stopped before it ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopCause {
    Cancelled,
    /// The lease expired at this time, possibly while the process was paused.
    LeaseEnded(Instant),
    Shutdown,
}

/// Current instructions to a running task. `ends_at` is absent for a task that hangs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskSignal {
    pub(crate) ends_at: Option<Instant>,
    pub(crate) stop: Option<StopCause>,
}

/// Why a request of the owner was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    Cancelled,
    Control,
    Duplicate,
    Epoch,
    Full,
    Lease,
}

impl RefusalCause {
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::Epoch | Self::Lease => 409,
            Self::Cancelled | Self::Control | Self::Duplicate | Self::Full => 429,
        }
    }

    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Cancelled => "the task was cancelled before it arrived",
            Self::Control => "the worker is set to refuse all runs",
            Self::Duplicate => "duplicate: a task with this identifier was started here before",
            Self::Epoch => "the epoch of the request is not the epoch of the worker",
            Self::Full => "no free slot or resource",
            Self::Lease => "the lease has ended",
        }
    }
}

struct ActiveTask {
    signal: watch::Sender<TaskSignal>,
    task: RunningTask,
}

/// State of a fake worker, guarded by one lock.
pub(crate) struct WorkerState {
    capacity: Resources,
    /// Tasks that were cancelled before they arrived.
    cancelled: BTreeSet<TaskId>,
    pub(crate) control: WorkerControl,
    pub(crate) epoch: Epoch,
    pub(crate) leaving: bool,
    lease_ends_at: Option<Instant>,
    running: BTreeMap<TaskId, ActiveTask>,
    /// All tasks that ever started here; a second start is a duplicate.
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
            lease_ends_at: None,
            running: BTreeMap::new(),
            started: BTreeSet::new(),
        }
    }

    /// Ends the lease if it has expired, and signals its tasks to stop.
    /// Returns the time of expiry.
    pub(crate) fn expire(&mut self, now: Instant) -> Option<Instant> {
        let end = self.lease_ends_at.filter(|end| now >= *end)?;
        self.lease_ends_at = None;
        self.stop_all(StopCause::LeaseEnded(end));
        Some(end)
    }

    /// Accepts a higher epoch, or the same one while its lease is valid. Returns whether it is new.
    pub(crate) fn fence(&mut self, now: Instant, epoch: Epoch, lease_ms: u64) -> Result<bool, RefusalCause> {
        let is_new = match (epoch.cmp(&self.epoch), self.lease_ends_at) {
            (std::cmp::Ordering::Greater, _) => true,
            (std::cmp::Ordering::Equal, Some(_)) => false,
            (std::cmp::Ordering::Equal, None) => return Err(RefusalCause::Lease),
            (std::cmp::Ordering::Less, _) => return Err(RefusalCause::Epoch),
        };
        self.epoch = epoch;
        self.lease_ends_at = Some(now + Duration::from_millis(lease_ms));
        Ok(is_new)
    }

    /// Renews the lease of the current epoch.
    pub(crate) fn renew(&mut self, now: Instant, epoch: Epoch, lease_ms: u64) -> Result<(), RefusalCause> {
        self.check(epoch)?;
        self.lease_ends_at = Some(now + Duration::from_millis(lease_ms));
        Ok(())
    }

    /// Returns an error unless `epoch` is the current one and its lease is valid.
    pub(crate) fn check(&self, epoch: Epoch) -> Result<(), RefusalCause> {
        match self.lease_ends_at {
            _ if epoch != self.epoch => Err(RefusalCause::Epoch),
            None => Err(RefusalCause::Lease),
            Some(_) => Ok(()),
        }
    }

    /// Starts a task. A refusal changes nothing.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        epoch: Epoch,
        task: RunningTask,
        run_time: Duration,
        behaviour: Behaviour,
    ) -> Result<watch::Receiver<TaskSignal>, RefusalCause> {
        self.check(epoch)?;
        if self.control.refuse {
            return Err(RefusalCause::Control);
        }
        if self.started.contains(&task.task) {
            return Err(RefusalCause::Duplicate);
        }
        if self.cancelled.contains(&task.task) {
            return Err(RefusalCause::Cancelled);
        }
        let needed = self.used().saturating_add(&task.demand);
        if !self.capacity.covers(&needed) {
            return Err(RefusalCause::Full);
        }
        let (signal, receiver) = watch::channel(TaskSignal {
            ends_at: (behaviour != Behaviour::Hang).then(|| now + run_time),
            stop: None,
        });
        self.started.insert(task.task);
        self.running.insert(task.task, ActiveTask { signal, task });
        Ok(receiver)
    }

    /// Signals a running task to stop, and returns a receiver that closes at its end. A task that is
    /// not running is refused if it arrives later.
    pub(crate) fn cancel(&mut self, task: TaskId) -> Option<watch::Receiver<TaskSignal>> {
        let Some(active) = self.running.get(&task) else {
            self.cancelled.insert(task);
            return None;
        };
        stop(active, StopCause::Cancelled);
        Some(active.signal.subscribe())
    }

    /// Lengthens the remaining run time of a task. Returns whether the task is running.
    pub(crate) fn throttle(&mut self, now: Instant, task: TaskId) -> bool {
        let Some(active) = self.running.get(&task) else {
            return false;
        };
        active.signal.send_modify(|signal| {
            signal.ends_at = signal
                .ends_at
                .map(|end| now + end.saturating_duration_since(now) * THROTTLE_FACTOR);
        });
        true
    }

    /// Removes a task that has ended and frees its resources.
    pub(crate) fn finish(&mut self, task: TaskId) {
        self.running.remove(&task);
    }

    pub(crate) fn stop_all(&mut self, cause: StopCause) {
        self.running.values().for_each(|active| stop(active, cause));
    }

    pub(crate) fn is_running(&self, task: TaskId) -> bool {
        self.running.contains_key(&task)
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn lease_ends_at(&self) -> Option<Instant> {
        self.lease_ends_at
    }

    pub(crate) fn report(&self) -> WorkerReport {
        WorkerReport {
            epoch: self.epoch,
            leaving: self.leaving,
            running: self.running.values().map(|active| active.task.clone()).collect(),
        }
    }

    fn used(&self) -> Resources {
        self.running.values().fold(Resources::NONE, |sum, active| {
            sum.saturating_add(&active.task.demand)
        })
    }
}

/// Signals a task to stop. The first cause stays: a lease that expires during a cancel does not change
/// it.
fn stop(active: &ActiveTask, cause: StopCause) {
    active.signal.send_modify(|signal| {
        signal.stop.get_or_insert(cause);
    });
}
