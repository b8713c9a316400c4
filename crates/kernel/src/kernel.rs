//! The kernel.

use {
    crate::{
        Decision, Event, KernelSettings,
        peers::Peers,
        policy::{PlacementPolicy, registered},
        spread::Spread,
        task::{GangKey, Task, TaskKey},
        team::POLICIES,
        teams::Teams,
        waiting::Waiting,
        workers::Workers,
    },
    fuchsiatack_model::{Policy, Resources, TaskId, TeamName, WorkerName},
    rand::{SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::collections::{BTreeSet, HashMap, HashSet},
};

/// Policies in order of precedence, which is the order of their values.
const PRECEDENCE: [Policy; POLICIES] = [Policy::Interactive, Policy::Service, Policy::Gang, Policy::Batch];

/// Placement state of one entry daemon.
pub struct Kernel {
    pub(crate) by_id: HashMap<TaskId, TaskKey>,
    /// Deadlines of waiting tasks.
    pub(crate) deadlines: BTreeSet<(u64, TaskKey)>,
    pub(crate) gangs: SlotMap<GangKey, Vec<TaskKey>>,
    /// Drained workers by name, kept apart since a drain can precede the attachment.
    pub(crate) held: HashSet<WorkerName>,
    pub(crate) lease_valid: bool,
    pub(crate) next_sequence: u64,
    pub(crate) now_us: u64,
    pub(crate) peers: Peers,
    pub(crate) policies: [&'static dyn PlacementPolicy; POLICIES],
    pub(crate) random: StdRng,
    pub(crate) settings: KernelSettings,
    pub(crate) spread: Spread,
    pub(crate) tasks: SlotMap<TaskKey, Task>,
    pub(crate) teams: Teams,
    pub(crate) waiting: Waiting,
    pub(crate) workers: Workers,
}

impl Kernel {
    /// Creates a kernel without workers, teams or lease.
    pub fn new(settings: KernelSettings) -> Self {
        Self {
            by_id: HashMap::new(),
            deadlines: BTreeSet::new(),
            gangs: SlotMap::with_key(),
            held: HashSet::new(),
            lease_valid: false,
            next_sequence: 0,
            now_us: 0,
            peers: Peers::default(),
            policies: PRECEDENCE.map(registered),
            random: StdRng::seed_from_u64(settings.seed),
            settings,
            spread: Spread::default(),
            tasks: SlotMap::with_key(),
            teams: Teams::default(),
            waiting: Waiting::default(),
            workers: Workers::new(),
        }
    }

    /// Applies an event at `now_us` on a monotonic clock and appends what follows from it.
    pub fn handle(&mut self, now_us: u64, event: Event, decisions: &mut Vec<Decision>) {
        self.now_us = self.now_us.max(now_us);
        self.refuse_overdue(decisions);
        self.apply(event, decisions);
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
            Event::PeerSeen(load) => self.peers.seen(self.now_us, load),
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
