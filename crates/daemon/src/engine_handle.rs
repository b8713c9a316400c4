//! Access to the engine from other tasks.

use {
    crate::{
        answer::Answer,
        engine_message::EngineMessage,
        job::{Job, JobClass, NewJobs, ReplyTo, Ticket},
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

/// Contents of a request.
pub(crate) struct RequestBody {
    pub(crate) body: Bytes,
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) request: RequestId,
    pub(crate) trace_parent: Option<SmolStr>,
}

/// Sends messages to the engine. Clones share it.
#[derive(Clone)]
pub(crate) struct EngineHandle {
    /// Unbounded, since its senders are bounded: connections of callers and peers, and workers.
    messages: mpsc::UnboundedSender<EngineMessage>,
    tickets: Arc<AtomicU64>,
}

impl EngineHandle {
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<EngineMessage>) {
        let (messages, receiver) = mpsc::unbounded_channel();
        let tickets = Arc::default();
        (Self { messages, tickets }, receiver)
    }

    /// Returns the next job number.
    pub(crate) fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a message. It is dropped once the engine has ended.
    pub(crate) fn send(&self, message: EngineMessage) {
        let _ = self.messages.send(message);
    }

    /// Runs a request. Dropping the future cancels it.
    pub(crate) async fn run(&self, class: JobClass, request: RequestBody) -> Answer {
        let ticket = self.ticket();
        let (sender, receiver) = oneshot::channel();
        let job = Job {
            body: request.body,
            content_type: request.content_type,
            reply: ReplyTo::Caller(sender),
            request: request.request,
            ticket,
            trace_parent: request.trace_parent,
        };
        self.send(EngineMessage::Submit(Box::new(NewJobs {
            class,
            jobs: vec![job],
        })));
        let mut guard = CancelOnDrop {
            engine: self,
            ticket: Some(ticket),
        };
        let answer = receiver.await;
        guard.ticket = None;
        answer.unwrap_or_else(|_| Answer::not_run(Refusal::Stopping, 0))
    }
}

struct CancelOnDrop<'a> {
    engine: &'a EngineHandle,
    ticket: Option<Ticket>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.engine.send(EngineMessage::Cancel(ticket));
        }
    }
}
