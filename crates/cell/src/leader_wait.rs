//! Limits on how long a caller's request waits for the leader.
//!
//! Distinguishes two failures that look alike at first. During an election no leader is found for less
//! than a second, so requests wait and succeed once it ends. During an outage of the core the return
//! of a leader cannot be predicted, so requests fail early enough for the caller to retry within its
//! deadline.

use {fuchsiatack_session::CallLimits, std::time::Duration};

/// Time reserved for sending the response before the caller's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Longest wait for a leader during a possible election: the longest election timeout and the election
/// itself.
const ELECTION_WAIT: Duration = Duration::from_millis(900);
/// Time since the leader's last response after which an outage is assumed. It is longer than an election.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Longest wait for a leader during an outage: enough to try each core member once.
const OUTAGE_WAIT: Duration = Duration::from_millis(100);

/// Returns the limits for a caller's call. `caller_timeout` is how long the caller waits, and
/// `leader_silence` the time since the leader's last response. A call that may have reached a leader waits
/// for the result until shortly before the caller's timeout, because it cannot be reported as not run.
pub fn call_limits(caller_timeout: Duration, leader_silence: Duration) -> CallLimits {
    let in_doubt = caller_timeout.saturating_sub(RESPONSE_MARGIN);
    let wait = match leader_silence < OUTAGE_THRESHOLD {
        true => ELECTION_WAIT,
        false => OUTAGE_WAIT,
    };
    CallLimits {
        in_doubt,
        undelivered: wait.min(in_doubt),
    }
}
