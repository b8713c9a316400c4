//! Record files and paths of records.

use {
    crate::{client::Answer, error::CliError},
    fuchsiatack_records::{Kind, Record},
    serde::Deserialize,
    serde_json::Value,
};

/// Reads and validates all records of a YAML file.
pub(crate) fn read(path: &str) -> Result<Vec<Record>, CliError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CliError::usage(format!("cannot read {path}: {error}")))?;
    let records = Record::from_yaml(&text).map_err(|error| CliError::usage(format!("{path}: {error}")))?;
    match records.is_empty() {
        true => Err(CliError::usage(format!("{path} holds no record"))),
        false => Ok(records),
    }
}

/// Parses the name of a kind. Both `store_member` and `store-member` are accepted.
pub(crate) fn kind(text: &str) -> Result<Kind, CliError> {
    let name = Value::from(text.replace('-', "_"));
    Kind::deserialize(&name).map_err(|_| {
        CliError::usage(format!(
            "{text} is no kind of record; kinds are drain, key, limit, queue, share, store_member, team, \
             work, worker_class"
        ))
    })
}

/// Name of a kind in paths and files.
pub(crate) fn kind_name(kind: Kind) -> String {
    match serde_json::to_value(kind) {
        Ok(Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Path of a record.
pub(crate) fn path(kind: Kind, name: &str) -> String {
    format!("/v1/records/{}/{}", kind_name(kind), encoded(name))
}

/// Version of the record in an answer, or 0 if there is none.
pub(crate) fn version(answer: &Answer) -> Result<u64, CliError> {
    match answer.found {
        false => Ok(0),
        true => answer.body["version"].as_u64().ok_or_else(|| CliError::Internal {
            message: format!("the answer of {} has no version", answer.server),
        }),
    }
}

/// Error of a command on a record that does not exist.
pub(crate) fn not_found(kind: Kind, name: &str, answer: &Answer) -> CliError {
    CliError::Rejected {
        message: format!("{} {name} does not exist", kind_name(kind)),
        server: answer.server.clone(),
    }
}

/// Escapes every byte that is not allowed as it is in a path segment.
fn encoded(name: &str) -> String {
    name.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
