//! HTTP client of callers.

use {
    crate::{AttemptOutcome, CellError},
    bytes::Bytes,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// Longest wait for a response beyond the deadline; for calls without a deadline, the whole time-out.
const WAIT_MARGIN: Duration = Duration::from_secs(5);

/// One interactive request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request body, for example from `TaskBody::to_json`.
    pub body: Bytes,
    /// Time within which the request must be completed.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Name of the queue that it is sent to.
    pub queue: String,
    /// Request identifier; the same for a resend.
    pub request: String,
}

/// Response to a request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerResponse {
    /// Complete response body.
    pub body: Bytes,
    /// Log index that the response reflects; absent without the header `fuchsiatack-index`.
    pub index: Option<u64>,
    /// Outcome from the header `fuchsiatack-outcome`.
    pub seen: AttemptOutcome,
    /// HTTP status code.
    pub status: u16,
}

/// Sends requests and queued work to entry VMs, with the key of a team or without one.
#[derive(Clone, Debug)]
pub struct Caller {
    client: reqwest::Client,
    key: Option<String>,
}

impl Caller {
    /// Creates a caller with the secret of a key. Without one it can use open queues only.
    pub fn new(key: Option<&str>) -> Self {
        Self {
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client without TLS needs no system support"),
            key: key.map(str::to_owned),
        }
    }

    /// Sends a request once and waits for its response, up to 5 s beyond the deadline.
    pub async fn send(
        &self,
        entry: SocketAddr,
        request: &CallerRequest,
    ) -> Result<CallerResponse, CellError> {
        let url = format!("http://{entry}/v1/queues/{}/requests", request.queue);
        let call = self
            .client
            .post(&url)
            .header("fuchsiatack-request-id", &request.request)
            .header("fuchsiatack-deadline-ms", request.deadline.as_millis() as u64)
            .header("fuchsiatack-idempotent", request.idempotent.to_string())
            .timeout(request.deadline + WAIT_MARGIN)
            .body(request.body.clone());
        let response = self
            .with_key(call)
            .send()
            .await
            .map_err(|error| failed(&url, &error))?;
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        Ok(CallerResponse {
            index: header("fuchsiatack-index").and_then(|index| index.parse().ok()),
            seen: AttemptOutcome::from_header(&header("fuchsiatack-outcome").unwrap_or_default()),
            status: response.status().as_u16(),
            body: response.bytes().await.map_err(|error| failed(&url, &error))?,
        })
    }

    /// Submits queued work, given as a JSON record of kind `work`. A resend has the same `operation`
    /// identifier.
    pub async fn submit(
        &self,
        entry: SocketAddr,
        operation: &str,
        record: &Value,
    ) -> Result<Value, CellError> {
        let url = format!("http://{entry}/v1/work");
        let call = self.client.post(&url).json(record);
        self.work_call(&url, call.header("fuchsiatack-operation-id", operation))
            .await
    }

    /// Reads the record and the status of a work.
    pub async fn read(&self, entry: SocketAddr, name: &str) -> Result<Value, CellError> {
        let url = format!("http://{entry}/v1/work/{name}");
        self.work_call(&url, self.client.get(&url)).await
    }

    /// Cancels a work. A resend has the same `operation` identifier.
    pub async fn cancel(&self, entry: SocketAddr, operation: &str, name: &str) -> Result<Value, CellError> {
        let url = format!("http://{entry}/v1/work/{name}");
        let call = self.client.delete(&url);
        self.work_call(&url, call.header("fuchsiatack-operation-id", operation))
            .await
    }

    async fn work_call(&self, url: &str, call: reqwest::RequestBuilder) -> Result<Value, CellError> {
        let call = self.with_key(call).timeout(WAIT_MARGIN);
        let response = call.send().await.map_err(|error| failed(url, &error))?;
        let status = response.status();
        let text = response.text().await.map_err(|error| failed(url, &error))?;
        match status.is_success() {
            true => serde_json::from_str(&text).map_err(|error| failed(url, &error)),
            false => Err(failed(url, &format!("{status} {text}"))),
        }
    }

    fn with_key(&self, call: reqwest::RequestBuilder) -> reqwest::RequestBuilder {
        match &self.key {
            Some(key) => call.bearer_auth(key),
            None => call,
        }
    }
}

fn failed(call: &str, cause: &dyn std::fmt::Display) -> CellError {
    CellError::Call {
        call: call.to_owned(),
        cause: cause.to_string(),
    }
}
