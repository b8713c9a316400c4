//! Schema versions.

use fuchsiatack_derives::key;

/// Form in which a record is written or read.
#[key]
pub enum Schema {
    /// The older form.
    V1,
    /// The present form.
    V2,
}

impl Schema {
    /// Returns the number of the version.
    pub fn number(self) -> u64 {
        match self {
            Self::V1 => 1,
            Self::V2 => 2,
        }
    }

    /// Returns the version with a number.
    pub fn from_number(number: u64) -> Option<Self> {
        match number {
            1 => Some(Self::V1),
            2 => Some(Self::V2),
            _ => None,
        }
    }
}
