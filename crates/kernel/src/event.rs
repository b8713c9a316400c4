//! Events that the kernel handles, and their contents.

use {
    fuchsiatack_derives::{key, value},
    fuchsiatack_model::{
        DaemonName, DataCenter, Epoch, RackName, Resources, RunningTask, TaskClass, TaskId, TeamName,
        WorkerName,
    },
};

/// Load of a peer daemon, from its last hint.
#[value]
pub struct PeerLoad {
    /// The peer that sent the hint.
    pub daemon: DaemonName,
    /// Free slots on its workers, added up.
    pub free_slots: u32,
    /// Teams with a limit that have free tokens at the peer.
    pub token_teams: Vec<TeamName>,
    /// Tasks that wait at the peer.
    pub waiting: u32,
}

/// One request, or all tasks of a gang.
#[value]
pub struct Submission {
    /// Policy and demand of each task, and whether it is idempotent.
    pub class: TaskClass,
    /// Time on the kernel's clock, in microseconds, by which the tasks must have started;
    /// `None` if they may wait for ever.
    pub deadline_us: Option<u64>,
    /// Whether it may be forwarded to a peer. False for a request that a peer forwarded here.
    pub may_forward: bool,
    /// Identifiers of the tasks. Several tasks start all at once or not at all.
    pub tasks: Vec<TaskId>,
    /// Team whose share and tokens the tasks use.
    pub team: TeamName,
}

/// How an attempt to run a task ended.
#[key]
pub enum TaskEnd {
    /// The worker returned a result.
    Done,
    /// The worker reported a failure.
    Failed,
    /// The connection was lost. The task counts as running until a report of the worker omits it.
    ConnectionLost,
    /// The worker refused the task before it started anything; the task waits again.
    Refused,
}

/// Input of the kernel. Variants are sorted by name.
#[value]
pub enum Event {
    /// The caller cancelled a task.
    Cancel {
        /// Task that waits or runs; an unknown one is ignored.
        task: TaskId,
    },
    /// The number of a team's running tasks in the whole cell was reported.
    FleetUsage {
        /// Running tasks at all daemons, this one included.
        running: u32,
        /// Team that the number is for.
        team: TeamName,
    },
    /// The daemon obtained its lease, or the lease has lapsed.
    LeaseChanged {
        /// Whether the daemon holds the lease.
        valid: bool,
    },
    /// A peer left the cell.
    PeerLeft {
        /// Peer whose load is no longer used.
        daemon: DaemonName,
    },
    /// A peer sent a load hint.
    PeerLoadReceived(PeerLoad),
    /// A caller, a peer or the ledger handed over new work.
    Submit(Submission),
    /// The call that ran a task ended. Exactly one such event follows each `Start`, also if
    /// the worker was removed or detached in between.
    TaskEnded {
        /// Result of the call.
        end: TaskEnd,
        /// Run time in microseconds; 0 if it was not measured.
        run_us: u64,
        /// Task that was started.
        task: TaskId,
    },
    /// A team's record was deleted. Its waiting tasks are refused, or abandoned if they were started
    /// before.
    TeamRemoved {
        /// Name in the deleted record.
        team: TeamName,
    },
    /// A team was created, or its share, limit or queue length changed.
    TeamSet {
        /// Whether each running task of the team needs a token.
        limited: bool,
        /// Maximum number of the team's tasks of each policy that wait at this daemon.
        max_waiting: u32,
        /// Name in the record.
        team: TeamName,
        /// Weight of the team's share in thousandths.
        weight_millis: u32,
    },
    /// Time has passed. Timers and deadlines that are due take effect.
    Tick,
    /// The leader asks this daemon to reduce a team's token pool.
    TokenTargetSet {
        /// Number of tokens to keep.
        target: u32,
        /// Team of the pool.
        team: TeamName,
    },
    /// The ledger applied a return of tokens. A `TokensSet` with the lower number came before.
    TokensReturned {
        /// Team of the pool.
        team: TeamName,
        /// Number of tokens that were returned.
        tokens: u32,
    },
    /// The ledger changed the size of a team's token pool.
    TokensSet {
        /// Team of the pool.
        team: TeamName,
        /// Tokens that this daemon holds, those in use included.
        tokens: u32,
    },
    /// A worker was fenced for this daemon and may be used.
    WorkerAttached {
        /// All resources of the worker, those in use included.
        capacity: Resources,
        /// Data centre in which it runs.
        data_center: DataCenter,
        /// Ownership epoch, sent with each start.
        epoch: Epoch,
        /// Rack within the data centre.
        rack: RackName,
        /// Tasks that still run there, also those that former owners started.
        running: Vec<RunningTask>,
        /// Expected speed in thousandths of the speed of an ordinary worker.
        speed_millis: u32,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A worker was handed over, and its new owner has counted the tasks that run there. The
    /// kernel subtracts the moved tokens from its pools; a `TokensSet` with the lower number
    /// follows.
    WorkerDetached {
        /// Number of each team's tokens that moved with the worker, one for each task.
        moved_tokens: Vec<(TeamName, u32)>,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A worker is drained or leaving, or no longer so. The event may precede the attachment.
    WorkerDraining {
        /// Whether the worker receives no new tasks.
        draining: bool,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// This daemon begins to hand a worker over. Nothing starts there, and the tokens of tasks
    /// that run there are not used again before `WorkerDetached`.
    WorkerReleasing {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// The task leases of a worker have certainly expired, so none of its tasks runs any more.
    WorkerRemoved {
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A worker reported what it runs. A report that was requested before the connection of a
    /// task was lost is not passed on after the loss, since it may precede the task's arrival.
    WorkerReported {
        /// Tasks that run on the worker.
        running: Vec<TaskId>,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A worker does not respond. Nothing starts there until it reports again.
    WorkerUnreachable {
        /// Name of the worker.
        worker: WorkerName,
    },
}
