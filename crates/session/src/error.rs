//! Errors of calls to the store.

use {displaydoc::Display, fuchsiatack_wire::WireError, smol_str::SmolStr};

/// Why a call to the store's leader failed.
#[derive(Debug, Display)]
pub enum SessionError {
    /// the store answered with an error: {0}
    Failed(SmolStr),
    /// the store did not answer in time; whether the call took effect is not known
    NoResponse,
    /// no leader of the store can be reached; the call had no effect
    NoLeader,
    /// the store answered with an unexpected message
    Unexpected,
}

impl SessionError {
    /// Returns whether the call certainly had no effect.
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
