//! Rules of placement that the measurements compare.

mod common;

use {
    common::{Cell, id, started},
    fuchsiatack_kernel::{Decision, Event, Kernel, KernelSettings, PlacementRule},
    fuchsiatack_model::Policy,
};

const RULES: [PlacementRule; 4] = [
    PlacementRule::LeastLoaded,
    PlacementRule::Policy,
    PlacementRule::Random,
    PlacementRule::TwoChoices,
];

fn cell(placement_rule: PlacementRule) -> Cell {
    let mut cell = Cell::new();
    cell.kernel = Kernel::new(KernelSettings {
        placement_rule,
        ..KernelSettings::default()
    });
    cell.step(Event::LeaseChanged { valid: true });
    cell.team("anfa", 1_000)
}

/// Guards against a rule that leaves the fewest running tasks out of account.
#[test]
fn least_loaded_fills_workers_evenly() {
    let mut cell = cell(PlacementRule::LeastLoaded)
        .worker("a", 4)
        .worker("b", 4)
        .worker("c", 4);
    let mut workers: Vec<_> = (1..=6)
        .flat_map(|task| started(&cell.submit(task, "anfa", Policy::Interactive)))
        .map(|(_, worker)| worker.to_string())
        .collect();
    workers.sort();
    assert_eq!(workers, ["a", "a", "b", "b", "c", "c"]);
}

/// Guards against a rule that overfills a worker, or that refuses a task which has to wait.
#[test]
fn every_rule_fills_all_slots_and_lets_the_rest_wait() {
    for rule in RULES {
        let mut cell = cell(rule).worker("a", 2).worker("b", 3);
        let decisions: Vec<Decision> = (1..=6)
            .flat_map(|task| cell.submit(task, "anfa", Policy::Interactive))
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

        let later = cell.end(1, fuchsiatack_kernel::TaskEnd::Done);

        let starts_last =
            |decision: &Decision| matches!(decision, Decision::Start { task, .. } if *task == id(6));
        assert!(later.iter().any(starts_last), "{rule:?}");
    }
}

/// Guards against a random choice that always takes the same worker.
#[test]
fn random_rules_use_several_workers() {
    for rule in [PlacementRule::Random, PlacementRule::TwoChoices] {
        let mut cell = cell(rule).worker("a", 100).worker("b", 100).worker("c", 100);
        let mut workers: Vec<_> = (1..=30)
            .flat_map(|task| started(&cell.submit(task, "anfa", Policy::Interactive)))
            .map(|(_, worker)| worker.to_string())
            .collect();
        workers.sort();
        workers.dedup();
        assert_eq!(workers, ["a", "b", "c"], "{rule:?}");
    }
}
