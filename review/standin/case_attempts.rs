//! A queue is removed and added again while the last attempt of a task is at work. The attempt fails.

use crate::{
    Outcome, Run,
    cell::{Cell, MAX_ATTEMPTS},
    outcome,
    worker::{Work, Worker},
};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

const JOB: &str = "5c0e7a21d94b36f8";
/// Time that each attempt works until it fails.
const WORK_MS: u64 = 3_000;

pub fn run(run: &Run) -> Outcome {
    let Some(cell) = Cell::start(run.record.clone()) else {
        return Outcome::CouldNotRun("the cell did not start");
    };
    let work_time = Arc::new(|_: &str, _: u64| Work {
        length_ms: WORK_MS,
        how: "failed",
    });
    for number in 0..6 {
        let (control, record) = (cell.control(), run.record.clone());
        let address = cell.worker_address(number);
        Worker::start(
            number,
            address,
            control,
            "\"a\",\"r1-1\"",
            record,
            work_time.clone(),
        );
    }
    sleep(Duration::from_millis(2_500));
    if !cell.submit(
        JOB,
        "{\"count\":1,\"cpu\":500,\"memMb\":256,\"estimatedMs\":3000}",
    ) {
        return Outcome::CouldNotRun("the job was not accepted");
    }
    let begin = Instant::now();
    while run.record.starts() < MAX_ATTEMPTS {
        if begin.elapsed() > Duration::from_secs(20) {
            return Outcome::CouldNotRun("the last attempt did not start");
        }
        sleep(Duration::from_millis(20));
    }
    if run.has_trouble {
        sleep(Duration::from_millis(WORK_MS / 3));
        if !cell.configure(8, false) {
            return Outcome::CouldNotRun("a configuration was not acknowledged");
        }
        sleep(Duration::from_millis(WORK_MS));
        if !cell.configure(9, true) {
            return Outcome::CouldNotRun("a configuration was not acknowledged");
        }
    }
    let state = cell.wait_for(
        JOB,
        &["completed", "failed", "cancelled"],
        Duration::from_secs(12),
    );
    run.record.say(&format!("job {JOB} is shown as {state}"));
    sleep(Duration::from_secs(2));
    outcome(run.record.over_budget(MAX_ATTEMPTS))
}
