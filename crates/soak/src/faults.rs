//! Injects faults from outside: signals to daemons, lost disks, and workers that crash, are cut off,
//! send no responses or fail their runs. Faults follow each other at random and may overlap.

use {
    crate::{checker::Checker, daemons::Daemon, workers::WorkerStub},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_200;
/// Longest random duration, from which each fault derives its own, in milliseconds.
const MAX_DURATION_MS: u64 = 4_000;
/// Time for which a core daemon still counts as lost after its return, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;

/// Least time without faults after each series of faults, in milliseconds. It lasts longer than machines
/// need to be in touch and a cancelled job to stop.
const CALM_MS: u64 = 9_000;
/// Most faults in one series.
const MAX_SERIES: u32 = 8;

/// Injects faults until `until_ms`, in at most one core daemon at a time. On return every daemon has been
/// restarted or resumed, while a worker may stay cut off or mute for the rest of its fault. Returns a
/// description of each fault.
pub(crate) async fn inject(
    checker: &Checker,
    daemons: &mut [Daemon],
    core_count: usize,
    workers: &[Arc<WorkerStub>],
    seed: u64,
    until_ms: u64,
) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut log = Vec::new();
    let mut next_core_fault_ms = 0;
    let mut series = random.random_range(3..=MAX_SERIES);
    while checker.now_ms() < until_ms {
        sleep(Duration::from_millis(random.random_range(50..MAX_PAUSE_MS))).await;
        let duration = Duration::from_millis(random.random_range(100..MAX_DURATION_MS));
        let worker = &workers[random.random_range(0..workers.len())];
        let kind = random.random_range(0..10_u32);
        let is_core = random.random_range(0..2) == 0 && checker.now_ms() >= next_core_fault_ms;
        let index = match is_core {
            true => random.random_range(0..core_count),
            false => random.random_range(core_count..daemons.len()),
        };
        let name = daemons[index].name().to_owned();
        let now_ms = checker.now_ms();
        checker.observations().faults.begin();
        let fault = match kind {
            0..=1 => {
                daemons[index].process.kill();
                sleep(duration / 4).await;
                restart(checker, &mut daemons[index]);
                format!("kill {name}")
            }
            2 => {
                let _ = daemons[index].process.terminate();
                sleep(duration.max(Duration::from_secs(1))).await;
                restart(checker, &mut daemons[index]);
                format!("terminate {name}")
            }
            3..=4 => {
                let _ = daemons[index].process.pause();
                sleep(duration).await;
                let _ = daemons[index].process.resume();
                format!("pause {name} for {} ms", duration.as_millis())
            }
            5 if is_core => {
                daemons[index].process.kill();
                let _ = daemons[index].wipe();
                restart(checker, &mut daemons[index]);
                format!("wipe {name}")
            }
            5 | 6 => {
                worker.restart();
                format!("crash {}", worker.name())
            }
            7 => {
                worker.cut(duration.as_millis() as u64 * 2);
                format!("cut {}", worker.name())
            }
            8 => {
                worker.mute(duration.as_millis() as u64);
                format!("mute {}", worker.name())
            }
            _ => {
                worker.set_failing(true);
                sleep(duration / 2).await;
                worker.set_failing(false);
                format!("fail runs of {}", worker.name())
            }
        };
        if is_core {
            next_core_fault_ms = checker.now_ms() + CATCH_UP_MS;
        }
        log.push(format!("{now_ms} ms: {fault}"));
        let faulty_until_ms = workers.iter().map(|worker| worker.faulty_until_ms()).max();
        let end_ms = checker.now_ms().max(faulty_until_ms.unwrap_or(0));
        checker.observations().faults.end(end_ms);
        series -= 1;
        if series == 0 {
            series = random.random_range(3..=MAX_SERIES);
            let calm_ms = (end_ms + CALM_MS).saturating_sub(checker.now_ms());
            sleep(Duration::from_millis(calm_ms)).await;
        }
    }
    log
}

fn restart(checker: &Checker, daemon: &mut Daemon) {
    if let Err(error) = daemon.process.restart() {
        checker.record_violation(format!("the soak cannot restart {}: {error}", daemon.name()));
    }
}
