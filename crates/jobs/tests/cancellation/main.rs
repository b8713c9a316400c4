//! Simulates a cell whose clients cancel jobs. Guards against starts of what no client sent, with
//! another payload or a foreign checkpoint, and against starts and runs of jobs whose cancel was
//! acknowledged (rule UNASKED). The checks use the workers' state and the responses that clients
//! received, never the planner's state.

mod cell;
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod faults;
mod worker;

use {cell::Cell, faults::Faults};

/// Simulated time in which faults happen, in milliseconds.
const FAULTY_MS: u64 = 30_000;
/// Simulated time after the last fault, in milliseconds.
const QUIET_MS: u64 = 20_000;
const JOBS: u64 = 80;
const WORKERS: usize = 6;

fn run(seed: u64, faults: Faults) -> Cell {
    run_counting(seed, faults, true)
}

fn run_counting(seed: u64, faults: Faults, counts_unknown_jobs: bool) -> Cell {
    let mut cell = Cell::new(seed, faults, JOBS, WORKERS);
    cell.counts_unknown_jobs = counts_unknown_jobs;
    cell.run_until(FAULTY_MS);
    cell.end_faults();
    cell.run_until(FAULTY_MS + QUIET_MS);
    cell
}

#[test]
fn cancelled_jobs_end_without_faults() {
    for seed in 1..=20 {
        let cell = run(seed, Faults::default());

        assert_eq!(cell.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against late starts of cancelled jobs on restarted workers. Each set of faults but the last led
/// to such runs before the stops of late starts were sent to new incarnations.
#[test]
fn late_starts_of_cancelled_jobs_are_stopped() {
    for (bits, first) in [(97, 1), (100, 1), (113, 1), (118, 1), (118, 150), (1_023, 1)] {
        for seed in first..first + 60 {
            let cell = run_counting(seed, Faults::from_bits(bits), false);

            assert_eq!(
                cell.violations,
                Vec::<String>::new(),
                "faults {bits}, seed {seed}"
            );
        }
    }
}

/// Guards against jobs that start although their cancel was answered with `NoSuchJob`, because their
/// submission was delayed or sent again to a later leader.
#[test]
fn jobs_cancelled_before_their_submission_stay_cancelled() {
    for bits in [8, 120, 512] {
        for seed in 1..=60 {
            let cell = run(seed, Faults::from_bits(bits));

            assert_eq!(
                cell.violations,
                Vec::<String>::new(),
                "faults {bits}, seed {seed}"
            );
        }
    }
}

/// Guards against starts and runs of cancelled jobs after calls that links, paused leaders or late
/// heartbeats delay, and against checkpoints of an earlier job with the same identifier.
#[test]
fn delayed_calls_start_no_cancelled_jobs() {
    for bits in [131_071, 134_241, 138_250, 139_365, 196_711, 262_143] {
        for seed in 1..=20 {
            let cell = run(seed, Faults::from_bits(bits));

            assert_eq!(
                cell.violations,
                Vec::<String>::new(),
                "faults {bits}, seed {seed}"
            );
        }
    }
}

/// Guards against cancelled jobs that are removed when the wall clock steps, so that a repeated submission
/// starts them again.
#[test]
fn cancelled_jobs_stay_known_when_the_wall_clock_steps() {
    const DELAYED_SUBMISSIONS: u32 = 1 << 9;
    const CLOCK_STEPS: u32 = 1 << 18;
    for seed in 1..=60 {
        let cell = run(seed, Faults::from_bits(DELAYED_SUBMISSIONS | CLOCK_STEPS));

        assert_eq!(cell.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Runs the seeds of `SEEDS` (as FIRST..LAST) with the faults whose bits are set in `FAULTS`, and
/// prints each seed with a violation. `COUNT_410=0` ignores cancels of unknown jobs. `TRACE` prints the
/// trace lines that contain its text.
#[test]
#[ignore = "started by hand"]
fn explore() {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let bits = variable("FAULTS").parse().unwrap_or(0x3FF);
    let seeds = variable("SEEDS");
    let (first, last) = seeds.split_once("..").unwrap_or(("1", "100"));
    let seeds = first.parse::<u64>().unwrap_or(1)..last.parse::<u64>().unwrap_or(100);
    let trace = variable("TRACE");
    let mut failed = 0;
    for seed in seeds {
        let cell = run_counting(seed, Faults::from_bits(bits), !variable("COUNT_410").eq("0"));
        if cell.violations.is_empty() {
            continue;
        }
        failed += 1;
        let longest_ms = cell.overruns.values().max().copied().unwrap_or(0);
        let (count, first) = (cell.violations.len(), &cell.violations[0]);
        println!("seed {seed}: {count} violations, longest overrun {longest_ms} ms: {first}");
        if !trace.is_empty() {
            cell.violations
                .iter()
                .for_each(|violation| println!("  {violation}"));
            let parts: Vec<_> = trace.split('|').collect();
            let lines = cell
                .trace
                .iter()
                .filter(|line| parts.iter().any(|part| line.contains(part)));
            lines.for_each(|line| println!("  {line}"));
        }
    }
    println!(
        "{failed} seeds with violations, faults {:?}",
        Faults::NAMES
            .iter()
            .zip(0..)
            .filter(|(_, bit)| bits >> bit & 1 == 1)
            .map(|(name, _)| *name)
            .collect::<Vec<_>>()
    );
}
