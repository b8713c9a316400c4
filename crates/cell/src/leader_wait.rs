//! How long a caller waits for the leader.
//!
//! Answers two loads that look alike at first. In an election every caller finds no leader for a part
//! of a second: waiting serves all of them at once. In an outage of the core nobody knows when a
//! leader returns: a caller that is told at once to come back can do so in time, one that is held
//! finds its deadline passed.

use {fuchsiatack_session::CallLimits, std::time::Duration};

/// Time that is left to send an answer before the caller's deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Wait for a leader while an election may be under way. It spans the longest election timeout and
/// the election itself.
const ELECTION_WAIT: Duration = Duration::from_millis(900);
/// Silence of the leader after which it takes longer than an election.
const OUTAGE_AFTER: Duration = Duration::from_millis(1_500);
/// Wait for a leader in an outage: the time to ask each core member once.
const OUTAGE_WAIT: Duration = Duration::from_millis(100);

/// Limits of a caller's call. `patience` is how long the caller waits, `silence` the time since the
/// leader answered last. A call that may have reached a leader waits for what became of it, since the
/// caller could not be told that it has not run.
pub fn limits_of_call(patience: Duration, silence: Duration) -> CallLimits {
    let in_doubt = patience.saturating_sub(ANSWER_MARGIN);
    let wait = match silence < OUTAGE_AFTER {
        true => ELECTION_WAIT,
        false => OUTAGE_WAIT,
    };
    CallLimits {
        in_doubt,
        undelivered: wait.min(in_doubt),
    }
}
