//! The kernel.

use {
    crate::{
        Decision, Event, KernelSettings,
        peers::Peers,
        policy::{PlacementPolicy, registered},
        reservation::Reservation,
        spread::Spread,
        task::{Gang, GangKey, Task, TaskKey},
        task_index::TaskIndex,
        team::POLICY_COUNT,
        teams::Teams,
        timer::Timer,
        wait_estimate::InteractiveLoad,
        waiting::WaitingTasks,
        workers::Workers,
    },
    fuchsiatack_model::{Policy, Resources, TeamName, WorkerName},
    rand::{SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::collections::{BTreeSet, HashSet, VecDeque},
};

/// Policies in order of precedence, which is the order of their values.
const PRECEDENCE: [Policy; POLICY_COUNT] =
    [Policy::Interactive, Policy::Service, Policy::Gang, Policy::Batch];

/// Placement state of one entry daemon.
pub struct Kernel {
    pub(crate) task_index: TaskIndex,
    /// Deadlines of waiting tasks.
    pub(crate) deadlines: BTreeSet<(u64, TaskKey)>,
    /// Workers out of service because of their failures.
    pub(crate) ejected_count: usize,
    pub(crate) fleet_failure_rate: f32,
    /// Waiting requests that may be forwarded, by arrival.
    pub(crate) forwardable: BTreeSet<(u64, TaskKey)>,
    pub(crate) interactive: InteractiveLoad,
    /// First tasks of gangs that wait for their turn to reserve room.
    pub(crate) gang_queue: VecDeque<TaskKey>,
    pub(crate) gangs: SlotMap<GangKey, Gang>,
    /// Drained workers by name, kept apart since a drain can precede the attachment.
    pub(crate) draining_workers: HashSet<WorkerName>,
    pub(crate) lease_valid: bool,
    pub(crate) next_sequence: u64,
    pub(crate) now_us: u64,
    /// Interactive tasks that wait close to their start bound or beyond it.
    pub(crate) urgent_tasks: VecDeque<TaskKey>,
    pub(crate) peers: Peers,
    pub(crate) policies: [&'static dyn PlacementPolicy; POLICY_COUNT],
    pub(crate) random: StdRng,
    pub(crate) reservation: Option<Reservation>,
    /// Whether `Timer::Reserve` is set.
    pub(crate) is_reserve_timer_set: bool,
    pub(crate) settings: KernelSettings,
    pub(crate) spread: Spread,
    /// Number of starts so far.
    pub(crate) start_count: u64,
    /// Tasks that were stopped to make room and have not ended yet.
    pub(crate) preempting: u32,
    pub(crate) tasks: SlotMap<TaskKey, Task>,
    pub(crate) teams: Teams,
    pub(crate) timers: BTreeSet<(u64, Timer)>,
    /// Batch tasks that can make room, by start.
    pub(crate) victims: BTreeSet<(u64, TaskKey)>,
    pub(crate) waiting: WaitingTasks,
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
            task_index: TaskIndex::new(),
            deadlines: BTreeSet::new(),
            ejected_count: 0,
            fleet_failure_rate: 0.0,
            forwardable: BTreeSet::new(),
            interactive: InteractiveLoad::default(),
            gang_queue: VecDeque::new(),
            gangs: SlotMap::with_key(),
            draining_workers: HashSet::new(),
            lease_valid: false,
            next_sequence: 0,
            now_us: 0,
            urgent_tasks: VecDeque::new(),
            peers: Peers::default(),
            policies: PRECEDENCE.map(registered),
            random: StdRng::seed_from_u64(settings.seed),
            reservation: None,
            is_reserve_timer_set: false,
            settings,
            spread: Spread::default(),
            start_count: 0,
            preempting: 0,
            tasks: SlotMap::with_key(),
            teams: Teams::default(),
            timers: BTreeSet::new(),
            victims: BTreeSet::new(),
            waiting: WaitingTasks::default(),
            workers: Workers::new(),
        }
    }

    /// Applies an event at `now_us` on a monotonic clock and appends what follows from it.
    pub fn handle(&mut self, now_us: u64, event: Event, decisions: &mut Vec<Decision>) {
        self.now_us = self.now_us.max(now_us);
        self.refuse_expired(decisions);
        self.apply(event, decisions);
        self.run_timers(decisions);
        self.place_waiting(decisions);
    }

    /// Free amounts on usable workers, added up.
    pub fn free_resources(&self) -> Resources {
        self.workers
            .iter()
            .filter_map(|(_, worker)| worker.offer())
            .fold(Resources::NONE, |sum, offer| sum.saturating_add(&offer))
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
    pub fn team_usage(&self) -> Vec<(TeamName, u32, u32)> {
        self.teams
            .iter()
            .filter(|team| team.running + team.waiting_count() > 0)
            .map(|team| (team.name.clone(), team.running, team.waiting_count()))
            .collect()
    }

    /// Number of waiting tasks of all teams.
    pub fn waiting_count(&self) -> u32 {
        self.teams.iter().map(|team| team.waiting_count()).sum()
    }

    fn apply(&mut self, event: Event, decisions: &mut Vec<Decision>) {
        match event {
            Event::Cancel { task } => self.cancel(task, decisions),
            Event::TaskEnded { end, run_us, task } => self.task_ended(task, end, run_us, decisions),
            Event::FleetUsage { running, team } => self.fleet_usage(&team, running),
            Event::LeaseChanged { valid } => self.lease_changed(valid, decisions),
            Event::PeerLoadReceived(load) => self.peer_load_received(load, decisions),
            Event::PeerLeft { daemon } => self.peers.remove(&daemon),
            Event::Submit(submission) => self.submit(submission, decisions),
            Event::TeamSet {
                limited,
                max_waiting,
                team,
                weight_millis,
            } => self.team_set(team, limited, max_waiting, weight_millis),
            Event::TeamRemoved { team } => self.team_removed(&team, decisions),
            Event::Tick => {}
            Event::TokenTargetSet { target, team } => self.token_target_set(&team, target, decisions),
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
                let attachment = crate::worker_events::Attachment {
                    capacity,
                    epoch,
                    place: (data_center, rack),
                    running,
                    speed_millis,
                    worker,
                };
                self.worker_attached(attachment, decisions);
            }
            Event::WorkerDetached { moved_tokens, worker } => {
                self.worker_detached(&worker, moved_tokens, decisions)
            }
            Event::WorkerDraining { draining, worker } => self.worker_draining(worker, draining),
            Event::WorkerReleasing { worker } => self.worker_releasing(&worker),
            Event::WorkerRemoved { worker } => self.worker_removed(&worker, decisions),
            Event::WorkerReported { running, worker } => self.worker_reported(&worker, running, decisions),
            Event::WorkerUnreachable { worker } => self.worker_unreachable(&worker),
        }
    }
}
