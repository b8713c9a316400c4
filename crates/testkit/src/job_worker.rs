//! A worker that runs tasks of jobs, without I/O: fencing tokens, leases on its own clock, run
//! numbers, and ends that are kept until they are seen.

use {
    fuchsiatack_jobs::{
        EndedRun, HoldReport, ListedEnd, ListedRun, OrderRejection, RunId, TaskKey, WorkerCallError,
    },
    fuchsiatack_model::Resources,
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// A run at work.
#[derive(Clone, Debug)]
pub struct JobRun {
    /// When it ends, in milliseconds of the test's clock.
    pub ends_ms: u64,
    /// Whether it ends as failed.
    pub fails: bool,
    /// Number of the run.
    pub number: u32,
    /// What it occupies.
    pub reserved: Resources,
    /// When it started, in milliseconds of the test's clock.
    pub started_ms: u64,
}

impl JobRun {
    /// Share of its work that is done, in percent.
    fn percent(&self, now_ms: u64) -> u32 {
        let whole_ms = (self.ends_ms - self.started_ms).max(1);
        (now_ms.saturating_sub(self.started_ms) * 100 / whole_ms).min(100) as u32
    }
}

/// State of one worker. Times are in milliseconds of the test's clock unless they are its own.
#[derive(Clone, Debug)]
pub struct JobWorker {
    /// Done runs whose ends were seen by the leader.
    pub acknowledged: Vec<RunId>,
    /// What it holds.
    pub capacity: Resources,
    ended: Vec<EndedRun>,
    fence: u64,
    highest: BTreeMap<TaskKey, u32>,
    /// Its runs stand still until then, while it answers.
    hung_until_ms: u64,
    lease_ms: u64,
    /// Set while it is cut off; it runs on.
    pub partitioned_until_ms: u64,
    /// When time passed last.
    passed_ms: u64,
    /// Runs at work.
    pub running: BTreeMap<TaskKey, JobRun>,
    sequence: u64,
    started_ms: u64,
    /// Start of its life.
    pub started_unix_ms: u64,
    /// Ends up to this number count no more, since the lease lapsed before they were seen.
    void: u64,
}

impl JobWorker {
    /// Creates a worker that starts now.
    pub fn new(now_ms: u64, capacity: Resources) -> Self {
        Self {
            acknowledged: Vec::new(),
            capacity,
            ended: Vec::new(),
            fence: 0,
            highest: BTreeMap::new(),
            hung_until_ms: 0,
            lease_ms: 0,
            partitioned_until_ms: 0,
            passed_ms: now_ms,
            running: BTreeMap::new(),
            sequence: 0,
            started_ms: now_ms,
            started_unix_ms: now_ms,
            void: 0,
        }
    }

    /// Its steady clock, which is 2% slow.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.started_ms) * 98 / 100
    }

    /// Returns whether there are ends behind `last_seen`.
    pub fn has_unseen_ends(&self, last_seen: u64) -> bool {
        self.ended.iter().any(|ended| ended.sequence > last_seen)
    }

    /// Sum of what its runs occupy.
    pub fn used(&self) -> Resources {
        let reserved = self.running.values().map(|work| work.reserved);
        reserved.fold(Resources::NONE, |sum, reserved| sum.saturating_add(&reserved))
    }

    /// Lets time pass: runs end, and a lapsed lease kills what is left. Returns tasks done now.
    pub fn advance_to(&mut self, now_ms: u64) -> Vec<RunId> {
        let hung_ms = now_ms.min(self.hung_until_ms).saturating_sub(self.passed_ms);
        self.passed_ms = now_ms;
        for work in self.running.values_mut() {
            work.started_ms += hung_ms;
            work.ends_ms += hung_ms;
        }
        let clock_ms = self.clock_ms(now_ms);
        let over: Vec<_> = self
            .running
            .iter()
            .filter(|(_, work)| work.ends_ms <= now_ms && clock_ms <= self.lease_ms)
            .map(|(task, work)| (*task, work.clone()))
            .collect();
        let mut done = Vec::new();
        for (task, work) in over {
            let end = if work.fails {
                ListedEnd::Failed
            } else {
                ListedEnd::Done
            };
            if !work.fails {
                done.push(RunId {
                    number: work.number,
                    task,
                });
            }
            self.end(task, end);
        }
        if clock_ms > self.lease_ms {
            self.void = self.sequence;
            let left: Vec<_> = self.running.keys().copied().collect();
            for task in left {
                self.end(task, ListedEnd::Interrupted);
            }
        }
        done
    }

    /// Has its runs stand still for a time.
    pub fn stall_until(&mut self, until_ms: u64) {
        self.hung_until_ms = until_ms;
    }

    /// Takes an order to start a run. Returns its clock.
    pub fn start(
        &mut self,
        now_ms: u64,
        fence: u64,
        deadline_ms: u64,
        run: RunId,
        work: JobRun,
    ) -> Result<u64, WorkerCallError> {
        let clock_ms = self.clock_ms(now_ms);
        let rejected = |rejection| Err(WorkerCallError::Rejected(rejection));
        if fence < self.fence {
            return rejected(OrderRejection::Fenced);
        }
        self.fence = fence;
        let present = self.running.get(&run.task).map(|present| present.number);
        if present == Some(run.number) {
            return Ok(clock_ms);
        }
        if self
            .highest
            .get(&run.task)
            .is_some_and(|highest| run.number <= *highest)
        {
            return rejected(OrderRejection::Outdated);
        }
        if deadline_ms <= clock_ms {
            return rejected(OrderRejection::DeadlinePassed);
        }
        self.lease_ms = self.lease_ms.max(deadline_ms);
        self.running.insert(run.task, work);
        Ok(clock_ms)
    }

    /// Takes an order to stop a run, and keeps it from starting later. Returns its clock.
    pub fn stop(&mut self, now_ms: u64, fence: u64, run: RunId) -> Result<u64, WorkerCallError> {
        if fence < self.fence {
            return Err(WorkerCallError::Rejected(OrderRejection::Fenced));
        }
        self.fence = fence;
        if self
            .running
            .get(&run.task)
            .is_some_and(|work| work.number == run.number)
        {
            self.end(run.task, ListedEnd::Interrupted);
        }
        let highest = self.highest.entry(run.task).or_default();
        *highest = (*highest).max(run.number);
        Ok(self.clock_ms(now_ms))
    }

    /// Renews the lease, forgets ends that were seen, and lists runs and ends.
    pub fn hold(
        &mut self,
        now_ms: u64,
        fence: u64,
        deadline_ms: Option<u64>,
        last_seen: u64,
    ) -> Result<HoldReport, WorkerCallError> {
        if fence < self.fence {
            return Err(WorkerCallError::Rejected(OrderRejection::Fenced));
        }
        self.fence = fence;
        self.lease_ms = self.lease_ms.max(deadline_ms.unwrap_or(0));
        let seen = self.ended.iter().take_while(|ended| ended.sequence <= last_seen);
        let seen_done = seen
            .filter(|ended| ended.end == ListedEnd::Done && ended.sequence > self.void)
            .map(|ended| ended.run);
        self.acknowledged.extend(seen_done);
        self.ended.retain(|ended| ended.sequence > last_seen);
        let running = self.running.iter().map(|(task, work)| ListedRun {
            checkpoint: SmolStr::default(),
            percent: work.percent(now_ms),
            run: RunId {
                number: work.number,
                task: *task,
            },
            usage: 0,
        });
        Ok(HoldReport {
            started_unix_ms: Some(self.started_unix_ms),
            clock_ms: self.clock_ms(now_ms),
            ended: self.ended.clone(),
            running: running.collect(),
        })
    }

    fn end(&mut self, task: TaskKey, end: ListedEnd) {
        let Some(work) = self.running.remove(&task) else {
            return;
        };
        self.sequence += 1;
        let highest = self.highest.entry(task).or_default();
        *highest = (*highest).max(work.number);
        self.ended.push(EndedRun {
            checkpoint: SmolStr::default(),
            end,
            reason: SmolStr::new_static("simulated"),
            run: RunId {
                number: work.number,
                task,
            },
            sequence: self.sequence,
        });
    }
}
