//! Crowds of clients outside the limits against real daemon processes. One test runs at a time.
//!
//! The tests check what does not depend on the speed of the machine: the process lives, its memory and open
//! descriptors stay under a bound, and an ordinary request is answered while the crowd is connected.

mod control_limits;
mod crowd;
mod entry_limits;
#[allow(dead_code, reason = "shared with the review's stand-ins, which use all of it")]
#[path = "../../../../review/standin/http.rs"]
mod http;
mod large_jobs;
mod platform_cell;
mod process_usage;
mod product_limits;
#[allow(dead_code, reason = "shared with the review's stand-ins, which use all of it")]
#[path = "../../../../review/standin/record.rs"]
mod record;
#[allow(dead_code, reason = "shared with the review's stand-ins, which use all of it")]
#[path = "../../../../review/standin/worker.rs"]
mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held by each test, so that no two crowds are connected at the same time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}
