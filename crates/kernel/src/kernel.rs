//! The kernel.

use {
    crate::{
        Decision, Event, KernelSettings,
        admission::Flow,
        peers::Peers,
        policy::{PlacementPolicy, registered},
        reservation::Reservation,
        spread::Spread,
        task::{Gang, GangKey, Task, TaskKey},
        task_index::TaskIndex,
        team::POLICIES,
        teams::Teams,
        timer::Timer,
        waiting::Waiting,
        workers::Workers,
    },
    fuchsiatack_model::{Policy, Resources, TeamName, WorkerName},
    rand::{SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::collections::{BTreeSet, HashSet, VecDeque},
};

/// Policies in order of precedence, which is the order of their values.
const PRECEDENCE: [Policy; POLICIES] = [Policy::Interactive, Policy::Service, Policy::Gang, Policy::Batch];

/// Placement state of one entry daemon.
pub struct Kernel {
    pub(crate) by_id: TaskIndex,
    /// Deadlines of waiting tasks.
    pub(crate) deadlines: BTreeSet<(u64, TaskKey)>,
    /// Workers out of service because of their failures.
    pub(crate) ejected: usize,
    pub(crate) fleet_failure_rate: f32,
    /// Waiting requests that may be forwarded, by arrival.
    pub(crate) forwardable: BTreeSet<(u64, TaskKey)>,
    pub(crate) flow: Flow,
    /// First tasks of gangs that wait for their turn to reserve room.
    pub(crate) gang_queue: VecDeque<TaskKey>,
    pub(crate) gangs: SlotMap<GangKey, Gang>,
    /// Drained workers by name, kept apart since a drain can precede the attachment.
    pub(crate) held: HashSet<WorkerName>,
    pub(crate) lease_valid: bool,
    pub(crate) next_sequence: u64,
    pub(crate) now_us: u64,
    /// Interactive tasks that wait close to their start bound or beyond it.
    pub(crate) overdue: VecDeque<TaskKey>,
    pub(crate) peers: Peers,
    pub(crate) policies: [&'static dyn PlacementPolicy; POLICIES],
    pub(crate) random: StdRng,
    pub(crate) reservation: Option<Reservation>,
    /// Whether `Timer::Reserve` is set.
    pub(crate) reserve_armed: bool,
    pub(crate) settings: KernelSettings,
    pub(crate) spread: Spread,
    /// Number of starts so far.
    pub(crate) starts: u64,
    /// Tasks that were stopped to make room and have not ended yet.
    pub(crate) stopping: u32,
    pub(crate) tasks: SlotMap<TaskKey, Task>,
    pub(crate) teams: Teams,
    pub(crate) timers: BTreeSet<(u64, Timer)>,
    /// Batch tasks that can make room, by start.
    pub(crate) victims: BTreeSet<(u64, TaskKey)>,
    pub(crate) waiting: Waiting,
    pub(crate) workers: Workers,
}

impl Default for Kernel {
    /// Creates a kernel with the default settings.
    fn default() -> Self {
        Self::new(KernelSettings::default())
    }
}

impl Kernel {
    /// Creates a kernel without workers, teams or lease.
    pub fn new(settings: KernelSettings) -> Self {
        Self {
            by_id: TaskIndex::new(),
            deadlines: BTreeSet::new(),
            ejected: 0,
            fleet_failure_rate: 0.0,
            forwardable: BTreeSet::new(),
            flow: Flow::default(),
            gang_queue: VecDeque::new(),
            gangs: SlotMap::with_key(),
            held: HashSet::new(),
            lease_valid: false,
            next_sequence: 0,
            now_us: 0,
            overdue: VecDeque::new(),
            peers: Peers::default(),
            policies: PRECEDENCE.map(registered),
            random: StdRng::seed_from_u64(settings.seed),
            reservation: None,
            reserve_armed: false,
            settings,
            spread: Spread::default(),
            starts: 0,
            stopping: 0,
            tasks: SlotMap::with_key(),
            teams: Teams::default(),
            timers: BTreeSet::new(),
            victims: BTreeSet::new(),
            waiting: Waiting::default(),
            workers: Workers::new(),
        }
    }

    /// Applies an event at `now_us` on a monotonic clock and appends what follows from it.
    pub fn handle(&mut self, now_us: u64, event: Event, decisions: &mut Vec<Decision>) {
        self.now_us = self.now_us.max(now_us);
        self.refuse_overdue(decisions);
        self.apply(event, decisions);
        self.run_timers(decisions);
        self.place_waiting(decisions);
    }

    /// Free amounts on usable workers, added up.
    pub fn free(&self) -> Resources {
        self.workers
            .iter()
            .filter_map(|(_, worker)| worker.offer())
            .fold(Resources::NONE, |sum, offer| sum.plus(&offer))
    }

    /// Names of limited teams with free tokens here, for load hints.
    pub fn token_teams(&self) -> Vec<TeamName> {
        self.teams
            .iter()
            .filter(|team| team.limited && team.startable() > 0)
            .map(|team| team.name.clone())
            .collect()
    }

    /// Use of each team with running or waiting tasks: team, running, waiting.
    pub fn usage(&self) -> Vec<(TeamName, u32, u32)> {
        self.teams
            .iter()
            .filter(|team| team.running + team.all_waiting() > 0)
            .map(|team| (team.name.clone(), team.running, team.all_waiting()))
            .collect()
    }

    /// Number of waiting tasks of all teams.
    pub fn waiting(&self) -> u32 {
        self.teams.iter().map(|team| team.all_waiting()).sum()
    }

    fn apply(&mut self, event: Event, decisions: &mut Vec<Decision>) {
        match event {
            Event::Cancel { task } => self.cancel(task, decisions),
            Event::Ended { end, run_us, task } => self.ended(task, end, run_us, decisions),
            Event::FleetUsage { running, team } => self.fleet_usage(&team, running),
            Event::LeaseChanged { valid } => self.lease_changed(valid, decisions),
            Event::PeerSeen(load) => self.peer_seen(load, decisions),
            Event::PeerLeft { daemon } => self.peers.left(&daemon),
            Event::Submit(submission) => self.submit(submission, decisions),
            Event::TeamSet {
                limited,
                max_waiting,
                team,
                weight_millis,
            } => self.team_set(team, limited, max_waiting, weight_millis),
            Event::TeamRemoved { team } => self.team_removed(&team, decisions),
            Event::Tick => {}
            Event::TokensAdvised { target, team } => self.tokens_advised(&team, target, decisions),
            Event::TokensReturned { team, tokens } => self.tokens_returned(&team, tokens, decisions),
            Event::TokensSet { team, tokens } => self.tokens_set(team, tokens, decisions),
            Event::WorkerAttached {
                capacity,
                data_center,
                epoch,
                rack,
                running,
                speed_millis,
                worker,
            } => {
                let attachment = crate::attachment::Attachment {
                    capacity,
                    epoch,
                    place: (data_center, rack),
                    running,
                    speed_millis,
                    worker,
                };
                self.worker_attached(attachment, decisions);
            }
            Event::WorkerDetached { moved, worker } => self.worker_detached(&worker, moved, decisions),
            Event::WorkerHeld { held, worker } => self.worker_held(worker, held),
            Event::WorkerReleasing { worker } => self.worker_releasing(&worker),
            Event::WorkerRemoved { worker } => self.worker_removed(&worker, decisions),
            Event::WorkerReported { running, worker } => self.worker_reported(&worker, running, decisions),
            Event::WorkerUnreachable { worker } => self.worker_unreachable(&worker),
        }
    }
}
