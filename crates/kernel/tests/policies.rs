//! Shares, deadlines, gangs, preemption, ejection, the choice of workers, and forwarding.

mod common;

use {
    common::{TestKernel, id, inherited, slots_only, started, started_tasks, stopped_tasks, submission},
    fuchsiatack_kernel::{Decision, Event, PeerLoad, TaskEnd},
    fuchsiatack_model::{Policy, Refusal},
};

fn refused(decisions: &[Decision]) -> Vec<(u64, Refusal)> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Refuse { reason, task, .. } => Some((task.sequence, *reason)),
            _ => None,
        })
        .collect()
}

fn forwarded(decisions: &[Decision]) -> Vec<String> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Forward { daemon, .. } => Some(daemon.to_string()),
            _ => None,
        })
        .collect()
}

/// Guards against a small team that waits until a large team's backlog is served.
#[test]
fn small_team_is_served_before_the_backlog_of_a_large_one() {
    for slots in [1, 2] {
        let mut kernel = TestKernel::new()
            .team("large", 1_000)
            .team("small", 1_000)
            .worker("w", slots);
        for task in 1..=100 {
            kernel.submit(task, "large", Policy::Interactive);
        }
        kernel.submit(200, "small", Policy::Interactive);

        let after_end = kernel.end(1, TaskEnd::Done);

        assert_eq!(started_tasks(&after_end), [200], "{slots} slots");
    }
}

/// Guards against a team that is never served among teams of equal share. The numbers of teams
/// cover both searches: the comparison of few lanes and the order of teams.
#[test]
fn teams_of_equal_share_take_turns() {
    for teams in [3, 30] {
        let mut kernel = TestKernel::new().worker("w", 1);
        for team in 0..teams {
            kernel = kernel.team(&format!("team-{team}"), 1_000);
        }
        kernel.submit(1, "team-0", Policy::Interactive);
        for round in 0..2 {
            for team in 0..teams {
                let task = 100 + 100 * round + team;
                kernel.submit(task, &format!("team-{team}"), Policy::Interactive);
            }
        }
        let mut running = 1;
        let mut turns = Vec::new();
        for _ in 0..2 * teams {
            running = started_tasks(&kernel.end(running, TaskEnd::Done))[0];
            turns.push(running % 100);
        }

        turns[..teams as usize].sort_unstable();
        turns[teams as usize..].sort_unstable();
        let each: Vec<u64> = (0..teams).chain(0..teams).collect();
        assert_eq!(turns, each, "{teams} teams");
    }
}

/// Guards against shares that ignore a team's running tasks at other daemons, or its weight.
#[test]
fn shares_follow_fleet_usage_and_weight() {
    let mut kernel = TestKernel::new().team("a", 1_000).team("b", 4_000).worker("w", 1);
    kernel.submit(1, "a", Policy::Interactive);
    for (task, team) in [(2, "b"), (3, "a"), (4, "b")] {
        kernel.submit(task, team, Policy::Interactive);
    }
    for (team, running) in [("a", 10), ("b", 30)] {
        kernel.step(Event::FleetUsage {
            running,
            team: team.into(),
        });
    }

    let first = kernel.end(1, TaskEnd::Done);
    kernel.step(Event::FleetUsage {
        running: 60,
        team: "b".into(),
    });
    let second = kernel.end(2, TaskEnd::Done);

    assert_eq!(started_tasks(&first), [2]);
    assert_eq!(started_tasks(&second), [3]);
}

/// Guards against callers that wait for a response which cannot come before their deadline.
#[test]
fn work_that_misses_its_deadline_is_refused() {
    let mut kernel = TestKernel::new().team("a", 1_000).worker("w", 1);
    kernel.submit(1, "a", Policy::Interactive);
    kernel.step(Event::TaskEnded {
        end: TaskEnd::Done,
        run_us: 1_000_000,
        task: id(1),
    });
    kernel.submit(2, "a", Policy::Interactive);
    let mut tight = submission(&[3], "a", Policy::Interactive);
    tight.deadline_us = Some(kernel.now_us + 100_000);
    let mut loose = submission(&[4], "a", Policy::Interactive);
    loose.deadline_us = Some(kernel.now_us + 3_000_000);

    let at_once = kernel.step(Event::Submit(tight));
    let waits = kernel.step(Event::Submit(loose));
    let passed = kernel.after_ms(3_000);

    assert_eq!(refused(&at_once), [(3, Refusal::DeadlineTooShort)]);
    assert_eq!(waits, []);
    assert_eq!(refused(&passed), [(4, Refusal::DeadlineTooShort)]);
}

/// Guards against an unbounded queue of one team, and against one team's full queue that refuses
/// the requests of another.
#[test]
fn full_queue_refuses_only_its_team() {
    let mut kernel = TestKernel::new().team("a", 1_000).team("b", 1_000);
    for task in 1..=1_000 {
        kernel.submit(task, "a", Policy::Interactive);
    }

    let full = kernel.submit(1_001, "a", Policy::Interactive);
    let other = kernel.submit(1_002, "b", Policy::Interactive);

    assert_eq!(refused(&full), [(1_001, Refusal::QueueFull)]);
    assert_eq!(other, []);
}

/// Guards against a task larger than any worker that waits without a refusal or a report.
#[test]
fn oversized_work_is_refused_or_blocked() {
    let mut kernel = TestKernel::new().team("a", 1_000).worker("w", 2);
    let mut request = submission(&[1], "a", Policy::Interactive);
    request.class.demand = slots_only(3);
    let mut work = submission(&[2], "a", Policy::Batch);
    work.class.demand = slots_only(3);

    let never = kernel.step(Event::Submit(request));
    let blocked = kernel.step(Event::Submit(work));
    let after_growth = kernel.attach("v", 4, 1_000, Vec::new());

    let missing = Decision::Blocked {
        missing: slots_only(1),
        task: id(2),
    };
    assert_eq!(refused(&never), [(1, Refusal::NeverFits)]);
    assert_eq!(blocked, [missing]);
    assert_eq!(started(&after_growth), [(2, "v".into())]);
}

/// Guards against a gang that starves because small tasks take every free slot.
#[test]
fn gang_reserves_slots_while_batch_work_continues() {
    let mut kernel = TestKernel::new().team("a", 1_000).team("b", 1_000).worker("w", 4);
    for task in 1..=40 {
        kernel.submit(task, "b", Policy::Batch);
    }
    kernel.step(Event::Submit(submission(&[101, 102, 103], "a", Policy::Gang)));
    kernel.after_ms(1_000);

    let mut starts = Vec::new();
    for task in 1..=4 {
        starts.extend(started_tasks(&kernel.end(task, TaskEnd::Done)));
    }

    assert_eq!(starts.len(), 4);
    assert_eq!(starts[..3], [101, 102, 103]);
}

/// Guards against a gang that never starts because interactive tasks alone keep the fleet full.
#[test]
fn gang_starts_under_lasting_overload_by_interactive_tasks() {
    let mut kernel = TestKernel::new().team("a", 1_000).team("b", 1_000).worker("w", 2);
    let mut next = 1;
    let mut running = Vec::new();
    let mut gang_started = None;
    kernel.step(Event::Submit(submission(&[1_000_001], "b", Policy::Interactive)));
    running.push(1_000_001);
    kernel.step(Event::Submit(submission(
        &[2_000_001, 2_000_002],
        "a",
        Policy::Gang,
    )));

    for second in 0..1_500 {
        for _ in 0..3 {
            running.extend(started_tasks(&kernel.submit(next, "b", Policy::Interactive)));
            next += 1;
        }
        running.extend(started_tasks(&kernel.after_ms(1_000)));
        if let Some(task) = running.pop() {
            running.extend(started_tasks(&kernel.end(task, TaskEnd::Done)));
        }
        if running.contains(&2_000_001) && running.contains(&2_000_002) {
            gang_started = Some(second);
            break;
        }
    }

    assert!(
        gang_started.is_some_and(|second| second < 1_000),
        "{gang_started:?}"
    );
}

/// Guards against a gang that starves because small tasks of its team take every token.
#[test]
fn gang_receives_the_tokens_of_its_team_after_a_wait() {
    let mut kernel = TestKernel::new().limited_team("a", 2).worker("w", 8);
    for task in 1..=10 {
        kernel.submit(task, "a", Policy::Batch);
    }
    kernel.step(Event::Submit(submission(&[101, 102], "a", Policy::Gang)));

    let early = started_tasks(&kernel.end(1, TaskEnd::Done));
    kernel.after_ms(61_000);
    let late = started_tasks(&kernel.end(2, TaskEnd::Done));
    let complete = started_tasks(&kernel.end(3, TaskEnd::Done));

    assert_eq!(early, [3]);
    assert_eq!(late, []);
    assert_eq!(complete, [101, 102]);
}

/// Guards against slots that stay reserved for a gang whose reservation cannot become complete.
#[test]
fn reservation_expires() {
    let mut kernel = TestKernel::new().team("a", 1_000).team("b", 1_000).worker("w", 4);
    kernel.submit(1, "b", Policy::Service);
    kernel.submit(2, "b", Policy::Batch);
    kernel.step(Event::Submit(submission(
        &[101, 102, 103, 104],
        "a",
        Policy::Gang,
    )));
    kernel.after_ms(1_000);

    let kept = kernel.submit(3, "b", Policy::Batch);
    let expired = kernel.after_ms(10_000);

    assert_eq!(kept, []);
    assert_eq!(started_tasks(&expired), [3]);
}

/// Guards against interactive tasks that wait until batch tasks end by themselves, against batch
/// tasks that are stopped without need, and against preempted tasks that never run again.
#[test]
fn batch_task_is_preempted_for_urgent_work() {
    let mut kernel = TestKernel::new().team("a", 1_000).team("b", 1_000).worker("w", 2);
    kernel.submit(1, "b", Policy::Batch);
    kernel.now_us += 1_000;
    kernel.submit(2, "b", Policy::Batch);

    let arrival = kernel.submit(3, "a", Policy::Interactive);
    let later = kernel.after_ms(3_000);
    let stopped = kernel.end(2, TaskEnd::Failed);
    let after_urgent = kernel.end(3, TaskEnd::Done);

    assert_eq!(stopped_tasks(&arrival), [2]);
    assert_eq!(stopped_tasks(&later), []);
    assert_eq!(started_tasks(&stopped), [3]);
    assert_eq!(started_tasks(&after_urgent), [2]);
}

/// Guards against a worker that fails every task and is not ejected, against a fleet that is ejected
/// as a whole, and against a full load right after a probe.
#[test]
fn failing_worker_is_ejected_probed_and_recovered() {
    let mut kernel = TestKernel::new().team("a", 1_000);
    kernel.attach("bad", 8, 4_000, Vec::new());
    for name in ["v", "w"] {
        kernel.attach(name, 8, 1_000, Vec::new());
    }
    for task in 1..=5 {
        let chosen = kernel.submit(task, "a", Policy::Interactive);
        assert_eq!(started(&chosen), [(task, "bad".into())]);
        kernel.end(task, TaskEnd::Failed);
    }

    let avoided = kernel.submit(6, "a", Policy::Interactive);
    kernel.after_ms(5_000);
    let probe = kernel.submit(7, "a", Policy::Interactive);
    let beside_probe = kernel.submit(8, "a", Policy::Interactive);
    kernel.end(7, TaskEnd::Done);
    let slow: Vec<_> = (9..12)
        .flat_map(|task| started(&kernel.submit(task, "a", Policy::Interactive)))
        .collect();

    assert_ne!(started(&avoided)[0].1, "bad".into());
    assert_eq!(started(&probe), [(7, "bad".into())]);
    assert_ne!(started(&beside_probe)[0].1, "bad".into());
    assert_eq!(
        slow.iter().filter(|(_, worker)| *worker == "bad".into()).count(),
        2
    );
}

/// Guards against a failing only worker that is not ejected although peers have free slots, and
/// against one that is ejected although requests have no other place to run.
#[test]
fn only_worker_is_ejected_only_while_peers_have_free_slots() {
    let five_failures = |mut kernel: TestKernel| {
        for task in 1..=5 {
            kernel.submit(task, "a", Policy::Interactive);
            kernel.end(task, TaskEnd::Failed);
        }
        kernel.submit(6, "a", Policy::Interactive)
    };
    let alone = TestKernel::new().team("a", 1_000).worker("bad", 8);
    let with_peer = TestKernel::new()
        .team("a", 1_000)
        .worker("bad", 8)
        .peer("entry-2", 3, &[]);

    let kept = five_failures(alone);
    let ejected = five_failures(with_peer);

    assert_eq!(started_tasks(&kept), [6]);
    assert_eq!(forwarded(&ejected), ["entry-2"]);
}

/// Guards against a failing only worker that is never ejected: it failed many tasks while no load hint showed
/// a free slot, and its failures then counted as those of the whole fleet.
#[test]
fn only_worker_that_has_failed_for_long_is_ejected_once_peers_have_free_slots() {
    const FAILURES: u64 = 100;
    let mut kernel = TestKernel::new().team("a", 1_000).worker("bad", 8);
    for task in 1..=FAILURES {
        kernel.submit(task, "a", Policy::Interactive);
        kernel.end(task, TaskEnd::Failed);
    }
    let mut kernel = kernel.peer("entry-2", 3, &[]);
    kernel.submit(FAILURES + 1, "a", Policy::Interactive);
    kernel.end(FAILURES + 1, TaskEnd::Failed);

    let next = kernel.submit(FAILURES + 2, "a", Policy::Interactive);

    assert_eq!(forwarded(&next), ["entry-2"]);
}

/// Guards against so many ejections that the rest of the fleet is overloaded.
#[test]
fn ejections_are_limited_to_a_part_of_the_fleet() {
    let mut kernel = TestKernel::new().team("a", 1_000);
    for (name, speed_millis) in [
        ("bad-1", 8_000),
        ("bad-2", 4_000),
        ("v", 1_000),
        ("w", 1_000),
        ("x", 1_000),
    ] {
        kernel.attach(name, 8, speed_millis, Vec::new());
    }

    let mut chosen = Vec::new();
    for task in 1..=12 {
        chosen.extend(started(&kernel.submit(task, "a", Policy::Interactive)));
        kernel.end(task, TaskEnd::Failed);
    }

    let on = |name: &str| chosen.iter().filter(|(_, worker)| *worker == name.into()).count();
    assert_eq!((on("bad-1"), on("bad-2")), (5, 7));
}

/// Guards against interactive tasks on slow workers while faster ones are free.
#[test]
fn interactive_task_starts_on_the_worker_measured_as_fastest() {
    let mut kernel = TestKernel::new().team("a", 1_000).worker("v", 1).worker("w", 1);
    for round in 0..60 {
        let (first, second) = (2 * round + 1, 2 * round + 2);
        let mut starts = started(&kernel.submit(first, "a", Policy::Interactive));
        starts.extend(started(&kernel.submit(second, "a", Policy::Interactive)));
        for (task, worker) in starts {
            let run_us = if worker == "v".into() { 80_000 } else { 20_000 };
            kernel.step(Event::TaskEnded {
                end: TaskEnd::Done,
                run_us,
                task: id(task),
            });
        }
    }

    let chosen = kernel.submit(1_000, "a", Policy::Interactive);

    assert_eq!(started(&chosen), [(1_000, "w".into())]);
}

/// Guards against requests that wait here while a peer has free slots, that are forwarded to a peer
/// without tokens, that are forwarded twice, or that are all forwarded to one peer.
#[test]
fn requests_are_forwarded_to_peers_with_slots_and_tokens() {
    let mut kernel = TestKernel::new().team("a", 1_000).limited_team("b", 0);
    kernel = kernel.peer("p", 2, &[]).peer("q", 2, &["b"]);

    let limited = forwarded(&kernel.submit(1, "b", Policy::Interactive));
    let mut others: Vec<String> = (2..5)
        .flat_map(|task| forwarded(&kernel.submit(task, "a", Policy::Interactive)))
        .collect();
    others.sort();
    let exhausted = kernel.submit(5, "a", Policy::Interactive);
    let only_tokens = forwarded(&kernel.submit(6, "b", Policy::Interactive));
    let mut again = submission(&[7], "b", Policy::Interactive);
    again.may_forward = false;
    let kept = kernel.step(Event::Submit(again));

    assert_eq!(limited, ["q"]);
    assert_eq!(others, ["p", "p", "q"]);
    assert_eq!(exhausted, []);
    assert_eq!(only_tokens, ["q"]);
    assert_eq!(kept, []);
}

/// Guards against requests that keep waiting here after a peer has reported free slots, and against
/// a peer that is sent more of them than its part.
#[test]
fn waiting_requests_are_forwarded_on_new_hints() {
    let mut kernel = TestKernel::new().team("a", 1_000).limited_team("b", 0);
    kernel = kernel.peer("q", 0, &[]);
    for task in 1..=4 {
        kernel.submit(task, "a", Policy::Interactive);
    }
    kernel.submit(5, "b", Policy::Interactive);

    let decisions = kernel.step(Event::PeerLoadReceived(fuchsiatack_kernel::PeerLoad {
        daemon: "p".into(),
        free_slots: 4,
        token_teams: Vec::new(),
        waiting: 0,
    }));

    let forward = |task| Decision::Forward {
        daemon: "p".into(),
        task: id(task),
    };
    assert_eq!(decisions, [forward(4), forward(3)]);
}

/// Guards against service tasks that share a rack while another is free.
#[test]
fn service_tasks_spread_over_racks() {
    let mut kernel = TestKernel::new().team("a", 1_000);
    for (number, rack) in [(1, "r1"), (2, "r1"), (3, "r2"), (4, "r3")] {
        kernel.step(Event::WorkerAttached {
            capacity: slots_only(4),
            data_center: "zone".into(),
            epoch: fuchsiatack_model::Epoch(number),
            rack: rack.into(),
            running: vec![inherited(500 + number, "a")],
            speed_millis: 1_000,
            worker: format!("{rack}-{number}").as_str().into(),
        });
    }

    let mut racks: Vec<String> = (1..=3)
        .flat_map(|task| started(&kernel.submit(task, "a", Policy::Service)))
        .map(|(_, worker)| worker.as_str()[..2].to_owned())
        .collect();
    racks.sort();

    assert_eq!(racks, ["r1", "r2", "r3"]);
}

/// Guards against a request that waits for ever at a daemon without workers because it arrived
/// before the first hint of a peer.
#[test]
fn waiting_request_is_forwarded_when_a_peer_reports_free_slots() {
    let mut kernel = TestKernel::new().team("anfa", 1_000);
    assert_eq!(kernel.submit(1, "anfa", Policy::Interactive), []);

    let decisions = kernel.step(Event::PeerLoadReceived(PeerLoad {
        daemon: "entry-2".into(),
        free_slots: 1,
        token_teams: Vec::new(),
        waiting: 0,
    }));

    let forward = Decision::Forward {
        daemon: "entry-2".into(),
        task: id(1),
    };
    assert_eq!(decisions, [forward]);
    assert_eq!(kernel.inner.waiting_count(), 0);
}

/// Guards against a light load that runs only on the first of several equal workers.
#[test]
fn equal_workers_take_turns_under_a_light_load() {
    let mut kernel = TestKernel::new().team("a", 1_000).worker("v", 8).worker("w", 8);

    let used: std::collections::BTreeSet<_> = (1..=40)
        .flat_map(|task| {
            let decisions = kernel.submit(task, "a", Policy::Interactive);
            kernel.end(task, TaskEnd::Done);
            started(&decisions)
        })
        .map(|(_, worker)| worker.to_string())
        .collect();

    assert_eq!(used.len(), 2, "{used:?}");
}
