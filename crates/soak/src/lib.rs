//! Randomized soak test of the platform interface. It runs the real daemons as separate processes
//! against stubs of workers, advice service, operator and callers, and injects faults from outside.
//! It checks the guarantees of the scheduler during the run from what callers and workers observe.

mod advice;
mod callers;
mod cancellations;
mod checker;
mod checkpoints;
mod daemons;
mod departures;
mod faults;
mod operator;
mod soak;
mod stub_server;
mod unasked;
mod workers;

pub use self::soak::{SoakReport, SoakSettings, run};

/// Seeds that failed on an earlier version of the daemons or of the soak test.
pub const REGRESSION_SEEDS: [u64; 10] = [3, 13, 33, 60, 302, 304, 307, 308, 318, 9003];
