//! State of the scheduler and dispatch of events.

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
    fuchsiatack_model::{Epoch, Policy, Resources, SessionId, TeamName, WorkerName},
    rand::{SeedableRng, rngs::StdRng},
    slotmap::SlotMap,
    std::collections::{BTreeSet, HashSet, VecDeque},
};

/// Policies in order of precedence. The order equals that of their discriminants, by which
/// arrays are indexed.
const PRECEDENCE: [Policy; POLICY_COUNT] =
    [Policy::Interactive, Policy::Service, Policy::Gang, Policy::Batch];

/// Scheduler of one entry daemon: its workers, teams and tasks.
pub struct Kernel {
    /// Deadlines of waiting requests in microseconds, with the first task of each.
    pub(crate) deadlines: BTreeSet<(u64, TaskKey)>,
    /// Names of draining workers. They are stored apart from the workers since a drain can precede
    /// the attachment.
    pub(crate) draining_workers: HashSet<WorkerName>,
    /// Number of workers that are ejected because of their failures.
    pub(crate) ejected_count: usize,
    /// Moving average of failures over all workers of this daemon, from 0 to 1.
    pub(crate) fleet_failure_rate: f32,
    /// Waiting requests that may be forwarded, in order of arrival.
    pub(crate) forwardable: BTreeSet<(u64, TaskKey)>,
    /// First tasks of the gangs that wait for their turn to reserve resources.
    pub(crate) gang_queue: VecDeque<TaskKey>,
    pub(crate) gangs: SlotMap<GangKey, Gang>,
    pub(crate) interactive: InteractiveLoad,
    /// Whether a `Timer::Reserve` is pending.
    pub(crate) is_reserve_timer_set: bool,
    pub(crate) lease_valid: bool,
    pub(crate) next_sequence: u64,
    pub(crate) now_us: u64,
    pub(crate) peers: Peers,
    pub(crate) policies: [&'static dyn PlacementPolicy; POLICY_COUNT],
    /// Number of preempted tasks that have not ended yet.
    pub(crate) preempting: u32,
    pub(crate) random: StdRng,
    pub(crate) reservation: Option<Reservation>,
    pub(crate) settings: KernelSettings,
    pub(crate) spread: Spread,
    /// Number of tasks that were started or inherited so far. It orders teams of equal share.
    pub(crate) start_count: u64,
    pub(crate) task_index: TaskIndex,
    pub(crate) tasks: SlotMap<TaskKey, Task>,
    pub(crate) teams: Teams,
    pub(crate) timers: BTreeSet<(u64, Timer)>,
    /// Interactive tasks that still wait close to their start bound or past it. Entries of tasks
    /// that no longer wait are removed late.
    pub(crate) urgent_tasks: VecDeque<TaskKey>,
    /// Batch tasks that can be preempted, by time of start.
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
    /// Creates a kernel without workers, teams or lease. Nothing starts before
    /// `Event::LeaseChanged` reports a valid lease.
    pub fn new(settings: KernelSettings) -> Self {
        Self {
            deadlines: BTreeSet::new(),
            draining_workers: HashSet::new(),
            ejected_count: 0,
            fleet_failure_rate: 0.0,
            forwardable: BTreeSet::new(),
            gang_queue: VecDeque::new(),
            gangs: SlotMap::with_key(),
            interactive: InteractiveLoad::default(),
            is_reserve_timer_set: false,
            lease_valid: false,
            next_sequence: 0,
            now_us: 0,
            peers: Peers::default(),
            policies: PRECEDENCE.map(registered),
            preempting: 0,
            random: StdRng::seed_from_u64(settings.seed),
            reservation: None,
            settings,
            spread: Spread::default(),
            start_count: 0,
            task_index: TaskIndex::new(),
            tasks: SlotMap::with_key(),
            teams: Teams::default(),
            timers: BTreeSet::new(),
            urgent_tasks: VecDeque::new(),
            victims: BTreeSet::new(),
            waiting: WaitingTasks::default(),
            workers: Workers::new(),
        }
    }

    /// Handles an event and appends the decisions that follow from it. `now_us` is the time on a
    /// monotonic clock in microseconds. If it is earlier than at the last event, the time of that
    /// event applies.
    pub fn handle(&mut self, now_us: u64, event: Event, decisions: &mut Vec<Decision>) {
        self.now_us = self.now_us.max(now_us);
        self.refuse_expired(decisions);
        self.apply(event, decisions);
        self.run_timers(decisions);
        self.place_waiting(decisions);
    }

    /// Returns the sum of the free resources of all workers on which tasks may start.
    pub fn free_resources(&self) -> Resources {
        self.workers
            .iter()
            .filter_map(|(_, worker)| worker.offer())
            .fold(Resources::NONE, |sum, offer| sum.saturating_add(&offer))
    }

    /// Returns the limited teams that have free tokens at this daemon, for its load hints.
    pub fn token_teams(&self) -> Vec<TeamName> {
        self.teams
            .iter()
            .filter(|team| team.limited && team.startable() > 0)
            .map(|team| team.name.clone())
            .collect()
    }

    /// Returns the numbers of running and of waiting tasks, in this order, of each team that has any.
    pub fn team_usage(&self) -> Vec<(TeamName, u32, u32)> {
        self.teams
            .iter()
            .filter(|team| team.running + team.waiting_count() > 0)
            .map(|team| (team.name.clone(), team.running, team.waiting_count()))
            .collect()
    }

    /// Returns the attached workers that run no task of these sessions, with their epochs. A task whose
    /// connection was lost counts as running until a report omits it.
    pub fn workers_free_of(&self, sessions: &[SessionId]) -> Vec<(WorkerName, Epoch)> {
        let runs = |task: &TaskKey| sessions.contains(&self.tasks[*task].id.session);
        self.workers
            .iter()
            .filter(|(_, worker)| !worker.tasks.iter().any(runs))
            .map(|(_, worker)| (worker.name.clone(), worker.epoch))
            .collect()
    }

    /// Returns the number of waiting tasks of all teams.
    pub fn waiting_count(&self) -> u32 {
        self.teams.iter().map(|team| team.waiting_count()).sum()
    }

    fn apply(&mut self, event: Event, decisions: &mut Vec<Decision>) {
        match event {
            Event::Cancel { task } => self.cancel(task, decisions),
            Event::FleetUsage { running, team } => self.fleet_usage(&team, running),
            Event::LeaseChanged { valid } => self.lease_changed(valid, decisions),
            Event::PeerLeft { daemon } => self.peers.remove(&daemon),
            Event::PeerLoadReceived(load) => self.peer_load_received(load, decisions),
            Event::Submit(submission) => self.submit(submission, decisions),
            Event::TaskEnded { end, run_us, task } => self.task_ended(task, end, run_us, decisions),
            Event::TeamRemoved { team } => self.team_removed(&team, decisions),
            Event::TeamSet {
                limited,
                max_waiting,
                team,
                weight_millis,
            } => self.team_set(team, limited, max_waiting, weight_millis),
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
