//! A worker leaves a hold order unanswered, crashes, starts again under its id, and carries the order out then.

use crate::{
    Outcome, Run,
    cell::Cell,
    outcome, spread,
    worker::{Capture, Work, Worker},
};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

/// Number of ends from which the order is left unanswered.
const LAST_SEEN: u64 = 700;
const DOWN: Duration = Duration::from_millis(1_000);
/// Time from the arrival of the order until it is carried out; the platform delays orders by 2 to 12 s.
const DELAY: Duration = Duration::from_millis(3_500);

pub fn run(run: &Run) -> Outcome {
    let Some(cell) = Cell::start(run.record.clone()) else {
        return Outcome::CouldNotRun("the cell did not start");
    };
    let work_time = Arc::new(|task: &str, _number: u64| Work::done(400 + spread(task) % 300));
    let workers: Vec<_> = (0..7)
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
    let mut crashed: Option<Instant> = None;
    let mut captured: Option<Instant> = None;
    let mut is_up = true;
    let mut is_done = false;
    let mut is_asked = false;
    let mut ids = Vec::new();
    while begin.elapsed() < Duration::from_secs(25) {
        let id = format!("5c0e7a21d94b3{:03x}", ids.len());
        let step = "{\"count\":20,\"cpu\":250,\"memMb\":512,\"estimatedMs\":550,\"requiredLabel\":\"b\"}";
        if !cell.submit(&id, step) {
            return Outcome::CouldNotRun("a job was not accepted");
        }
        ids.push(id);
        if run.has_trouble {
            if !is_asked && workers[0].last_end() > LAST_SEEN {
                workers[0].capture(Capture::Hold { last_seen: LAST_SEEN });
                is_asked = true;
            }
            if captured.is_none() && workers[0].has_late() {
                captured = Some(Instant::now());
                workers[0].crash();
                crashed = Some(Instant::now());
                is_up = false;
            }
            if !is_up && crashed.is_some_and(|at| at.elapsed() >= DOWN) {
                workers[0].restart();
                is_up = true;
            }
            if is_up && !is_done && captured.is_some_and(|at| at.elapsed() >= DELAY) {
                workers[0].carry_out_late();
                is_done = true;
            }
        }
        sleep(Duration::from_millis(180));
    }
    if run.has_trouble && !is_done {
        return Outcome::CouldNotRun("no order was carried out late");
    }
    for id in ids.iter().rev().take(3) {
        cell.wait_for(id, &["completed", "failed"], Duration::from_secs(10));
    }
    sleep(Duration::from_secs(1));
    outcome(run.record.twice())
}
