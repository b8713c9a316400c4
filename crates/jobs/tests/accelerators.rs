//! Placement of work that needs accelerators: many single ones beside gangs that need whole workers.

mod common;

use {
    common::{Leader, queue, step},
    fuchsiatack_jobs::{CellCall, Configuration, JobId, Queue, StepSpec},
    fuchsiatack_model::{QueueName, Resources},
    std::collections::BTreeSet,
};

/// Capacity of a worker with eight accelerators.
const CAPACITY: Resources = Resources {
    accelerators: 8,
    memory_bytes: 256 << 30,
    processors_millis: 64_000,
    ..Resources::NONE
};

/// Returns a queue of the second priority on the workers with accelerators.
fn accelerator_queue() -> Queue {
    Queue {
        name: QueueName::new("accelerators"),
        priority: 1,
        ..queue()
    }
}

/// Returns a queue of the first priority on another service.
fn urgent_queue() -> Queue {
    Queue {
        name: QueueName::new("urgent"),
        path_prefix: "/urgent/".into(),
        service: "other".into(),
        ..queue()
    }
}

/// Returns a step of tasks that need some accelerators and processors each.
fn accelerator_step(tasks: u32, accelerators: u32, processors_millis: u32) -> StepSpec {
    StepSpec {
        demand: Resources {
            accelerators,
            memory_bytes: 1 << 30,
            processors_millis,
            ..Resources::NONE
        },
        ..step(tasks, 2_000)
    }
}

/// Creates a leader with workers that have accelerators.
fn leader(queues: Vec<Queue>, workers: &[&str]) -> Leader {
    let mut leader = Leader::new(queues[0].clone(), workers);
    let configuration = Configuration {
        queues,
        services: vec!["service".into(), "other".into()],
        version: 2,
        ..common::configuration(queue())
    };
    leader.call(CellCall::Configure(Box::new(configuration)));
    for worker in workers {
        leader.heartbeat_with(worker, 1, CAPACITY);
    }
    leader.take_calls();
    leader
}

/// Guards against processors that stay free for urgent work of another service, which never runs there.
#[test]
fn nothing_is_kept_free_for_urgent_work_of_another_service() {
    let mut leader = leader(vec![accelerator_queue(), urgent_queue()], &["a"]);

    leader.submit(JobId(1), vec![accelerator_step(2, 2, 31_000)]);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against the loss of the reserve for urgent work of the same service.
#[test]
fn processors_are_kept_free_for_urgent_work_of_the_same_service() {
    let urgent = Queue {
        service: "service".into(),
        ..urgent_queue()
    };
    let mut leader = leader(vec![accelerator_queue(), urgent], &["a"]);

    leader.submit(JobId(1), vec![accelerator_step(2, 2, 31_000)]);

    assert_eq!(leader.take_starts().len(), 1);
}

/// Guards against single accelerators that are in use on all workers while gangs need whole workers.
#[test]
fn single_accelerators_are_taken_from_workers_in_use() {
    let mut leader = leader(vec![accelerator_queue()], &["a", "b", "c", "d"]);

    for job in 1..=8 {
        leader.submit(JobId(job), vec![accelerator_step(1, 1, 5_000)]);
    }

    let starts = leader.take_starts();
    let workers: BTreeSet<_> = starts.iter().map(|(_, worker)| worker).collect();
    assert_eq!(starts.len(), 8);
    assert_eq!(workers.len(), 1, "one worker has room for all");
}

/// Guards against work without need of accelerators that takes the processors beside free ones.
#[test]
fn work_without_accelerators_prefers_workers_that_have_none() {
    let mut leader = leader(vec![accelerator_queue()], &["a", "b"]);
    let without = Resources {
        accelerators: 0,
        ..CAPACITY
    };
    leader.heartbeat_with("b", 1, without);

    leader.submit(JobId(1), vec![accelerator_step(4, 0, 14_000)]);

    let starts = leader.take_starts();
    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|(_, worker)| worker.as_str() == "b"));
}
