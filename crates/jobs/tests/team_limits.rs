//! Teams whose own work fills their limit.

mod common;

use {
    common::{TICK_MS, TeamCell, step},
    fuchsiatack_jobs::{JobId, StepSpec},
    fuchsiatack_model::Resources,
};

/// Number of workers of a cell. They have room for far more than the limits in these tests allow.
const WORKERS: usize = 20;
/// Limit of the team, in processors. A task needs two.
const LIMIT: u32 = 16;
/// Number of tasks that the limit allows.
const LIMIT_TASKS: usize = 8;
/// Duration of an urgent task in milliseconds.
const URGENT_MS: u64 = 300;
/// Duration of a batch task in milliseconds.
const BATCH_MS: u64 = 2_000;
/// Duration of a batch task that lasts beyond the end of a test, in milliseconds.
const LASTING_MS: u64 = 100_000;
/// Longest wait of an urgent step for which room is kept, in milliseconds.
const SHORT_WAIT_MS: u64 = 50;

fn cell() -> TeamCell {
    TeamCell::new(
        WORKERS,
        &[TeamCell::team("team", LIMIT, 1), TeamCell::team("other", 0, 1)],
    )
}

/// Submits `count` urgent steps of one task, one each `interval_ms`, and returns their waits in
/// milliseconds after a last second.
fn waits_of_urgent_stream(cell: &mut TeamCell, count: usize, interval_ms: u64) -> Vec<Option<u64>> {
    let mut jobs = Vec::new();
    for _ in 0..count {
        jobs.push(cell.submit("team", "urgent", step(1, URGENT_MS)));
        cell.run(interval_ms);
    }
    cell.run(1_000);
    jobs.into_iter().map(|job| cell.wait_ms(job)).collect()
}

fn checkpointed(tasks: u32) -> StepSpec {
    StepSpec {
        checkpoints: true,
        ..step(tasks, LASTING_MS)
    }
}

/// Guards against batch tasks that take the room under the limit while the urgent step of the team pauses
/// after a failed attempt.
#[test]
fn urgent_step_gets_the_first_room_under_the_limit() {
    let mut cell = cell();
    for _ in 0..LIMIT_TASKS {
        cell.submit("team", "batch", step(1, BATCH_MS));
        cell.run(TICK_MS);
    }
    // The batch steps are tried at other ticks than the urgent one.
    for _ in 0..10 {
        cell.submit("team", "batch", step(1, BATCH_MS));
        cell.run(TICK_MS);
    }
    cell.run(BATCH_MS - 21 * TICK_MS);
    let urgent = cell.submit("team", "urgent", step(6, URGENT_MS));

    cell.run(13 * TICK_MS);

    assert_eq!(cell.runs_of_job(urgent), 6);
}

/// Guards against room under the limit that stays free while an urgent step pauses.
#[test]
fn urgent_step_uses_room_under_the_limit_at_once() {
    let mut cell = cell();
    for _ in 0..LIMIT_TASKS {
        cell.submit("team", "batch", step(1, BATCH_MS));
        cell.run(TICK_MS);
    }
    cell.run(BATCH_MS / 2);
    cell.submit("team", "urgent", step(LIMIT_TASKS as u32, BATCH_MS));
    let mut runs = Vec::new();

    for _ in 0..BATCH_MS / TICK_MS {
        cell.tick();
        runs.push(cell.runs_of("team"));
    }

    assert!(runs.iter().all(|runs| *runs == LIMIT_TASKS), "{runs:?}");
}

/// Guards against urgent steps of which each waits for the end of a batch task, although they arrive all
/// the time.
#[test]
fn room_under_the_limit_is_kept_while_urgent_steps_arrive() {
    let mut cell = cell();
    cell.submit("team", "batch", step(1_000, BATCH_MS));
    cell.run(BATCH_MS / 2);
    waits_of_urgent_stream(&mut cell, 5, 400);

    let waits_ms = waits_of_urgent_stream(&mut cell, 20, 400);

    assert!(
        waits_ms.iter().all(|ms| ms.is_some_and(|ms| ms <= SHORT_WAIT_MS)),
        "{waits_ms:?}"
    );
}

/// Guards against a limit of which the urgent work of the team leaves nothing to its batch work.
#[test]
fn batch_steps_use_most_of_the_limit_beside_little_urgent_work() {
    let mut cell = cell();
    let batch = cell.submit("team", "batch", step(1_000, BATCH_MS));
    waits_of_urgent_stream(&mut cell, 20, 400);

    let runs = cell.runs_of_job(batch);

    assert!(runs >= LIMIT_TASKS - 2, "{runs} runs");
}

/// Guards against room that stays unused after the urgent work of a team has ended.
#[test]
fn batch_steps_get_the_whole_limit_again_after_the_urgent_work() {
    let mut cell = cell();
    let batch = cell.submit("team", "batch", step(1_000, BATCH_MS));
    cell.submit("team", "urgent", step(6, URGENT_MS));
    cell.run(5_000);

    cell.run(15_000);

    assert_eq!(cell.runs_of_job(batch), LIMIT_TASKS);
}

/// Guards against urgent steps that wait for the end of long batch tasks of their own team.
#[test]
fn urgent_step_preempts_checkpointed_runs_of_its_team() {
    let mut cell = cell();
    let other = cell.submit("other", "batch", checkpointed(4));
    let batch = cell.submit("team", "batch", checkpointed(20));
    cell.run(1_000);
    let urgent = cell.submit("team", "urgent", step(3, URGENT_MS));

    cell.run(500);

    let wait_ms = cell.wait_ms(urgent);
    assert!(
        wait_ms.is_some_and(|ms| ms <= SHORT_WAIT_MS),
        "waited {wait_ms:?} ms"
    );
    assert_eq!(cell.stops.get(&batch), Some(&3), "only the runs in the way");
    assert_eq!(cell.stops.get(&other), None);
}

/// Guards against a preemption that loses the work of runs without checkpoints.
#[test]
fn runs_without_checkpoints_are_not_preempted_for_the_limit() {
    let mut cell = cell();
    cell.submit("team", "batch", step(20, LASTING_MS));
    cell.run(1_000);
    cell.submit("team", "urgent", step(3, URGENT_MS));

    cell.run(2_000);

    assert!(cell.stops.is_empty());
}

/// Guards against a preemption of runs that end in time by themselves.
#[test]
fn nothing_is_preempted_for_room_that_is_free_soon() {
    let mut cell = cell();
    let batch = StepSpec {
        checkpoints: true,
        ..step(8, BATCH_MS)
    };
    cell.submit("team", "batch", batch);
    cell.run(BATCH_MS - 200);
    let urgent = cell.submit("team", "urgent", step(3, URGENT_MS));

    cell.run(1_000);

    assert!(cell.wait_ms(urgent).is_some());
    assert!(cell.stops.is_empty());
}

/// Guards against a preemption for a gang that the limit never allows.
#[test]
fn nothing_is_preempted_for_a_gang_wider_than_the_limit() {
    let mut cell = cell();
    cell.submit("team", "batch", checkpointed(20));
    cell.run(1_000);
    let gang = StepSpec {
        gang: true,
        ..step(LIMIT_TASKS as u32 + 1, URGENT_MS)
    };
    cell.submit("team", "urgent", gang);

    cell.run(2_000);

    assert!(cell.stops.is_empty());
}

/// Guards against tasks that are stopped again and again while urgent steps come and go.
#[test]
fn task_is_preempted_three_times_at_most() {
    let mut cell = cell();
    let batch = cell.submit("team", "batch", checkpointed(LIMIT_TASKS as u32));
    cell.run(1_000);

    for _ in 0..6 {
        cell.submit("team", "urgent", step(LIMIT_TASKS as u32, URGENT_MS));
        cell.run(20_000);
    }

    let stops = cell.stops.get(&batch).copied().unwrap_or_default();
    assert!((1..=3 * LIMIT_TASKS).contains(&stops), "{stops} stops");
    assert_eq!(cell.runs_of_job(batch), LIMIT_TASKS);
}

/// Guards against batch steps that wait for an urgent task which the limit never allows.
#[test]
fn urgent_task_wider_than_the_limit_keeps_no_batch_step_waiting() {
    let mut cell = cell();
    let wide = StepSpec {
        demand: Resources {
            processors_millis: (LIMIT + 1) * 1_000,
            ..Resources::NONE
        },
        ..step(1, URGENT_MS)
    };
    cell.submit("team", "urgent", wide);
    cell.run(1_000);

    let batch = cell.submit("team", "batch", step(1, BATCH_MS));
    cell.run(1_000);

    let wait_ms = cell.wait_ms(batch);
    assert!(
        wait_ms.is_some_and(|ms| ms <= SHORT_WAIT_MS),
        "waited {wait_ms:?} ms"
    );
}

/// Guards against batch steps that never start since an urgent step fits no worker.
#[test]
fn urgent_step_without_a_worker_keeps_batch_steps_waiting_for_ten_seconds_at_most() {
    let mut cell = cell();
    let unplaceable = StepSpec {
        required_label: Some("none".into()),
        ..step(100, URGENT_MS)
    };
    cell.submit("team", "urgent", unplaceable);
    let batch = cell.submit("team", "batch", step(LIMIT_TASKS as u32, LASTING_MS));

    cell.run(14_000);

    assert_eq!(cell.runs_of_job(batch), LIMIT_TASKS);
}

/// Guards against a batch gang of the whole limit that never starts, since room is always kept for urgent
/// steps of its team.
#[test]
fn batch_gang_of_the_whole_limit_starts_beside_urgent_steps() {
    let mut cell = cell();
    waits_of_urgent_stream(&mut cell, 10, 400);
    let gang = StepSpec {
        gang: true,
        ..step(LIMIT_TASKS as u32, BATCH_MS)
    };
    let gang = cell.submit("team", "batch", gang);

    waits_of_urgent_stream(&mut cell, 40, 400);

    let wait_ms = cell.wait_ms(gang);
    assert!(wait_ms.is_some_and(|ms| ms <= 10_000), "waited {wait_ms:?} ms");
}

/// Guards against planning passes that end at the steps of a team at its limit, so that those of others are
/// not tried.
#[test]
fn steps_of_a_team_at_its_limit_do_not_keep_others_from_being_tried() {
    let mut cell = cell();
    cell.submit("team", "batch", step(LIMIT_TASKS as u32, LASTING_MS));
    for _ in 0..500 {
        cell.submit("team", "batch", step(1, BATCH_MS));
    }
    cell.run(100);

    let others: Vec<JobId> = (0..50)
        .map(|_| cell.submit("other", "batch", step(1, BATCH_MS)))
        .collect();
    cell.run(200);

    let waits_ms: Vec<_> = others.iter().map(|job| cell.wait_ms(*job)).collect();
    assert!(
        waits_ms.iter().all(|ms| ms.is_some_and(|ms| ms <= SHORT_WAIT_MS)),
        "{waits_ms:?}"
    );
}
