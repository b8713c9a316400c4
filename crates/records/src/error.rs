//! Errors of records.

use {displaydoc::Display, fuchsiatack_derives::message, smol_str::SmolStr};

/// What is wrong with a record.
#[derive(Display)]
#[message]
pub enum RecordError {
    /// document {document}: {error}
    Document {
        /// Number of the YAML document, from 1.
        document: u64,
        /// What is wrong with it.
        error: Box<Self>,
    },
    /// document {document}, line {line}: {error}
    DocumentLine {
        /// Number of the YAML document, from 1.
        document: u64,
        /// What is wrong with it.
        error: Box<Self>,
        /// Line of the file, from 1.
        line: u64,
    },
    /// {field}: expected {expected}
    Invalid {
        /// What is accepted, with its unit.
        expected: SmolStr,
        /// Path of the field, such as `spec.demand.memory_bytes`.
        field: SmolStr,
    },
    /// {field}: required field is missing; expected {expected}
    Missing {
        /// What is accepted, with its unit.
        expected: SmolStr,
        /// Path of the field.
        field: SmolStr,
    },
    /// not valid YAML: {message}
    Syntax {
        /// Text of the YAML library.
        message: SmolStr,
    },
    /// {field}: unknown field; expected one of {expected}
    UnknownField {
        /// Names of the accepted fields.
        expected: SmolStr,
        /// Path of the field.
        field: SmolStr,
    },
    /// kind: {found} is unknown; expected one of {expected}
    UnknownKind {
        /// Names of the kinds.
        expected: SmolStr,
        /// Kind that was found.
        found: SmolStr,
    },
    /// schema: version {found} is unknown; versions 1 and 2 are accepted
    UnknownSchema {
        /// Version that was found.
        found: SmolStr,
    },
}

impl std::error::Error for RecordError {}
