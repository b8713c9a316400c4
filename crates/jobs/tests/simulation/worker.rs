//! A worker as its interface describes it: fencing tokens, leases on its own clock, run numbers.

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
pub struct Work {
    pub done_ms: u64,
    pub fails: bool,
    pub number: u32,
    pub reserved: Resources,
}

/// State of one worker.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    pub born_unix_ms: u64,
    pub capacity: Resources,
    /// Set while it is cut off; it runs on.
    pub cut_until_ms: u64,
    ended: Vec<EndedRun>,
    fence: u64,
    highest: BTreeMap<TaskKey, u32>,
    lease_ms: u64,
    pub running: BTreeMap<TaskKey, Work>,
    sequence: u64,
    started_ms: u64,
}

impl SimulatedWorker {
    pub fn new(now_ms: u64, capacity: Resources) -> Self {
        Self {
            born_unix_ms: now_ms,
            capacity,
            cut_until_ms: 0,
            ended: Vec::new(),
            fence: 0,
            highest: BTreeMap::new(),
            lease_ms: 0,
            running: BTreeMap::new(),
            sequence: 0,
            started_ms: now_ms,
        }
    }

    /// Its steady clock, which is 2% slow.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        (now_ms - self.started_ms) * 98 / 100
    }

    pub fn used(&self) -> Resources {
        let reserved = self.running.values().map(|work| work.reserved);
        reserved.fold(Resources::NONE, |sum, reserved| sum.plus(&reserved))
    }

    /// Lets time pass: runs end, and a lapsed lease kills what is left. Returns tasks done now.
    pub fn pass(&mut self, now_ms: u64) -> Vec<RunId> {
        let clock_ms = self.clock_ms(now_ms);
        let over: Vec<_> = self
            .running
            .iter()
            .filter(|(_, work)| work.done_ms <= now_ms && clock_ms <= self.lease_ms)
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
            let left: Vec<_> = self.running.keys().copied().collect();
            for task in left {
                self.end(task, ListedEnd::Interrupted);
            }
        }
        done
    }

    pub fn start(
        &mut self,
        now_ms: u64,
        fence: u64,
        deadline_ms: u64,
        run: RunId,
        work: Work,
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
            return rejected(OrderRejection::Late);
        }
        self.lease_ms = self.lease_ms.max(deadline_ms);
        self.running.insert(run.task, work);
        Ok(clock_ms)
    }

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
        self.ended.retain(|ended| ended.sequence > last_seen);
        let running = self.running.iter().map(|(task, work)| ListedRun {
            checkpoint: SmolStr::default(),
            percent: 100,
            run: RunId {
                number: work.number,
                task: *task,
            },
            usage: 0,
        });
        Ok(HoldReport {
            born_unix_ms: Some(self.born_unix_ms),
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
