//! Tasks by identifier.

use {crate::task::TaskKey, fuchsiatack_model::TaskId, std::collections::HashMap};

/// Number of parts. Reorganising one hash table of 100,000 tasks takes several
/// milliseconds, in which no decision is made; each part takes a small part of that.
const PARTS: usize = 64;

/// Keys of all known tasks.
pub(crate) struct TaskIndex {
    parts: [HashMap<TaskId, TaskKey>; PARTS],
}

impl TaskIndex {
    pub(crate) fn new() -> Self {
        Self {
            parts: std::array::from_fn(|_| HashMap::new()),
        }
    }

    pub(crate) fn get(&self, id: &TaskId) -> Option<TaskKey> {
        self.parts[part(id)].get(id).copied()
    }

    /// Adds a task, unless another one has the identifier.
    pub(crate) fn insert(&mut self, id: TaskId, key: TaskKey) {
        self.parts[part(&id)].entry(id).or_insert(key);
    }

    /// Removes a task if it has the identifier.
    pub(crate) fn remove(&mut self, id: &TaskId, key: TaskKey) {
        if self.get(id) == Some(key) {
            self.parts[part(id)].remove(id);
        }
    }
}

fn part(id: &TaskId) -> usize {
    id.sequence as usize % PARTS
}
