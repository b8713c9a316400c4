//! Clocks of the process.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Milliseconds of a steady clock that also counts while the VM is suspended. The usual monotonic
/// clock stands still then, and a suspended leader would believe that its lease still holds.
pub fn steady_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * MILLIS_PER_SECOND + time.tv_nsec as u64 / NANOS_PER_MILLI
}

/// Milliseconds since the Unix epoch, by the system's clock; 0 if it is set before the epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
