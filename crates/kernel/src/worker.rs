//! One worker.

use {
    crate::{health::Health, task::TaskKey, team::TeamKey},
    fuchsiatack_model::{Epoch, Resources, WorkerName},
    slotmap::new_key_type,
};

new_key_type! {
    /// Address of a worker in its arena.
    pub(crate) struct WorkerKey;
}

/// Number of speed classes. Two classes are a factor of two apart.
pub(crate) const SPEED_CLASSES: usize = 17;

/// A worker that this daemon owns.
pub(crate) struct Worker {
    pub(crate) capacity: Resources,
    pub(crate) class: usize,
    pub(crate) data_center: u32,
    /// Tasks whose end a report tells: lost and inherited ones.
    pub(crate) ending_by_report: u32,
    pub(crate) epoch: Epoch,
    /// Tokens of tasks that ended here while the worker was being released.
    pub(crate) frozen: Vec<(TeamKey, u32)>,
    pub(crate) health: Health,
    pub(crate) draining: bool,
    pub(crate) name: WorkerName,
    /// Has just refused a task.
    pub(crate) paused: bool,
    pub(crate) position: u32,
    pub(crate) rack: u32,
    pub(crate) releasing: bool,
    /// Free room that is kept for a gang.
    pub(crate) reserved: Resources,
    /// Measured run time relative to an ordinary worker; 2 means half as fast.
    pub(crate) slowdown: f32,
    pub(crate) tasks: Vec<TaskKey>,
    pub(crate) unreachable: bool,
    pub(crate) used: Resources,
}

impl Worker {
    /// Amounts that no task holds.
    pub(crate) fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Keeps one token of a team out of use until the worker is detached.
    pub(crate) fn freeze(&mut self, team: TeamKey) {
        match self.frozen.iter_mut().find(|(other, _)| *other == team) {
            Some((_, tokens)) => *tokens += 1,
            None => self.frozen.push((team, 1)),
        }
    }

    /// Amounts in which new tasks may start, or `None` if nothing may start here.
    pub(crate) fn offer(&self) -> Option<Resources> {
        let excluded = self.draining || self.paused || self.releasing || self.unreachable;
        let usable = !excluded && self.health.admits(self.tasks.len());
        usable.then(|| self.free())
    }
}

/// Distance from the middle of its class, in classes, at which a worker leaves it. More
/// than half a class, so that a worker at a border does not change with every task.
const CLASS_MARGIN: f32 = 0.75;

/// Returns whether a slowdown is still close enough to a class to remain in it.
pub(crate) fn is_in_class(slowdown: f32, class: usize) -> bool {
    let middle = (SPEED_CLASSES / 2) as f32;
    (slowdown.log2() * 2.0 + middle - class as f32).abs() < CLASS_MARGIN
}

/// Speed class of a slowdown, 0 for the fastest workers.
pub(crate) fn speed_class(slowdown: f32) -> usize {
    let middle = (SPEED_CLASSES / 2) as f32;
    let class = slowdown.log2() * 2.0 + middle;
    class.round().clamp(0.0, (SPEED_CLASSES - 1) as f32) as usize
}
