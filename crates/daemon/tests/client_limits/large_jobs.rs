//! Jobs of legal length that have very many short steps, beside ordinary jobs.

use {
    crate::{
        alone,
        platform_cell::{PlatformCell, wait_until},
    },
    std::thread,
};

const CORES: usize = 3;
const LARGE_JOBS: u64 = 10;
/// Number of steps of each large job, whose body then has 60 KB.
const STEPS: usize = 5_000;
const ORDINARY_JOBS: u64 = 10;

fn large_body() -> String {
    let steps = vec![r#"{"count":1}"#; STEPS].join(",");
    format!(r#"{{"spec":"text","steps":[{steps}]}}"#)
}

fn submit_ordinary(cell: &PlatformCell, number: u64) -> String {
    let id = format!("5c0e7a21d94b{number:04x}");
    wait_until("an ordinary job is accepted", || cell.submit(&id) == Some(200));
    id
}

/// Guards against a core that a few large jobs stop for good: each leader worked on them for longer than it may
/// go without heartbeats, and callers got neither an answer on earlier jobs nor a place for new ones.
#[test]
fn callers_are_served_beside_jobs_of_many_steps() {
    let _alone = alone();
    let cell = PlatformCell::start_with_cores(CORES);
    let _worker = cell.start_worker();
    let before: Vec<_> = (0..ORDINARY_JOBS)
        .map(|number| submit_ordinary(&cell, number))
        .collect();
    let body = large_body();

    thread::scope(|scope| {
        for number in 0..LARGE_JOBS {
            let (cell, body) = (&cell, &body);
            let id = format!("{number:016x}");
            scope.spawn(move || {
                wait_until("a large job is accepted", || {
                    cell.submit_body(&id, body) == Some(200)
                });
            });
        }
    });
    let after: Vec<_> = (ORDINARY_JOBS..2 * ORDINARY_JOBS)
        .map(|number| submit_ordinary(&cell, number))
        .collect();

    for id in before.iter().chain(&after) {
        wait_until("an ordinary job is completed", || {
            cell.read(id).as_deref() == Some("completed")
        });
    }
}
