//! The allocator with simulated daemons that follow its responses.

mod support;

use {
    fuchsiatack_ledger::{
        Allocator, AllocatorSettings, Command, DaemonInfo, Renewal, Reply, TeamUsage, WorkerEntry,
    },
    fuchsiatack_model::{LogIndex, Policy, Resources, SessionId, TeamName},
    std::collections::{BTreeMap, BTreeSet},
    support::{Cell, announcement, daemon, end, release, team, work},
};

const STEP_MS: u64 = 250;

/// A simulated daemon.
#[derive(Default)]
struct Daemon {
    is_silent: bool,
    is_stopping: bool,
    usage: BTreeMap<TeamName, (u32, u32)>,
}

/// A cell whose daemons renew their sessions, fence their workers, and release workers and return
/// tokens as the allocator asks.
struct Fleet {
    allocator: Allocator,
    cell: Cell,
    commands: Vec<Command>,
    daemons: BTreeMap<SessionId, Daemon>,
    free: Resources,
    now_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            allocator: Allocator::new(AllocatorSettings::default(), 0),
            cell: Cell::default(),
            commands: Vec::new(),
            daemons: BTreeMap::new(),
            free: Resources::NONE,
            now_ms: 0,
        }
    }

    fn daemons(mut self, daemons: &[(&str, u32)]) -> Self {
        for (number, (data_center, weight)) in daemons.iter().enumerate() {
            self.join(daemon(&format!("d{number}"), data_center, *weight));
        }
        self
    }

    fn workers(mut self, data_center: &str, count: usize) -> Self {
        for number in 0..count {
            let name = format!("{data_center}-w{number}");
            let rack = format!("rack-{}", number / 8);
            let worker = announcement(&name, data_center, &rack);
            self.cell.apply(Command::RegisterWorker(worker));
        }
        self
    }

    fn limit(mut self, team: &str, max_running: u32) -> Self {
        self.cell.limit(team, 0, max_running);
        self
    }

    fn join(&mut self, daemon: DaemonInfo) -> SessionId {
        let session = self.cell.open_with(daemon);
        self.daemons.insert(session, Daemon::default());
        session
    }

    fn demand(&mut self, session: SessionId, team: &str, running: u32, waiting: u32) {
        let daemon = self.daemons.get_mut(&session).unwrap();
        daemon.usage.insert(TeamName::new(team), (running, waiting));
    }

    fn sessions(&self) -> Vec<SessionId> {
        self.daemons.keys().copied().collect()
    }

    fn owned(&self) -> BTreeMap<SessionId, Vec<WorkerEntry>> {
        let mut owned: BTreeMap<SessionId, Vec<WorkerEntry>> = BTreeMap::new();
        for entry in self.cell.status().workers {
            owned
                .entry(entry.owner.unwrap_or_default())
                .or_default()
                .push(entry);
        }
        owned
    }

    fn owned_counts(&self) -> Vec<usize> {
        let owned = self.owned();
        let count = |session: &SessionId| owned.get(session).map_or(0, Vec::len);
        self.sessions().iter().map(count).collect()
    }

    fn run(&mut self, time_ms: u64) -> &mut Self {
        self.commands.clear();
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for session in self.sessions() {
                self.renew(session);
            }
            let commands = self.allocator.plan(self.now_ms, &self.cell.ledger);
            for command in commands {
                self.commands.push(command.clone());
                self.apply(command);
            }
        }
        self
    }

    fn apply(&mut self, command: Command) {
        let reply = self.cell.apply(command.clone());
        match (command, reply) {
            (Command::AssignWorker { worker, .. }, Reply::Assigned(epoch)) => {
                self.cell.fence(worker.as_str(), epoch, &[]);
            }
            (Command::EndSession { session, .. }, Reply::Applied) => {
                self.daemons.remove(&session);
            }
            _ => {}
        }
    }

    fn renew(&mut self, session: SessionId) {
        let daemon = &self.daemons[&session];
        if daemon.is_silent {
            return;
        }
        let usage = |(team, (running, waiting)): (&TeamName, &(u32, u32))| TeamUsage {
            running: *running,
            team: team.clone(),
            waiting: *waiting,
        };
        let renewal = Renewal {
            applied: LogIndex(self.cell.index),
            free: self.free,
            session,
            stopping: daemon.is_stopping,
            usage: daemon.usage.iter().map(usage).collect(),
        };
        let response = self
            .allocator
            .handle_renewal(self.now_ms, &renewal, &self.cell.ledger);
        for worker in response.release_workers {
            self.cell.apply(release(worker.as_str(), session));
        }
        for target in response.return_tokens {
            let team = target.team.as_str();
            let held = self.cell.tokens(session, team);
            let running = self.daemons[&session].usage.get(team).map_or(0, |usage| usage.0);
            let tokens = held.saturating_sub(target.target.max(running));
            let command = self.cell.return_tokens(session, team, tokens);
            self.cell.apply(command);
        }
    }

    fn tokens(&self, team: &str) -> Vec<u32> {
        let sessions = self.sessions();
        sessions
            .iter()
            .map(|session| self.cell.tokens(*session, team))
            .collect()
    }

    /// Returns the number of tasks of a work that were assigned in the last run.
    fn assigned(&self, name: &str) -> usize {
        let count = |command: &Command| match command {
            Command::AssignTasks { tasks, work, .. } if work.as_str() == name => tasks.len(),
            _ => 0,
        };
        self.commands.iter().map(count).sum()
    }

    /// Returns the number of commands of a kind that the allocator returned in the last run.
    fn count(&self, is_counted: impl Fn(&Command) -> bool) -> usize {
        self.commands.iter().filter(|command| is_counted(command)).count()
    }
}

fn slots(slots: u32) -> Resources {
    Resources {
        connections: slots,
        slots,
        ..Resources::NONE
    }
}

fn is_assignment(command: &Command) -> bool {
    matches!(command, Command::AssignWorker { .. })
}

/// Guards against a session that is ended while its lease may be valid, or that is never ended.
#[test]
fn a_session_ends_a_lease_and_a_margin_after_its_last_renewal() {
    let mut fleet = Fleet::new().daemons(&[("dc-1", 1), ("dc-1", 1)]);
    fleet.run(10_000);
    let silent = fleet.sessions()[0];
    fleet.daemons.get_mut(&silent).unwrap().is_silent = true;

    fleet.run(3_750);
    assert_eq!(fleet.commands, []);
    fleet.run(250);
    assert_eq!(fleet.commands, [end(silent)]);
}

/// Guards against a new leader that ends sessions which were renewed at the previous leader.
#[test]
fn a_new_leader_waits_for_a_full_lease() {
    let mut fleet = Fleet::new().daemons(&[("dc-1", 1)]);
    fleet.allocator = Allocator::new(AllocatorSettings::default(), 60_000);

    assert_eq!(fleet.allocator.plan(60_000, &fleet.cell.ledger), []);
    assert_eq!(fleet.allocator.plan(63_999, &fleet.cell.ledger), []);
    assert_eq!(fleet.allocator.plan(64_000, &fleet.cell.ledger).len(), 1);
}

/// Guards against a daemon with more workers than its VM can renew, and against a rack or a data
/// centre whose workers all belong to one daemon.
#[test]
fn workers_follow_weight_data_centre_and_rack() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 2), ("dc-1", 2), ("dc-2", 4)])
        .workers("dc-1", 16)
        .workers("dc-2", 32);
    fleet.run(10_000);

    assert_eq!(fleet.owned_counts(), [12, 12, 24]);
    let owned = fleet.owned();
    let first = &owned[&fleet.sessions()[0]];
    let near = first
        .iter()
        .filter(|entry| entry.announcement.data_center.as_str() == "dc-1");
    assert_eq!(near.clone().count(), 8);
    let racks: BTreeSet<_> = near.map(|entry| entry.announcement.rack.clone()).collect();
    assert_eq!(racks.len(), 2);
    assert_eq!(fleet.count(is_assignment), 48);
}

/// Guards against an allocation that does not become stable after a daemon joins.
#[test]
fn a_join_converges_with_few_moves_a_second_and_stays_stable() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 1), ("dc-2", 1)])
        .workers("dc-1", 30)
        .workers("dc-2", 30);
    fleet.run(10_000);
    fleet.join(daemon("late", "dc-3", 1));

    fleet.run(1_000);
    assert!((1..=4).contains(&fleet.count(is_assignment)));
    fleet.run(20_000);

    assert!(
        fleet.owned_counts().iter().all(|count| (18..=22).contains(count)),
        "{:?}",
        fleet.owned_counts()
    );
    fleet.run(20_000);
    assert_eq!(fleet.commands, []);
}

/// Guards against workers without an owner after a daemon is lost.
#[test]
fn a_loss_converges() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 1), ("dc-1", 1), ("dc-2", 1)])
        .workers("dc-1", 45);
    fleet.run(10_000);
    let lost = fleet.sessions()[1];
    fleet.daemons.get_mut(&lost).unwrap().is_silent = true;

    fleet.run(20_000);

    assert_eq!(fleet.cell.status().sessions.len(), 2);
    let counts = fleet.owned_counts();
    assert!(counts.iter().all(|count| (22..=23).contains(count)), "{counts:?}");
    fleet.run(10_000);
    assert_eq!(fleet.commands, []);
}

/// Guards against workers that are assigned to a daemon in a planned stop.
#[test]
fn a_planned_stop_converges() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 1), ("dc-1", 1), ("dc-1", 1)])
        .workers("dc-1", 30)
        .limit("red", 90);
    fleet.run(10_000);
    let stopping = fleet.sessions()[2];
    fleet.daemons.get_mut(&stopping).unwrap().is_stopping = true;
    fleet.run(500);
    for entry in &fleet.owned()[&stopping] {
        fleet
            .cell
            .apply(release(entry.announcement.name.as_str(), stopping));
    }
    fleet.run(5_000);
    assert_eq!(fleet.owned_counts(), [15, 15, 0]);

    fleet.apply(end(stopping));
    fleet.run(5_000);

    assert_eq!(fleet.tokens("red").iter().sum::<u32>(), 90);
    assert_eq!(fleet.cell.status().sessions.len(), 2);
}

/// Guards against a worker that is assigned again to the daemon that released it.
#[test]
fn a_released_worker_goes_to_another_daemon() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 1), ("dc-2", 1)])
        .workers("dc-1", 1);
    fleet.run(1_000);
    assert_eq!(fleet.owned_counts(), [1, 0]);
    let owner = fleet.sessions()[0];
    fleet.cell.apply(release("dc-1-w0", owner));

    fleet.run(1_000);

    assert_eq!(fleet.owned_counts(), [0, 1]);
}

/// Guards against tasks that wait at one daemon while tokens of their team are idle at another, and
/// against tokens that move without need.
#[test]
fn tokens_move_to_demand_and_then_stay() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 1), ("dc-1", 1)])
        .limit("red", 100);
    fleet.run(2_000);
    assert_eq!(fleet.tokens("red"), [50, 50]);
    let sessions = fleet.sessions();

    fleet.demand(sessions[0], "red", 50, 2);
    fleet.demand(sessions[1], "red", 49, 0);
    fleet.run(5_000);
    assert_eq!(fleet.tokens("red"), [50, 50]);

    fleet.demand(sessions[1], "red", 0, 0);
    fleet.demand(sessions[0], "red", 50, 100);
    fleet.run(5_000);
    let tokens = fleet.tokens("red");
    assert!(tokens[0] >= 85 && tokens[0] + tokens[1] == 100, "{tokens:?}");

    fleet.demand(sessions[0], "red", 80, 2);
    fleet.demand(sessions[1], "red", 9, 0);
    fleet.run(5_000);
    assert_eq!(fleet.tokens("red"), tokens);
    assert_eq!(fleet.commands, []);
}

/// Guards against a small limit that is split until no daemon can use its tokens.
#[test]
fn a_small_limit_goes_whole_to_the_session_with_demand() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 1), ("dc-1", 1), ("dc-1", 1)])
        .limit("red", 5);
    let sessions = fleet.sessions();
    fleet.demand(sessions[1], "red", 0, 3);
    fleet.run(2_000);
    assert_eq!(fleet.tokens("red"), [0, 5, 0]);

    fleet.demand(sessions[2], "red", 0, 9);
    fleet.run(2_000);
    assert_eq!(fleet.tokens("red"), [0, 5, 0]);

    fleet.demand(sessions[1], "red", 0, 0);
    fleet.run(2_000);
    assert_eq!(fleet.tokens("red"), [0, 0, 5]);
}

/// Guards against a lowered limit whose tokens are never returned.
#[test]
fn a_lowered_limit_is_reached_by_returns() {
    let mut fleet = Fleet::new()
        .daemons(&[("dc-1", 1), ("dc-1", 1)])
        .limit("red", 100);
    fleet.run(2_000);

    fleet.cell.limit("red", 1, 20);
    fleet.run(3_000);

    assert_eq!(fleet.tokens("red"), [10, 10]);
}

/// Guards against a gang that is split or assigned without enough room, and against the starvation
/// of a team.
#[test]
fn work_goes_to_free_capacity_gangs_whole_and_teams_by_share() {
    let mut fleet = Fleet::new().daemons(&[("dc-1", 1), ("dc-1", 1)]);
    fleet.cell.put("gang", 0, work("red", Policy::Gang, 9, true));
    fleet.free = slots(8);
    fleet.run(2_000);
    assert_eq!(fleet.commands, []);

    fleet.free = slots(12);
    fleet.run(500);
    assert!(matches!(&fleet.commands[..], [Command::AssignTasks { tasks, .. }] if tasks.len() == 9));

    fleet.free = slots(96);
    fleet.cell.share("blue", 3_000);
    for name in ["red", "blue"] {
        fleet.cell.put(name, 0, work(name, Policy::Batch, 1_000, true));
    }
    fleet.run(STEP_MS);
    let (red, blue) = (fleet.assigned("red"), fleet.assigned("blue"));
    assert_eq!(red + blue, 2 * 96);
    assert!(blue >= 2 * red, "{blue} and {red}");
    assert_eq!(fleet.allocator.plan(fleet.now_ms, &fleet.cell.ledger), []);
}

/// Guards against a gang that never starts because batch work uses all resources that become free.
#[test]
fn a_session_is_reserved_for_a_waiting_gang() {
    let mut fleet = Fleet::new().daemons(&[("dc-1", 1)]).workers("dc-1", 2);
    fleet.run(2_000);
    fleet.cell.put("gang", 0, work("red", Policy::Gang, 12, true));
    fleet.run(STEP_MS);
    fleet
        .cell
        .put("batch", 0, work("blue", Policy::Batch, 1_000, true));

    for free in [4, 8, 11] {
        fleet.free = slots(free);
        fleet.run(1_000);
        assert_eq!(fleet.assigned("batch"), 0);
    }
    fleet.free = slots(13);
    fleet.run(STEP_MS);
    assert_eq!(fleet.assigned("gang"), 12);
    fleet.run(STEP_MS);
    assert!(fleet.assigned("batch") > 0);
}

/// Guards against tasks that start above a limit which was created while tasks ran without tokens.
#[test]
fn tasks_that_run_without_tokens_get_tokens_before_others_may_start() {
    let mut fleet = Fleet::new().daemons(&[("dc-1", 1), ("dc-1", 1)]);
    let sessions = fleet.sessions();
    fleet.demand(sessions[1], "red", 95, 0);
    fleet.run(STEP_MS);
    let mut fleet = fleet.limit("red", 100);
    fleet.run(STEP_MS);

    assert_eq!(fleet.tokens("red"), [5, 95]);
}

/// Guards against a plan that takes more processor time than the daemon may use.
#[test]
fn a_plan_without_changes_is_cheap_at_full_size() {
    let daemons: Vec<(String, u32)> = (0..14).map(|number| (format!("dc-{}", number % 6), 4)).collect();
    let daemons: Vec<(&str, u32)> = daemons
        .iter()
        .map(|(name, weight)| (name.as_str(), *weight))
        .collect();
    let mut fleet = Fleet::new().daemons(&daemons);
    for number in 0..3_200 {
        let name = format!("w{number}");
        let worker = announcement(
            &name,
            &format!("dc-{}", number % 6),
            &format!("rack-{}", number / 48),
        );
        fleet.cell.apply(Command::RegisterWorker(worker));
    }
    for number in 0..410 {
        let name = format!("team-{number}");
        fleet.cell.put(&name, 0, team(""));
        fleet.cell.limit(&name, 0, 132);
    }
    fleet.run(10_000);
    let loads = fleet.owned_counts();
    assert!(loads.iter().all(|count| (215..=245).contains(count)), "{loads:?}");

    let rounds = 100;
    let start = std::time::Instant::now();
    for _ in 0..rounds {
        assert_eq!(fleet.allocator.plan(fleet.now_ms, &fleet.cell.ledger), []);
    }
    let idle = start.elapsed() / rounds;
    let mut busy = std::time::Duration::ZERO;
    for round in 0..rounds {
        let session = fleet.sessions()[round as usize % 14];
        for number in 0..410 {
            fleet.demand(session, &format!("team-{number}"), round % 7 + 1, 0);
        }
        fleet.renew(session);
        let start = std::time::Instant::now();
        fleet.allocator.plan(fleet.now_ms, &fleet.cell.ledger);
        busy += start.elapsed();
    }
    println!(
        "plan without changes {idle:?}, after a renewal of 410 teams {:?}",
        busy / rounds
    );
    assert!(idle.as_millis() < 5, "{idle:?}");
}
