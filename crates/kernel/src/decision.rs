//! Decisions that the kernel returns for an event.

use {
    fuchsiatack_derives::value,
    fuchsiatack_model::{DaemonName, Epoch, Refusal, Resources, TaskId, TeamName, WorkerName},
};

/// Output of the kernel. Variants are sorted by name.
#[value]
pub enum Decision {
    /// Give up a task that was started before and will not be started again. The kernel
    /// removes it; its outcome is `unknown`.
    Abandon {
        /// Task whose outcome cannot be learned.
        task: TaskId,
    },
    /// Report that a task does not fit on the present workers. It waits until the fleet has grown.
    Blocked {
        /// Resources that the closest worker lacks for one task. For a gang of which some tasks fit,
        /// the demand of the others.
        missing: Resources,
        /// Waiting task, or the first task of a waiting gang.
        task: TaskId,
    },
    /// Send a task to a peer. The kernel removes it.
    Forward {
        /// Peer that receives the task.
        daemon: DaemonName,
        /// Task that has not been started.
        task: TaskId,
    },
    /// Respond with the outcome `not run`. The kernel removes the task.
    Refuse {
        /// Reason, which is reported to the caller.
        reason: Refusal,
        /// Time after which a retry may succeed, in milliseconds; 0 if a retry is of no use.
        retry_after_ms: u32,
        /// Task that has not been started.
        task: TaskId,
    },
    /// Propose to the ledger to return tokens. The kernel no longer uses them.
    ReturnTokens {
        /// Team of the pool.
        team: TeamName,
        /// Number of tokens.
        tokens: u32,
    },
    /// Run a task on a worker.
    Start {
        /// Ownership epoch of the worker.
        epoch: Epoch,
        /// Task to run.
        task: TaskId,
        /// Worker on which its resources are allocated.
        worker: WorkerName,
    },
    /// Stop a running task on its worker. `TaskEnded` follows when it is over. A preempted
    /// task waits again after `TaskEnded` with `Failed` if it is idempotent.
    Stop {
        /// Running task, cancelled or preempted.
        task: TaskId,
        /// Worker that runs it.
        worker: WorkerName,
    },
}
