//! Decisions of the kernel.

use {
    fuchsiatack_derives::value,
    fuchsiatack_model::{DaemonName, Epoch, Refusal, Resources, TaskId, TeamName, WorkerName},
};

/// Output of the kernel. Variants are sorted by name.
#[value]
pub enum Decision {
    /// Give up a task that was started before and will not be started again. The kernel
    /// forgets it; its outcome is `unknown`.
    Abandon {
        /// The task.
        task: TaskId,
    },
    /// The task cannot run on any present worker; it stays waiting until that changes.
    Blocked {
        /// What the largest worker lacks.
        missing: Resources,
        /// The task.
        task: TaskId,
    },
    /// Send the task to a peer. The kernel forgets it.
    Forward {
        /// The peer.
        daemon: DaemonName,
        /// The task.
        task: TaskId,
    },
    /// Answer `not run`. The kernel forgets the task.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When a retry may succeed, in milliseconds.
        retry_after_ms: u32,
        /// The task.
        task: TaskId,
    },
    /// Propose to return tokens. The kernel no longer uses them.
    ReturnTokens {
        /// The team.
        team: TeamName,
        /// Number of tokens.
        tokens: u32,
    },
    /// Run the task on a worker.
    Start {
        /// Ownership epoch of the worker.
        epoch: Epoch,
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerName,
    },
    /// Cancel a running task on its worker. `Ended` follows when it is over. A task that is
    /// stopped to make room waits again after `Ended { Failed }` if it is idempotent.
    Stop {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerName,
    },
}
