//! Limit on the number of log lines per event and second.

use fuchsiatack_cell::{LogBudget, LogDecision, is_sampled};

const EVENT: &str = "job accepted";

/// Returns how many of `lines` lines in one second are written.
fn written(budget: &mut LogBudget, second: u64, lines: usize, is_sampled: bool) -> usize {
    let decisions = (0..lines).map(|_| budget.decide(second, EVENT, is_sampled));
    decisions
        .filter(|decision| matches!(decision, LogDecision::Write { .. }))
        .count()
}

/// Guards against logging that uses up processor time under load.
#[test]
fn lines_per_event_are_limited() {
    let mut budget = LogBudget::default();

    assert_eq!(written(&mut budget, 1, 1_000, false), 40);
    assert_eq!(
        written(&mut budget, 1, 1_000, true),
        40,
        "lines of sampled jobs have a budget of their own"
    );
    assert_eq!(written(&mut budget, 2, 1_000, true), 80);
}

/// Guards against high load under which the log has all events of no job.
#[test]
fn lines_of_sampled_jobs_are_written_under_load() {
    let mut budget = LogBudget::default();
    written(&mut budget, 1, 1_000, false);

    let decision = budget.decide(1, EVENT, true);

    assert_eq!(decision, LogDecision::Write { suppressed: 960 });
}

/// Guards against daemons that sample different jobs.
#[test]
fn entry_and_leader_sample_the_same_jobs() {
    assert!(is_sampled("6006e2590c8550f0") && is_sampled("/wuka340/6006e2590c8550f0"));
    assert!(!is_sampled("6006e2590c8550f7") && !is_sampled("/wuka340/6006e2590c8550f7"));
}
