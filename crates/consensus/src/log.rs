//! In-memory part of the replicated log.

use {
    crate::{Entry, Payload, Term},
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

/// Contiguous entries after the index `base`, up to which the log is compacted.
pub(crate) struct Log {
    base: LogIndex,
    base_term: Term,
    entries: Vec<Arc<Entry>>,
}

impl Log {
    pub(crate) fn new(base: LogIndex, base_term: Term, entries: Vec<Arc<Entry>>) -> Self {
        Self {
            base,
            base_term,
            entries,
        }
    }

    pub(crate) fn last(&self) -> LogIndex {
        LogIndex(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at an index, or `None` if it is compacted or past the end.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        match index.0.checked_sub(self.base.0)? {
            0 => Some(self.base_term),
            offset => self.entries.get(offset as usize - 1).map(|entry| entry.term),
        }
    }

    /// Returns the entries from `from` to `to`, both included, without those that are not in memory.
    pub(crate) fn range(&self, from: LogIndex, to: LogIndex) -> &[Arc<Entry>] {
        let start = (from.0.saturating_sub(self.base.0 + 1) as usize).min(self.entries.len());
        let end = (to.0.saturating_sub(self.base.0) as usize).min(self.entries.len());
        &self.entries[start..end.max(start)]
    }

    pub(crate) fn append(&mut self, entry: Arc<Entry>) {
        debug_assert_eq!(entry.index.0, self.last().0 + 1);
        self.entries.push(entry);
    }

    /// Removes the entry at `from` and all later ones.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        self.entries.truncate((from.0 - self.base.0 - 1) as usize);
    }

    /// Removes the entries up to and including `up_to`. Does nothing if that index is unknown.
    pub(crate) fn compact(&mut self, up_to: LogIndex) {
        let Some(term) = self.term_at(up_to) else {
            return;
        };
        self.entries.drain(..(up_to.0 - self.base.0) as usize);
        self.base = up_to;
        self.base_term = term;
    }

    /// Returns the lowest index after which the entries up to `end` fit into `size_bytes`.
    pub(crate) fn start_of_tail(&self, end: LogIndex, size_bytes: usize) -> LogIndex {
        let mut remaining_bytes = size_bytes;
        let entries = self.range(LogIndex(self.base.0 + 1), end).iter().rev();
        let kept = entries.take_while(|entry| {
            let fits = entry.payload.size_bytes() < remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(entry.payload.size_bytes() + 1);
            fits
        });
        LogIndex(end.0 - kept.count() as u64)
    }

    /// Returns the first index in memory that has the term of the entry at `index`.
    pub(crate) fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base && self.term_at(LogIndex(first.0 - 1)) == term {
            first = LogIndex(first.0 - 1);
        }
        first
    }

    /// Returns the last entry at or before `up_to` that holds a member list.
    pub(crate) fn latest_members(&self, up_to: LogIndex) -> Option<&Arc<Entry>> {
        self.range(LogIndex(self.base.0 + 1), up_to)
            .iter()
            .rev()
            .find(|entry| matches!(entry.payload, Payload::Members(_)))
    }
}
