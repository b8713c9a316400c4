//! Workers that are slow for a time after their start. Guards against bursts of starts on them, and against
//! work that they get while warm workers have room.

mod common;

use {
    common::{Leader, configuration, queue, step},
    fuchsiatack_jobs::{CellCall, ColdStart, HoldKind, JobId, RunId},
    fuchsiatack_model::{DataCenter, WorkerName},
    std::collections::BTreeMap,
};

/// Time for which a worker is cold in these tests, in milliseconds.
const COLD_MS: u64 = 20_000;
/// Starts per 1,000 s that a cold worker can handle in these tests: two per second.
const STARTS_PER_1000_S: u64 = 2_000;
/// Step of the planner's clock, in milliseconds.
const TICK_MS: u64 = 100;
/// Tolerance of the platform: factor on the rate in percent, and starts beyond it in any span.
const COLD_OVERAGE_PERCENT: u64 = 150;
const COLD_SLACK: u64 = 5;

/// Returns a leader of which the configuration limits the starts on cold workers.
fn leader() -> Leader {
    let mut leader = Leader::new(queue(), &[]);
    configure(&mut leader, 2, STARTS_PER_1000_S);
    leader
}

fn configure(leader: &mut Leader, version: u64, starts_per_1000_s: u64) {
    let mut configuration = configuration(queue());
    configuration.version = version;
    let cold_start = ColdStart {
        cold_ms: COLD_MS,
        starts_per_1000_s,
    };
    leader.call(CellCall::ConfigureColdStarts {
        cold_starts: BTreeMap::from([("service".into(), cold_start)]),
        configuration: Box::new(configuration),
    });
}

/// Handles the heartbeat of a worker that began to be cold at `since_ms`; of a warm one if that is long ago.
fn heartbeat(leader: &mut Leader, worker: &str, since_ms: u64, sequence: u64) {
    let mut report = leader.report_with(worker, 1, sequence, common::WORKER_CAPACITY);
    report.data_center = DataCenter::new("z");
    let report = Box::new(report);
    let cold_remaining_ms = (since_ms + COLD_MS).saturating_sub(leader.now_ms);
    leader.call(match cold_remaining_ms {
        0 => CellCall::Heartbeat(report),
        _ => CellCall::ColdHeartbeat {
            cold_remaining_ms,
            report,
        },
    });
}

/// Registers workers that have just started; those without a cold period are warm.
fn register(leader: &mut Leader, workers: &[&str], is_cold: bool) {
    leader.now_ms = leader.now_ms.max(2 * COLD_MS);
    let since_ms = if is_cold { leader.now_ms } else { 0 };
    for worker in workers {
        heartbeat(leader, worker, since_ms, 1);
    }
    leader.take_calls();
    for worker in workers {
        leader.report_runs(worker, HoldKind::Renewal, &[], &[]);
    }
}

/// Runs the leader for a time beside brief tasks that end after a tick, and returns when each worker was given
/// one, in milliseconds.
fn run(leader: &mut Leader, workers: &[&str], ms: u64) -> BTreeMap<WorkerName, Vec<u64>> {
    let since_ms = leader.now_ms;
    let mut starts_ms: BTreeMap<WorkerName, Vec<u64>> = BTreeMap::new();
    let mut running: Vec<(RunId, WorkerName)> = Vec::new();
    let mut ends = 0;
    for number in 0..ms / TICK_MS {
        leader.advance(TICK_MS);
        for worker in workers {
            heartbeat(leader, worker, since_ms, 10 + number);
            let ended = running.iter().filter(|(_, on)| on.as_str() == *worker);
            let ended: Vec<_> = (ends + 1..)
                .zip(ended)
                .map(|(end, (run, _))| (end, *run))
                .collect();
            ends += ended.len() as u64;
            leader.report_runs(worker, HoldKind::Renewal, &[], &ended);
        }
        running = leader.take_starts();
        for (run, worker) in &running {
            leader.started(worker, *run, Ok(leader.now_ms));
            starts_ms.entry(worker.clone()).or_default().push(leader.now_ms);
        }
    }
    starts_ms
}

/// Returns the first span in which a worker got more starts than the platform tolerates.
fn burst(starts_ms: &[u64]) -> Option<(u64, u64, u64)> {
    let spans =
        (0..starts_ms.len()).flat_map(|first| (first..starts_ms.len()).map(move |last| (first, last)));
    spans
        .map(|(first, last)| (starts_ms[first], starts_ms[last], (last - first + 1) as u64))
        .find(|(from_ms, to_ms, starts)| {
            let per_rate = STARTS_PER_1000_S * (to_ms - from_ms) * COLD_OVERAGE_PERCENT / 100;
            *starts * 1_000_000 > per_rate + COLD_SLACK * 1_000_000
        })
}

/// Guards against the burst of starts when a cold data centre comes back while there is a backlog.
#[test]
fn returning_cold_data_center_gets_no_burst_of_starts() {
    let workers = ["a", "b"];
    let mut leader = leader();
    let data_center = DataCenter::new("z");
    leader.call(CellCall::EvacuateDataCenter {
        data_center: data_center.clone(),
        ordered_by: None,
    });
    for number in 1..=20 {
        leader.submit(JobId(number), vec![step(16, 100)]);
    }
    register(&mut leader, &workers, true);
    leader.call(CellCall::RestoreDataCenter(data_center));

    let starts_ms = run(&mut leader, &workers, COLD_MS - TICK_MS);

    for (worker, starts_ms) in &starts_ms {
        assert_eq!(burst(starts_ms), None, "{worker}: {starts_ms:?}");
        let allowed = STARTS_PER_1000_S * COLD_MS / 1_000_000;
        let starts = starts_ms.len() as u64;
        assert!(
            (allowed / 2..=allowed).contains(&starts),
            "{worker}: {starts} starts of {allowed}"
        );
    }
    assert_eq!(starts_ms.len(), workers.len(), "both workers get work");
}

/// Guards against a cold worker that gets its whole allowance at the end of the period.
#[test]
fn unused_starts_of_a_cold_period_are_not_saved_up() {
    let workers = ["a"];
    let mut leader = leader();
    register(&mut leader, &workers, true);
    run(&mut leader, &workers, COLD_MS / 2);
    leader.submit(JobId(1), vec![step(8, 60_000)]);

    let at_once = leader.take_starts();

    assert!(
        (1..=COLD_SLACK as usize / 2).contains(&at_once.len()),
        "{at_once:?}"
    );
}

/// Guards against a worker that stays limited, or unused, once it is warm.
#[test]
fn worker_that_has_warmed_up_gets_all_its_work_at_once() {
    let workers = ["a"];
    let mut leader = leader();
    register(&mut leader, &workers, true);
    run(&mut leader, &workers, COLD_MS + TICK_MS);
    leader.submit(JobId(1), vec![step(8, 60_000)]);

    let starts = leader.take_starts();

    assert_eq!(starts.len(), 8);
}

/// Guards against work on cold workers while warm ones have room, and against cold workers without work
/// otherwise.
#[test]
fn cold_worker_is_chosen_after_all_warm_ones_with_room() {
    let mut leader = leader();
    register(&mut leader, &["cold"], true);
    register(&mut leader, &["warm"], false);

    leader.submit(JobId(1), vec![step(8, 60_000)]);
    let first = leader.take_starts();
    leader.submit(JobId(2), vec![step(1, 60_000)]);
    let second = leader.take_starts();

    assert!(
        first.iter().all(|(_, worker)| worker.as_str() == "warm"),
        "{first:?}"
    );
    assert_eq!(first.len(), 8);
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].1.as_str(), "cold");
}

/// Guards against a limit that the configuration does not set.
#[test]
fn cold_worker_without_a_rate_gets_all_its_work_at_once() {
    let mut leader = leader();
    configure(&mut leader, 3, 0);
    register(&mut leader, &["a"], true);
    leader.submit(JobId(1), vec![step(8, 60_000)]);

    let starts = leader.take_starts();

    assert_eq!(starts.len(), 8);
}

/// Guards against a limit that a later configuration has removed.
#[test]
fn plain_configuration_removes_the_rate() {
    let mut leader = leader();
    let mut later = configuration(queue());
    later.version = 3;

    leader.call(CellCall::Configure(Box::new(later)));

    assert!(leader.store().extension.cold_starts.is_empty());
}

/// Guards against restarts of a worker that each bring a new burst.
#[test]
fn restart_of_a_cold_worker_allows_no_further_burst() {
    let mut leader = leader();
    register(&mut leader, &["a"], true);
    leader.submit(JobId(1), vec![step(8, 60_000)]);
    let mut starts = leader.take_starts().len();

    for restart in 2..6 {
        leader.now_ms += TICK_MS;
        let report = leader.report_with("a", restart, 1, common::WORKER_CAPACITY);
        leader.call(CellCall::ColdHeartbeat {
            cold_remaining_ms: COLD_MS,
            report: Box::new(report),
        });
        leader.take_calls();
        leader.report_of("a", HoldKind::Renewal, restart, &[]);
        starts += leader.take_starts().len();
    }

    assert!((1..=COLD_SLACK as usize).contains(&starts), "{starts} starts");
}
