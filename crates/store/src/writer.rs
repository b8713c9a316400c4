//! Thread that writes and syncs the log.

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

/// Most pieces of work that share a sync.
const MAX_BATCH: usize = 1_024;

/// Work for the writer.
pub(crate) enum WriteRequest {
    Form(Vec<Member>),
    Persist(Box<Ready>),
}

/// Handle of the thread. It ends once the handle is dropped and the queued work is done.
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

    /// Queues work. Nothing happens if the thread has ended after a failure.
    pub(crate) fn push(&self, request: WriteRequest) {
        let _ = self.requests.send(request);
    }

    /// Waits until all queued work is done and the folder is released. Blocks.
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
