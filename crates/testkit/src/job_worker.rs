//! Simulated worker for tasks of jobs, without I/O.
//!
//! Checks fencing tokens and run numbers, enforces leases on its own clock, and keeps the end of each
//! run until the leader has acknowledged it.

use {
    fuchsiatack_jobs::{
        EndedRun, HoldReport, ListedEnd, ListedRun, OrderRejection, RunId, TaskKey, WorkerCallError,
    },
    fuchsiatack_model::Resources,
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Maximum number of ends in one report, unless a test sets another one.
const MAX_LISTED_ENDS: usize = 500;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct JobRun {
    /// Time at which it ends, in milliseconds of the test's clock. A stall moves it by the stalled time.
    pub ends_ms: u64,
    /// Whether it ends as failed.
    pub fails: bool,
    /// Number of the run within its task.
    pub number: u32,
    /// Resources that it occupies on the worker.
    pub reserved: Resources,
    /// Time of its start, in milliseconds of the test's clock. A stall moves it by the stalled time.
    pub started_ms: u64,
}

impl JobRun {
    /// Progress in percent of the run time.
    fn percent(&self, now_ms: u64) -> u32 {
        let total_ms = (self.ends_ms - self.started_ms).max(1);
        (now_ms.saturating_sub(self.started_ms) * 100 / total_ms).min(100) as u32
    }
}

/// State of one simulated worker.
///
/// Times are in milliseconds of the test's clock, which also takes the place of Unix time. Leases and
/// deadlines are in milliseconds of the worker's own clock, see [`Self::clock_ms`].
#[derive(Clone, Debug)]
pub struct JobWorker {
    /// Completed runs whose ends the leader has acknowledged.
    pub acknowledged: Vec<RunId>,
    /// Time up to which the runs have advanced.
    advanced_to_ms: u64,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Time at which the worker's own clock reads 0.
    clock_origin_ms: u64,
    /// Ends up to this sequence number are not final: the lease expired before the leader acknowledged
    /// them.
    discarded_up_to: u64,
    /// Ends that the leader has not acknowledged yet.
    ended: Vec<EndedRun>,
    fencing_token: u64,
    /// Highest run number that has ended or was stopped, for each task.
    highest_run: BTreeMap<TaskKey, u32>,
    /// Time at which the lease expires, on the worker's own clock.
    lease_expires_ms: u64,
    /// Maximum number of ends in one report. Later ends are listed once the leader has acknowledged these.
    pub max_listed_ends: usize,
    /// End of a network partition; 0 if none. Runs continue meanwhile. Evaluated by the test.
    pub partitioned_until_ms: u64,
    /// Runs in progress.
    pub running: BTreeMap<TaskKey, JobRun>,
    /// Sequence number of the last end.
    sequence: u64,
    /// The runs make no progress until then, but the worker still responds.
    stalled_until_ms: u64,
    /// Start time that the worker reports with each list of runs. By a later one, the leader recognises a
    /// restart. It does not affect the worker's own clock.
    pub started_unix_ms: u64,
}

impl JobWorker {
    /// Creates a worker that starts now.
    pub fn new(now_ms: u64, capacity: Resources) -> Self {
        Self {
            acknowledged: Vec::new(),
            advanced_to_ms: now_ms,
            capacity,
            clock_origin_ms: now_ms,
            discarded_up_to: 0,
            ended: Vec::new(),
            fencing_token: 0,
            highest_run: BTreeMap::new(),
            lease_expires_ms: 0,
            max_listed_ends: MAX_LISTED_ENDS,
            partitioned_until_ms: 0,
            running: BTreeMap::new(),
            sequence: 0,
            stalled_until_ms: 0,
            started_unix_ms: now_ms,
        }
    }

    /// Worker's monotonic clock in milliseconds since its start; it runs 2% slow.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.clock_origin_ms) * 98 / 100
    }

    /// Returns whether there are ends with a sequence number above `last_seen`.
    pub fn has_unseen_ends(&self, last_seen: u64) -> bool {
        self.ended.iter().any(|ended| ended.sequence > last_seen)
    }

    /// Resources that all runs together occupy.
    pub fn used(&self) -> Resources {
        let reserved = self.running.values().map(|run| run.reserved);
        reserved.fold(Resources::NONE, |sum, reserved| sum.saturating_add(&reserved))
    }

    /// Advances to `now_ms`: ends the runs that are due, and interrupts the others if the lease has
    /// expired. Returns the runs that completed.
    pub fn advance_to(&mut self, now_ms: u64) -> Vec<RunId> {
        let stalled_ms = now_ms
            .min(self.stalled_until_ms)
            .saturating_sub(self.advanced_to_ms);
        self.advanced_to_ms = now_ms;
        for run in self.running.values_mut() {
            run.started_ms += stalled_ms;
            run.ends_ms += stalled_ms;
        }
        let clock_ms = self.clock_ms(now_ms);
        let due: Vec<_> = self
            .running
            .iter()
            .filter(|(_, run)| run.ends_ms <= now_ms && clock_ms <= self.lease_expires_ms)
            .map(|(task, run)| (*task, run.clone()))
            .collect();
        let mut done = Vec::new();
        for (task, run) in due {
            let end = if run.fails {
                ListedEnd::Failed
            } else {
                ListedEnd::Done
            };
            if !run.fails {
                done.push(RunId {
                    number: run.number,
                    task,
                });
            }
            self.end(task, end);
        }
        if clock_ms > self.lease_expires_ms {
            self.discarded_up_to = self.sequence;
            let interrupted: Vec<_> = self.running.keys().copied().collect();
            for task in interrupted {
                self.end(task, ListedEnd::Interrupted);
            }
        }
        done
    }

    /// Stalls all runs until `until_ms`; the worker still responds.
    pub fn stall_until(&mut self, until_ms: u64) {
        self.stalled_until_ms = until_ms;
    }

    /// Handles an order to start a run. Returns the worker's clock, or the reason for the rejection.
    /// A run that is in progress already is accepted again.
    pub fn start(
        &mut self,
        now_ms: u64,
        fencing_token: u64,
        deadline_ms: u64,
        run: RunId,
        job_run: JobRun,
    ) -> Result<u64, WorkerCallError> {
        let clock_ms = self.clock_ms(now_ms);
        let rejected = |rejection| Err(WorkerCallError::Rejected(rejection));
        if fencing_token < self.fencing_token {
            return rejected(OrderRejection::Fenced);
        }
        self.fencing_token = fencing_token;
        let present = self.running.get(&run.task).map(|present| present.number);
        if present == Some(run.number) {
            return Ok(clock_ms);
        }
        if self
            .highest_run
            .get(&run.task)
            .is_some_and(|highest_run| run.number <= *highest_run)
        {
            return rejected(OrderRejection::Outdated);
        }
        if deadline_ms <= clock_ms {
            return rejected(OrderRejection::DeadlinePassed);
        }
        self.lease_expires_ms = self.lease_expires_ms.max(deadline_ms);
        self.running.insert(run.task, job_run);
        Ok(clock_ms)
    }

    /// Handles an order to stop a run, which also rejects a later order to start it. Returns the
    /// worker's clock, or the reason for the rejection.
    pub fn stop(&mut self, now_ms: u64, fencing_token: u64, run: RunId) -> Result<u64, WorkerCallError> {
        if fencing_token < self.fencing_token {
            return Err(WorkerCallError::Rejected(OrderRejection::Fenced));
        }
        self.fencing_token = fencing_token;
        if self
            .running
            .get(&run.task)
            .is_some_and(|present| present.number == run.number)
        {
            self.end(run.task, ListedEnd::Interrupted);
        }
        let highest_run = self.highest_run.entry(run.task).or_default();
        *highest_run = (*highest_run).max(run.number);
        Ok(self.clock_ms(now_ms))
    }

    /// Renews the lease, removes the ends up to `last_seen`, and lists the runs and the first of the
    /// remaining ends.
    /// A `deadline_ms` of `None` leaves the lease as it is.
    pub fn hold(
        &mut self,
        now_ms: u64,
        fencing_token: u64,
        deadline_ms: Option<u64>,
        last_seen: u64,
    ) -> Result<HoldReport, WorkerCallError> {
        if fencing_token < self.fencing_token {
            return Err(WorkerCallError::Rejected(OrderRejection::Fenced));
        }
        self.fencing_token = fencing_token;
        self.lease_expires_ms = self.lease_expires_ms.max(deadline_ms.unwrap_or(0));
        let seen = self.ended.iter().take_while(|ended| ended.sequence <= last_seen);
        let seen_done = seen
            .filter(|ended| ended.end == ListedEnd::Done && ended.sequence > self.discarded_up_to)
            .map(|ended| ended.run);
        self.acknowledged.extend(seen_done);
        self.ended.retain(|ended| ended.sequence > last_seen);
        let running = self.running.iter().map(|(task, run)| ListedRun {
            checkpoint: SmolStr::default(),
            percent: run.percent(now_ms),
            run: RunId {
                number: run.number,
                task: *task,
            },
            usage: 0,
        });
        Ok(HoldReport {
            started_unix_ms: Some(self.started_unix_ms),
            clock_ms: self.clock_ms(now_ms),
            ended: self.ended.iter().take(self.max_listed_ends).cloned().collect(),
            running: running.collect(),
            unreadable_rows: Vec::new(),
        })
    }

    fn end(&mut self, task: TaskKey, end: ListedEnd) {
        let Some(run) = self.running.remove(&task) else {
            return;
        };
        self.sequence += 1;
        let highest_run = self.highest_run.entry(task).or_default();
        *highest_run = (*highest_run).max(run.number);
        self.ended.push(EndedRun {
            checkpoint: SmolStr::default(),
            end,
            reason: SmolStr::new_static("simulated"),
            run: RunId {
                number: run.number,
                task,
            },
            sequence: self.sequence,
        });
    }
}
