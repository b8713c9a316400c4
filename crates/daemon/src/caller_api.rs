//! HTTP interface for callers and workers: requests through queues, queued works and announcements.

use {
    crate::{
        engine_handle::RequestContent,
        engine_message::EngineMessage,
        http_error::HttpError,
        http_server::{
            applied_index, read_body, read_json, render_error, render_json, render_run_response, set_header,
            set_index,
        },
        job::JobClass,
        journal::{Journal, JournalRequest},
        operator_api::{operation_id, render_written},
        request_head::{REQUEST_HEADER, RequestHead, bearer_key, missing_key, wrong_key},
        run_response::RunResponse,
        shared::Shared,
        worker_traffic::WorkerCall,
    },
    fuchsiatack_http::{HeldBytes, Reservation},
    fuchsiatack_ledger::{Command, JournalKey, Query, QueryReply, RecordAction, RecordWrite, Reply},
    fuchsiatack_model::{
        AnnounceResponse, LogIndex, QueueName, Refusal, TaskClass, TeamName, WorkName, WorkStatus,
        WorkerAnnouncement,
    },
    fuchsiatack_records::{Access, Kind, QueueSpec, Record, Schema, Spec},
    fuchsiatack_wire::TrafficDirection,
    opentelemetry::trace::SpanKind,
    salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode},
    serde_json::{Value, json},
    smol_str::{SmolStr, format_smolstr},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Time between announcements of a worker whose owner has at most `WORKERS_PER_INTERVAL` workers.
/// Above that number, the time grows in proportion to the number of the owner's workers.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
const WORKERS_PER_INTERVAL: u64 = 64;
/// Limit for each proposal, query or wait for the store in a call to an HTTP interface.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Endpoints of the caller address.
#[derive(Clone, Copy)]
enum Endpoint {
    Announce,
    CancelWork,
    ReadWork,
    Run,
    SubmitWork,
}

struct CallerApi {
    endpoint: Endpoint,
    shared: Arc<Shared>,
}

/// Routes of the caller address.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let api = |endpoint| CallerApi {
        endpoint,
        shared: shared.clone(),
    };
    Router::with_path("v1")
        .push(Router::with_path("queues/{queue}/requests").post(api(Endpoint::Run)))
        .push(Router::with_path("workers/announce").post(api(Endpoint::Announce)))
        .push(
            Router::with_path("work").post(api(Endpoint::SubmitWork)).push(
                Router::with_path("{name}")
                    .get(api(Endpoint::ReadWork))
                    .delete(api(Endpoint::CancelWork)),
            ),
        )
}

#[salvo::async_trait]
impl Handler for CallerApi {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let _open = self.shared.open_requests.enter();
        let handled = match self.endpoint {
            Endpoint::Announce => self.announce(request, response).await,
            Endpoint::CancelWork => self.cancel_work(request, response).await,
            Endpoint::ReadWork => self.read_work(request, response).await,
            Endpoint::Run => self.run(request, response).await,
            Endpoint::SubmitWork => self.submit_work(request, response).await,
        };
        if let Err(error) = handled {
            render_error(response, &error);
        }
        if !response.headers().contains_key(crate::http_server::INDEX_HEADER) {
            set_index(response, applied_index(&self.shared));
        }
    }
}

impl CallerApi {
    async fn run(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let head = RequestHead::parse(request.headers())?;
        set_header(response, REQUEST_HEADER, head.request.as_str());
        let deadline = head.deadline.map(|left| Instant::now() + left);
        let key = bearer_key(request.headers())?.map(SmolStr::new);
        let queue = QueueName::new(request.param::<String>("queue").unwrap_or_default());
        self.check_accepting()?;
        self.admit(&queue, key.as_deref())?;
        // The reservation lasts as long as the request, which holds the body.
        let HeldBytes {
            bytes: body,
            reservation: _held,
        } = read_body(request, self.shared.settings.callers.max_body_bytes).await?;
        // The body may have arrived slowly, and the key may have been withdrawn in the meantime.
        self.check_accepting()?;
        let (team, spec) = self.admit(&queue, key.as_deref())?;
        let span = self
            .shared
            .traces
            .start_span("receive", SpanKind::Server, head.trace_parent.as_ref());
        let class = JobClass {
            deadline,
            may_forward: true,
            queue: Some((queue.clone(), spec.max_waiting)),
            session: None,
            task_class: TaskClass {
                demand: spec.demand,
                idempotent: head.idempotent,
                policy: spec.policy,
            },
            team,
        };
        let content = RequestContent {
            body,
            content_type: head.content_type,
            request: head.request,
            trace_parent: span.trace_parent(),
        };
        let run_response = self.run_admitted(&queue, class, content).await;
        drop(span);
        render_run_response(response, run_response);
        Ok(())
    }

    async fn read_json(&self, request: &mut Request) -> Result<(HeldBytes, Reservation), HttpError> {
        let settings = &self.shared.settings;
        read_json(request, settings.callers.max_body_bytes, &settings.clients.json()).await
    }

    async fn run_admitted(&self, queue: &QueueName, class: JobClass, content: RequestContent) -> RunResponse {
        if class.task_class.idempotent {
            return self.shared.engine.run(class, content).await;
        }
        let request = JournalRequest {
            body_hash: request_hash(queue, &content),
            key: JournalKey {
                request: content.request.clone(),
                team: class.team.clone(),
            },
            class,
            content,
        };
        Journal::run(&self.shared, request).await
    }

    /// Returns an error while the daemon refuses requests in a planned stop or has no valid lease.
    fn check_accepting(&self) -> Result<(), HttpError> {
        match () {
            () if self.shared.stopping.is_refusing() => Err(Refusal::Stopping.into()),
            () if !self.shared.session.has_valid_lease() => Err(Refusal::LeaseLapsed.into()),
            () => Ok(()),
        }
    }

    /// Returns the team that a request counts for and the spec of its queue, or an error if the queue
    /// is unknown or the key does not give access to it.
    fn admit(&self, queue: &QueueName, key: Option<&str>) -> Result<(TeamName, QueueSpec), HttpError> {
        let directory = self.shared.session.directory();
        let record = directory.record(Kind::Queue, queue.as_str());
        let Some(Spec::Queue(spec)) = record.map(|record| &record.spec) else {
            let message = format!("there is no queue named {queue}");
            return Err(HttpError::not_found("unknown-queue", message));
        };
        let team = match (key, spec.access, &spec.team) {
            (None, Access::Open, Some(team)) => team.clone(),
            (None, ..) => return Err(missing_key()),
            (Some(key), ..) => directory.team_of_key(key).ok_or_else(wrong_key)?.clone(),
        };
        Ok((team, spec.clone()))
    }

    /// Returns the team of the key in a call about queued work.
    fn authenticated_team(&self, request: &Request) -> Result<TeamName, HttpError> {
        self.check_accepting()?;
        let key = bearer_key(request.headers())?.ok_or_else(missing_key)?;
        let directory = self.shared.session.directory();
        directory.team_of_key(key).cloned().ok_or_else(wrong_key)
    }

    async fn announce(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let (body, _decoded) = self.read_json(request).await?;
        let body = &body.bytes;
        let announcement: WorkerAnnouncement = serde_json::from_slice(body)
            .map_err(|error| HttpError::bad_request("bad-announcement", error.to_string()))?;
        check_announcement(&announcement)?;
        let traffic = &self.shared.metrics.worker_traffic;
        traffic.add(TrafficDirection::Received, WorkerCall::Announce, body.len());
        if announcement.leaving {
            let worker = announcement.name.clone();
            self.shared.engine.send(EngineMessage::WorkerLeaving(worker));
        }
        let is_known = self
            .shared
            .session
            .directory()
            .worker(&announcement.name)
            .is_some_and(|entry| entry.announcement == announcement && !entry.lost);
        if !is_known {
            self.register(announcement.clone()).await?;
        }
        let announce_response = self.announce_response(&announcement);
        let body = serde_json::to_value(&announce_response).unwrap_or_default();
        traffic.add(
            TrafficDirection::Sent,
            WorkerCall::Announce,
            body.to_string().len(),
        );
        render_json(response, StatusCode::OK, &body);
        Ok(())
    }

    async fn register(&self, announcement: WorkerAnnouncement) -> Result<(), HttpError> {
        let command = Command::RegisterWorker(announcement);
        let proposed = self
            .shared
            .session
            .cell()
            .propose(command, true, STORE_TIMEOUT)
            .await;
        let committed = proposed.map_err(|error| HttpError::unavailable(&error))?;
        if let Reply::Refused(error) = &committed.reply {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(HttpError::new(status, "refused", error.to_string()));
        }
        self.shared.session.wait_for(committed.index, STORE_TIMEOUT).await;
        Ok(())
    }

    fn announce_response(&self, announcement: &WorkerAnnouncement) -> AnnounceResponse {
        let directory = self.shared.session.directory();
        let owner = directory
            .worker(&announcement.name)
            .and_then(|entry| entry.owner)
            .filter(|owner| directory.daemons().contains_key(owner));
        let owned = directory
            .workers()
            .filter(|entry| owner.is_some() && entry.owner == owner)
            .count() as u64;
        AnnounceResponse {
            interval_ms: ANNOUNCE_INTERVAL_MS * owned.max(WORKERS_PER_INTERVAL) / WORKERS_PER_INTERVAL,
            owner: owner
                .and_then(|owner| directory.daemons().get(&owner))
                .map(|info| format_smolstr!("{}", info.caller_address)),
        }
    }

    async fn submit_work(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let team = self.authenticated_team(request)?;
        let operation = operation_id(request.headers())?;
        let (body, _decoded) = self.read_json(request).await?;
        let value: Value = serde_json::from_slice(&body.bytes)
            .map_err(|error| HttpError::bad_request("bad-json", error.to_string()))?;
        let record = Record::from_json(&value)
            .map_err(|error| HttpError::bad_request("bad-record", error.to_string()))?;
        match &record.spec {
            Spec::Work(work) if work.team == team => {}
            Spec::Work(_) => {
                let message = format!("the key is of team {team}, but the work names another team");
                return Err(HttpError::new(StatusCode::FORBIDDEN, "wrong-team", message));
            }
            _ => {
                let message = "only records of kind work are submitted here";
                return Err(HttpError::bad_request("wrong-kind", message));
            }
        }
        let write = RecordWrite {
            action: RecordAction::Put(Box::new(record)),
            author: format_smolstr!("team {team}"),
            operation,
        };
        render_written(&self.shared, write, response).await
    }

    async fn read_work(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let team = self.authenticated_team(request)?;
        let (index, record, status) = self.find_work(request, &team).await?;
        set_index(response, index);
        let body = json!({
            "record": record.to_json(Schema::V2),
            "status": serde_json::to_value(&status).unwrap_or_default(),
        });
        render_json(response, StatusCode::OK, &body);
        Ok(())
    }

    async fn cancel_work(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let team = self.authenticated_team(request)?;
        let operation = operation_id(request.headers())?;
        let (_, record, _) = self.find_work(request, &team).await?;
        let write = RecordWrite {
            action: RecordAction::Delete {
                kind: Kind::Work,
                name: record.name.clone(),
                version: record.version,
            },
            author: format_smolstr!("team {team}"),
            operation,
        };
        render_written(&self.shared, write, response).await
    }

    /// Reads a work. A work of another team is reported as unknown.
    async fn find_work(
        &self,
        request: &Request,
        team: &TeamName,
    ) -> Result<(LogIndex, Record, WorkStatus), HttpError> {
        let name = WorkName::new(request.param::<String>("name").unwrap_or_default());
        let query = Query::Work(name.clone());
        let queried = self
            .shared
            .session
            .cell()
            .query(query, STORE_TIMEOUT)
            .await
            .map_err(|error| HttpError::unavailable(&error))?;
        match queried.reply {
            QueryReply::Work(Some(found)) if matches!(&found.0.spec, Spec::Work(work) if work.team == *team) => {
                Ok((queried.index, found.0, found.1))
            }
            _ => {
                let message = format!("there is no work named {name}");
                Err(HttpError::not_found("unknown-work", message))
            }
        }
    }
}

/// Hash of the queue and body of a request, by which the journal rejects another request with the
/// same identifier.
fn request_hash(queue: &QueueName, content: &RequestContent) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(queue.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(&content.body);
    let mut prefix = [0; size_of::<u64>()];
    prefix.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u64>()]);
    u64::from_be_bytes(prefix)
}

fn check_announcement(announcement: &WorkerAnnouncement) -> Result<(), HttpError> {
    if announcement.name.as_str().is_empty() {
        return Err(HttpError::bad_request(
            "bad-announcement",
            "the worker needs a name",
        ));
    }
    match announcement.address.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => {
            let message = format!("{} is not an IP address and port", announcement.address);
            Err(HttpError::bad_request("bad-announcement", message))
        }
    }
}
