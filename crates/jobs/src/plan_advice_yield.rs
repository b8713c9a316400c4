//! Follows whether the tickets of a step start any of its tasks.
//!
//! Handles steps whose tickets expire unused again and again, since others take their room first or since it
//! is not free when it was expected. Such a step lets others use the daemons for a while, longer each time.

use crate::{Planner, step_view::StepAdvice};

/// Number of rounds of tickets without a start in a row from which a step stands back.
const MAX_UNUSED_ROUNDS: u32 = 2;
/// Time for which a step stands back after that many rounds, in milliseconds. It doubles with each further
/// one.
const STAND_BACK_MS: u64 = 500;
/// Longest time for which a step stands back, in milliseconds. Callers may expect a ready task to start within
/// 3 s where there is room, and the wait for a daemon and its response follows the pause.
const MAX_STAND_BACK_MS: u64 = 1_000;

impl Planner {
    /// Ends the rounds of which all tickets have expired without a start. Steps of the first priority and
    /// lasting ones never stand back, nor do those that have reserved room, which would be idle meanwhile.
    pub(crate) fn end_unused_rounds(&mut self) {
        let now_ms = self.now_ms;
        let top_priority = self.top_priority();
        for (step, view) in &mut self.steps {
            if view.advice.unused_calls == 0 || view.waiting.is_empty() || !view.advice.is_round_over(now_ms)
            {
                continue;
            }
            self.calls_without_start += u64::from(std::mem::take(&mut view.advice.unused_calls));
            if !std::mem::take(&mut view.advice.is_start_expected) {
                continue;
            }
            view.advice.unused_rounds += 1;
            let has_room = self
                .reservations
                .get(*step)
                .is_some_and(|room| room.ready_ms.is_some());
            if !has_room && !view.is_long_running && Some(view.priority) != top_priority {
                let pause_ms = stand_back_ms(view.advice.unused_rounds);
                view.advice.request_due_ms = view.advice.request_due_ms.max(now_ms + pause_ms);
            }
        }
    }
}

impl StepAdvice {
    /// Records that tasks of the step were started.
    pub(crate) fn record_start(&mut self) {
        self.is_start_expected = false;
        self.unused_calls = 0;
        self.unused_rounds = 0;
    }

    fn is_round_over(&self, now_ms: u64) -> bool {
        self.requests.is_empty() && !self.has_ticket(now_ms)
    }
}

fn stand_back_ms(unused_rounds: u32) -> u64 {
    match unused_rounds.checked_sub(MAX_UNUSED_ROUNDS) {
        None => 0,
        Some(more) => (STAND_BACK_MS << more.min(8)).min(MAX_STAND_BACK_MS),
    }
}
