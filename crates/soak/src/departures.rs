//! Workers that leave gracefully and return under their names. Such a leave is no disruption: cancelled jobs
//! have to stop in time around it.

use {
    crate::{checker::Checker, workers::WorkerStub},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Pause between two leaves, in milliseconds.
const PAUSE_MS: Range<u64> = 1_000..5_000;
/// Time for which a worker drains before it leaves, in milliseconds.
const DRAIN_MS: Range<u64> = 1_000..3_000;

/// Lets one random worker after the other leave until `until_ms`. Its random numbers are its own, so that
/// the faults of a seed stay the same. Returns the number of leaves.
pub(crate) async fn let_workers_leave(
    checker: Arc<Checker>,
    workers: Vec<Arc<WorkerStub>>,
    control: Vec<SocketAddr>,
    seed: u64,
    until_ms: u64,
) -> usize {
    let mut random = StdRng::seed_from_u64(seed.wrapping_mul(41));
    let mut leaves = 0;
    while checker.now_ms() < until_ms {
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let worker = &workers[random.random_range(0..workers.len())];
        worker.leave(&control, random.random_range(DRAIN_MS)).await;
        leaves += 1;
    }
    leaves
}
