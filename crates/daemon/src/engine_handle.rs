//! Handle through which other tasks send messages to the engine.

use {
    crate::{
        engine_message::EngineMessage,
        job::{Job, JobClass, JobId, JobSubmission, ReplyTo},
        run_response::RunResponse,
    },
    bytes::Bytes,
    fuchsiatack_model::{Refusal, RequestId},
    smol_str::SmolStr,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Body and identifying headers of a request.
pub(crate) struct RequestContent {
    pub(crate) body: Bytes,
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) request: RequestId,
    pub(crate) trace_parent: Option<SmolStr>,
}

/// Sender of messages to the engine. Clones share the channel and the numbering of jobs.
#[derive(Clone)]
pub(crate) struct EngineHandle {
    /// Unbounded. Its senders are bounded by the connections of callers and peers and by the workers.
    messages: mpsc::UnboundedSender<EngineMessage>,
    next_job_id: Arc<AtomicU64>,
}

impl EngineHandle {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<EngineMessage>) {
        let (messages, receiver) = mpsc::unbounded_channel();
        let next_job_id = Arc::default();
        (
            Self {
                messages,
                next_job_id,
            },
            receiver,
        )
    }

    /// Returns a job identifier that was not used before in this process.
    pub(crate) fn next_job_id(&self) -> JobId {
        JobId(self.next_job_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a message. It is discarded if the engine has ended.
    pub(crate) fn send(&self, message: EngineMessage) {
        let _ = self.messages.send(message);
    }

    /// Runs a request and waits for its response. Dropping the future cancels the request.
    pub(crate) async fn run(&self, class: JobClass, request: RequestContent) -> RunResponse {
        let job_id = self.next_job_id();
        let (sender, receiver) = oneshot::channel();
        let job = Job {
            body: request.body,
            content_type: request.content_type,
            may_have_run: false,
            reply: ReplyTo::Caller(sender),
            request: request.request,
            job_id,
            trace_parent: request.trace_parent,
        };
        self.send(EngineMessage::Submit(Box::new(JobSubmission {
            class,
            jobs: vec![job],
        })));
        let mut guard = CancelOnDrop {
            engine: self,
            job_id: Some(job_id),
        };
        let response = receiver.await;
        guard.job_id = None;
        response.unwrap_or_else(|_| RunResponse::not_run(Refusal::Stopping, 0))
    }
}

struct CancelOnDrop<'a> {
    engine: &'a EngineHandle,
    job_id: Option<JobId>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(job_id) = self.job_id.take() {
            self.engine.send(EngineMessage::Cancel(job_id));
        }
    }
}
