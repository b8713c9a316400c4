//! Workers that leave or are drained.

use {
    crate::common::{
        SECOND_US, assert_no_violation, builder, load, sleep_until_us, spawn_load, start, starts, turn,
        wait_starts,
    },
    fuchsiatack_testkit::{LoadSettings, wall_us},
    serde_json::json,
    std::time::Duration,
};

/// Guards against new work on a worker more than 3 s after it announced that it leaves or its
/// drain was accepted (invariant 8).
#[tokio::test]
async fn leaving_and_draining_workers_get_nothing_after_3_s() {
    let _turn = turn().await;
    let mut cell = start(
        builder(2)
            .worker(|worker| worker.leave_grace_ms = 7_000)
            .worker(|worker| worker.leave_grace_ms = 7_000),
        4,
    )
    .await;
    let running = spawn_load(LoadSettings {
        callers: 24,
        ..load(&cell, 91, 9)
    });
    wait_starts(&mut cell, 300).await;

    let drain =
        json!({"schema": 2, "kind": "drain", "name": "worker-1", "version": 0, "spec": {"reason": "test"}});
    cell.put_record(&drain).await.expect("the drain is accepted");
    let worker = cell.worker("worker-3").process().expect("a process");
    worker.terminate().expect("a signal");
    let left_us = wall_us();
    sleep_until_us(left_us + 7 * SECOND_US).await;

    running.await.expect("the load ends");
    for (name, is_leaving) in [
        ("worker-1", true),
        ("worker-2", false),
        ("worker-3", true),
        ("worker-4", false),
    ] {
        let all: Vec<_> = starts(&cell)
            .into_iter()
            .filter(|event| event.worker.as_str() == name)
            .collect();
        let late = all
            .iter()
            .filter(|event| event.at_us > left_us + 3 * SECOND_US)
            .count();
        println!("{name}: {} starts, {late} later than 3 s", all.len());
        assert!(!all.is_empty(), "{name} never had work");
        assert_eq!(late == 0, is_leaving, "{name} had {late} late starts");
    }
    assert_no_violation(&cell, "leaving_and_draining_workers_get_nothing_after_3_s");
    let status = cell
        .worker("worker-3")
        .process()
        .expect("a process")
        .wait(Duration::from_secs(60))
        .await;
    assert!(status.expect("an end").success());
}
