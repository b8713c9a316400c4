//! A daemon behind a silent partition, and withdrawn keys.

use {
    crate::common::{
        SECOND_US, assert_no_violation, builder, callers, count_seen, leader, load, sent_after,
        sleep_until_us, spawn_load, start, team, turn, wait_starts,
    },
    fuchsiatack_testkit::{AttemptOutcome, Cell, LoadSettings, wall_us},
    std::net::SocketAddr,
};

/// Callers that send to one daemon only, without resends.
fn probe(cell: &Cell, entry: SocketAddr, seed: u64, seconds: u64) -> LoadSettings {
    LoadSettings {
        callers: 4,
        entries: vec![entry],
        resends: 0,
        ..load(cell, seed, seconds)
    }
}

/// Guards against a daemon that goes on serving behind a silent partition, that answers `not run`
/// falsely, or that needs an operator to rejoin (invariants 2 and 6; silent partition of a daemon).
#[tokio::test]
async fn a_partitioned_leader_refuses_and_rejoins() {
    let seed = 61;
    let _turn = turn().await;
    let mut cell = start(builder(4).with_proxy(seed), 4).await;
    let number = leader(&mut cell).await;
    let entry = cell.caller_addresses()[number - 1];
    let others: Vec<_> = cell
        .caller_addresses()
        .into_iter()
        .filter(|other| *other != entry)
        .collect();
    let probes = spawn_load(probe(&cell, entry, seed, 16));
    let running = spawn_load(LoadSettings {
        entries: others,
        ..load(&cell, seed + 1, 16)
    });
    wait_starts(&mut cell, 100).await;

    cell.proxy().isolate(&format!("entry-{number}"));
    let cut_us = wall_us();
    sleep_until_us(cut_us + 12 * SECOND_US).await;
    cell.proxy().heal_all();
    let healed_us = wall_us();

    probes.await.expect("the load ends");
    running.await.expect("the load ends");
    cell.wait_ready().await.expect("the daemon rejoins alone");
    let events = callers(&cell);
    let behind: Vec<_> = sent_after(&events, Some(entry), cut_us + 3 * SECOND_US)
        .into_iter()
        .filter(|event| event.at_us < healed_us)
        .collect();
    println!(
        "partition of the leader entry-{number} (seed {seed}): {} requests after the lease, {} not run",
        behind.len(),
        count_seen(&behind, AttemptOutcome::NotRun)
    );
    assert!(behind.len() > 20, "only {} requests", behind.len());
    assert_eq!(count_seen(&behind, AttemptOutcome::NotRun), behind.len());
    spawn_load(LoadSettings {
        max_requests: 50,
        ..probe(&cell, entry, seed + 2, 30)
    })
    .await
    .expect("the load ends");
    let events = callers(&cell);
    let again = sent_after(&events, Some(entry), healed_us);
    assert!(count_seen(&again, AttemptOutcome::Done) >= 50);
    assert_no_violation(&cell, "a_partitioned_leader_refuses_and_rejoins");
}

/// Guards against a withdrawn key that still works somewhere after 5 s, also at a daemon behind a
/// silent partition, and against a partitioned follower that serves any team (invariants 3 and 6;
/// silent partition of a daemon).
#[tokio::test]
async fn a_withdrawn_key_stops_everywhere_within_5_s() {
    let _turn = turn().await;
    let mut cell = start(builder(4).with_proxy(71), 4).await;
    let leader = leader(&mut cell).await;
    let number = leader % 3 + 1;
    let entries = cell.caller_addresses();
    let loads: Vec<_> = entries
        .iter()
        .zip(72..)
        .map(|(entry, seed)| {
            spawn_load(LoadSettings {
                teams: vec![team("maarif")],
                ..probe(&cell, *entry, seed, 13)
            })
        })
        .collect();
    let valid_key = spawn_load(probe(&cell, entries[leader - 1], 75, 13));
    let valid_key_behind = spawn_load(probe(&cell, entries[number - 1], 76, 13));
    wait_starts(&mut cell, 100).await;

    cell.write_through(leader);
    cell.proxy().isolate(&format!("entry-{number}"));
    let cut_us = wall_us();
    cell.delete_record("key", "maarif-1", 1)
        .await
        .expect("the key is withdrawn");
    let withdrawn_us = wall_us();

    for load in loads {
        load.await.expect("the load ends");
    }
    valid_key.await.expect("the load ends");
    valid_key_behind.await.expect("the load ends");
    let events = callers(&cell);
    for entry in entries.clone() {
        let late: Vec<_> = sent_after(&events, Some(entry), withdrawn_us + 5 * SECOND_US)
            .into_iter()
            .filter(|event| event.team.as_str() == "maarif")
            .collect();
        println!("withdrawn key at {entry}: {} requests after 5 s", late.len());
        assert!(late.len() > 20, "only {} requests at {entry}", late.len());
        assert_eq!(count_seen(&late, AttemptOutcome::NotRun), late.len());
    }
    let behind = sent_after(&events, Some(entries[number - 1]), cut_us + 3 * SECOND_US);
    assert_eq!(count_seen(&behind, AttemptOutcome::NotRun), behind.len());
    let valid = sent_after(&events, Some(entries[leader - 1]), withdrawn_us + 5 * SECOND_US);
    assert!(count_seen(&valid, AttemptOutcome::Done) > 20);
    assert_no_violation(&cell, "a_withdrawn_key_stops_everywhere_within_5_s");
    cell.proxy().heal_all();
    cell.wait_ready().await.expect("the daemon rejoins");
}
