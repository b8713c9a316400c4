//! Placement rules that exist to measure the policies against them.

mod common;

use {
    common::{TestKernel, id, started},
    fuchsiatack_kernel::{Decision, Event, Kernel, KernelSettings, PlacementRule},
    fuchsiatack_model::Policy,
};

const RULES: [PlacementRule; 4] = [
    PlacementRule::LeastLoaded,
    PlacementRule::Policy,
    PlacementRule::Random,
    PlacementRule::TwoChoices,
];

fn kernel_with_rule(placement_rule: PlacementRule) -> TestKernel {
    let mut kernel = TestKernel::new();
    kernel.inner = Kernel::new(KernelSettings {
        placement_rule,
        ..KernelSettings::default()
    });
    kernel.step(Event::LeaseChanged { valid: true });
    kernel.team("anfa", 1_000)
}

/// Guards against a rule that ignores how many tasks run on each worker.
#[test]
fn least_loaded_fills_workers_evenly() {
    let mut kernel = kernel_with_rule(PlacementRule::LeastLoaded)
        .worker("a", 4)
        .worker("b", 4)
        .worker("c", 4);
    let mut workers: Vec<_> = (1..=6)
        .flat_map(|task| started(&kernel.submit(task, "anfa", Policy::Interactive)))
        .map(|(_, worker)| worker.to_string())
        .collect();
    workers.sort();
    assert_eq!(workers, ["a", "a", "b", "b", "c", "c"]);
}

/// Guards against a rule that exceeds the capacity of a worker, or refuses a task that has to wait.
#[test]
fn every_rule_fills_all_slots_and_lets_the_rest_wait() {
    for rule in RULES {
        let mut kernel = kernel_with_rule(rule).worker("a", 2).worker("b", 3);
        let decisions: Vec<Decision> = (1..=6)
            .flat_map(|task| kernel.submit(task, "anfa", Policy::Interactive))
            .collect();
        let count = |name| {
            let workers = started(&decisions);
            workers
                .iter()
                .filter(|(_, worker)| worker.as_str() == name)
                .count()
        };
        assert_eq!((count("a"), count("b")), (2, 3), "{rule:?}");
        assert_eq!(decisions.len(), 5, "{rule:?}");

        let later = kernel.end(1, fuchsiatack_kernel::TaskEnd::Done);

        let starts_last =
            |decision: &Decision| matches!(decision, Decision::Start { task, .. } if *task == id(6));
        assert!(later.iter().any(starts_last), "{rule:?}");
    }
}

/// Guards against a random choice that always takes the same worker.
#[test]
fn random_rules_use_several_workers() {
    for rule in [PlacementRule::Random, PlacementRule::TwoChoices] {
        let mut kernel = kernel_with_rule(rule)
            .worker("a", 100)
            .worker("b", 100)
            .worker("c", 100);
        let mut workers: Vec<_> = (1..=30)
            .flat_map(|task| started(&kernel.submit(task, "anfa", Policy::Interactive)))
            .map(|(_, worker)| worker.to_string())
            .collect();
        workers.sort();
        workers.dedup();
        assert_eq!(workers, ["a", "b", "c"], "{rule:?}");
    }
}
