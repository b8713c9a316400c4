//! The workers under a job crash one after the other. The job is sound: no run of it ends as failed.

use crate::{
    Outcome, Run,
    cell::Cell,
    worker::{Work, Worker},
};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

const WORKERS: usize = 7;
const CRASHES: usize = 5;
/// Time that a run works before its worker crashes.
const WORKED: Duration = Duration::from_millis(2_500);
const DOWN: Duration = Duration::from_millis(2_000);
const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(run: &Run) -> Outcome {
    let Some(cell) = Cell::start(run.record.clone()) else {
        return Outcome::CouldNotRun("the cell did not start");
    };
    let work_time = Arc::new(|_: &str, _: u64| Work::done(9_000));
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let (control, record) = (cell.control(), run.record.clone());
            Worker::start(
                number,
                cell.worker_address(number),
                control,
                "\"a\",\"r1-1\"",
                record,
                work_time.clone(),
            )
        })
        .collect();
    sleep(Duration::from_millis(2_500));
    if !cell.submit(
        JOB,
        "{\"count\":1,\"cpu\":5500,\"memMb\":16000,\"estimatedMs\":9000}",
    ) {
        return Outcome::CouldNotRun("the job was not accepted");
    }
    let begin = Instant::now();
    let mut crashes = 0;
    while run.has_trouble && crashes < CRASHES && begin.elapsed() < Duration::from_secs(75) {
        let Some(worker) = workers.iter().find(|worker| worker.runs_job(JOB)) else {
            if crashes > 0 && has_ended(&cell) {
                break;
            }
            sleep(Duration::from_millis(100));
            continue;
        };
        sleep(WORKED);
        worker.crash();
        crashes += 1;
        sleep(DOWN);
        worker.restart();
    }
    let state = cell.wait_for(
        JOB,
        &["completed", "failed", "cancelled"],
        Duration::from_secs(20),
    );
    match state.as_str() {
        "completed" => Outcome::Held,
        "failed" | "cancelled" => Outcome::Broken(vec![format!(
            "job {JOB} is shown as {state}, but no run of it ended as failed"
        )]),
        _ => Outcome::CouldNotRun("the job did not end in time"),
    }
}

fn has_ended(cell: &Cell) -> bool {
    let response = cell.read(JOB);
    response.is_some_and(|(_, body)| body.contains("failed") || body.contains("completed"))
}
