//! Terms of leadership.

use fuchsiatack_derives::key;

/// Raft term. It never decreases, and each term has at most one leader.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
