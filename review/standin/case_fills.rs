//! A lasting job that fills idle processors has a task on each worker. Then a job that serves users is handed in.

use crate::{
    Outcome, Run,
    cell::Cell,
    worker::{LASTS, Work, Worker},
};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

const WORKERS: usize = 6;
const FILLING: &str = "5c0e7a21d94b36f8";
const SERVING: &str = "7a91c2d94b36f85e";
/// Time that a lasting task needs until it is at work.
const STARTUP_MS: u64 = 400;
/// Time without a run after which the rule is broken: 3 s, and the 4 s before them that have to be calm.
const BOUND: Duration = Duration::from_secs(7);
const WATCH: Duration = Duration::from_secs(30);

pub fn run(run: &Run) -> Outcome {
    let Some(cell) = Cell::start(run.record.clone()) else {
        return Outcome::CouldNotRun("the cell did not start");
    };
    let work_time = Arc::new(|_: &str, _: u64| Work {
        length_ms: STARTUP_MS,
        how: LASTS,
    });
    let workers: Vec<_> = (0..WORKERS)
        .map(|number| {
            let (control, record) = (cell.control(), run.record.clone());
            let address = cell.worker_address(number);
            Worker::start(
                number,
                address,
                control,
                "\"a\",\"r1-1\"",
                record,
                work_time.clone(),
            )
        })
        .collect();
    sleep(Duration::from_millis(2_500));
    if run.has_trouble {
        let step = format!(
            "{{\"count\":{WORKERS},\"cpu\":4000,\"memMb\":4096,\"longRunning\":true,\"fills\":true,\"antiAffinity\":1,\
             \"image\":\"im-1\"}}"
        );
        if !cell.submit(FILLING, &step) {
            return Outcome::CouldNotRun("the filling job was not accepted");
        }
        let begin = Instant::now();
        while !workers.iter().all(|worker| worker.runs_job(FILLING)) {
            if begin.elapsed() > Duration::from_secs(10) {
                return Outcome::CouldNotRun("the filling job did not start");
            }
            sleep(Duration::from_millis(50));
        }
        sleep(Duration::from_secs(5));
    }
    let step =
        "{\"count\":2,\"cpu\":4000,\"memMb\":4096,\"longRunning\":true,\"targetMs\":200,\"image\":\"im-2\"}";
    if !cell.submit(SERVING, step) {
        return Outcome::CouldNotRun("the serving job was not accepted");
    }
    let begin = Instant::now();
    while !workers.iter().any(|worker| worker.runs_job(SERVING)) && begin.elapsed() < WATCH {
        sleep(Duration::from_millis(50));
    }
    let waited = begin.elapsed();
    let state = cell.wait_for(SERVING, &["running"], Duration::ZERO);
    run.record.say(&format!(
        "after {} ms the serving job is shown as {state}; each worker has 32,000 of cpu, of which nothing that counts is in use",
        waited.as_millis()
    ));
    match waited > BOUND {
        true => Outcome::Broken(vec![format!(
            "job {SERVING} had nothing running for {} ms",
            waited.as_millis()
        )]),
        false => Outcome::Held,
    }
}
