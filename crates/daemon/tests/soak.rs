//! A short seeded run of the soak: guards against broken promises on the platform path under
//! killed, paused, stopped and wiped daemons and faulty workers. Longer runs are made by hand.

use {
    fuchsiatack_soak::{SoakSettings, run},
    std::path::PathBuf,
};

const FAULT_PERIOD_MS: u64 = 6_000;

async fn soak(cell: u8, seed: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = SoakSettings {
        cell,
        fault_period_ms: FAULT_PERIOD_MS,
        folder: folder.path().to_owned(),
        program: PathBuf::from(env!("CARGO_BIN_EXE_fuchsiatackd")),
        seed,
    };

    let report = run(&settings).await.expect("the soak runs");

    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "faults: {:?}",
        report.faults
    );
    assert!(
        report.accepted > 0 && report.starts > 0,
        "the cell served nothing"
    );
}

#[tokio::test]
async fn promises_hold_under_seeded_faults() {
    soak(251, 3).await;
}

/// Seed that failed: a worker crashed between two renewals, and a renewal with the number of the
/// last end of its earlier life made its new life forget an end that nobody had seen.
#[tokio::test]
async fn promises_hold_when_a_worker_starts_again() {
    soak(252, 13).await;
}
