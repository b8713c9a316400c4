//! Runs non-idempotent requests through the journal, so that each runs at most once in the cell
//! even if its caller resends it, to this daemon or to another.

use {
    crate::{engine_handle::RequestContent, job::JobClass, run_response::RunResponse, shared::Shared},
    fuchsiatack_ledger::{Command, JournalEntry, JournalKey, LedgerError, Query, QueryReply, Reply},
    fuchsiatack_model::{Outcome, Refusal, SessionId},
    fuchsiatack_session::SessionError,
    fuchsiatack_store::unix_ms,
    opentelemetry::trace::SpanKind,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Limit for the commit of a start.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit for one attempt to store the end of a request, or to read its entry.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between attempts to store an end, and between reads while another daemon runs the request.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Time after which a request whose start could not be journalled may be retried, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// A request that must run at most once.
pub(crate) struct JournalRequest {
    pub(crate) body_hash: u64,
    pub(crate) class: JobClass,
    pub(crate) content: RequestContent,
    pub(crate) key: JournalKey,
}

struct InFlight {
    body_hash: u64,
    response: watch::Receiver<Option<RunResponse>>,
}

/// Journalled requests that this daemon runs or waits for.
#[derive(Default)]
pub(crate) struct Journal {
    in_flight: Mutex<HashMap<JournalKey, InFlight>>,
    last_unix_ms: Mutex<u64>,
}

impl Journal {
    /// Runs a request, or waits for the response if a request with its identifier is in flight.
    ///
    /// The run continues if the future is dropped, so that a resend gets its response.
    pub(crate) async fn run(shared: &Arc<Shared>, request: JournalRequest) -> RunResponse {
        let Some(mut response) = shared.journal.start_or_join(shared, request) else {
            return RunResponse::not_run(Refusal::DifferentBody, 0);
        };
        let received = response.wait_for(Option::is_some).await;
        received
            .ok()
            .and_then(|response| response.clone())
            .unwrap_or_else(|| RunResponse::unknown("the daemon failed while it ran the request"))
    }

    /// Starts the request unless it is in flight here. Returns `None` if the request in flight has
    /// another body.
    fn start_or_join(
        &self,
        shared: &Arc<Shared>,
        request: JournalRequest,
    ) -> Option<watch::Receiver<Option<RunResponse>>> {
        let mut in_flight = self.in_flight();
        match in_flight.get(&request.key) {
            Some(known) if known.body_hash == request.body_hash => return Some(known.response.clone()),
            Some(_) => return None,
            None => {}
        }
        let (sender, receiver) = watch::channel(None);
        let entry = InFlight {
            body_hash: request.body_hash,
            response: receiver.clone(),
        };
        in_flight.insert(request.key.clone(), entry);
        tokio::spawn(run_and_settle(shared.clone(), request, sender));
        Some(receiver)
    }

    fn in_flight(&self) -> MutexGuard<'_, HashMap<JournalKey, InFlight>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current Unix time in milliseconds, increased where needed so that no value repeats. A session
    /// recognises its own starts by it.
    fn unique_unix_ms(&self) -> u64 {
        let mut last = self.last_unix_ms.lock().unwrap_or_else(PoisonError::into_inner);
        *last = unix_ms().max(*last + 1);
        *last
    }
}

/// Removes a request from those in flight when its run ends, also by a panic.
struct RemoveOnDrop<'a> {
    journal: &'a Journal,
    key: JournalKey,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        self.journal.in_flight().remove(&self.key);
    }
}

async fn run_and_settle(
    shared: Arc<Shared>,
    request: JournalRequest,
    response: watch::Sender<Option<RunResponse>>,
) {
    let open = shared.open_requests.enter();
    let in_flight_guard = RemoveOnDrop {
        journal: &shared.journal,
        key: request.key.clone(),
    };
    let key = request.key.clone();
    let (result, started) = start_and_run(&shared, request).await;
    let _uncommitted_end = shared.uncommitted_ends.enter();
    drop(open);
    let settlement = result.clone();
    response.send_replace(Some(result));
    if let Some(start) = started {
        settle(&shared, &key, start, &settlement).await;
    }
    drop(in_flight_guard);
}

/// Result of an attempt to start a request in the journal.
enum StartOutcome {
    /// The start was committed by this daemon, which runs the request.
    Created(StartId),
    /// An earlier start of the request was found.
    Existing(JournalEntry),
    /// The request is not run.
    Refused(RunResponse),
}

/// Identifier of a start that this daemon committed: its session and time.
#[derive(Clone, Copy)]
struct StartId {
    session: SessionId,
    unix_ms: u64,
}

impl StartId {
    fn abort(self, key: JournalKey) -> Command {
        Command::JournalAbort {
            key,
            session: self.session,
            unix_ms: self.unix_ms,
        }
    }

    fn matches(self, entry: &JournalEntry) -> bool {
        matches!(
            entry,
            JournalEntry::Started { session, unix_ms, .. }
                if *session == self.session && *unix_ms == self.unix_ms
        )
    }
}

/// Returns the response, and the start if its end must be stored.
async fn start_and_run(shared: &Shared, request: JournalRequest) -> (RunResponse, Option<StartId>) {
    loop {
        let span =
            shared
                .traces
                .start_span("journal", SpanKind::Client, request.content.trace_parent.as_ref());
        let started = start(shared, &request).await;
        drop(span);
        match started {
            StartOutcome::Created(start) => {
                let class = JobClass {
                    session: Some(start.session),
                    ..request.class
                };
                return (shared.engine.run(class, request.content).await, Some(start));
            }
            StartOutcome::Refused(response) => return (response, None),
            StartOutcome::Existing(entry) => match wait_for_end(shared, &request, entry).await {
                Some(response) => return (response, None),
                None => continue,
            },
        }
    }
}

async fn start(shared: &Shared, request: &JournalRequest) -> StartOutcome {
    let Some(session) = shared.session.id() else {
        return StartOutcome::Refused(RunResponse::not_run(Refusal::LeaseLapsed, RETRY_AFTER_MS));
    };
    let unix_ms = shared.journal.unique_unix_ms();
    let id = StartId { session, unix_ms };
    let command = Command::JournalStart {
        body_hash: request.body_hash,
        key: request.key.clone(),
        session,
        unix_ms,
    };
    let limit = request.class.deadline.map_or(START_TIMEOUT, |deadline| {
        deadline
            .saturating_duration_since(Instant::now())
            .min(START_TIMEOUT)
    });
    match shared.session.cell().propose(command, true, limit).await {
        Ok(committed) => match committed.reply {
            Reply::JournalStarted => StartOutcome::Created(id),
            // The first proposal was applied, but its response was lost; the resend finds its entry.
            Reply::JournalKnown(entry) if id.matches(&entry) => StartOutcome::Created(id),
            Reply::JournalKnown(entry) => StartOutcome::Existing(*entry),
            Reply::Refused(LedgerError::JournalFull { .. }) => StartOutcome::Refused(journal_full()),
            _ => StartOutcome::Refused(RunResponse::not_run(Refusal::LeaseLapsed, RETRY_AFTER_MS)),
        },
        Err(error) => {
            if !error.had_no_effect() {
                withdraw_start(shared, request.key.clone(), id);
            }
            StartOutcome::Refused(RunResponse::not_run(Refusal::LeaseLapsed, RETRY_AFTER_MS))
        }
    }
}

fn journal_full() -> RunResponse {
    RunResponse {
        message: "the journal of the team is full; its oldest entries are removed 24 h after their end"
            .into(),
        ..RunResponse::not_run(Refusal::QueueFull, RETRY_AFTER_MS)
    }
}

/// Aborts a start that may have been committed, but whose request was not run.
fn withdraw_start(shared: &Shared, key: JournalKey, start: StartId) {
    let session = shared.session.clone();
    let uncommitted_end = shared.uncommitted_ends.enter();
    tokio::spawn(async move {
        let _uncommitted_end = uncommitted_end;
        while session.id() == Some(start.session) {
            let command = start.abort(key.clone());
            match session.cell().propose(command, true, SETTLE_TIMEOUT).await {
                Ok(_) | Err(SessionError::Failed(_)) => return,
                Err(_) => sleep(POLL_PERIOD).await,
            }
        }
    });
}

/// Waits for the end of a request that was started elsewhere. Returns `None` if that start was aborted.
async fn wait_for_end(
    shared: &Shared,
    request: &JournalRequest,
    mut entry: JournalEntry,
) -> Option<RunResponse> {
    loop {
        let (body_hash, session) = match &entry {
            JournalEntry::Finished { body_hash, .. } => (*body_hash, None),
            JournalEntry::Started {
                body_hash, session, ..
            } => (*body_hash, Some(*session)),
        };
        if body_hash != request.body_hash {
            return Some(RunResponse::not_run(Refusal::DifferentBody, 0));
        }
        match (entry, session) {
            (JournalEntry::Finished { response, .. }, _) => return Some(response.into()),
            (_, Some(session)) if has_ended(shared, session) => {
                return finished_or_unknown(shared, request).await;
            }
            _ => {}
        }
        let overdue = request
            .class
            .deadline
            .is_some_and(|deadline| deadline <= Instant::now());
        if overdue {
            return Some(RunResponse::unknown(
                "a request with this identifier is still running",
            ));
        }
        sleep(POLL_PERIOD).await;
        entry = read(shared, request).await?;
    }
}

/// Reads the entry again after its session has ended, since the end may have been stored shortly before.
async fn finished_or_unknown(shared: &Shared, request: &JournalRequest) -> Option<RunResponse> {
    match read(shared, request).await? {
        JournalEntry::Finished { response, .. } => Some(response.into()),
        JournalEntry::Started { .. } => Some(RunResponse::unknown(
            "the daemon that ran the request ended before it stored the response; the request is not run again",
        )),
    }
}

/// Reads the entry of a request, and retries while the store cannot be reached.
async fn read(shared: &Shared, request: &JournalRequest) -> Option<JournalEntry> {
    loop {
        let query = Query::Journal(request.key.clone());
        match shared.session.cell().query(query, SETTLE_TIMEOUT).await {
            Ok(queried) => match queried.reply {
                QueryReply::Journal(entry) => return entry,
                _ => return None,
            },
            Err(_) => sleep(POLL_PERIOD).await,
        }
    }
}

/// Returns whether a session is known to have ended. A session that is newer than the directory
/// counts as open.
fn has_ended(shared: &Shared, session: SessionId) -> bool {
    let directory = shared.session.directory();
    session.0 <= directory.applied().0 && !directory.daemons().contains_key(&session)
}

/// Proposes the end of a request until it is committed or the session has ended.
async fn settle(shared: &Shared, key: &JournalKey, start: StartId, response: &RunResponse) {
    let command = match response.outcome {
        Outcome::NotRun => start.abort(key.clone()),
        _ => Command::JournalFinish {
            response: response.to_stored(unix_ms()),
            key: key.clone(),
            session: start.session,
        },
    };
    while shared.session.id() == Some(start.session) {
        let proposed = shared
            .session
            .cell()
            .propose(command.clone(), true, SETTLE_TIMEOUT)
            .await;
        match proposed {
            Ok(_) => return,
            Err(error) => {
                spdlog::warn!("cannot store the response of a request; retrying", kv: { error = error.to_string() });
                sleep(POLL_PERIOD).await;
            }
        }
    }
}
