//! Thread that runs the blocking writes and syncs of the log store.

use {
    crate::event::Event,
    fuchsiatack_consensus::{Member, Ready, disk::LogStore},
    std::{
        io,
        sync::mpsc::{Receiver, Sender, channel},
        thread::{Builder, JoinHandle},
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// Maximum number of write requests that share a sync.
const MAX_BATCH: usize = 1_024;

/// Request to the writer thread.
pub(crate) enum WriteRequest {
    Form(Vec<Member>),
    Persist(Box<Ready>),
}

/// Handle of the writer thread. The thread ends once the handle is dropped and all queued requests
/// are done.
pub(crate) struct Writer {
    requests: Sender<WriteRequest>,
    thread: JoinHandle<()>,
}

impl Writer {
    pub(crate) fn start(store: LogStore, events: UnboundedSender<Event>) -> io::Result<Self> {
        let (requests, queue) = channel();
        let thread = Builder::new()
            .name("store-writer".to_owned())
            .spawn(move || run(store, &queue, &events))?;
        Ok(Self { requests, thread })
    }

    /// Queues a request. Does nothing if the thread has ended after a failure.
    pub(crate) fn push(&self, request: WriteRequest) {
        let _ = self.requests.send(request);
    }

    /// Blocks until all queued requests are done and the data folder is unlocked.
    pub(crate) fn join(self) {
        drop(self.requests);
        let _ = self.thread.join();
    }
}

fn run(mut store: LogStore, queue: &Receiver<WriteRequest>, events: &UnboundedSender<Event>) {
    while let Ok(first) = queue.recv() {
        let requests = std::iter::once(first).chain(queue.try_iter().take(MAX_BATCH - 1));
        let requests: Vec<_> = requests.collect();
        if let Err(message) = handle_requests(&mut store, requests, events) {
            let _ = events.send(Event::DiskFailed(message));
            return;
        }
    }
}

fn handle_requests(
    store: &mut LogStore,
    requests: Vec<WriteRequest>,
    events: &UnboundedSender<Event>,
) -> Result<(), String> {
    let mut batch = Vec::new();
    for request in requests {
        match request {
            WriteRequest::Form(members) => {
                persist(store, std::mem::take(&mut batch), events)?;
                let stored = store.form(members).map_err(|error| error.to_string())?;
                let _ = events.send(Event::Formed(Box::new(stored)));
            }
            WriteRequest::Persist(ready) => batch.push(*ready),
        }
    }
    persist(store, batch, events)
}

fn persist(store: &mut LogStore, batch: Vec<Ready>, events: &UnboundedSender<Event>) -> Result<(), String> {
    store.persist_all(&batch).map_err(|error| error.to_string())?;
    let Some(mark) = batch.last().map(|ready| ready.mark) else {
        return Ok(());
    };
    let messages = batch.into_iter().flat_map(|ready| ready.after_sync).collect();
    let _ = events.send(Event::Persisted { mark, messages });
    Ok(())
}
