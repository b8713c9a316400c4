//! State of one worker, and speed classes.

use {
    crate::{health::Health, task::TaskKey, team::TeamKey},
    fuchsiatack_model::{Epoch, Resources, WorkerName},
    slotmap::new_key_type,
};

new_key_type! {
    /// Key of a worker in its slot map.
    pub(crate) struct WorkerKey;
}

/// Number of speed classes. Two steps between classes are a factor of two in speed.
pub(crate) const SPEED_CLASSES: usize = 17;

/// A worker that this daemon owns.
pub(crate) struct Worker {
    pub(crate) capacity: Resources,
    /// Speed class, 0 for the fastest workers.
    pub(crate) class: usize,
    /// Number of the data centre in `Spread`.
    pub(crate) data_center: u32,
    /// Whether the worker is drained or leaving.
    pub(crate) draining: bool,
    /// Number of tasks that end by a report: inherited ones and those with a lost connection.
    pub(crate) ending_by_report: u32,
    pub(crate) epoch: Epoch,
    /// Tokens of tasks that ended here while the worker was being released.
    pub(crate) frozen: Vec<(TeamKey, u32)>,
    pub(crate) health: Health,
    pub(crate) name: WorkerName,
    /// Whether it receives no tasks for a short time after it refused one.
    pub(crate) paused: bool,
    /// Position in the capacity tree of its speed class.
    pub(crate) position: u32,
    /// Number of the rack in `Spread`.
    pub(crate) rack: u32,
    /// Whether the worker is being handed over to another daemon.
    pub(crate) releasing: bool,
    /// Free resources that are reserved for a gang.
    pub(crate) reserved: Resources,
    /// Moving average of the run time relative to an ordinary worker; 2 means half as fast.
    pub(crate) slowdown: f32,
    pub(crate) tasks: Vec<TaskKey>,
    pub(crate) unreachable: bool,
    pub(crate) used: Resources,
}

impl Worker {
    /// Returns the resources that no task holds, reserved ones included.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Freezes one token of a team until the worker is detached.
    pub(crate) fn freeze(&mut self, team: TeamKey) {
        match self.frozen.iter_mut().find(|(other, _)| *other == team) {
            Some((_, tokens)) => *tokens += 1,
            None => self.frozen.push((team, 1)),
        }
    }

    /// Returns the free resources for new tasks, or `None` if no task may start here.
    pub(crate) fn offer(&self) -> Option<Resources> {
        let excluded = self.draining || self.paused || self.releasing || self.unreachable;
        let usable = !excluded && self.health.admits(self.tasks.len());
        usable.then(|| self.free())
    }
}

/// Distance from the middle of its class, in classes, at which a worker changes to another one.
/// More than half a class, so that a worker at a border does not change with every task.
const CLASS_MARGIN: f32 = 0.75;

/// Returns whether a worker with this slowdown remains in its class.
pub(crate) fn is_in_class(slowdown: f32, class: usize) -> bool {
    let middle = (SPEED_CLASSES / 2) as f32;
    (slowdown.log2() * 2.0 + middle - class as f32).abs() < CLASS_MARGIN
}

/// Returns the speed class of a slowdown, 0 for the fastest workers.
pub(crate) fn speed_class(slowdown: f32) -> usize {
    let middle = (SPEED_CLASSES / 2) as f32;
    let class = slowdown.log2() * 2.0 + middle;
    class.round().clamp(0.0, (SPEED_CLASSES - 1) as f32) as usize
}
