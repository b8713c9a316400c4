//! Keeps work from workers that may forget its ends.
//!
//! Handles a renewal that acknowledges ends, has no response, and is carried out seconds later by a worker
//! that has restarted under its name in the meantime. The new incarnation numbers its ends from 1 again, and
//! forgets those up to the number in the order, also if the leader has not seen them: their tasks would run
//! again. Until such an order has certainly expired, the new incarnation gets only tasks that last, which
//! start again however they end.

use {
    crate::{Planner, plan_late_starts::LATE_ORDER_MS, worker_view::WorkerView},
    fuchsiatack_model::WorkerName,
};

impl Planner {
    /// Records that a renewal sent at `sent_ms` which acknowledges ends may still be carried out.
    pub(crate) fn remember_late_acknowledgement(&mut self, worker: &WorkerName, sent_ms: u64) {
        let last_ms = self
            .late_acknowledgements
            .entry(worker.clone())
            .or_insert(sent_ms);
        *last_ms = sent_ms.max(*last_ms);
    }

    /// Records the same of the renewal that is on its way to a worker.
    pub(crate) fn remember_acknowledgement_in_flight(&mut self, worker: &WorkerName) {
        let view = self.workers.get_mut(worker);
        if let Some(sent_ms) = view.and_then(|view| view.acknowledgement_sent_ms.take()) {
            self.remember_late_acknowledgement(worker, sent_ms);
        }
    }

    /// Returns whether the worker may forget ends that the leader has not seen.
    pub(crate) fn may_forget_ends(&self, worker: &WorkerName, view: &WorkerView) -> bool {
        self.late_acknowledgements.get(worker).is_some_and(|sent_ms| {
            let may_be_late = self.now_ms < sent_ms + LATE_ORDER_MS;
            may_be_late && view.incarnation_known_ms > *sent_ms
        })
    }

    /// Forgets the renewals that have certainly expired.
    pub(crate) fn expire_late_acknowledgements(&mut self) {
        let now_ms = self.now_ms;
        self.late_acknowledgements
            .retain(|_, sent_ms| now_ms < *sent_ms + LATE_ORDER_MS);
    }
}
