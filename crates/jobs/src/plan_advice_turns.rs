//! Gives steps that have waited long for a daemon their turn.
//!
//! Handles late steps and gangs in an overload of slow requests: late steps come last in the order of
//! placement, and a gang needs several daemons at once, so that steps that ask for one take each daemon that
//! becomes free.

use crate::{Planner, StepId, WaitReason, step_view::StepAdvice};

/// Wait for a daemon from which a step gets the next ones, in milliseconds.
const OVERDUE_MS: u64 = 2_000;
/// Interval between two such turns in milliseconds. It leaves most of the daemons of a large cell to the order
/// of placement when all steps wait for long.
const TURN_MS: u64 = 100;

impl Planner {
    /// Chooses the step that has waited longest for a daemon, those of an earlier priority and then those with
    /// reserved room first, and tries it.
    /// Until it has its requests, other steps of its priority and later ones leave it the daemons it needs.
    pub(crate) fn place_overdue_request(&mut self) {
        let now_ms = self.now_ms;
        self.overdue_request = None;
        if now_ms < self.overdue_turn_ms {
            return;
        }
        let overdue = self.steps.iter().filter_map(|(step, view)| {
            let since_ms = view.advice.sender_wait_since_ms?;
            let may_ask = !view.waiting.is_empty()
                && view.advice.requests.is_empty()
                && now_ms >= view.advice.request_due_ms;
            let is_overdue = may_ask && now_ms >= since_ms + OVERDUE_MS;
            is_overdue.then_some((view.priority, !self.has_room(*step), since_ms, *step))
        });
        let Some((priority, .., step)) = overdue.min() else {
            return;
        };
        self.overdue_request = Some((priority, step));
        let kept_free_percent = self.kept_free_percent(step);
        // The view records why the step still waits.
        let _ = self.try_step(step, kept_free_percent);
        let view = self.steps.get(&step);
        if view.is_none_or(|view| view.advice.sender_wait_since_ms.is_none()) {
            self.end_overdue_turn(step);
        }
    }

    fn is_gang(&self, step: StepId) -> bool {
        let job = self.store.jobs.get(&step.job);
        job.and_then(|job| job.step(step.step))
            .is_some_and(|spec| spec.gang)
    }

    /// Returns whether a step has reserved room.
    fn has_room(&self, step: StepId) -> bool {
        let reservation = self.reservations.get(step);
        reservation.is_some_and(|present| present.ready_ms.is_some())
    }

    /// Ends the turn of a step once it has its requests, or needs none.
    pub(crate) fn end_overdue_turn(&mut self, step: StepId) {
        if self.overdue_request.is_some_and(|(_, overdue)| overdue == step) {
            self.overdue_request = None;
            self.overdue_turn_ms = self.now_ms + TURN_MS;
        }
    }

    /// Returns the number of daemons that a step leaves to one whose turn it is.
    pub(crate) fn daemons_left_free(&self, step: StepId) -> usize {
        let Some((priority, overdue)) = self.overdue_request.filter(|(_, overdue)| *overdue != step) else {
            return 0;
        };
        let is_before = self.steps.get(&step).is_some_and(|view| view.priority < priority);
        match self.steps.get(&overdue) {
            // The reserved room of a gang is idle until its tickets are there.
            Some(view) if !is_before && !self.is_gang(step) => view.advice.daemons_needed.max(1),
            Some(_) | None => 0,
        }
    }
}

impl StepAdvice {
    /// Records what a step waits for after an attempt to place it.
    pub(crate) fn observe_attempt(&mut self, now_ms: u64, result: Result<(), WaitReason>) {
        match result {
            Err(WaitReason::NoAdviceSender) => {
                self.sender_wait_since_ms.get_or_insert(now_ms);
            }
            Err(WaitReason::AdvicePause) => {}
            Ok(()) | Err(_) => self.sender_wait_since_ms = None,
        }
    }
}
