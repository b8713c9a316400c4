//! Workers that leave or are drained.

use {
    crate::common::{
        SECOND_US, assert_no_violation, builder, load_settings, lock_cell, sleep_until_us, spawn_load,
        start_cell, started_events, wait_for_starts,
    },
    fuchsiatack_testkit::{LoadSettings, wall_us},
    serde_json::json,
    std::time::Duration,
};

/// Guards against tasks that start on a worker more than 3 s after it announced that it leaves, or
/// after its drain was accepted. One worker is drained and one is terminated under load.
#[tokio::test]
async fn leaving_and_drained_workers_receive_no_tasks_after_3_s() {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(
        builder(2)
            .worker(|worker| worker.leave_grace_ms = 7_000)
            .worker(|worker| worker.leave_grace_ms = 7_000),
        4,
    )
    .await;
    let load = spawn_load(LoadSettings {
        callers: 24,
        ..load_settings(&cell, 91, 9)
    });
    wait_for_starts(&mut cell, 300).await;

    let drain =
        json!({"schema": 2, "kind": "drain", "name": "worker-1", "version": 0, "spec": {"reason": "test"}});
    cell.put_record(&drain)
        .await
        .expect("the drain should be accepted");
    let worker = cell
        .worker("worker-3")
        .process()
        .expect("the worker should run as a process");
    worker.terminate().expect("the signal should be delivered");
    let left_us = wall_us();
    sleep_until_us(left_us + 7 * SECOND_US).await;

    load.await.expect("the load should finish without a panic");
    for (name, is_leaving) in [
        ("worker-1", true),
        ("worker-2", false),
        ("worker-3", true),
        ("worker-4", false),
    ] {
        let all_starts: Vec<_> = started_events(&cell)
            .into_iter()
            .filter(|event| event.worker.as_str() == name)
            .collect();
        let late = all_starts
            .iter()
            .filter(|event| event.at_us > left_us + 3 * SECOND_US)
            .count();
        println!("{name}: {} starts, {late} later than 3 s", all_starts.len());
        assert!(!all_starts.is_empty(), "{name} started no task");
        assert_eq!(
            late == 0,
            is_leaving,
            "{name} started {late} tasks later than 3 s"
        );
    }
    assert_no_violation(&cell, "leaving_and_drained_workers_receive_no_tasks_after_3_s");
    let status = cell
        .worker("worker-3")
        .process()
        .expect("the worker should run as a process")
        .wait(Duration::from_secs(60))
        .await;
    assert!(status.expect("the worker should exit").success());
}
