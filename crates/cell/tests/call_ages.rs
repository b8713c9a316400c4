//! Age check for the worker calls that a core member makes on behalf of the leader.

use fuchsiatack_cell::CallAges;

/// Offset between the clocks of the leader and the member in milliseconds.
const OFFSET_MS: u64 = 70_000;

/// Guards against a paused member that later tells a restarted worker which ends were seen before the
/// restart.
#[test]
fn delayed_call_is_not_recent() {
    let mut ages = CallAges::default();
    assert!(ages.is_recent(OFFSET_MS + 1_001, 5, 1_000));

    assert!(!ages.is_recent(OFFSET_MS + 4_500, 5, 2_000));
    assert!(
        ages.is_recent(OFFSET_MS + 4_503, 5, 4_500),
        "the next call is recent"
    );
}

/// Guards against members that reject the calls of a new leader because its clock differs.
#[test]
fn ages_are_reset_for_a_new_leader() {
    let mut ages = CallAges::default();
    assert!(ages.is_recent(OFFSET_MS + 1_001, 5, 1_000));

    assert!(ages.is_recent(OFFSET_MS + 2_000, 6, 90));
    assert!(
        !ages.is_recent(OFFSET_MS + 2_010, 5, 2_005),
        "a call of a replaced leader is not recent"
    );
}

/// Guards against clock drift that makes every call appear old.
#[test]
fn clock_drift_does_not_accumulate() {
    let mut ages = CallAges::default();
    let all_recent = (0..200_u64).all(|minute| {
        let sent_ms = minute * 60_000;
        ages.is_recent(OFFSET_MS + sent_ms + 10 * minute, 5, sent_ms)
    });

    assert!(all_recent);
}
