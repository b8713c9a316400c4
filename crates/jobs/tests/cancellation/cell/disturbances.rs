//! Faults of links, leaders and heartbeats that delay calls without a fault of the worker.

use {
    super::{Cell, RESPONSE_TIMEOUT_MS, Scheduled, orders::describe},
    fuchsiatack_jobs::{CellCall, Effect, WorkerCallError, WorkerOrder, WorkerReport},
    fuchsiatack_model::WorkerName,
};

/// Largest time by which the leader's wall clock is ahead, in milliseconds. Steps between such times exceed the
/// retention period of ended jobs.
const MAX_CLOCK_LEAD_MS: u64 = 600_000;
/// Longest time between the end of a cut and the delivery of an order that the network held, in
/// milliseconds.
const DELIVERY_MS: u64 = 1_500;

impl Cell {
    /// Cuts a worker off from the leader, changes its address, pauses the leader, or steps the leader's wall clock,
    /// at random.
    pub(super) fn disturb(&mut self, name: &WorkerName) {
        if self.faults.leader_cuts && self.chance(true, 800) {
            let until_ms = self.now_ms + 200 + self.random_below(7_000);
            self.note(format!("{name} cut off from the leader until {until_ms}"));
            self.disrupt(until_ms);
            self.workers.get_mut(name).expect("workers stay").cut_until_ms = until_ms;
        }
        if self.faults.address_changes && self.chance(true, 600) {
            let worker = self.workers.get_mut(name).expect("workers stay");
            let port = worker.address.port() % 1_000 + 1;
            worker.address.set_port(port);
            self.note(format!("{name} has port {port}"));
        }
        if self.faults.clock_steps && self.chance(true, 600) {
            self.wall_clock_step_ms = self.random_below(MAX_CLOCK_LEAD_MS);
            self.note(format!("wall clock stepped to {} ms", self.wall_clock_step_ms));
        }
        if self.faults.leader_pauses && self.chance(true, 1_000) && self.planner.is_some() {
            let until_ms = self.now_ms + 100 + self.random_below(2_500);
            self.note(format!("leader paused until {until_ms}"));
            self.disrupt(until_ms);
            self.paused_until_ms = until_ms;
            self.leader_disrupted_ms = until_ms;
        }
    }

    pub(super) fn is_paused(&self) -> bool {
        self.now_ms < self.paused_until_ms
    }

    pub(super) fn forget_pause(&mut self) {
        self.paused_until_ms = 0;
        self.paused_events.clear();
    }

    /// Passes the events that arrived during a pause to the leader, in random order.
    pub(super) fn end_pause(&mut self) {
        if self.is_paused() {
            return;
        }
        let mut events = std::mem::take(&mut self.paused_events);
        while !events.is_empty() {
            let position = self.random_below(events.len() as u64) as usize;
            let event = events.swap_remove(position);
            self.handle(event);
        }
    }

    /// Sends the orders of a replaced leader after a pause.
    pub(super) fn send_after_pause(&mut self, effects: Vec<Effect>) {
        if !self.faults.leader_pauses {
            return;
        }
        let (term, sent_ms) = (self.term, self.now_ms);
        let delay_ms = 500 + self.random_below(5_500);
        for effect in effects {
            if let Effect::Order(order) = &effect {
                self.note(format!("sent {delay_ms} ms later: {}", describe(order)));
                self.disrupt(sent_ms + delay_ms);
                self.transmit(effect, false, false, delay_ms, sent_ms, term);
            }
        }
    }

    /// Sends a heartbeat, some of them late.
    pub(super) fn send_heartbeat(&mut self, report: WorkerReport) {
        let call = CellCall::Heartbeat(Box::new(report));
        if self.faults.late_heartbeats && self.random_below(8) == 0 {
            let at_ms = self.now_ms + 1 + self.random_below(5_000);
            self.schedule(at_ms, Scheduled::CellCall(Box::new(call)));
        } else {
            self.call(call);
        }
    }

    /// Repeats a leave after the worker may have registered again.
    pub(super) fn repeat_leave(&mut self, name: &WorkerName) {
        if self.faults.late_heartbeats {
            let at_ms = self.now_ms + 1 + self.random_below(6_000);
            let call = CellCall::Leave(name.clone());
            self.schedule(at_ms, Scheduled::CellCall(Box::new(call)));
        }
    }

    /// Delays an order to a worker that is cut off until the cut has ended. Returns the order if it is
    /// not held.
    pub(super) fn hold_order(
        &mut self,
        order: WorkerOrder,
        has_response: bool,
        is_late: bool,
        sent_ms: u64,
        term: u64,
    ) -> Option<WorkerOrder> {
        let worker = &self.workers[&order.to().worker];
        let until_ms = worker.cut_off_until_ms();
        let is_cut = until_ms > self.now_ms && worker.born_ms <= self.now_ms;
        if !self.faults.held_orders || !is_cut || self.random_below(2) == 0 {
            return Some(order);
        }
        self.note(format!("held until {until_ms}: {}", describe(&order)));
        if has_response {
            let response = order.failed(WorkerCallError::Unanswered);
            let event = order.clone().event(sent_ms, response);
            self.schedule(
                self.now_ms + RESPONSE_TIMEOUT_MS,
                Scheduled::Event { event, term },
            );
        }
        let at_ms = until_ms + 1 + self.random_below(DELIVERY_MS);
        let effect = Effect::Order(order);
        self.schedule(
            at_ms,
            Scheduled::Arrive {
                effect,
                has_response: false,
                is_late,
                sent_ms,
                term,
            },
        );
        None
    }
}
