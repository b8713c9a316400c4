//! Age of the calls that a core member makes for the leader.

use fuchsiatack_cell::CallAges;

/// Difference between the clocks of leader and member in milliseconds.
const OFFSET_MS: u64 = 70_000;

/// Guards against a member that was paused and then tells the next life of a worker which ends were
/// seen in the life before.
#[test]
fn call_that_was_held_up_is_not_carried_out() {
    let mut ages = CallAges::default();
    assert!(ages.is_recent(OFFSET_MS + 1_001, 5, 1_000));

    assert!(!ages.is_recent(OFFSET_MS + 4_500, 5, 2_000));
    assert!(
        ages.is_recent(OFFSET_MS + 4_503, 5, 4_500),
        "the next one is recent"
    );
}

/// Guards against members that refuse calls of a new leader, whose clock differs.
#[test]
fn ages_begin_anew_with_each_leader() {
    let mut ages = CallAges::default();
    assert!(ages.is_recent(OFFSET_MS + 1_001, 5, 1_000));

    assert!(ages.is_recent(OFFSET_MS + 2_000, 6, 90));
    assert!(
        !ages.is_recent(OFFSET_MS + 2_010, 5, 2_005),
        "of a leader that was replaced"
    );
}

/// Guards against clocks that drift until every call looks old.
#[test]
fn drift_of_the_clocks_does_not_add_up() {
    let mut ages = CallAges::default();
    let drifts = (0..200_u64).all(|minute| {
        let sent_ms = minute * 60_000;
        ages.is_recent(OFFSET_MS + sent_ms + 10 * minute, 5, sent_ms)
    });

    assert!(drifts);
}
