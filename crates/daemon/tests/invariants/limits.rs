//! Limits on the running tasks of a team in the whole cell.

use {
    crate::common::{
        assert_no_violation, builder, load_settings, load_team, lock_cell, spawn_load, start_cell,
        started_events, wait_for_starts,
    },
    fuchsiatack_testkit::{Cell, LoadSettings, WorkerEventKind},
    std::{collections::BTreeMap, time::Duration},
};

const LIMITS: &str = r#"
{schema: 2, kind: limit, name: anfa, version: 0, spec: {team: anfa, max_running: 14}}
---
{schema: 2, kind: limit, name: maarif, version: 0, spec: {team: maarif, max_running: 3}}
"#;

/// Maximum number of tasks of each team that ran at the same time.
fn max_running_by_team(cell: &Cell) -> BTreeMap<String, i64> {
    let mut running: BTreeMap<String, i64> = BTreeMap::new();
    let mut highest: BTreeMap<String, i64> = BTreeMap::new();
    let mut teams = BTreeMap::new();
    for event in cell.worker_events().expect("the worker log should be readable") {
        let Some(task) = event.task else { continue };
        if event.event == WorkerEventKind::Started {
            let team = event.team.unwrap_or_default().to_string();
            teams.insert(task, team.clone());
            let now = running.entry(team.clone()).or_default();
            *now += 1;
            let highest = highest.entry(team).or_default();
            *highest = (*highest).max(*now);
        } else if event.event.is_end()
            && let Some(team) = teams.get(&task)
        {
            *running.entry(team.clone()).or_default() -= 1;
        }
    }
    highest
}

/// Guards against a team that exceeds its limit at any time. All daemons are under load
/// while one entry daemon crashes and another joins.
#[tokio::test]
async fn a_team_limit_holds_while_daemons_crash_and_join() {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(4).records(LIMITS), 4).await;
    // The pause before a resend outlasts the tasks: a resent idempotent request becomes a new task,
    // while the first one may still run.
    let heavy = LoadSettings {
        callers: 40,
        resend_pause: Duration::from_millis(600),
        run_ms: 200..500,
        teams: vec![load_team("anfa"), load_team("maarif")],
        ..load_settings(&cell, 81, 14)
    };
    let first_load = spawn_load(heavy.clone());
    wait_for_starts(&mut cell, 60).await;

    cell.daemon(2).kill();
    let number = cell.add_daemon().await.expect("the fourth daemon should start");
    cell.wait_ready()
        .await
        .expect("the new daemon should become ready");
    let second_load = spawn_load(LoadSettings {
        entries: cell.caller_addresses(),
        seed: 82,
        duration: Duration::from_secs(10),
        ..heavy
    });

    first_load.await.expect("the load should finish without a panic");
    second_load.await.expect("the load should finish without a panic");
    let entry = cell.caller_addresses()[number - 1].to_string();
    let attempts_at_new = crate::common::caller_events(&cell)
        .iter()
        .filter(|event| event.entry.as_str() == entry)
        .count();
    let highest = max_running_by_team(&cell);
    println!(
        "limits: highest numbers of running tasks {highest:?}, {} starts, {attempts_at_new} attempts at the new daemon",
        started_events(&cell).len()
    );
    assert!(attempts_at_new > 20);
    assert_no_violation(&cell, "a_team_limit_holds_while_daemons_crash_and_join");
    // The limits are tested only if the load comes near them.
    assert!(highest["anfa"] > 7, "{highest:?}");
    assert_eq!(highest["maarif"], 3);
}
