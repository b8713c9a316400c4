//! Bound of the log's volume.

use fuchsiatack_cell::{LogBudget, Verdict, is_sampled};

const EVENT: &str = "job accepted";

/// Lines of a second that are written out of a number of them.
fn written(budget: &mut LogBudget, second: u64, lines: usize, is_sampled: bool) -> usize {
    let verdicts = (0..lines).map(|_| budget.decide(second, EVENT, is_sampled));
    verdicts
        .filter(|verdict| matches!(verdict, Verdict::Write { .. }))
        .count()
}

/// Guards against logs that use up the processor under load.
#[test]
fn lines_of_an_event_are_bounded() {
    let mut budget = LogBudget::default();

    assert_eq!(written(&mut budget, 1, 1_000, false), 40);
    assert_eq!(written(&mut budget, 1, 1_000, true), 40, "of sampled jobs");
    assert_eq!(written(&mut budget, 2, 1_000, true), 80);
}

/// Guards against a busy second of which no job's story is whole.
#[test]
fn jobs_that_are_sampled_keep_their_lines_under_load() {
    let mut budget = LogBudget::default();
    written(&mut budget, 1, 1_000, false);

    let verdict = budget.decide(1, EVENT, true);

    assert_eq!(verdict, Verdict::Write { suppressed: 960 });
}

/// Guards against daemons that keep the lines of different jobs.
#[test]
fn an_entry_and_the_leader_sample_the_same_jobs() {
    assert!(is_sampled("6006e2590c8550f0") && is_sampled("/wuka340/6006e2590c8550f0"));
    assert!(!is_sampled("6006e2590c8550f7") && !is_sampled("/wuka340/6006e2590c8550f7"));
}
