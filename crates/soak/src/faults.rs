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
/// Most signals during one fault.
const MAX_SIGNALS: u32 = 3;
/// Longest pause between two signals during one fault, in milliseconds.
const MAX_SIGNAL_PAUSE_MS: u64 = 700;
/// Longest wait for the end of a terminated daemon.
const EXIT_LIMIT: Duration = Duration::from_secs(2);

/// Injects faults until `until_ms`, in at most one core daemon at a time. During each fault, signals go to the
/// last daemon, which gets no other faults. On return every daemon has been restarted or resumed, while a worker
/// may stay cut off or mute for the rest of its fault. Returns a description of each fault.
pub(crate) async fn inject(
    checker: &Checker,
    daemons: &mut [Daemon],
    core_count: usize,
    workers: &[Arc<WorkerStub>],
    seed: u64,
    until_ms: u64,
) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    // Random numbers of its own keep the other faults of a seed the same.
    let mut overlapping = StdRng::seed_from_u64(seed.wrapping_mul(43));
    let mut log = Vec::new();
    let Some((overlapped, daemons)) = daemons.split_last_mut() else {
        return log;
    };
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
        let now_ms = checker.now_ms();
        checker.observations().faults.begin();
        let (fault, overlapping_fault) = tokio::join!(
            apply(checker, kind, is_core, &mut daemons[index], worker, duration),
            signal(checker, overlapped, &mut overlapping)
        );
        if is_core {
            next_core_fault_ms = checker.now_ms() + CATCH_UP_MS;
        }
        log.push(format!("{now_ms} ms: {fault}, {overlapping_fault}"));
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

/// Injects one fault and returns its description.
async fn apply(
    checker: &Checker,
    kind: u32,
    is_core: bool,
    daemon: &mut Daemon,
    worker: &WorkerStub,
    duration: Duration,
) -> String {
    let name = daemon.name().to_owned();
    match kind {
        0..=1 => {
            daemon.process.kill();
            sleep(duration / 4).await;
            restart(checker, daemon);
            format!("kill {name}")
        }
        2 => {
            let _ = daemon.process.terminate();
            sleep(duration.max(Duration::from_secs(1))).await;
            restart(checker, daemon);
            format!("terminate {name}")
        }
        3..=4 => {
            let _ = daemon.process.pause();
            sleep(duration).await;
            let _ = daemon.process.resume();
            format!("pause {name} for {} ms", duration.as_millis())
        }
        5 if is_core => {
            daemon.process.kill();
            let _ = daemon.wipe();
            restart(checker, daemon);
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
    }
}

/// Sends signals to a daemon in series and returns their description.
async fn signal(checker: &Checker, daemon: &mut Daemon, random: &mut StdRng) -> String {
    let mut description = daemon.name().to_owned();
    let mut is_terminated = false;
    for _ in 0..random.random_range(1..=MAX_SIGNALS) {
        if !daemon.process.is_running() {
            break;
        }
        let pause = Duration::from_millis(random.random_range(0..MAX_SIGNAL_PAUSE_MS));
        let name = match random.random_range(0..4_u32) {
            0 => {
                daemon.process.kill();
                sleep(pause).await;
                restart(checker, daemon);
                is_terminated = false;
                "kill"
            }
            1 => {
                let _ = daemon.process.pause();
                sleep(pause).await;
                let _ = daemon.process.resume();
                "pause"
            }
            2 => {
                let _ = daemon.process.hang_up();
                sleep(pause).await;
                "hang-up"
            }
            _ => {
                let _ = daemon.process.terminate();
                sleep(pause).await;
                is_terminated = true;
                "terminate"
            }
        };
        description = format!("{description} {name}");
    }
    // Callers keep their connections until the process is gone.
    if is_terminated {
        let _ = daemon.process.wait(EXIT_LIMIT).await;
    }
    if is_terminated || !daemon.process.is_running() {
        restart(checker, daemon);
    }
    description
}

fn restart(checker: &Checker, daemon: &mut Daemon) {
    if let Err(error) = daemon.process.restart() {
        checker.record_violation(format!("the soak cannot restart {}: {error}", daemon.name()));
    }
}
