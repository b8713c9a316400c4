//! `soak`: runs the randomized soak by hand.

use {
    fuchsiatack_soak::{SoakSettings, run},
    gumdrop::Options,
    std::{path::PathBuf, process::ExitCode},
    tokio::task::JoinSet,
};

/// Most runs at a time.
const MAX_PARALLEL: u64 = 8;

/// Arguments of `soak`.
///
/// Example: `soak --program target/release/fuchsiatackd --seed 1 --runs 50`
#[derive(Debug, Options)]
struct Arguments {
    /// Prints the help.
    #[options(help = "print this help")]
    help: bool,
    /// Runs at the same time.
    #[options(no_short, help = "runs at the same time, 1 to 8", default = "4")]
    parallel: u64,
    /// The daemon.
    #[options(no_short, meta = "FILE", help = "the fuchsiatackd program", required)]
    program: PathBuf,
    /// Number of runs, with rising seeds.
    #[options(no_short, help = "number of runs, with rising seeds", default = "1")]
    runs: u64,
    /// Seconds with faults in each run.
    #[options(no_short, help = "seconds with faults in each run", default = "20")]
    seconds: u64,
    /// First seed.
    #[options(no_short, help = "first seed", default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let parallel = arguments.parallel.clamp(1, MAX_PARALLEL);
    let mut runs = JoinSet::new();
    let mut failed = 0;
    for number in 0..arguments.runs {
        if runs.len() as u64 >= parallel {
            failed += runs.join_next().await.map_or(0, |failed| failed.unwrap_or(1));
        }
        let cell = (number % 200) as u8 + 1;
        runs.spawn(one(
            arguments.program.clone(),
            arguments.seed + number,
            arguments.seconds,
            cell,
        ));
    }
    while let Some(result) = runs.join_next().await {
        failed += result.unwrap_or(1);
    }
    println!("{} runs, {failed} failed", arguments.runs);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs one seed. Returns 1 if it failed; its folder is kept then.
async fn one(program: PathBuf, seed: u64, seconds: u64, cell: u8) -> u32 {
    let folder = std::env::temp_dir().join(format!("fuchsiatack-soak-{}-{seed}", std::process::id()));
    let settings = SoakSettings {
        cell,
        faulty_ms: seconds * 1_000,
        folder: folder.clone(),
        program,
        seed,
    };
    match run(&settings).await {
        Ok(report) if report.violations.is_empty() => {
            println!(
                "seed {seed}: {} jobs, {} starts, {} faults",
                report.accepted,
                report.starts,
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
