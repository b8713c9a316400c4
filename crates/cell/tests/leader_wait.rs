//! How long a caller waits for the leader.

use {fuchsiatack_cell::limits_of_call, std::time::Duration};

const PATIENCE: Duration = Duration::from_secs(3);

/// Guards against callers that are turned away by a change of leader.
#[test]
fn callers_wait_for_the_end_of_an_election() {
    let limits = limits_of_call(PATIENCE, Duration::from_millis(600));

    assert!(limits.undelivered >= Duration::from_millis(800));
}

/// Guards against callers that are held until their deadline in an outage of the core.
#[test]
fn callers_are_turned_away_at_once_in_an_outage() {
    let limits = limits_of_call(PATIENCE, Duration::from_secs(2));

    assert!(limits.undelivered <= Duration::from_millis(200));
}

/// Guards against callers that are told nothing of a request that a lost leader may have taken.
#[test]
fn request_in_doubt_is_followed_up_to_its_deadline() {
    let limits = limits_of_call(PATIENCE, Duration::from_secs(2));

    assert!(limits.in_doubt > Duration::from_millis(2_500) && limits.in_doubt < PATIENCE);
}

/// Guards against an answer after the deadline of a caller in a hurry.
#[test]
fn no_wait_is_longer_than_the_caller_s() {
    let limits = limits_of_call(Duration::from_millis(300), Duration::ZERO);

    assert!(limits.undelivered <= Duration::from_millis(150));
    assert!(limits.in_doubt <= Duration::from_millis(150));
}
