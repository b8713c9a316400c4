//! Parsing of YAML files that contain records.

use {
    crate::{Record, RecordError},
    serde_json::Value,
    serde_saphyr::Spanned,
};

/// Parses the records of all documents and stops at the first invalid one. Empty documents are
/// skipped.
pub(crate) fn parse(text: &str) -> Result<Vec<Record>, RecordError> {
    let mut bytes = text.as_bytes();
    let documents = serde_saphyr::read::<_, Spanned<Value>>(&mut bytes);
    (1..)
        .zip(documents)
        .map(|(number, document)| parse_document(number, document))
        .collect()
}

fn parse_document(
    number: u64,
    document: Result<Spanned<Value>, serde_saphyr::Error>,
) -> Result<Record, RecordError> {
    match document {
        Ok(document) => Record::from_json(&document.value)
            .map_err(|error| in_document(number, document.referenced.line(), error)),
        Err(error) => {
            let line = error.location().map_or(0, |location| location.line());
            Err(in_document(number, line, syntax_error(&error)))
        }
    }
}

fn in_document(document: u64, line: u64, error: RecordError) -> RecordError {
    let error = Box::new(error);
    match line {
        0 => RecordError::Document { document, error },
        line => RecordError::DocumentLine {
            document,
            error,
            line,
        },
    }
}

/// Converts a parser error without its excerpt of the file, which could contain a secret.
fn syntax_error(error: &serde_saphyr::Error) -> RecordError {
    RecordError::Syntax {
        message: error.without_snippet().to_string().into(),
    }
}
