//! Short seeded runs of the soak test. They guard against violated guarantees of the platform
//! interface while daemons are killed, paused, stopped and wiped and workers are faulty. Longer runs
//! are started by hand.

use {
    fuchsiatack_soak::{SoakSettings, run},
    std::path::PathBuf,
};

const FAULT_PERIOD_MS: u64 = 6_000;

async fn soak(cell: u8, seed: u64) {
    let folder = tempfile::tempdir().expect("a temporary folder should be created");
    let settings = SoakSettings {
        cell,
        fault_period_ms: FAULT_PERIOD_MS,
        folder: folder.path().to_owned(),
        program: PathBuf::from(env!("CARGO_BIN_EXE_fuchsiatackd")),
        seed,
    };

    let report = run(&settings).await.expect("the soak should run");

    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "faults: {:?}",
        report.faults
    );
    assert!(
        report.accepted > 0 && report.starts > 0,
        "the cell accepted no job or started no task"
    );
}

#[tokio::test]
async fn guarantees_hold_under_seeded_faults() {
    soak(251, 3).await;
}

/// Guards against the lost end that seed 13 produced: a worker crashed and restarted between two
/// renewals. The second renewal carried the number of the last end of the earlier incarnation, so that
/// the new incarnation discarded an end that no daemon had seen.
#[tokio::test]
async fn guarantees_hold_when_a_worker_restarts() {
    soak(252, 13).await;
}
