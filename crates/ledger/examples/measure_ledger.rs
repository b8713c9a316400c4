//! Measures the replicated state machine and the allocator at sizes that a cell on loopback does not
//! reach: the time of `apply`, of a plan and of a snapshot, the resident memory, and the encoded sizes
//! of the directory, the snapshot and the commands.

use {
    fuchsiatack_ledger::{
        Allocator, AllocatorSettings, Change, Command, DaemonInfo, Ledger, OperationId, RecordAction,
        RecordWrite, Renewal, Reply, TeamUsage,
    },
    fuchsiatack_model::{
        DaemonName, DataCenter, Epoch, LogIndex, Policy, RackName, Resources, SessionId, TeamName, WorkSpec,
        WorkerAnnouncement, WorkerName,
    },
    fuchsiatack_records::{KeyDigest, KeySpec, LimitSpec, Record, ShareSpec, Spec, TeamSpec},
    smol_str::{SmolStr, format_smolstr},
    std::{
        collections::BTreeMap,
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        process::ExitCode,
        time::{Duration, Instant},
    },
};

const DAEMONS: u16 = 14;
const DATA_CENTERS: usize = 6;
/// Tasks of each queued work. 500 works then have 43,000 tasks, the number of tasks that are not
/// services among 54,000.
const TASKS_PER_WORK: u32 = 86;
/// Time between two plans of the store's leader in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;
/// Number of plans, enough for the allocator to reach a steady state.
const PLANS: u64 = 300;
/// Interval of a session's renewals in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 500;
/// Number of teams with running tasks in each renewal.
const TEAMS_PER_RENEWAL: usize = 100;
/// Number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;

/// Number of workers, teams and queued works in a ledger.
#[derive(Clone, Copy)]
struct Size {
    workers: usize,
    teams: usize,
    works: usize,
}

impl Size {
    fn parse(text: &str) -> Option<Self> {
        let numbers: Result<Vec<usize>, _> = text.split('/').map(str::parse).collect();
        match numbers.ok()?[..] {
            [workers, teams, works] if teams > 0 => Some(Self {
                workers,
                teams,
                works,
            }),
            _ => None,
        }
    }
}

/// Sums over the applied commands of one kind.
#[derive(Default)]
struct CommandCost {
    count: u64,
    time: Duration,
    command_bytes: usize,
    /// Size of the encoded changes. A change counts once, whether it has one receiver or many.
    change_bytes: usize,
}

/// A ledger with the cost of the commands that filled it.
#[derive(Default)]
struct Filling {
    costs: BTreeMap<&'static str, CommandCost>,
    index: u64,
    ledger: Ledger,
}

impl Filling {
    fn apply(&mut self, kind: &'static str, command: Command) -> Reply {
        self.index += 1;
        let command_bytes = encoded_bytes(&command);
        let started = Instant::now();
        let applied = self.ledger.apply(LogIndex(self.index), command);
        let time = started.elapsed();
        let cost = self.costs.entry(kind).or_default();
        cost.count += 1;
        cost.time += time;
        cost.command_bytes += command_bytes;
        cost.change_bytes += applied
            .changes
            .iter()
            .map(|change| encoded_bytes(&change.change))
            .sum::<usize>();
        if let Reply::Refused(error) = &applied.reply {
            panic!("{kind} was refused: {error}");
        }
        applied.reply
    }

    fn put(&mut self, name: SmolStr, spec: Spec) {
        let record = Record {
            name,
            spec,
            version: 0,
        };
        let operation = OperationId(u128::from(self.index) + 1);
        self.apply(
            "write record",
            Command::WriteRecord(RecordWrite {
                action: RecordAction::Put(Box::new(record)),
                author: "operator".into(),
                operation,
            }),
        );
    }

    fn fill(size: Size) -> (Self, Vec<SessionId>) {
        let mut filling = Self::default();
        for index in 0..size.teams {
            filling.put_team(index);
        }
        let sessions: Vec<_> = (0..DAEMONS).map(|index| filling.open_session(index)).collect();
        for index in 0..size.workers {
            filling.add_owned_worker(index, sessions[index % sessions.len()]);
        }
        for index in 0..size.works {
            filling.put(
                format_smolstr!("work-{index}"),
                Spec::Work(WorkSpec {
                    body: "{\"run_ms\":1000}".into(),
                    idempotent: true,
                    policy: Policy::Batch,
                    tasks: TASKS_PER_WORK,
                    team: team(index % size.teams),
                    demand: Resources {
                        slots: 1,
                        ..Resources::NONE
                    },
                }),
            );
        }
        (filling, sessions)
    }

    fn put_team(&mut self, index: usize) {
        let team = team(index);
        let name = SmolStr::new(team.as_str());
        let title = format_smolstr!("Team {index}");
        self.put(name.clone(), Spec::Team(TeamSpec { title }));
        let digest = KeyDigest::of(&format!("key-of-team-{index}"));
        self.put(
            name.clone(),
            Spec::Key(KeySpec {
                digest,
                team: team.clone(),
            }),
        );
        let limit = LimitSpec {
            max_running: 300,
            team: team.clone(),
        };
        self.put(name.clone(), Spec::Limit(limit));
        let share = ShareSpec {
            team,
            weight_millis: 1_000,
        };
        self.put(name, Spec::Share(share));
    }

    fn open_session(&mut self, index: u16) -> SessionId {
        let address = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port + index);
        let daemon = DaemonInfo {
            caller_address: address(8_000),
            data_center: data_center(usize::from(index)),
            name: DaemonName(format_smolstr!("entry-{index}")),
            peer_address: address(9_000),
            weight: 4,
        };
        match self.apply("open session", Command::OpenSession(daemon)) {
            Reply::SessionOpened(session) => session,
            reply => panic!("the session was not opened: {reply:?}"),
        }
    }

    fn add_owned_worker(&mut self, index: usize, session: SessionId) {
        let worker = WorkerName(format_smolstr!("worker-{index}"));
        self.apply("register worker", Command::RegisterWorker(announcement(index)));
        let command = Command::AssignWorker {
            session,
            worker: worker.clone(),
        };
        let Reply::Assigned(epoch) = self.apply("assign worker", command) else {
            panic!("worker {worker} was not assigned");
        };
        self.fence(worker, epoch);
    }

    fn fence(&mut self, worker: WorkerName, epoch: Epoch) {
        self.apply(
            "fence worker",
            Command::WorkerFenced {
                epoch,
                running: Vec::new(),
                worker,
                work_tasks: Vec::new(),
            },
        );
    }
}

/// Measures one size per process. Memory that an earlier size freed would hide the growth of the
/// next.
fn main() -> ExitCode {
    let argument = std::env::args().nth(1).unwrap_or_default();
    let Some(size) = Size::parse(&argument) else {
        eprintln!("usage: measure_ledger WORKERS/TEAMS/WORKS, e.g. measure_ledger 3200/410/500");
        return ExitCode::from(2);
    };
    println!(
        "| workers | teams | works | resident MB | snapshot KB | clone ms | encode ms | directory KB | \
         changes | first plan ms | steady plan ms | renewal us | commands until steady |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let filling = measure(size);
    println!("\n| command | count | apply us | command bytes | change bytes |");
    println!("| --- | --- | --- | --- | --- |");
    for (kind, cost) in &filling.costs {
        let count = cost.count as f64;
        println!(
            "| {kind} | {} | {:.2} | {:.0} | {:.0} |",
            cost.count,
            cost.time.as_secs_f64() * 1e6 / count,
            cost.command_bytes as f64 / count,
            cost.change_bytes as f64 / count
        );
    }
    ExitCode::SUCCESS
}

fn measure(size: Size) -> Filling {
    let before = resident_kib();
    let (mut filling, sessions) = Filling::fill(size);
    let resident_kib = resident_kib().saturating_sub(before);

    let started = Instant::now();
    let clone = filling.ledger.clone();
    let clone_time = started.elapsed();
    let started = Instant::now();
    let snapshot = postcard::to_stdvec(&clone).expect("a ledger is encodable");
    let encode_time = started.elapsed();
    drop(clone);

    let directory = filling.ledger.directory(sessions[0]);
    let directory_bytes: usize = directory.iter().map(encoded_bytes::<Change>).sum();

    let planned = plan_until_steady(&mut filling, &sessions, size);
    println!(
        "| {} | {} | {} | {:.1} | {:.0} | {:.1} | {:.1} | {:.0} | {} | {:.2} | {:.3} | {:.1} | {} |",
        size.workers,
        size.teams,
        size.works,
        resident_kib as f64 * 1_024.0 / 1e6,
        snapshot.len() as f64 / 1e3,
        clone_time.as_secs_f64() * 1e3,
        encode_time.as_secs_f64() * 1e3,
        directory_bytes as f64 / 1e3,
        directory.len(),
        planned.first.as_secs_f64() * 1e3,
        planned.steady.as_secs_f64() * 1e3,
        planned.renewal.as_secs_f64() * 1e6,
        planned.commands
    );
    filling
}

/// Cost of the plans until the steady state.
struct PlanCost {
    commands: usize,
    first: Duration,
    /// Mean time of handling one renewal.
    renewal: Duration,
    /// Mean of the last tenth of the plans.
    steady: Duration,
}

/// Renews all sessions, plans like a leader, and applies the planned commands.
fn plan_until_steady(filling: &mut Filling, sessions: &[SessionId], size: Size) -> PlanCost {
    let mut allocator = Allocator::new(AllocatorSettings::default(), 0);
    let mut times = Vec::new();
    let mut renewal_time = Duration::ZERO;
    let mut renewals = 0;
    let mut commands = 0;
    for plan in 0..PLANS {
        let now_ms = plan * PLAN_INTERVAL_MS;
        if now_ms.is_multiple_of(RENEWAL_INTERVAL_MS) {
            for (index, session) in sessions.iter().enumerate() {
                let renewal = renewal(filling, *session, index, size);
                let started = Instant::now();
                allocator.handle_renewal(now_ms, &renewal, &filling.ledger);
                renewal_time += started.elapsed();
                renewals += 1;
            }
        }
        let started = Instant::now();
        let planned = allocator.plan(now_ms, &filling.ledger);
        times.push(started.elapsed());
        commands += planned.len();
        for command in planned {
            filling.index += 1;
            filling.ledger.apply(LogIndex(filling.index), command);
        }
    }
    let steady = &times[times.len() * 9 / 10..];
    PlanCost {
        commands,
        first: times[0],
        renewal: renewal_time / renewals,
        steady: steady.iter().sum::<Duration>() / steady.len() as u32,
    }
}

fn renewal(filling: &Filling, session: SessionId, index: usize, size: Size) -> Renewal {
    let usage = (0..TEAMS_PER_RENEWAL.min(size.teams)).map(|offset| TeamUsage {
        running: 20,
        team: team((index * 29 + offset) % size.teams),
        waiting: 2,
    });
    let mut usage: Vec<_> = usage.collect();
    usage.sort_by(|left, right| left.team.cmp(&right.team));
    Renewal {
        applied: LogIndex(filling.index),
        free: Resources {
            slots: (size.workers * 2 / usize::from(DAEMONS)) as u32,
            connections: 64,
            ..announcement(0).capacity
        },
        session,
        stopping: false,
        usage,
    }
}

fn announcement(index: usize) -> WorkerAnnouncement {
    let rack = index / WORKERS_PER_RACK;
    WorkerAnnouncement {
        address: format_smolstr!("10.11.{}.{}:9000", index / 250, index % 250),
        capacity: Resources {
            accelerators: 2,
            connections: 64,
            memory_bytes: 128 << 30,
            processors_millis: 32_000,
            slots: 17,
        },
        class: Some("ordinary".into()),
        data_center: data_center(rack),
        leaving: false,
        name: WorkerName(format_smolstr!("worker-{index}")),
        rack: RackName(format_smolstr!("rack-{rack}")),
    }
}

fn data_center(index: usize) -> DataCenter {
    DataCenter(format_smolstr!("region-dc-{}", index % DATA_CENTERS + 1))
}

fn team(index: usize) -> TeamName {
    TeamName(format_smolstr!("team-{index}"))
}

fn encoded_bytes<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_stdvec(value).map_or(0, |bytes| bytes.len())
}

/// Resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
