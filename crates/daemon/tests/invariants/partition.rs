//! Silent partitions of a daemon, and deleted keys.

use {
    crate::common::{
        SECOND_US, assert_no_violation, builder, caller_events, count_outcomes, leader_number, load_settings,
        load_team, lock_cell, print_not_done, sent_after, sleep_until_us, spawn_load, start_cell,
        wait_for_starts,
    },
    fuchsiatack_testkit::{AttemptOutcome, Cell, LoadSettings, wall_us},
    std::net::SocketAddr,
};

/// Load on one daemon only, without resends.
fn probe_settings(cell: &Cell, entry: SocketAddr, seed: u64, seconds: u64) -> LoadSettings {
    LoadSettings {
        callers: 4,
        entries: vec![entry],
        resends: 0,
        ..load_settings(cell, seed, seconds)
    }
}

/// Guards against a daemon that keeps serving, returns `not-run` for a request that ran, or needs an
/// operator to rejoin. A silent partition isolates the leader: its peers receive
/// nothing, and no connection is closed.
#[tokio::test]
async fn a_partitioned_leader_rejects_requests_and_rejoins() {
    let seed = 61;
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(4).with_proxy(seed), 4).await;
    let number = leader_number(&mut cell).await;
    let entry = cell.caller_addresses()[number - 1];
    let others: Vec<_> = cell
        .caller_addresses()
        .into_iter()
        .filter(|other| *other != entry)
        .collect();
    let probes = spawn_load(probe_settings(&cell, entry, seed, 16));
    let load = spawn_load(LoadSettings {
        entries: others,
        ..load_settings(&cell, seed + 1, 16)
    });
    wait_for_starts(&mut cell, 100).await;

    cell.proxy().isolate(&format!("entry-{number}"));
    let isolated_us = wall_us();
    sleep_until_us(isolated_us + 12 * SECOND_US).await;
    cell.proxy().heal_all();
    let healed_us = wall_us();

    probes.await.expect("the load should finish without a panic");
    load.await.expect("the load should finish without a panic");
    cell.wait_ready()
        .await
        .expect("the daemon should rejoin without an operator");
    let events = caller_events(&cell);
    let isolated_attempts: Vec<_> = sent_after(&events, Some(entry), isolated_us + 3 * SECOND_US)
        .into_iter()
        .filter(|event| event.at_us < healed_us)
        .collect();
    println!(
        "partition of the leader entry-{number} (seed {seed}): {} requests after the lease, {} not run",
        isolated_attempts.len(),
        count_outcomes(&isolated_attempts, AttemptOutcome::NotRun)
    );
    assert!(
        isolated_attempts.len() > 20,
        "only {} requests",
        isolated_attempts.len()
    );
    assert_eq!(
        count_outcomes(&isolated_attempts, AttemptOutcome::NotRun),
        isolated_attempts.len()
    );
    spawn_load(LoadSettings {
        max_requests: 50,
        ..probe_settings(&cell, entry, seed + 2, 30)
    })
    .await
    .expect("the load should finish without a panic");
    let events = caller_events(&cell);
    let after_healing = sent_after(&events, Some(entry), healed_us);
    print_not_done(
        &after_healing,
        "a_partitioned_leader_rejects_requests_and_rejoins",
    );
    assert!(count_outcomes(&after_healing, AttemptOutcome::Done) >= 50);
    assert_no_violation(&cell, "a_partitioned_leader_rejects_requests_and_rejoins");
}

/// Guards against a deleted key that a daemon still accepts after 5 s, and against an isolated
/// follower that serves any team. A silent partition isolates one follower just
/// before the key is deleted.
#[tokio::test]
async fn a_deleted_key_is_rejected_by_all_daemons_within_5_s() {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(4).with_proxy(71), 4).await;
    let leader = leader_number(&mut cell).await;
    let number = leader % 3 + 1;
    let entries = cell.caller_addresses();
    let loads: Vec<_> = entries
        .iter()
        .zip(72..)
        .map(|(entry, seed)| {
            spawn_load(LoadSettings {
                teams: vec![load_team("maarif")],
                ..probe_settings(&cell, *entry, seed, 13)
            })
        })
        .collect();
    let valid_key = spawn_load(probe_settings(&cell, entries[leader - 1], 75, 13));
    let valid_key_at_isolated = spawn_load(probe_settings(&cell, entries[number - 1], 76, 13));
    wait_for_starts(&mut cell, 100).await;

    cell.write_through(leader);
    cell.proxy().isolate(&format!("entry-{number}"));
    let isolated_us = wall_us();
    cell.delete_record("key", "maarif-1", 1)
        .await
        .expect("the key should be deleted");
    let deleted_us = wall_us();

    for load in loads {
        load.await.expect("the load should finish without a panic");
    }
    valid_key.await.expect("the load should finish without a panic");
    valid_key_at_isolated
        .await
        .expect("the load should finish without a panic");
    let events = caller_events(&cell);
    for entry in entries.clone() {
        let late: Vec<_> = sent_after(&events, Some(entry), deleted_us + 5 * SECOND_US)
            .into_iter()
            .filter(|event| event.team.as_str() == "maarif")
            .collect();
        println!("deleted key at {entry}: {} requests after 5 s", late.len());
        assert!(late.len() > 20, "only {} requests at {entry}", late.len());
        assert_eq!(count_outcomes(&late, AttemptOutcome::NotRun), late.len());
    }
    let isolated_attempts = sent_after(&events, Some(entries[number - 1]), isolated_us + 3 * SECOND_US);
    assert_eq!(
        count_outcomes(&isolated_attempts, AttemptOutcome::NotRun),
        isolated_attempts.len()
    );
    let valid = sent_after(&events, Some(entries[leader - 1]), deleted_us + 5 * SECOND_US);
    assert!(count_outcomes(&valid, AttemptOutcome::Done) > 20);
    assert_no_violation(&cell, "a_deleted_key_is_rejected_by_all_daemons_within_5_s");
    cell.proxy().heal_all();
    cell.wait_ready().await.expect("the daemon should rejoin");
}
