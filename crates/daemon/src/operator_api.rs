//! HTTP interface for operators: records, status, metrics and health.

use {
    crate::{
        caller_api::STORE_TIMEOUT,
        http_error::HttpError,
        http_server::{applied_index, read_json, render_error, render_json, set_index},
        request_head::{OPERATION_HEADER, bearer_key, id_header, missing_key, wrong_key},
        shared::Shared,
    },
    fuchsiatack_ledger::{Command, OperationId, Query, QueryReply, RecordAction, RecordWrite, Reply},
    fuchsiatack_model::LogIndex,
    fuchsiatack_records::{Kind, Record, Schema},
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, Router,
        http::{HeaderMap, StatusCode},
    },
    serde_json::{Value, json},
    smol_str::{SmolStr, format_smolstr},
    std::{sync::Arc, time::Duration},
};

/// Longest record body in bytes.
const MAX_RECORD_BYTES: usize = 1 << 20;
const OPERATOR: &str = "operator";
/// Limit for applying a committed write to the directory of this daemon.
const APPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Endpoints of the operator address.
#[derive(Clone, Copy, PartialEq)]
enum Endpoint {
    Delete,
    List,
    Live,
    Metrics,
    Put,
    Read,
    Ready,
    Status,
}

struct OperatorApi {
    endpoint: Endpoint,
    shared: Arc<Shared>,
}

/// Routes of the operator address.
pub(crate) fn router(shared: &Arc<Shared>) -> Router {
    let api = |endpoint| OperatorApi {
        endpoint,
        shared: shared.clone(),
    };
    let record = Router::with_path("{name}")
        .get(api(Endpoint::Read))
        .put(api(Endpoint::Put))
        .delete(api(Endpoint::Delete));
    let records = Router::with_path("records/{kind}")
        .get(api(Endpoint::List))
        .push(record);
    Router::new()
        .push(Router::with_path("live").get(api(Endpoint::Live)))
        .push(Router::with_path("metrics").get(api(Endpoint::Metrics)))
        .push(Router::with_path("ready").get(api(Endpoint::Ready)))
        .push(
            Router::with_path("v1")
                .push(records)
                .push(Router::with_path("status").get(api(Endpoint::Status))),
        )
}

#[salvo::async_trait]
impl Handler for OperatorApi {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let handled = match self.check_key(request.headers()) {
            Ok(()) => self.dispatch(request, response).await,
            Err(error) => Err(error),
        };
        if let Err(error) = handled {
            render_error(response, &error);
        }
        if !response.headers().contains_key(crate::http_server::INDEX_HEADER) {
            set_index(response, applied_index(&self.shared));
        }
    }
}

impl OperatorApi {
    /// Checks the key of the operators. `/live`, `/metrics` and `/ready` need none.
    fn check_key(&self, headers: &HeaderMap) -> Result<(), HttpError> {
        if matches!(
            self.endpoint,
            Endpoint::Live | Endpoint::Metrics | Endpoint::Ready
        ) {
            return Ok(());
        }
        let key = bearer_key(headers)?.ok_or_else(missing_key)?;
        // Hashes are compared so that the time of the comparison does not depend on the key.
        match blake3::hash(key.as_bytes()) == blake3::Hash::from(self.shared.operator_key) {
            true => Ok(()),
            false => Err(wrong_key()),
        }
    }

    async fn dispatch(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        match self.endpoint {
            Endpoint::Delete => self.delete(request, response).await,
            Endpoint::List => self.list(request, response).await,
            Endpoint::Live => {
                render_json(response, StatusCode::OK, &json!({"live": true}));
                Ok(())
            }
            Endpoint::Metrics => {
                self.metrics(response);
                Ok(())
            }
            Endpoint::Put => self.put(request, response).await,
            Endpoint::Read => self.read(request, response).await,
            Endpoint::Ready => {
                self.ready(response);
                Ok(())
            }
            Endpoint::Status => self.status(response).await,
        }
    }

    fn metrics(&self, response: &mut Response) {
        self.shared.store.update_metrics(&self.shared.metrics);
        crate::http_server::set_header(
            response,
            "content-type",
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
        );
        response.status_code(StatusCode::OK);
        response.body(self.shared.metrics.text());
    }

    fn ready(&self, response: &mut Response) {
        let is_ready = !self.shared.stopping.is_not_ready() && self.shared.session.has_valid_lease();
        let status = match is_ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        render_json(response, status, &json!({"ready": is_ready}));
    }

    async fn put(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let kind = kind_of(request)?;
        let operation = operation_id(request.headers())?;
        let limits = self.shared.settings.clients.json();
        let (body, _decoded) = read_json(request, MAX_RECORD_BYTES, &limits).await?;
        let value: Value = serde_json::from_slice(&body.bytes)
            .map_err(|error| HttpError::bad_request("bad-json", error.to_string()))?;
        let record = Record::from_json(&value)
            .map_err(|error| HttpError::bad_request("bad-record", error.to_string()))?;
        if record.kind() != kind || record.name != name_of(request) {
            let message = "kind and name in the body differ from those in the path";
            return Err(HttpError::bad_request("wrong-name", message));
        }
        let write = RecordWrite {
            action: RecordAction::Put(Box::new(record)),
            author: author(request.headers())?,
            operation,
        };
        render_written(&self.shared, write, response).await
    }

    async fn delete(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let operation = operation_id(request.headers())?;
        let version = query_number(request, "version")?.ok_or_else(|| {
            HttpError::bad_request(
                "missing-version",
                "the query needs version=N, the version to delete",
            )
        })?;
        let write = RecordWrite {
            action: RecordAction::Delete {
                kind: kind_of(request)?,
                name: name_of(request),
                version,
            },
            author: author(request.headers())?,
            operation,
        };
        render_written(&self.shared, write, response).await
    }

    async fn read(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let schema = schema_of(request)?;
        let (kind, name) = (kind_of(request)?, name_of(request));
        self.wait_for_floor(request).await?;
        let (index, record) = self.find(kind, name.clone()).await?;
        set_index(response, index);
        let Some(record) = record else {
            let message = format!("there is no {} record named {name}", kind_text(kind));
            return Err(HttpError::not_found("unknown-record", message));
        };
        render_json(response, StatusCode::OK, &record.to_json(schema));
        Ok(())
    }

    /// Reads a record from the directory, or one of kind `work` from the leader.
    async fn find(&self, kind: Kind, name: SmolStr) -> Result<(LogIndex, Option<Record>), HttpError> {
        if kind != Kind::Work {
            let directory = self.shared.session.directory();
            return Ok((directory.applied(), directory.record(kind, &name).cloned()));
        }
        match self.query(Query::Record { kind, name }).await? {
            (index, QueryReply::Record(record)) => Ok((index, record.map(|record| *record))),
            (index, _) => Ok((index, None)),
        }
    }

    async fn list(&self, request: &mut Request, response: &mut Response) -> Result<(), HttpError> {
        let schema = schema_of(request)?;
        let kind = kind_of(request)?;
        self.wait_for_floor(request).await?;
        let (index, records) = self.find_all(kind).await?;
        set_index(response, index);
        let records: Vec<_> = records.iter().map(|record| record.to_json(schema)).collect();
        render_json(response, StatusCode::OK, &json!({"records": records}));
        Ok(())
    }

    async fn find_all(&self, kind: Kind) -> Result<(LogIndex, Vec<Record>), HttpError> {
        if kind != Kind::Work {
            let directory = self.shared.session.directory();
            return Ok((directory.applied(), directory.records(kind).cloned().collect()));
        }
        match self.query(Query::Records(kind)).await? {
            (index, QueryReply::Records(records)) => Ok((index, records)),
            (index, _) => Ok((index, Vec::new())),
        }
    }

    async fn status(&self, response: &mut Response) -> Result<(), HttpError> {
        let (index, reply) = self.query(Query::Status).await?;
        set_index(response, index);
        let ledger = match &reply {
            QueryReply::Status(status) => serde_json::to_value(status).unwrap_or_default(),
            _ => Value::Null,
        };
        let body = json!({
            "daemon": self.shared.daemon.name,
            "ledger": ledger,
            "session": self.shared.session.id(),
            "store": self.shared.store.status(),
            "valid": self.shared.session.has_valid_lease(),
        });
        render_json(response, StatusCode::OK, &body);
        Ok(())
    }

    async fn query(&self, query: Query) -> Result<(LogIndex, QueryReply), HttpError> {
        self.shared
            .session
            .cell()
            .query(query, STORE_TIMEOUT)
            .await
            .map(|queried| (queried.index, queried.reply))
            .map_err(|error| HttpError::unavailable(&error))
    }

    /// Waits until the directory has reached the index `floor` of the query, if there is one.
    async fn wait_for_floor(&self, request: &mut Request) -> Result<(), HttpError> {
        let Some(floor) = query_number(request, "floor")? else {
            return Ok(());
        };
        match self.shared.session.wait_for(LogIndex(floor), STORE_TIMEOUT).await {
            true => Ok(()),
            false => Err(HttpError {
                retry_after_ms: 1_000,
                ..HttpError::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "behind-floor",
                    format!("this daemon has not applied index {floor} yet; retry, or use another daemon"),
                )
            }),
        }
    }
}

/// Commits a record write and renders its result.
pub(crate) async fn render_written(
    shared: &Shared,
    write: RecordWrite,
    response: &mut Response,
) -> Result<(), HttpError> {
    let command = Command::WriteRecord(write);
    let proposed = shared.session.cell().propose(command, true, STORE_TIMEOUT).await;
    let committed = proposed.map_err(|error| HttpError::unavailable(&error))?;
    // After this wait, the next call of the writer to this daemon sees the write.
    shared.session.wait_for(committed.index, APPLY_TIMEOUT).await;
    set_index(response, committed.index);
    match committed.reply {
        Reply::Written { version } => {
            let body = json!({"index": committed.index, "version": version});
            render_json(response, StatusCode::OK, &body);
            Ok(())
        }
        Reply::Conflict(conflict) => {
            let message = format!(
                "the record has version {} now, written by {}",
                conflict.version, conflict.author
            );
            Err(HttpError::new(StatusCode::CONFLICT, "conflict", message))
        }
        Reply::Refused(error) => Err(HttpError::new(StatusCode::CONFLICT, "refused", error.to_string())),
        reply => {
            let message = format!("unexpected reply of the store: {reply:?}");
            Err(HttpError::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "unexpected",
                message,
            ))
        }
    }
}

/// Returns the identifier of a write from its header, or a random one without the header.
///
/// The header may contain any text; the hash of the text is the identifier.
pub(crate) fn operation_id(headers: &HeaderMap) -> Result<OperationId, HttpError> {
    let Some(text) = id_header(headers, OPERATION_HEADER)? else {
        return Ok(OperationId(rand::random()));
    };
    let mut prefix = [0; size_of::<u128>()];
    prefix.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..size_of::<u128>()]);
    Ok(OperationId(u128::from_be_bytes(prefix)))
}

/// Returns the author of a write, as shown in a conflict. All operators share one key, so the
/// author includes the operation id.
fn author(headers: &HeaderMap) -> Result<SmolStr, HttpError> {
    Ok(match id_header(headers, OPERATION_HEADER)? {
        Some(operation) => format_smolstr!("{OPERATOR}, operation {operation}"),
        None => SmolStr::new(OPERATOR),
    })
}

fn kind_of(request: &Request) -> Result<Kind, HttpError> {
    let text = request.param::<String>("kind").unwrap_or_default();
    serde_json::from_value(Value::String(text.clone()))
        .map_err(|_| HttpError::not_found("unknown-kind", format!("there is no record kind {text}")))
}

fn kind_text(kind: Kind) -> String {
    match serde_json::to_value(kind) {
        Ok(Value::String(text)) => text,
        _ => String::new(),
    }
}

fn name_of(request: &Request) -> SmolStr {
    SmolStr::new(request.param::<String>("name").unwrap_or_default())
}

fn schema_of(request: &mut Request) -> Result<Schema, HttpError> {
    match query_number(request, "schema")? {
        Some(1) => Ok(Schema::V1),
        None | Some(2) => Ok(Schema::V2),
        Some(other) => Err(HttpError::bad_request(
            "unknown-schema",
            format!("schema version {other} is unknown; versions 1 and 2 are accepted"),
        )),
    }
}

/// Returns a whole number from the query, or `None` if it is absent.
fn query_number(request: &mut Request, name: &str) -> Result<Option<u64>, HttpError> {
    let Some(text) = request.query::<String>(name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        HttpError::bad_request(
            "bad-number",
            format!("{name}={text} in the query is not a whole number"),
        )
    })
}
