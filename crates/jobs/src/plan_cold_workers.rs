//! Limits the starts on workers that are slow after their own start.
//!
//! Handles a backlog beside workers that come back cold, as after the order to empty a data centre is
//! withdrawn. The cold state is not replicated; a new leader takes a worker for warm until its heartbeat.

use {
    crate::{ColdStart, LogEvent, Planner, worker_view::WorkerView},
    fuchsiatack_model::WorkerName,
};

impl Planner {
    /// Records how much longer a worker is cold, from its heartbeat; 0 if it is warm.
    pub(crate) fn observe_cold(&mut self, worker: &WorkerName, remaining_ms: u64) {
        let now_ms = self.now_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let was_cold = view.cold.is_cold(now_ms);
        view.cold.observe(now_ms, remaining_ms);
        if remaining_ms > 0 && !was_cold {
            let limit = self.cold_start_of(worker);
            let starts_per_1000_s = limit.map_or(0, |limit| limit.starts_per_1000_s);
            self.log(
                LogEvent::new("worker is cold")
                    .with("worker", worker)
                    .with("remaining_ms", remaining_ms)
                    .with("starts_per_1000_s", starts_per_1000_s),
            );
        }
    }

    /// Returns how many tasks may be started on a worker now because of its cold period.
    pub(crate) fn cold_starts_left(&self, worker: &WorkerName, view: &WorkerView) -> usize {
        match view.cold.is_cold(self.now_ms) {
            true => view
                .cold
                .starts_left(self.now_ms, self.cold_start_of(worker), &self.settings),
            false => usize::MAX,
        }
    }

    /// Returns whether no further task may be started on a worker now beside `chosen` ones.
    pub(crate) fn has_no_cold_starts_left(&self, worker: &WorkerName, chosen: usize) -> bool {
        let view = self.workers.get(worker);
        view.is_some_and(|view| chosen >= self.cold_starts_left(worker, view))
    }

    /// Records the order of a start on a worker.
    pub(crate) fn record_cold_start(&mut self, worker: &WorkerName) {
        let limit = self.cold_start_of(worker).cloned();
        if let Some(view) = self.workers.get_mut(worker) {
            view.cold
                .record_start(self.now_ms, limit.as_ref(), &self.settings);
        }
    }

    /// Returns the number of cold workers.
    pub(crate) fn cold_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|view| view.cold.is_cold(self.now_ms)).count()
    }

    fn cold_start_of(&self, worker: &WorkerName) -> Option<&ColdStart> {
        let entry = self.store.workers.get(worker)?;
        self.store.extension.cold_starts.get(&entry.service)
    }
}
