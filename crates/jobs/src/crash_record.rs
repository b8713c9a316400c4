//! Record of the workers that were lost under a task.

use {
    crate::TaskKey, fuchsiatack_derives::message, fuchsiatack_model::WorkerName, std::collections::BTreeMap,
};

/// Probability that is certain, in millionths.
pub(crate) const CERTAIN_MILLIONTHS: u32 = 1_000_000;
/// Number of crashes below which a task is never given up.
const MIN_CRASHES: u32 = 2;
/// Number of crashes from which less proof is needed.
const MANY_CRASHES: u32 = 4;
/// Number of crashes from which a task is given up in any case. A task that crashes its workers may be
/// started only twice more after the third crash.
const MAX_CRASHES: u32 = 5;
/// Maximum probability of a coincidence with which a task is given up, in millionths.
const MAX_COINCIDENCE_MILLIONTHS: u32 = 10;
/// The same from `MANY_CRASHES` on.
const MANY_CRASHES_COINCIDENCE_MILLIONTHS: u32 = 1_000;
/// Shortest and longest time for which a run has to work until it has proved its task, in milliseconds.
const TRIAL_MS: std::ops::RangeInclusive<u64> = 1_000..=20_000;
/// A run has proved its task once it has worked this many times as long as the longest run that lost its
/// worker.
const TRIAL_FACTOR: u64 = 2;

/// Workers that were lost under a task since a run of it last ended by itself or worked for long enough.
#[message]
pub struct CrashRecord {
    /// Probability in millionths that the workers after the first one crashed by themselves as soon after a
    /// start.
    pub coincidence_millionths: u32,
    /// Number of workers that crashed under it.
    pub crashes: u32,
    /// Whether its next run gets a worker of its own.
    pub is_isolated: bool,
    /// Longest time that a run had worked when its worker was lost, in milliseconds.
    pub longest_ms: u64,
    /// Workers on which the leases expired and of which it is not known yet whether they crashed, with the
    /// probability in millionths that they crashed by themselves.
    pub unresolved: BTreeMap<WorkerName, u32>,
}

/// The loss of one worker under a task.
#[message]
pub struct LostTask {
    /// Probability in millionths that the worker crashed at this time by itself; `CERTAIN_MILLIONTHS` if the
    /// loss tells nothing about the task.
    pub coincidence_millionths: u32,
    /// Whether it is known that the worker crashed. It may run on behind a partition otherwise.
    pub is_crash: bool,
    /// Whether the next run of the task gets a worker of its own.
    pub is_isolated: bool,
    /// Task that the worker ran.
    pub task: TaskKey,
    /// Time that the run had worked in milliseconds.
    pub worked_ms: u64,
    /// Worker that was lost.
    pub worker: WorkerName,
}

impl Default for CrashRecord {
    fn default() -> Self {
        Self {
            coincidence_millionths: CERTAIN_MILLIONTHS,
            crashes: 0,
            is_isolated: false,
            longest_ms: 0,
            unresolved: BTreeMap::new(),
        }
    }
}

impl CrashRecord {
    pub(crate) fn add(&mut self, lost: &LostTask) {
        self.is_isolated |= lost.is_isolated;
        self.longest_ms = self.longest_ms.max(lost.worked_ms);
        match lost.is_crash {
            true => self.add_crash(lost.coincidence_millionths),
            false => {
                self.unresolved
                    .insert(lost.worker.clone(), lost.coincidence_millionths);
            }
        }
    }

    /// Records what became of a worker on which the leases had expired.
    pub(crate) fn resolve(&mut self, worker: &WorkerName, is_crash: bool) {
        match self.unresolved.remove(worker) {
            Some(coincidence_millionths) if is_crash => self.add_crash(coincidence_millionths),
            Some(_) | None => {}
        }
    }

    fn add_crash(&mut self, coincidence_millionths: u32) {
        // The first crash only picks this task out of all those that started.
        if self.crashes > 0 {
            let product = u64::from(self.coincidence_millionths) * u64::from(coincidence_millionths);
            self.coincidence_millionths = (product / u64::from(CERTAIN_MILLIONTHS)) as u32;
        }
        self.crashes += 1;
        self.is_isolated |= self.is_repeated();
    }

    /// Returns whether nothing is held against the task any more.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes == 0 && self.unresolved.is_empty()
    }

    /// Returns whether the task may not start until it is known what became of its workers, since it has to
    /// be given up if they crashed.
    pub(crate) fn is_held(&self) -> bool {
        u64::from(self.crashes) + self.unresolved.len() as u64 >= u64::from(MAX_CRASHES)
    }

    /// Returns whether the crashes are to be put down to the task.
    pub(crate) fn is_conclusive(&self) -> bool {
        match self.crashes {
            0..MIN_CRASHES => false,
            MIN_CRASHES..MANY_CRASHES => self.coincidence_millionths <= MAX_COINCIDENCE_MILLIONTHS,
            MANY_CRASHES..MAX_CRASHES => self.coincidence_millionths <= MANY_CRASHES_COINCIDENCE_MILLIONTHS,
            MAX_CRASHES.. => true,
        }
    }

    /// Returns whether the task was at work during at least two crashes, so that it never shares a worker.
    pub(crate) fn is_repeated(&self) -> bool {
        self.crashes >= MIN_CRASHES
    }

    /// Returns how long a run has to work until the record is dropped, in milliseconds.
    pub(crate) fn trial_ms(&self) -> u64 {
        (self.longest_ms * TRIAL_FACTOR).clamp(*TRIAL_MS.start(), *TRIAL_MS.end())
    }
}
