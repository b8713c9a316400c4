//! Room that steps are expected to use once their advice has arrived.
//!
//! Handles bursts of steps that ask for advice at the same time. Without claims they would all name the
//! workers with the most free room, and most of their tickets would expire because another step was faster.

use {
    fuchsiatack_model::{Resources, WorkerName},
    std::collections::BTreeMap,
};

/// Unit of the number of tasks in a claim.
const TASK_THOUSANDTHS: u64 = 1_000;

/// Expected use in thousandths of the unit of each resource.
#[derive(Clone, Copy, Debug, Default)]
struct Claim {
    accelerators: u64,
    memory_bytes: u64,
    processors_millis: u64,
}

/// Expected use of each worker by steps that have tickets or await them, by priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceClaims {
    by_worker: BTreeMap<WorkerName, BTreeMap<u32, Claim>>,
}

impl AdviceClaims {
    /// Adds the expected use of some workers by a step. Each of its `tasks` tasks needs `demand` and starts
    /// on one of the workers, of which `eligible_thousandths` may run it.
    pub(crate) fn add<'a>(
        &mut self,
        priority: u32,
        demand: &Resources,
        tasks: usize,
        eligible_thousandths: u64,
        workers: impl ExactSizeIterator<Item = &'a WorkerName>,
    ) {
        let of_each = tasks as u64 * TASK_THOUSANDTHS / workers.len().max(1) as u64;
        let expected_thousandths = of_each.min(eligible_thousandths);
        for worker in workers {
            let of_worker = self.by_worker.entry(worker.clone()).or_default();
            of_worker
                .entry(priority)
                .or_default()
                .add(demand, expected_thousandths);
        }
    }

    /// Returns what steps of a priority, and of earlier ones, are expected to use on a worker.
    pub(crate) fn claimed(&self, priority: u32, worker: &WorkerName) -> Resources {
        let of_worker = self.by_worker.get(worker);
        let claims = of_worker.into_iter().flat_map(|claims| claims.range(..=priority));
        let sum = claims.fold(Claim::default(), |sum, (_, claim)| Claim {
            accelerators: sum.accelerators + claim.accelerators,
            memory_bytes: sum.memory_bytes.saturating_add(claim.memory_bytes),
            processors_millis: sum.processors_millis + claim.processors_millis,
        });
        Resources {
            accelerators: (sum.accelerators / TASK_THOUSANDTHS) as u32,
            memory_bytes: sum.memory_bytes / TASK_THOUSANDTHS,
            processors_millis: (sum.processors_millis / TASK_THOUSANDTHS) as u32,
            ..Resources::NONE
        }
    }
}

impl Claim {
    fn add(&mut self, demand: &Resources, thousandths: u64) {
        self.accelerators += u64::from(demand.accelerators) * thousandths;
        self.memory_bytes = self
            .memory_bytes
            .saturating_add(demand.memory_bytes.saturating_mul(thousandths));
        self.processors_millis += u64::from(demand.processors_millis) * thousandths;
    }
}
