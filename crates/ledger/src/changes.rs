//! Collection of the changes that one command makes.

use {
    crate::{AddressedChange, Audience, Change},
    fuchsiatack_model::SessionId,
};

/// Changes of one command, in the order in which followers receive them.
#[derive(Default)]
pub(crate) struct Changes(Vec<AddressedChange>);

impl Changes {
    /// Adds a change for every follower.
    pub(crate) fn broadcast(&mut self, change: Change) {
        self.push(Audience::All, change);
    }

    /// Adds a change for the follower of one session.
    pub(crate) fn send_to(&mut self, session: SessionId, change: Change) {
        self.push(Audience::Session(session), change);
    }

    /// Returns the changes in the order in which they were added.
    pub(crate) fn into_vec(self) -> Vec<AddressedChange> {
        self.0
    }

    fn push(&mut self, audience: Audience, change: Change) {
        self.0.push(AddressedChange { audience, change });
    }
}
