//! A worker that was cut off for two seconds has more than 500 ends to report.

use crate::{
    Outcome, Run,
    cell::Cell,
    outcome, spread,
    worker::{Work, Worker},
};
use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

const JOBS: usize = 16;
const TASKS_PER_JOB: usize = 50;
const CUT: Duration = Duration::from_millis(2_000);
/// Time in which the runs end, one after the other.
const ENDS_SPREAD_MS: u64 = 1_600;
const WORK_MS: u64 = 9_000;

pub fn run(run: &Run) -> Outcome {
    let Some(cell) = Cell::start(run.record.clone()) else {
        return Outcome::CouldNotRun("the cell did not start");
    };
    // All work ends about the same time; a repeated run takes as long as the first.
    let base: Arc<Mutex<Instant>> = Arc::new(Mutex::new(Instant::now() + Duration::from_secs(60)));
    let ends_at = base.clone();
    let work_time = Arc::new(move |task: &str, number: u64| {
        if number > 1 {
            return Work::done(1_000);
        }
        let until = *ends_at.lock().unwrap() + Duration::from_millis(spread(task) % ENDS_SPREAD_MS);
        Work::done(until.saturating_duration_since(Instant::now()).as_millis() as u64)
    });
    let workers: Vec<_> = (0..6)
        .map(|number| {
            let labels = if number == 0 {
                "\"b\",\"r1-1\""
            } else {
                "\"a\",\"r1-2\""
            };
            let (control, record) = (cell.control(), run.record.clone());
            Worker::start(
                number,
                cell.worker_address(number),
                control,
                labels,
                record,
                work_time.clone(),
            )
        })
        .collect();
    sleep(Duration::from_millis(2_500));
    let begin = Instant::now();
    *base.lock().unwrap() = begin + Duration::from_millis(WORK_MS);
    let ids: Vec<_> = (0..JOBS).map(|job| format!("5c0e7a21d94b3{job:03x}")).collect();
    for id in &ids {
        let step = format!(
            "{{\"count\":{TASKS_PER_JOB},\"cpu\":30,\"memMb\":64,\"estimatedMs\":{WORK_MS},\"requiredLabel\":\"b\"}}"
        );
        if !cell.submit(id, &step) {
            return Outcome::CouldNotRun("a job was not accepted");
        }
        sleep(Duration::from_millis(150));
    }
    while workers[0].running() < JOBS * TASKS_PER_JOB {
        if begin.elapsed() > Duration::from_millis(WORK_MS - 500) {
            return Outcome::CouldNotRun("the tasks did not start in time");
        }
        sleep(Duration::from_millis(20));
    }
    run.record
        .say(&format!("{} tasks are at work on worker 0", workers[0].running()));
    sleep((begin + Duration::from_millis(WORK_MS - 50)).saturating_duration_since(Instant::now()));
    if run.has_trouble {
        workers[0].cut(CUT);
    }
    sleep(Duration::from_secs(5));
    for id in &ids {
        let state = cell.wait_for(id, &["completed", "failed"], Duration::from_secs(10));
        run.record.line(&format!("job {id} is shown as {state}"));
    }
    sleep(Duration::from_secs(1));
    outcome(run.record.twice())
}
