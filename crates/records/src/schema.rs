//! Schema versions of records.

use fuchsiatack_derives::key;

/// Schema version in which a record is read or written.
#[key]
pub enum Schema {
    /// Version 1: short field names with implied units.
    V1,
    /// Version 2, the current one: field names that end in their unit.
    V2,
}

impl Schema {
    /// Returns the version as a number, as it is in the `schema` field.
    pub fn number(self) -> u64 {
        match self {
            Self::V1 => 1,
            Self::V2 => 2,
        }
    }

    /// Returns the version with this number, or `None` if there is none.
    pub fn from_number(number: u64) -> Option<Self> {
        match number {
            1 => Some(Self::V1),
            2 => Some(Self::V2),
            _ => None,
        }
    }
}
