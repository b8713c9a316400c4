//! Record files, and the kinds, request paths and versions of records.

use {
    crate::{client::Response, error::CliError},
    fuchsiatack_records::{Kind, Record},
    serde::Deserialize,
    serde_json::Value,
};

/// Reads and validates all records of a YAML file. Returns an error if there are none.
pub(crate) fn read_file(path: &str) -> Result<Vec<Record>, CliError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CliError::usage(format!("cannot read {path}: {error}")))?;
    let records = Record::from_yaml(&text).map_err(|error| CliError::usage(format!("{path}: {error}")))?;
    match records.is_empty() {
        true => Err(CliError::usage(format!("{path} contains no records"))),
        false => Ok(records),
    }
}

/// Parses the name of a kind. Both `store_member` and `store-member` are accepted.
pub(crate) fn parse_kind(text: &str) -> Result<Kind, CliError> {
    let name = Value::from(text.replace('-', "_"));
    Kind::deserialize(&name).map_err(|_| {
        CliError::usage(format!(
            "unknown kind of record {text}; expected one of drain, key, limit, queue, share, store_member, \
             team, work, worker_class"
        ))
    })
}

/// Returns the name of a kind in request paths and record files.
pub(crate) fn kind_name(kind: Kind) -> String {
    match serde_json::to_value(kind) {
        Ok(Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Returns the request path of a record.
pub(crate) fn request_path(kind: Kind, name: &str) -> String {
    format!("/v1/records/{}/{}", kind_name(kind), percent_encoded(name))
}

/// Returns the version of the record in a response, or 0 if the record does not exist.
pub(crate) fn version(response: &Response) -> Result<u64, CliError> {
    match response.found {
        false => Ok(0),
        true => response.body["version"]
            .as_u64()
            .ok_or_else(|| CliError::Internal {
                message: format!("the response of {} has no version", response.server),
            }),
    }
}

/// Creates the error of a command on a record that does not exist.
pub(crate) fn not_found(kind: Kind, name: &str, response: &Response) -> CliError {
    CliError::Rejected {
        message: format!("{} {name} does not exist", kind_name(kind)),
        server: response.server.clone(),
    }
}

/// Percent-encodes every byte other than the unreserved characters of RFC 3986.
fn percent_encoded(name: &str) -> String {
    name.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
