//! Client of workers that implement the worker protocol over HTTP/1.1. Control calls have JSON bodies;
//! the body of a run is passed on unchanged.

use {
    crate::{
        DaemonError,
        worker_adapter::{RunCall, RunEnd, WorkerAdapter, WorkerError, WorkerResponse},
        worker_traffic::{WorkerCall, WorkerTraffic},
    },
    async_trait::async_trait,
    fuchsiatack_model::{Epoch, EpochRequest, LeaseRequest, TaskCommand, TaskId, WorkerReport},
    fuchsiatack_wire::TrafficDirection,
    reqwest::{Client, RequestBuilder, Response, StatusCode, header, redirect::Policy},
    serde::Serialize,
    smol_str::SmolStr,
    std::time::Duration,
};

/// Limit for each call other than a run, which detects a worker that does not respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Header with the demand of a task for resources, as JSON.
const DEMAND_HEADER: &str = "fuchsiatack-demand";
/// Header with the ownership epoch.
const EPOCH_HEADER: &str = "fuchsiatack-epoch";
/// Media type of the bodies.
const JSON: &str = "application/json";
/// Header with the team that a task counts for.
const TEAM_HEADER: &str = "fuchsiatack-team";
/// Header with the W3C trace context.
const TRACE_HEADER: &str = "traceparent";
/// Header with the request id that the caller chose.
const REQUEST_HEADER: &str = "fuchsiatack-request-id";
/// Header with the task of a queued work, as `NAME/NUMBER`.
const WORK_HEADER: &str = "fuchsiatack-work";

/// HTTP client with pooled connections.
pub(crate) struct HttpAdapter {
    client: Client,
    traffic: WorkerTraffic,
}

impl HttpAdapter {
    pub(crate) fn new(traffic: WorkerTraffic) -> Result<Self, DaemonError> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            // A redirect would run the task on another worker, where no resources are allocated to it.
            .redirect(Policy::none())
            .tcp_nodelay(true)
            .build()
            .map_err(|error| DaemonError::HttpClient(error.to_string()))?;
        Ok(Self { client, traffic })
    }

    async fn report(
        &self,
        address: &str,
        call: WorkerCall,
        body: &impl Serialize,
    ) -> Result<WorkerReport, WorkerError> {
        let body = to_json_text(body);
        self.traffic.add(TrafficDirection::Sent, call, body.len());
        let request = self
            .client
            .post(format!("http://{address}/v1/{}", call.as_str()))
            .timeout(CALL_TIMEOUT)
            .header(header::CONTENT_TYPE, JSON)
            .body(body);
        let response = send_checked(request).await?.bytes().await;
        let response = response.map_err(|_| WorkerError::Lost)?;
        self.traffic.add(TrafficDirection::Received, call, response.len());
        serde_json::from_slice(&response).map_err(|_| WorkerError::Lost)
    }

    fn run_request(&self, address: &str, call: RunCall) -> RequestBuilder {
        let mut request = self
            .client
            .post(format!("http://{address}/v1/tasks/{}/run", call.task))
            .header(EPOCH_HEADER, call.epoch.0)
            .header(TEAM_HEADER, call.team.as_str())
            .header(DEMAND_HEADER, to_json_text(&call.demand))
            .header(REQUEST_HEADER, call.request.as_str())
            .body(call.body);
        if let Some(content_type) = call.content_type {
            request = request.header(header::CONTENT_TYPE, content_type.as_str());
        }
        if let Some(trace_parent) = call.trace_parent {
            request = request.header(TRACE_HEADER, trace_parent.as_str());
        }
        match call.work {
            Some(work) => request.header(WORK_HEADER, format!("{}/{}", work.work, work.number)),
            None => request,
        }
    }
}

#[async_trait]
impl WorkerAdapter for HttpAdapter {
    async fn present_epoch(
        &self,
        address: &str,
        request: &EpochRequest,
    ) -> Result<WorkerReport, WorkerError> {
        self.report(address, WorkerCall::Epoch, request).await
    }

    async fn renew(&self, address: &str, request: &LeaseRequest) -> Result<WorkerReport, WorkerError> {
        self.report(address, WorkerCall::Lease, request).await
    }

    async fn run(&self, address: &str, call: RunCall) -> RunEnd {
        let response = match self.run_request(address, call).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() || error.is_builder() => return RunEnd::Refused,
            Err(_) => return RunEnd::Lost,
        };
        match response.status() {
            StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS => RunEnd::Refused,
            _ => read_run_response(response).await,
        }
    }

    async fn command(
        &self,
        address: &str,
        epoch: Epoch,
        task: TaskId,
        command: TaskCommand,
    ) -> Result<(), WorkerError> {
        let path = command.as_str();
        let request = self
            .client
            .post(format!("http://{address}/v1/tasks/{task}/{path}"))
            .timeout(CALL_TIMEOUT)
            .header(EPOCH_HEADER, epoch.0);
        send_checked(request).await.map(drop)
    }
}

fn to_json_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

async fn send_checked(request: RequestBuilder) -> Result<Response, WorkerError> {
    match request.send().await {
        Ok(response) if response.status().is_success() => Ok(response),
        Ok(response) if response.status() == StatusCode::CONFLICT => Err(WorkerError::Conflict),
        Ok(_) => Err(WorkerError::Lost),
        Err(error) if error.is_connect() => Err(WorkerError::NotSent),
        Err(_) => Err(WorkerError::Lost),
    }
}

async fn read_run_response(response: Response) -> RunEnd {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(SmolStr::new);
    match response.bytes().await {
        Ok(body) => RunEnd::Responded(WorkerResponse {
            body,
            content_type,
            status,
        }),
        Err(_) => RunEnd::Lost,
    }
}
