//! HTTP client for the operators' interface of daemons.

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

/// HTTP client that tries several servers in order.
pub(crate) struct Client {
    http: reqwest::Client,
    key: String,
    servers: Vec<String>,
}

/// Response of a server that handled the request.
pub(crate) struct Response {
    /// JSON body; null if the body is empty or, with status 404, not JSON.
    pub(crate) body: Value,
    /// Whether the record or path exists: false with status 404.
    pub(crate) found: bool,
    /// Address of the server.
    pub(crate) server: String,
}

/// Request that is sent unchanged to each server that is tried.
pub(crate) struct Request<'a> {
    /// JSON body of a write; absent in reads and deletions.
    pub(crate) body: Option<&'a Value>,
    /// HTTP method.
    pub(crate) method: Method,
    /// Identifier of a write or deletion; absent in reads. Servers apply an operation only once, so
    /// it can be sent again to another server.
    pub(crate) operation_id: Option<String>,
    /// Path and query of the URL.
    pub(crate) path: String,
}

impl<'a> Request<'a> {
    /// Creates a read.
    pub(crate) fn get(path: String) -> Self {
        Self {
            body: None,
            method: Method::GET,
            operation_id: None,
            path,
        }
    }

    /// Creates a write with a new operation id.
    pub(crate) fn put(path: String, body: &'a Value) -> Self {
        Self {
            body: Some(body),
            method: Method::PUT,
            operation_id: Some(new_operation_id()),
            path,
        }
    }

    /// Creates a deletion with a new operation id.
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
    /// Creates a client with the servers and the key file that the options or the environment name.
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

    /// Sends a request to the servers in order until one handles it. Skips servers that cannot be
    /// reached, do not respond within `REQUEST_TIMEOUT` or have lost contact with the store (status
    /// 502, 503 or 504).
    pub(crate) async fn send(&self, request: Request<'_>) -> Result<Response, CliError> {
        let mut attempts = Vec::new();
        for server in &self.servers {
            match self.attempt(server, &request).await? {
                Ok(response) => return Ok(response),
                Err(reason) => attempts.push(format!("{server}: {reason}")),
            }
        }
        Err(CliError::Unreachable {
            attempts: attempts.join("; "),
        })
    }

    /// Reads a path from all servers and returns the responses of those that can be reached.
    /// Returns an error if there are none.
    pub(crate) async fn get_from_all(&self, path: &str) -> Result<Vec<Response>, CliError> {
        let mut responses = Vec::new();
        let mut attempts = Vec::new();
        for server in &self.servers {
            match self.attempt(server, &Request::get(path.to_owned())).await? {
                Ok(response) => responses.push(response),
                Err(reason) => attempts.push(format!("{server}: {reason}")),
            }
        }
        match responses.is_empty() {
            true => Err(CliError::Unreachable {
                attempts: attempts.join("; "),
            }),
            false => Ok(responses),
        }
    }

    /// Sends a request to one server. The inner error is the reason to try the next server; the outer
    /// error ends the command.
    async fn attempt(
        &self,
        server: &str,
        request: &Request<'_>,
    ) -> Result<Result<Response, String>, CliError> {
        let mut http_request = self
            .http
            .request(request.method.clone(), format!("http://{server}{}", request.path))
            .bearer_auth(&self.key);
        if let Some(operation_id) = &request.operation_id {
            http_request = http_request.header(OPERATION_ID_HEADER, operation_id);
        }
        if let Some(body) = request.body {
            http_request = http_request.json(body);
        }
        let http_request = http_request
            .build()
            .map_err(|error| CliError::usage(format!("--server {server}: {}", error_chain(&error))))?;
        let http_response = match self.http.execute(http_request).await {
            Ok(http_response) => http_response,
            Err(error) => return Ok(Err(error_chain(&error))),
        };
        let status = http_response.status();
        match http_response.text().await {
            Ok(text) => classify(server, status, &text),
            Err(error) => Ok(Err(error_chain(&error))),
        }
    }
}

/// Converts an HTTP response to the result of `Client::attempt`.
fn classify(server: &str, status: StatusCode, text: &str) -> Result<Result<Response, String>, CliError> {
    let body: Value = serde_json::from_str(text).unwrap_or(Value::Null);
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
            Ok(Err(message(status, &body, text)))
        }
        StatusCode::NOT_FOUND => Ok(Ok(Response {
            body,
            found: false,
            server: server.to_owned(),
        })),
        _ if status.is_success() && body.is_null() && !text.trim().is_empty() => Err(CliError::Internal {
            message: format!("the response of {server} is not JSON"),
        }),
        _ if status.is_success() => Ok(Ok(Response {
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

/// Returns the message of an error response, with the author and version that caused a conflict if
/// the body contains them.
fn message(status: StatusCode, body: &Value, text: &str) -> String {
    let reported = body["message"]
        .as_str()
        .or(body["reason"].as_str())
        .unwrap_or(text.trim());
    let mut message = format!("{reported} (status {})", status.as_u16());
    if let Some(author) = body["author"].as_str() {
        message += &format!("; version {} by {author} is in force", body["version"]);
    }
    message
}

/// Reads the operator's key from the file that `--key-file` or the environment names.
fn read_key(option: Option<&str>) -> Result<String, CliError> {
    let variable = std::env::var(KEY_FILE_VARIABLE).ok();
    let path = option.or(variable.as_deref()).ok_or_else(|| {
        CliError::usage(format!(
            "no operator key: give --key-file or set {KEY_FILE_VARIABLE}"
        ))
    })?;
    let key = std::fs::read_to_string(path)
        .map_err(|error| CliError::usage(format!("cannot read the key file {path}: {error}")))?;
    let key = key.trim();
    let is_printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    match key.is_empty() || !is_printable {
        true => Err(CliError::usage(format!(
            "the key file {path} does not contain a key of printable ASCII characters without spaces"
        ))),
        false => Ok(key.to_owned()),
    }
}

fn new_operation_id() -> String {
    format!("cli-{:032x}", rand::random::<u128>())
}

fn internal(error: &dyn std::error::Error) -> CliError {
    CliError::Internal {
        message: error_chain(error),
    }
}

/// Returns the messages of an error and its causes, separated by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    text
}
