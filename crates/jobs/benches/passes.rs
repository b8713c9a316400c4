//! Time of a planning pass with 540 full workers and 2,000 waiting steps.
//!
//! Run with `cargo bench -p fuchsiatack-jobs --bench passes`. A pass is what the leader does every 20 ms
//! while steps wait. The time is that of the planner alone, in one thread.

#[path = "../tests/common/mod.rs"]
mod common;

use {
    common::{Leader, WORKER_CAPACITY, configuration, queue, step},
    fuchsiatack_jobs::{CellCall, Configuration, JobId, Queue, StepSpec, Team},
    fuchsiatack_model::{QueueName, Resources, TeamName},
    hdrhistogram::Histogram,
    std::time::Instant,
};

/// Time between two passes in milliseconds.
const PASS_MS: u64 = 20;
const PASSES: u64 = 500;
/// Number of passes before those that are measured.
const WARM_UP_PASSES: u64 = 50;
const TEAMS: u64 = 410;
const WAITING_STEPS: u64 = 2_000;
const WORKERS: usize = 540;
/// Interval between two heartbeats of all workers, in passes.
const HEARTBEAT_PASSES: u64 = 75;
/// Duration of the tasks in milliseconds. They do not end during the measurement.
const DURATION_MS: u64 = 600_000;

/// Kind of the steps that wait.
#[derive(Clone, Copy)]
enum Waiting {
    /// Single tasks.
    Single,
    /// Single tasks of many teams.
    OfTeams,
    /// Single tasks, and a gang of four whole workers in eight.
    WithGangs,
}

/// Creates a leader with full workers and waiting steps.
fn full_cell(waiting: Waiting) -> (Leader, Vec<String>) {
    let workers: Vec<_> = (0..WORKERS).map(|number| format!("w-{number:03}")).collect();
    let names: Vec<_> = workers.iter().map(String::as_str).collect();
    let background = Queue {
        name: QueueName::new("background"),
        priority: 1,
        ..queue()
    };
    let mut leader = Leader::new(background.clone(), &names);
    let present = configuration(background);
    let teams = (0..TEAMS).map(|number| Team {
        keys: vec![format!("team-{number}").into()],
        limit: Resources::NONE,
        name: TeamName::new(format!("team-{number}")),
        weight: 1 + number as u32 % 4,
    });
    let teams = present.teams.iter().cloned().chain(teams).collect();
    leader.call(CellCall::Configure(Box::new(Configuration {
        teams,
        version: 2,
        ..present
    })));
    leader.submit(JobId(1), vec![step(WORKERS as u32 * 8, DURATION_MS)]);
    for (run, worker) in leader.take_starts() {
        leader.started(&worker, run, Ok(leader.now_ms));
    }
    for number in 0..WAITING_STEPS {
        let gang = StepSpec {
            demand: Resources {
                slots: 0,
                connections: 0,
                ..WORKER_CAPACITY
            },
            gang: true,
            ..step(4, DURATION_MS)
        };
        let spec = match waiting {
            Waiting::WithGangs if number % 8 == 0 => gang,
            Waiting::Single | Waiting::OfTeams | Waiting::WithGangs => step(6, DURATION_MS),
        };
        let key = match waiting {
            Waiting::OfTeams => format!("team-{}", number % TEAMS),
            Waiting::Single | Waiting::WithGangs => "key".to_owned(),
        };
        leader.submit_with_key(&key, "q", JobId(2 + number), vec![spec]);
    }
    (leader, workers)
}

fn measure(name: &str, waiting: Waiting) {
    let (mut leader, workers) = full_cell(waiting);
    let mut microseconds = Histogram::<u64>::new(3).expect("three digits are in range");
    for pass in 0..WARM_UP_PASSES + PASSES {
        if pass % HEARTBEAT_PASSES == 0 {
            for worker in &workers {
                leader.heartbeat(worker);
            }
        }
        let started_at = Instant::now();
        leader.advance(PASS_MS);
        leader.take_calls();
        if pass >= WARM_UP_PASSES {
            let elapsed_us = started_at.elapsed().as_micros() as u64;
            microseconds.record(elapsed_us).expect("the histogram resizes");
        }
    }
    println!(
        "{name}: mean {:.0} us, p50 {} us, p99 {} us, longest {} us",
        microseconds.mean(),
        microseconds.value_at_quantile(0.5),
        microseconds.value_at_quantile(0.99),
        microseconds.max()
    );
}

fn main() {
    measure("single tasks", Waiting::Single);
    measure("single tasks of many teams", Waiting::OfTeams);
    measure("single tasks and gangs", Waiting::WithGangs);
}
