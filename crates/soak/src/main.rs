//! `fuchsiatack-soak`: runs the randomized soak test from the command line.

use {
    fuchsiatack_soak::{REGRESSION_SEEDS, SoakSettings, run},
    gumdrop::Options,
    std::{path::PathBuf, process::ExitCode},
    tokio::task::JoinSet,
};

/// Upper bound of `--parallel`.
const MAX_PARALLEL: u64 = 8;
/// Highest number of a cell; the tests in CI use higher ones.
const MAX_CELL: u64 = 200;

/// Runs the randomized soak test with consecutive seeds.
///
/// Example: `fuchsiatack-soak --program target/release/fuchsiatackd --seed 1 --runs 50`
#[derive(Debug, Options)]
struct Arguments {
    /// Number of the first run's cell; each run adds 1. Programs that run at the same time need different cells.
    #[options(no_short, help = "cell of the first run, 1 to 200", default = "1")]
    first_cell: u64,
    /// Prints the help and exits.
    #[options(help = "print this help")]
    help: bool,
    /// Number of runs in parallel, clamped to 1 to `MAX_PARALLEL`.
    #[options(no_short, help = "number of runs in parallel, 1 to 8", default = "4")]
    parallel: u64,
    /// Path of the `fuchsiatackd` program.
    #[options(no_short, meta = "FILE", help = "path of the fuchsiatackd program", required)]
    program: PathBuf,
    /// Runs `REGRESSION_SEEDS` first.
    #[options(no_short, help = "first run the seeds that failed before")]
    regressions: bool,
    /// Number of runs; each run adds 1 to the seed.
    #[options(no_short, help = "number of runs, with consecutive seeds", default = "1")]
    runs: u64,
    /// Time in which each run injects faults, in seconds.
    #[options(no_short, help = "seconds of fault injection in each run", default = "20")]
    seconds: u64,
    /// Seed of the first run.
    #[options(no_short, help = "seed of the first run", default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let parallel = arguments.parallel.clamp(1, MAX_PARALLEL);
    let mut runs = JoinSet::new();
    let mut failed = 0;
    let regressions = match arguments.regressions {
        true => REGRESSION_SEEDS.as_slice(),
        false => &[],
    };
    let end = arguments.seed + arguments.runs;
    let seeds: Vec<_> = regressions.iter().copied().chain(arguments.seed..end).collect();
    for (seed, number) in seeds.iter().zip(arguments.first_cell.max(1)..) {
        if runs.len() as u64 >= parallel {
            failed += runs.join_next().await.map_or(0, |failed| failed.unwrap_or(1));
        }
        let cell = ((number - 1) % MAX_CELL) as u8 + 1;
        runs.spawn(run_seed(
            arguments.program.clone(),
            *seed,
            arguments.seconds,
            cell,
        ));
    }
    while let Some(result) = runs.join_next().await {
        failed += result.unwrap_or(1);
    }
    println!("{} runs, {failed} failed", seeds.len());
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs the soak test with one seed. Returns 1 and keeps the output folder if the run failed.
async fn run_seed(program: PathBuf, seed: u64, seconds: u64, cell: u8) -> u32 {
    let folder = std::env::temp_dir().join(format!("fuchsiatack-soak-{}-{seed}", std::process::id()));
    let settings = SoakSettings {
        cell,
        fault_period_ms: seconds * 1_000,
        folder: folder.clone(),
        program,
        seed,
    };
    match run(&settings).await {
        Ok(report) if report.violations.is_empty() => {
            println!(
                "seed {seed}: {} jobs, {} cancelled, {} starts, {} late, {} checkpoints, {} leaves, {} faults",
                report.accepted,
                report.cancelled,
                report.starts,
                report.late_starts,
                report.checkpoints,
                report.leaves,
                report.faults.len()
            );
            let _ = std::fs::remove_dir_all(&folder);
            0
        }
        Ok(report) => {
            println!("seed {seed} FAILED, output in {}", folder.display());
            report
                .faults
                .iter()
                .chain(&report.violations)
                .for_each(|line| println!("  {line}"));
            1
        }
        Err(error) => {
            println!("seed {seed} FAILED: {error}");
            1
        }
    }
}
