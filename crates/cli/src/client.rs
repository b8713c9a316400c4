//! HTTP client of the operators' interface.

use {
    crate::{error::CliError, options::GlobalOptions},
    reqwest::{Method, StatusCode},
    serde_json::Value,
    std::time::Duration,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_SERVER: &str = "127.0.0.1:8081";
const KEY_FILE_VARIABLE: &str = "FUCHSIATACK_KEY_FILE";
const OPERATION_ID_HEADER: &str = "fuchsiatack-operation-id";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Client that tries several servers in order.
pub(crate) struct Client {
    http: reqwest::Client,
    key: String,
    servers: Vec<String>,
}

/// Answer of a server that handled the request.
pub(crate) struct Answer {
    /// The body, or null if it is empty.
    pub(crate) body: Value,
    /// Whether the server knows the record.
    pub(crate) found: bool,
    /// The server that answered.
    pub(crate) server: String,
}

/// One request, which is sent unchanged to each server that is tried.
pub(crate) struct Call<'a> {
    /// Body of a write.
    pub(crate) body: Option<&'a Value>,
    /// Method.
    pub(crate) method: Method,
    /// Present in writes. It makes a resend safe, so all servers may be tried.
    pub(crate) operation_id: Option<String>,
    /// Path and query.
    pub(crate) path: String,
}

impl<'a> Call<'a> {
    /// A read.
    pub(crate) fn get(path: String) -> Self {
        Self {
            body: None,
            method: Method::GET,
            operation_id: None,
            path,
        }
    }

    /// A write with a body and a new operation id.
    pub(crate) fn put(path: String, body: &'a Value) -> Self {
        Self {
            body: Some(body),
            method: Method::PUT,
            operation_id: Some(new_operation_id()),
            path,
        }
    }

    /// A withdrawal with a new operation id.
    pub(crate) fn delete(path: String) -> Self {
        Self {
            body: None,
            method: Method::DELETE,
            operation_id: Some(new_operation_id()),
            path,
        }
    }
}

impl Client {
    /// Reads the operator's key and prepares the connection settings.
    pub(crate) fn new(options: &GlobalOptions) -> Result<Self, CliError> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(|error| internal(&error))?;
        let mut servers: Vec<String> = options
            .server
            .iter()
            .flat_map(|servers| servers.split(','))
            .map(str::to_owned)
            .collect();
        if servers.is_empty() {
            servers.push(DEFAULT_SERVER.to_owned());
        }
        Ok(Self {
            http,
            key: read_key(options.key_file.as_deref())?,
            servers,
        })
    }

    /// Sends a call to the first server that can handle it. A server that cannot be reached,
    /// does not answer in time or has lost the store is passed over.
    pub(crate) async fn send(&self, call: Call<'_>) -> Result<Answer, CliError> {
        let mut attempts = Vec::new();
        for server in &self.servers {
            match self.attempt(server, &call).await? {
                Ok(answer) => return Ok(answer),
                Err(reason) => attempts.push(format!("{server}: {reason}")),
            }
        }
        Err(CliError::Unreachable {
            attempts: attempts.join("; "),
        })
    }

    /// Reads a path from every server that can be reached.
    pub(crate) async fn get_from_all(&self, path: &str) -> Result<Vec<Answer>, CliError> {
        let mut answers = Vec::new();
        let mut attempts = Vec::new();
        for server in &self.servers {
            match self.attempt(server, &Call::get(path.to_owned())).await? {
                Ok(answer) => answers.push(answer),
                Err(reason) => attempts.push(format!("{server}: {reason}")),
            }
        }
        match answers.is_empty() {
            true => Err(CliError::Unreachable {
                attempts: attempts.join("; "),
            }),
            false => Ok(answers),
        }
    }

    /// Sends a call to one server. The inner error tells why another server is to be tried.
    async fn attempt(&self, server: &str, call: &Call<'_>) -> Result<Result<Answer, String>, CliError> {
        let mut request = self
            .http
            .request(call.method.clone(), format!("http://{server}{}", call.path))
            .bearer_auth(&self.key);
        if let Some(operation_id) = &call.operation_id {
            request = request.header(OPERATION_ID_HEADER, operation_id);
        }
        if let Some(body) = call.body {
            request = request.json(body);
        }
        let request = request
            .build()
            .map_err(|error| CliError::usage(format!("--server {server}: {}", chain(&error))))?;
        let response = match self.http.execute(request).await {
            Ok(response) => response,
            Err(error) => return Ok(Err(chain(&error))),
        };
        let status = response.status();
        match response.text().await {
            Ok(text) => classify(server, status, &text),
            Err(error) => Ok(Err(chain(&error))),
        }
    }
}

fn classify(server: &str, status: StatusCode, text: &str) -> Result<Result<Answer, String>, CliError> {
    let body: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            Ok(Err(message(status, &body, text)))
        }
        StatusCode::NOT_FOUND => Ok(Ok(Answer {
            body,
            found: false,
            server: server.to_owned(),
        })),
        _ if status.is_success() && body.is_null() && !text.trim().is_empty() => Err(CliError::Internal {
            message: format!("the answer of {server} is not JSON"),
        }),
        _ if status.is_success() => Ok(Ok(Answer {
            body,
            found: true,
            server: server.to_owned(),
        })),
        _ if status.is_client_error() => Err(CliError::Rejected {
            message: message(status, &body, text),
            server: server.to_owned(),
        }),
        _ => Err(CliError::Internal {
            message: format!("{server}: {}", message(status, &body, text)),
        }),
    }
}

/// Text of an error body, with the winner of a conflict if it is named.
fn message(status: StatusCode, body: &Value, text: &str) -> String {
    let said = body["message"]
        .as_str()
        .or(body["reason"].as_str())
        .unwrap_or(text.trim());
    let mut message = format!("{said} (status {})", status.as_u16());
    if let Some(author) = body["author"].as_str() {
        message += &format!("; version {} by {author} is in force", body["version"]);
    }
    message
}

fn read_key(option: Option<&str>) -> Result<String, CliError> {
    let variable = std::env::var(KEY_FILE_VARIABLE).ok();
    let path = option.or(variable.as_deref()).ok_or_else(|| {
        CliError::usage(format!(
            "the operator's key is needed: give --key-file or set {KEY_FILE_VARIABLE}"
        ))
    })?;
    let key = std::fs::read_to_string(path)
        .map_err(|error| CliError::usage(format!("cannot read the key file {path}: {error}")))?;
    let key = key.trim();
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    match key.is_empty() || !printable {
        true => Err(CliError::usage(format!("the key file {path} holds no valid key"))),
        false => Ok(key.to_owned()),
    }
}

fn new_operation_id() -> String {
    format!("cli-{:032x}", rand::random::<u128>())
}

fn internal(error: &dyn std::error::Error) -> CliError {
    CliError::Internal {
        message: chain(error),
    }
}

/// Text of an error and its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    text
}
