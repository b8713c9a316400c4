//! Index of tasks by identifier, in shards so that growth does not delay decisions.

use {crate::task::TaskKey, fuchsiatack_model::TaskId, std::collections::HashMap};

/// Number of shards. Growth of a single hash table of 100,000 tasks takes several milliseconds, in
/// which no decision is made; growth of one shard takes a small part of that.
const SHARDS: usize = 64;

/// Keys of all known tasks.
pub(crate) struct TaskIndex {
    shards: [HashMap<TaskId, TaskKey>; SHARDS],
}

impl TaskIndex {
    pub(crate) fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| HashMap::new()),
        }
    }

    pub(crate) fn get(&self, id: &TaskId) -> Option<TaskKey> {
        self.shards[shard(id)].get(id).copied()
    }

    /// Adds a task unless the identifier is taken.
    pub(crate) fn insert(&mut self, id: TaskId, key: TaskKey) {
        self.shards[shard(&id)].entry(id).or_insert(key);
    }

    /// Removes the identifier if it belongs to the task `key`.
    pub(crate) fn remove(&mut self, id: &TaskId, key: TaskKey) {
        if self.get(id) == Some(key) {
            self.shards[shard(id)].remove(id);
        }
    }
}

fn shard(id: &TaskId) -> usize {
    id.sequence as usize % SHARDS
}
