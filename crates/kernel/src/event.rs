//! Events that the kernel reacts to.

use {
    fuchsiatack_derives::{key, value},
    fuchsiatack_model::{
        DaemonName, DataCenter, Epoch, RackName, Resources, RunningTask, TaskClass, TaskId, TeamName,
        WorkerName,
    },
};

/// Load of a peer, from its last hint.
#[value]
pub struct PeerLoad {
    /// The peer.
    pub daemon: DaemonName,
    /// Free slots on its workers.
    pub free_slots: u32,
    /// Teams with a limit that have free tokens there.
    pub token_teams: Vec<TeamName>,
    /// Tasks waiting there.
    pub waiting: u32,
}

/// One request, or all tasks of a gang.
#[value]
pub struct Submission {
    /// What each task asks for.
    pub class: TaskClass,
    /// Time by which it must have started, on the kernel's clock.
    pub deadline_us: Option<u64>,
    /// Whether it may be forwarded to a peer. False for a request that was forwarded here.
    pub may_forward: bool,
    /// Tasks; more than one start all at once or not at all.
    pub tasks: Vec<TaskId>,
    /// Team it counts for.
    pub team: TeamName,
}

/// How an attempt to run a task ended.
#[key]
pub enum TaskEnd {
    /// The worker returned an answer.
    Done,
    /// The worker reported a failure.
    Failed,
    /// The connection was lost. The task counts as running until the worker's report omits it.
    ConnectionLost,
    /// The worker refused before it started anything; the task waits again.
    Refused,
}

/// Input of the kernel. Variants are sorted by name.
#[value]
pub enum Event {
    /// The caller cancelled a task.
    Cancel {
        /// The task.
        task: TaskId,
    },
    /// A running task ended. Exactly one follows each `Start`, also if the worker was
    /// removed or detached in between.
    TaskEnded {
        /// How.
        end: TaskEnd,
        /// Time it ran in microseconds.
        run_us: u64,
        /// The task.
        task: TaskId,
    },
    /// Running tasks of a team over the whole fleet.
    FleetUsage {
        /// Running tasks.
        running: u32,
        /// The team.
        team: TeamName,
    },
    /// The daemon's lease was gained or has lapsed.
    LeaseChanged {
        /// Whether the lease holds.
        valid: bool,
    },
    /// A peer's load hint arrived.
    PeerLoadReceived(PeerLoad),
    /// A peer left the cell.
    PeerLeft {
        /// The peer.
        daemon: DaemonName,
    },
    /// New work.
    Submit(Submission),
    /// A team was created or its share, limit or queue length changed.
    TeamSet {
        /// Whether starts need tokens.
        limited: bool,
        /// Most tasks that wait at this daemon.
        max_waiting: u32,
        /// The team.
        team: TeamName,
        /// Weight of its share in thousandths.
        weight_millis: u32,
    },
    /// A team was withdrawn. Its waiting tasks are refused.
    TeamRemoved {
        /// The team.
        team: TeamName,
    },
    /// Time has passed.
    Tick,
    /// The leader asks to come down to a pool size.
    TokenTargetSet {
        /// Tokens to keep.
        target: u32,
        /// The team.
        team: TeamName,
    },
    /// The ledger applied a return of tokens, and `TokensSet` with the lower number came before.
    TokensReturned {
        /// The team.
        team: TeamName,
        /// Number of tokens.
        tokens: u32,
    },
    /// The pool of a team, as an absolute number, after the ledger changed it.
    TokensSet {
        /// The team.
        team: TeamName,
        /// Tokens held, used ones included.
        tokens: u32,
    },
    /// A worker was fenced and may be used.
    WorkerAttached {
        /// Everything it holds.
        capacity: Resources,
        /// Its data centre.
        data_center: DataCenter,
        /// Ownership epoch.
        epoch: Epoch,
        /// Its rack.
        rack: RackName,
        /// Tasks of former owners that still run there.
        running: Vec<RunningTask>,
        /// Expected speed in thousandths of an ordinary worker's.
        speed_millis: u32,
        /// The worker.
        worker: WorkerName,
    },
    /// The new owner has counted the tasks of a released worker. The kernel takes the moved
    /// tokens off its pools; a `TokensSet` with the lower number follows.
    WorkerDetached {
        /// Number of tasks of each team whose tokens moved with the worker.
        moved_tokens: Vec<(TeamName, u32)>,
        /// The worker.
        worker: WorkerName,
    },
    /// A worker is leaving or drained, or no longer so.
    WorkerDraining {
        /// Whether it gets no new work.
        draining: bool,
        /// The worker.
        worker: WorkerName,
    },
    /// This daemon begins to hand the worker over: nothing starts there, and tokens of its
    /// running tasks are not used again before `WorkerDetached`.
    WorkerReleasing {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker's task leases have certainly ended; its tasks are over.
    WorkerRemoved {
        /// The worker.
        worker: WorkerName,
    },
    /// The worker reported what it runs. A report asked for before a task's connection was
    /// lost is not passed on after the loss, since it may predate the task's arrival.
    WorkerReported {
        /// Tasks that run.
        running: Vec<TaskId>,
        /// The worker.
        worker: WorkerName,
    },
    /// The worker does not answer; nothing starts there until it reports.
    WorkerUnreachable {
        /// The worker.
        worker: WorkerName,
    },
}
