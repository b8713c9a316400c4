//! Runs the job planner on the leader.
//!
//! The planner's commands of one turn of the runtime share a log entry. Effects wait until that
//! entry is applied and the leader's lease is valid, so that no response or order depends on state
//! that a later leader may not have.

use {
    crate::{
        JobsSettings,
        clock::unix_ms,
        pending_calls::{OutgoingResponse, failed_response},
        work_metrics::WorkKind,
    },
    fuchsiatack_consensus::Term,
    fuchsiatack_jobs::{
        CallId, CellCall, CellResponse, Effect, JobCommand, JobEvent, JobResponse, JobStore, LogEvent,
        Planner,
    },
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::Response,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        time::Instant,
    },
    tokio::sync::oneshot,
};

pub(crate) struct JobsRole {
    last_call: u64,
    planner: Planner,
    responders: HashMap<CallId, oneshot::Sender<Response>>,
    settings: JobsSettings,
    term: Term,
    /// Effects in order, each with the log index that must be applied first.
    deferred: VecDeque<(LogIndex, Effect)>,
}

impl JobsRole {
    /// Starts the planner of a leader whose state is applied up to `applied`.
    pub(crate) fn new(
        settings: &JobsSettings,
        store: &JobStore,
        term: Term,
        applied: LogIndex,
        now_ms: u64,
    ) -> Self {
        let log_event = LogEvent::new("planner started")
            .with("applied", applied.0)
            .with("term", term.0);
        let _ = settings.log_events.send(log_event);
        let started_at = Instant::now();
        let planner = Planner::new(settings.planner.clone(), store.clone(), term.0, now_ms, unix_ms());
        settings.record_work(WorkKind::Restore, started_at, Some(&planner));
        Self {
            last_call: 0,
            planner,
            responders: HashMap::new(),
            settings: settings.clone(),
            term,
            deferred: VecDeque::new(),
        }
    }

    pub(crate) fn handle_call(&mut self, now_ms: u64, call: CellCall, responder: oneshot::Sender<Response>) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.responders.insert(id, responder);
        self.handle(now_ms, JobEvent::Called { call, id });
    }

    pub(crate) fn handle(&mut self, now_ms: u64, event: JobEvent) {
        let kind = match event {
            JobEvent::Advised { .. } => WorkKind::Advice,
            JobEvent::Called { .. } => WorkKind::Calls,
            JobEvent::Held { .. }
            | JobEvent::Paced { .. }
            | JobEvent::Started { .. }
            | JobEvent::Stopped { .. } => WorkKind::Reports,
            JobEvent::Tick => WorkKind::Tick,
        };
        let started_at = Instant::now();
        self.planner.handle(now_ms, unix_ms(), event);
        self.settings.record_work(kind, started_at, Some(&self.planner));
    }

    /// Returns the encoded size of the submissions that the next turn proposes, in bytes.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.planner.pending_bytes()
    }

    pub(crate) fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.planner.set_members(members);
    }

    /// Ends a turn of the planner. Returns its commands, and the effects to run after their commit.
    pub(crate) fn take_commands(&mut self) -> (Vec<JobCommand>, Vec<Effect>) {
        let started_at = Instant::now();
        let output = self.planner.take_output();
        self.settings
            .record_work(WorkKind::Placement, started_at, Some(&self.planner));
        for log_event in output.log_events {
            let _ = self.settings.log_events.send(log_event);
        }
        if let Some(report) = output.report {
            self.settings.reports.send_replace(report);
        }
        for effect in output.immediate {
            let _ = self.settings.effects.send(effect);
        }
        (output.commands, output.after_commit)
    }

    /// Queues effects until the entry at `index` is applied.
    pub(crate) fn defer_effects(&mut self, index: LogIndex, effects: Vec<Effect>) {
        self.deferred
            .extend(effects.into_iter().map(|effect| (index, effect)));
    }

    /// Runs the queued effects up to an applied index, and returns the responses to calls.
    pub(crate) fn run_effects(&mut self, applied: LogIndex) -> Vec<OutgoingResponse> {
        let mut responses = Vec::new();
        while let Some((index, _)) = self.deferred.front()
            && *index <= applied
        {
            match self.deferred.pop_front() {
                Some((index, Effect::Respond { response, id })) => {
                    self.log_cancellation(index, &response);
                    responses.extend(self.complete_call(id, response))
                }
                Some((_, effect)) => {
                    let _ = self.settings.effects.send(effect);
                }
                None => break,
            }
        }
        responses
    }

    /// Logs the log index up to which a cancel is committed when it is acknowledged, so that it can be
    /// compared with the index from which a later leader starts.
    fn log_cancellation(&self, index: LogIndex, response: &CellResponse) {
        if let CellResponse::Job(JobResponse::Cancelled) = response {
            let log_event = LogEvent::new("cancel acknowledged")
                .with("index", index.0)
                .with("term", self.term.0);
            let _ = self.settings.log_events.send(log_event);
        }
    }

    /// Fails all calls after leadership was lost. Whether they take effect is unknown.
    pub(crate) fn fail_all(self) {
        for responder in self.responders.into_values() {
            let _ = responder.send(failed_response(
                "leadership was lost before the call was completed",
            ));
        }
    }

    fn complete_call(&mut self, id: CallId, response: CellResponse) -> Option<OutgoingResponse> {
        let responder = self.responders.remove(&id)?;
        Some((responder, Response::Cell(Box::new(response))))
    }
}
