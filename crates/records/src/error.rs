//! Validation errors of records.

use {displaydoc::Display, fuchsiatack_derives::message, smol_str::SmolStr};

/// Reason why a record is invalid. The doc comment of a variant is its message.
#[derive(Display)]
#[message]
pub enum RecordError {
    /// document {document}: {error}
    Document {
        /// Number of the YAML document in the file, counted from 1.
        document: u64,
        /// Reason why the document is invalid.
        error: Box<Self>,
    },
    /// document {document}, line {line}: {error}
    DocumentLine {
        /// Number of the YAML document in the file, counted from 1.
        document: u64,
        /// Reason why the document is invalid.
        error: Box<Self>,
        /// Line of the file, counted from 1.
        line: u64,
    },
    /// {field}: expected {expected}
    Invalid {
        /// Accepted values, with their unit.
        expected: SmolStr,
        /// Path of the field in the record, such as `spec.demand.memory_bytes`.
        field: SmolStr,
    },
    /// {field}: required field is missing; expected {expected}
    Missing {
        /// Accepted values, with their unit.
        expected: SmolStr,
        /// Path of the field in the record.
        field: SmolStr,
    },
    /// not valid YAML: {message}
    Syntax {
        /// Message of the YAML parser.
        message: SmolStr,
    },
    /// {field}: unknown field; expected one of {expected}
    UnknownField {
        /// Names of the accepted fields, separated by commas.
        expected: SmolStr,
        /// Path of the field in the record.
        field: SmolStr,
    },
    /// kind: {found} is unknown; expected one of {expected}
    UnknownKind {
        /// Names of all kinds, separated by commas.
        expected: SmolStr,
        /// Value of `kind` in the record.
        found: SmolStr,
    },
    /// schema: version {found} is unknown; versions 1 and 2 are accepted
    UnknownSchema {
        /// Value of `schema` in the record, cut to 64 characters.
        found: SmolStr,
    },
}

impl std::error::Error for RecordError {}
