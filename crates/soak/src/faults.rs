//! Faults from outside: signals to daemons, lost disks, and workers that crash, are cut off, stay
//! silent or fail. They come in series and overlap.

use {
    crate::{daemons::Daemon, truth::Truth, workers::WorkerStand},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest pause between two faults in milliseconds.
const PAUSE_MS: u64 = 1_200;
/// Longest time of a fault in milliseconds.
const LENGTH_MS: u64 = 4_000;
/// Time after its return for which a core daemon counts as lost, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;

/// Injects faults until `until_ms`, one core daemon at a time, and ends them all.
pub(crate) async fn inject(
    truth: &Truth,
    daemons: &mut [Daemon],
    core: usize,
    workers: &[Arc<WorkerStand>],
    seed: u64,
    until_ms: u64,
) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut log = Vec::new();
    let mut core_free_ms = 0;
    while truth.now_ms() < until_ms {
        sleep(Duration::from_millis(random.random_range(50..PAUSE_MS))).await;
        let length = Duration::from_millis(random.random_range(100..LENGTH_MS));
        let worker = &workers[random.random_range(0..workers.len())];
        let kind = random.random_range(0..10_u32);
        let is_core = random.random_range(0..2) == 0 && truth.now_ms() >= core_free_ms;
        let position = match is_core {
            true => random.random_range(0..core),
            false => random.random_range(core..daemons.len()),
        };
        let name = daemons[position].name().to_owned();
        let now_ms = truth.now_ms();
        let what = match kind {
            0..=1 => {
                daemons[position].process.kill();
                sleep(length / 4).await;
                restart(truth, &mut daemons[position]);
                format!("kill {name}")
            }
            2 => {
                let _ = daemons[position].process.terminate();
                sleep(length.max(Duration::from_secs(1))).await;
                restart(truth, &mut daemons[position]);
                format!("terminate {name}")
            }
            3..=4 => {
                let _ = daemons[position].process.pause();
                sleep(length).await;
                let _ = daemons[position].process.resume();
                format!("pause {name} for {} ms", length.as_millis())
            }
            5 if is_core => {
                daemons[position].process.kill();
                let _ = daemons[position].wipe();
                restart(truth, &mut daemons[position]);
                format!("wipe {name}")
            }
            5 | 6 => {
                worker.crash();
                format!("crash {}", worker.name())
            }
            7 => {
                worker.cut(length.as_millis() as u64 * 2);
                format!("cut {}", worker.name())
            }
            8 => {
                worker.mute(length.as_millis() as u64);
                format!("mute {}", worker.name())
            }
            _ => {
                worker.set_failing(true);
                sleep(length / 2).await;
                worker.set_failing(false);
                format!("fail {}", worker.name())
            }
        };
        if is_core {
            core_free_ms = truth.now_ms() + CATCH_UP_MS;
        }
        log.push(format!("{now_ms} ms: {what}"));
    }
    log
}

fn restart(truth: &Truth, daemon: &mut Daemon) {
    if let Err(error) = daemon.process.restart() {
        truth.violate(format!("the soak cannot restart {}: {error}", daemon.name()));
    }
}
