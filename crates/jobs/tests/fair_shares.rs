//! Teams that share a full service.

mod common;

use {
    common::{TICK_MS, TeamCell, step},
    fuchsiatack_jobs::{
        JobId, StepSpec, Team,
        fair_share::{self, Claim, Standing},
    },
    fuchsiatack_model::Resources,
};

const WORKERS: usize = 10;
/// Number of batch tasks that the workers have room for. Each leaves a tenth to urgent work.
const ROOM_TASKS: usize = 70;
/// Mean duration of a task in milliseconds.
const TASK_MS: u64 = 2_000;
/// Difference between the longest and the shortest duration of a task, in milliseconds. Equal tasks would end
/// at the same times, and nothing could start in between.
const SPREAD_MS: u64 = 2_000;
/// Starts per second that the room suffices for.
const STARTS_PER_S: u64 = ROOM_TASKS as u64 * 1_000 / TASK_MS;

/// A team that sends jobs of one task each in equal intervals.
struct Sender {
    jobs: Vec<JobId>,
    name: &'static str,
    per_minute: u64,
}

impl Sender {
    fn new(name: &'static str, per_minute: u64) -> Self {
        Self {
            jobs: Vec::new(),
            name,
            per_minute,
        }
    }

    /// Returns the waits of the jobs in milliseconds; `None` for those that have not started.
    fn waits_ms(&self, cell: &TeamCell) -> Vec<Option<u64>> {
        let jobs = self.jobs.iter();
        jobs.map(|job| cell.wait_ms(*job)).collect()
    }
}

fn cell(teams: &[(&'static str, u32)]) -> TeamCell {
    let teams: Vec<Team> = teams
        .iter()
        .map(|(name, weight)| TeamCell::team(name, 0, *weight))
        .collect();
    TeamCell::new(WORKERS, &teams)
}

/// Runs a cell for `duration_ms` with the jobs of some teams.
fn run(cell: &mut TeamCell, senders: &mut [Sender], duration_ms: u64) {
    let begin_ms = cell.leader.now_ms;
    let before: Vec<_> = senders.iter().map(|sender| sender.jobs.len() as u64).collect();
    while cell.leader.now_ms < begin_ms + duration_ms {
        let elapsed_ms = cell.leader.now_ms - begin_ms;
        for (sender, before) in senders.iter_mut().zip(&before) {
            while (sender.jobs.len() as u64 - before) * 60_000 < elapsed_ms * sender.per_minute {
                let number = sender.jobs.len() as u64;
                let duration_ms = TASK_MS - SPREAD_MS / 2 + number * 1_237 % SPREAD_MS;
                let job = cell.submit(sender.name, "batch", step(1, duration_ms));
                sender.jobs.push(job);
            }
        }
        cell.run(TICK_MS);
    }
}

/// Returns the mean wait of the jobs of three steady teams beside one that sends `load_percent` of what they
/// send each, in milliseconds.
fn mean_wait_of_steady_teams_ms(load_percent: u64) -> u64 {
    const PER_MINUTE: u64 = STARTS_PER_S * 60 / 5;
    let mut cell = cell(&[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    let mut senders = [
        Sender::new("a", PER_MINUTE),
        Sender::new("b", PER_MINUTE),
        Sender::new("c", PER_MINUTE),
        Sender::new("d", PER_MINUTE * load_percent / 100),
    ];
    run(&mut cell, &mut senders, 60_000);
    let steady = senders[..3].iter();
    let waits: Vec<_> = steady.flat_map(|sender| sender.waits_ms(&cell)).collect();
    let now_ms = cell.leader.now_ms;
    let sum_ms: u64 = waits.iter().map(|ms| ms.unwrap_or(now_ms)).sum();
    sum_ms / waits.len() as u64
}

/// Guards against a team that delays all others by sending several times its usual load.
#[test]
fn seven_times_the_load_of_one_team_delays_no_other() {
    let usual_ms = mean_wait_of_steady_teams_ms(100);

    let beside_burst_ms = mean_wait_of_steady_teams_ms(700);

    // A task ends every 29 ms in the mean.
    assert!(
        beside_burst_ms <= usual_ms + 60,
        "{usual_ms} ms without the burst, {beside_burst_ms} ms beside it"
    );
}

/// Guards against a service that goes to the teams by what they send.
#[test]
fn full_service_is_divided_by_weight() {
    let mut cell = cell(&[("a", 1), ("b", 2), ("c", 4)]);
    let mut senders = [
        Sender::new("a", STARTS_PER_S * 60 * 3),
        Sender::new("b", STARTS_PER_S * 60),
        Sender::new("c", STARTS_PER_S * 60),
    ];
    run(&mut cell, &mut senders, 20_000);
    let mut sums = [0, 0, 0];
    const SAMPLES: usize = 20;

    for _ in 0..SAMPLES {
        run(&mut cell, &mut senders, 500);
        for (sum, sender) in sums.iter_mut().zip(&senders) {
            *sum += cell.runs_of(sender.name);
        }
    }

    let means = sums.map(|sum| sum / SAMPLES);
    let expected = [ROOM_TASKS / 7, ROOM_TASKS * 2 / 7, ROOM_TASKS * 4 / 7];
    for (mean, expected) in means.into_iter().zip(expected) {
        assert!(mean.abs_diff(expected) <= expected / 5, "{means:?}");
    }
}

/// Guards against wide steps that take more than the share of their team while they have a turn.
#[test]
fn full_service_is_divided_by_weight_among_wide_steps() {
    const TASKS: u32 = 30;
    const SAMPLES: usize = 20;
    let mut cell = cell(&[("a", 1), ("b", 3)]);
    let mut sums = [0, 0];

    for second in 0..60 {
        // Each team asks for more than the room, and the first for far more.
        for (team, steps) in [("a", 6), ("b", 2)] {
            for number in 0..steps {
                cell.submit(team, "batch", step(TASKS, 1_500 + number * 170));
            }
        }
        cell.run(1_000);
        if second >= 60 - SAMPLES {
            sums[0] += cell.runs_of("a");
            sums[1] += cell.runs_of("b");
        }
    }

    let means = sums.map(|sum| sum / SAMPLES);
    assert!(means[0].abs_diff(ROOM_TASKS / 4) <= ROOM_TASKS / 14, "{means:?}");
    assert!(means[1] >= ROOM_TASKS * 3 / 4 - ROOM_TASKS / 14, "{means:?}");
}

/// Guards against room that stays free since the team that is entitled to it does not ask for it.
#[test]
fn idle_share_is_lent() {
    let mut cell = cell(&[("a", 1), ("b", 9)]);
    let mut senders = [
        Sender::new("a", STARTS_PER_S * 60 * 2),
        Sender::new("b", STARTS_PER_S * 60 / 10),
    ];

    run(&mut cell, &mut senders, 20_000);
    let sent = senders[1].jobs.len();
    run(&mut cell, &mut senders[..1], 1_000);

    let runs = cell.runs_of("a") + cell.runs_of("b");
    assert!(runs >= ROOM_TASKS - 2, "{runs} runs");
    let waits_ms = senders[1].waits_ms(&cell);
    let longest_ms = waits_ms[..sent].iter().map(|ms| ms.unwrap_or(u64::MAX)).max();
    assert!(longest_ms <= Some(200), "{waits_ms:?}");
}

/// Guards against steps of a team with a small weight that never start beside those of a team with a large
/// one.
#[test]
fn nobody_starves_beside_a_team_with_a_large_weight() {
    const LONGEST_WAIT_MS: u64 = 13_000;
    let mut cell = cell(&[("small", 1), ("large", 1_000)]);
    let mut senders = [
        Sender::new("small", 30),
        Sender::new("large", STARTS_PER_S * 60 * 2),
    ];
    run(&mut cell, &mut senders, 40_000);
    let sent = senders[0].jobs.len();

    run(&mut cell, &mut senders, LONGEST_WAIT_MS);

    let waits_ms = &senders[0].waits_ms(&cell)[..sent];
    assert!(
        waits_ms
            .iter()
            .all(|ms| ms.is_some_and(|ms| ms <= LONGEST_WAIT_MS)),
        "{waits_ms:?}"
    );
}

/// Guards against turns that go to the steps of a team which cannot use them, since it is at its limit.
#[test]
fn turns_are_not_spent_on_steps_of_a_team_at_its_limit() {
    const LONGEST_WAIT_MS: u64 = 11_500;
    let teams = [
        TeamCell::team("limited", 2, 1),
        TeamCell::team("small", 0, 1),
        TeamCell::team("large", 0, 1_000),
    ];
    let mut cell = TeamCell::new(WORKERS, &teams);
    let mut senders = [
        Sender::new("limited", 600),
        Sender::new("small", 120),
        Sender::new("large", STARTS_PER_S * 60 * 2),
    ];
    run(&mut cell, &mut senders, 30_000);
    let sent = senders[1].jobs.len();

    run(&mut cell, &mut senders, LONGEST_WAIT_MS);

    let waits_ms = &senders[1].waits_ms(&cell)[..sent];
    assert!(
        waits_ms
            .iter()
            .all(|ms| ms.is_some_and(|ms| ms <= LONGEST_WAIT_MS)),
        "{waits_ms:?}"
    );
}

/// Returns a cell of which team `a` uses all room for long, and a job that team `b` has submitted since.
fn cell_in_use(checkpoints: bool) -> (TeamCell, JobId) {
    let mut cell = cell(&[("a", 1), ("b", 1)]);
    let lasting = StepSpec {
        checkpoints,
        ..step(ROOM_TASKS as u32 * 2, 200_000)
    };
    cell.submit("a", "batch", lasting);
    cell.run(1_000);
    let job = cell.submit("b", "batch", step(1, TASK_MS));
    cell.submit("b", "batch", step(1, TASK_MS));
    (cell, job)
}

/// Guards against a share that is lent to long runs and never comes back.
#[test]
fn lent_share_is_reclaimed_from_checkpointed_runs_at_last() {
    let (mut cell, job) = cell_in_use(true);

    cell.run(4_000);
    let early_stops = cell.stops.len();
    cell.run(6_000);

    assert_eq!(early_stops, 0, "runs may end by themselves before");
    assert!(cell.wait_ms(job).is_some());
    let stops: usize = cell.stops.values().sum();
    assert!((1..=2).contains(&stops), "{stops} stops for two tasks");
}

/// Guards against a reclaim that loses the work of runs without checkpoints.
#[test]
fn runs_without_checkpoints_are_not_stopped_for_a_share() {
    let (mut cell, _) = cell_in_use(false);

    cell.run(20_000);

    assert!(cell.stops.is_empty());
}

/// Guards against a division of which nobody can see why the steps of a team wait.
#[test]
fn report_shows_the_largest_shares() {
    let mut cell = cell(&[("a", 1), ("b", 3)]);
    let mut senders = [
        Sender::new("a", STARTS_PER_S * 60 * 2),
        Sender::new("b", STARTS_PER_S * 60 * 2),
    ];
    run(&mut cell, &mut senders[..1], 5_000);
    run(&mut cell, &mut senders, 500);

    cell.leader.advance(1_000);
    let report = cell.leader.take_report().expect("a report is due each second");

    let shares: Vec<_> = report
        .shares
        .iter()
        .map(|share| (share.team.as_str(), share.weight, share.is_over))
        .collect();
    assert_eq!(shares, [("a", 1, true), ("b", 3, false)]);
    let sum: u64 = report.shares.iter().map(|share| share.share_thousandths).sum();
    assert!((800..=1_000).contains(&sum), "{sum}");
}

/// Returns what a team claims that asks for more than any share.
fn greedy(used: f64, weight: u32) -> Claim {
    Claim {
        asked: 10.0,
        standing: Standing::Entitled,
        used,
        weight,
    }
}

/// Guards against shares that do not follow the weights.
#[test]
fn greedy_teams_are_entitled_by_weight() {
    let entitled = fair_share::entitlements(&[greedy(0.7, 1), greedy(0.1, 3)]);

    assert!((entitled[0] - 0.2).abs() < 1e-9, "{entitled:?}");
    assert!((entitled[1] - 0.6).abs() < 1e-9, "{entitled:?}");
}

/// Guards against an unused share that is lost to the others.
#[test]
fn unused_share_is_divided_among_the_others() {
    let modest = Claim {
        asked: 0.1,
        ..greedy(0.1, 8)
    };

    let entitled = fair_share::entitlements(&[greedy(0.8, 1), modest, greedy(0.1, 1)]);

    assert!((entitled[0] - 0.45).abs() < 1e-9, "{entitled:?}");
    assert!((entitled[1] - 0.1).abs() < 1e-9, "{entitled:?}");
    assert!((entitled[2] - 0.45).abs() < 1e-9, "{entitled:?}");
}

/// Guards against an order that changes with each start and end.
#[test]
fn team_near_its_share_keeps_its_standing() {
    let over = |used| Claim {
        standing: Standing::Over,
        ..greedy(used, 1)
    };
    let modest = |asked| Claim {
        asked,
        standing: Standing::Modest,
        ..greedy(0.2, 1)
    };

    let standing = |claim: Claim| fair_share::standing(&claim, 0.5);

    assert_eq!(standing(greedy(0.52, 1)), Standing::Entitled);
    assert_eq!(standing(greedy(0.56, 1)), Standing::Over);
    assert_eq!(standing(over(0.52)), Standing::Over);
    assert_eq!(standing(over(0.49)), Standing::Entitled);
    assert_eq!(standing(modest(0.52)), Standing::Modest);
    assert_eq!(standing(modest(0.56)), Standing::Entitled);
}

/// Guards against a use that is measured by a resource of which there is plenty.
#[test]
fn dominant_share_is_that_of_the_scarcest_resource() {
    let capacity = Resources {
        accelerators: 10,
        memory_bytes: 1_000,
        processors_millis: 100_000,
        ..Resources::NONE
    };
    let amount = Resources {
        accelerators: 5,
        memory_bytes: 100,
        processors_millis: 20_000,
        ..Resources::NONE
    };

    assert_eq!(fair_share::dominant_share(&amount, &capacity), 0.5);
    assert_eq!(fair_share::dominant_share(&amount, &Resources::NONE), 0.0);
}
