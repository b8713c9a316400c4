//! Errors of records.

use {displaydoc::Display, fuchsiatack_derives::message, smol_str::SmolStr};

/// What is wrong with a record.
#[derive(Display)]
#[message]
pub enum RecordError {
    /// schema version {found} is unknown; versions 1 and 2 are accepted
    UnknownSchema {
        /// Version that was found.
        found: SmolStr,
    },
}

impl std::error::Error for RecordError {}
