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
pub(crate) enum Job {
    Form(Vec<Member>),
    Persist(Box<Ready>),
}

/// Handle of the thread. It ends once the handle is dropped and the queued work is done.
pub(crate) struct Writer {
    jobs: Sender<Job>,
    thread: JoinHandle<()>,
}

impl Writer {
    pub(crate) fn start(store: LogStore, events: UnboundedSender<Event>) -> io::Result<Self> {
        let (jobs, queue) = channel();
        let thread = Builder::new()
            .name("store-writer".to_owned())
            .spawn(move || run(store, &queue, &events))?;
        Ok(Self { jobs, thread })
    }

    /// Queues work. Nothing happens if the thread has ended after a failure.
    pub(crate) fn push(&self, job: Job) {
        let _ = self.jobs.send(job);
    }

    /// Waits until all queued work is done and the folder is released. Blocks.
    pub(crate) fn join(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

fn run(mut store: LogStore, queue: &Receiver<Job>, events: &UnboundedSender<Event>) {
    while let Ok(first) = queue.recv() {
        let jobs = std::iter::once(first).chain(queue.try_iter().take(MAX_BATCH - 1));
        let jobs: Vec<_> = jobs.collect();
        if let Err(message) = run_jobs(&mut store, jobs, events) {
            let _ = events.send(Event::DiskFailed(message));
            return;
        }
    }
}

fn run_jobs(store: &mut LogStore, jobs: Vec<Job>, events: &UnboundedSender<Event>) -> Result<(), String> {
    let mut batch = Vec::new();
    for job in jobs {
        match job {
            Job::Form(members) => {
                persist(store, std::mem::take(&mut batch), events)?;
                let stored = store.form(members).map_err(|error| error.to_string())?;
                let _ = events.send(Event::Formed(Box::new(stored)));
            }
            Job::Persist(ready) => batch.push(*ready),
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
