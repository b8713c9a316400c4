//! Errors of calls to the store's leader.

use {displaydoc::Display, fuchsiatack_wire::WireError, smol_str::SmolStr};

/// Error of a call to the store's leader.
#[derive(Debug, Display)]
pub enum SessionError {
    /// the store returned an error: {0}
    Failed(SmolStr),
    /// the store did not respond in time; the call may have taken effect
    NoResponse,
    /// no leader of the store can be reached; the call had no effect
    NoLeader,
    /// the store sent a response of the wrong type
    Unexpected,
}

impl SessionError {
    /// Returns whether the call is known to have had no effect, so that a retry is safe.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::NoLeader)
    }
}

impl From<WireError> for SessionError {
    fn from(error: WireError) -> Self {
        match error.had_no_effect() {
            true => Self::NoLeader,
            false => Self::NoResponse,
        }
    }
}

impl std::error::Error for SessionError {}
