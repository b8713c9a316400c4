//! Wall time that never steps back within one process.

use std::{
    sync::LazyLock,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

static START: LazyLock<(Instant, u64)> = LazyLock::new(|| {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (Instant::now(), since_epoch.as_micros() as u64)
});

/// Microseconds since the Unix epoch, read once from the system clock and then advanced by the
/// monotonic clock. Suitable for merging the logs of processes on one machine.
pub fn wall_us() -> u64 {
    let (instant, wall_us) = *START;
    wall_us + instant.elapsed().as_micros() as u64
}
