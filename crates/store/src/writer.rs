//! Thread that runs the blocking writes and syncs of the log store.

use {
    crate::{event::Event, reopen_delays::ReopenDelays},
    fuchsiatack_consensus::{Member, Ready, StoredState, disk::LogStore},
    std::{
        io,
        sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
        thread::{Builder, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// Maximum number of write requests that share a sync.
const MAX_BATCH: usize = 1_024;

/// Request to the writer thread.
pub(crate) enum WriteRequest {
    Form(Vec<Member>),
    Persist(Box<Ready>),
    /// Ends the discarding of requests after a failure. Requests before it belong to state that was
    /// not stored.
    Resume,
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

    /// Queues a request.
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
    let mut delays = ReopenDelays::default();
    while let Ok(first) = queue.recv() {
        let requests = std::iter::once(first).chain(queue.try_iter().take(MAX_BATCH - 1));
        let requests: Vec<_> = requests.collect();
        if let Err(message) = handle_requests(&mut store, requests, events) {
            let _ = events.send(Event::DiskFailed(message));
            let Some(stored) = reopen(&mut store, queue, events, &mut delays) else {
                return;
            };
            let _ = events.send(Event::DiskReopened(Box::new(stored)));
            discard_stale(queue);
        }
    }
}

/// Opens the folder again until that succeeds; a full disk may have space again at any time. Returns
/// `None` if the handle is dropped first.
fn reopen(
    store: &mut LogStore,
    queue: &Receiver<WriteRequest>,
    events: &UnboundedSender<Event>,
    delays: &mut ReopenDelays,
) -> Option<StoredState> {
    delays.begin();
    loop {
        let is_open = discard_for(queue, delays.next());
        if !is_open {
            return None;
        }
        match store.reopen() {
            Ok(stored) => {
                delays.end();
                return Some(stored);
            }
            Err(error) => drop(events.send(Event::ReopenFailed(error.to_string()))),
        }
    }
}

/// Discards requests for a duration. Returns false if the handle is dropped.
fn discard_for(queue: &Receiver<WriteRequest>, duration: Duration) -> bool {
    let end = Instant::now() + duration;
    loop {
        match queue.recv_timeout(end.saturating_duration_since(Instant::now())) {
            Ok(_) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
            Err(RecvTimeoutError::Timeout) => return true,
        }
    }
}

/// Discards requests up to `Resume`, or until the handle is dropped.
fn discard_stale(queue: &Receiver<WriteRequest>) {
    let _ = queue
        .iter()
        .find(|request| matches!(request, WriteRequest::Resume));
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
            WriteRequest::Resume => {}
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
