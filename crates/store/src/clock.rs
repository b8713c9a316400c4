//! Monotonic and wall-clock time.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Returns milliseconds since boot, including time in which the VM was suspended. With the monotonic
/// clock, which excludes that time, a leader would treat an expired lease as valid after a resume.
pub fn steady_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * MILLIS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MILLI
}

/// Returns milliseconds since the Unix epoch on the system clock; 0 if it is set before the epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
