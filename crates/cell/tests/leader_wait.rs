//! Limits on how long a caller's request waits for the leader.

use {fuchsiatack_cell::call_limits, std::time::Duration};

const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against requests that fail because of a change of leader.
#[test]
fn requests_wait_for_the_end_of_an_election() {
    let limits = call_limits(CALLER_TIMEOUT, Duration::from_millis(600));

    assert!(limits.undelivered >= Duration::from_millis(800));
}

/// Guards against requests that wait until the caller's deadline during an outage of the core.
#[test]
fn requests_fail_early_in_an_outage() {
    let limits = call_limits(CALLER_TIMEOUT, Duration::from_secs(2));

    assert!(limits.undelivered <= Duration::from_millis(200));
}

/// Guards against giving up early on a request that a failed leader may have accepted.
#[test]
fn request_in_doubt_waits_until_close_to_its_deadline() {
    let limits = call_limits(CALLER_TIMEOUT, Duration::from_secs(2));

    assert!(limits.in_doubt > Duration::from_millis(2_500) && limits.in_doubt < CALLER_TIMEOUT);
}

/// Guards against a response after the deadline of a caller with a short timeout.
#[test]
fn limits_are_shorter_than_a_short_caller_timeout() {
    let limits = call_limits(Duration::from_millis(300), Duration::ZERO);

    assert!(limits.undelivered <= Duration::from_millis(150));
    assert!(limits.in_doubt <= Duration::from_millis(150));
}
