//! Room under the limit of a team that its batch work leaves to its urgent work.
//!
//! Handles urgent steps that arrive one after the other at a team whose batch tasks fill its limit: each
//! would wait until a batch task ends, and batch tasks last far longer than urgent ones.

use fuchsiatack_model::Resources;

/// Time after which no room is kept for past urgent work, in milliseconds. Until then the kept room falls
/// evenly, so that the steps of one burst and the next find it, and batch work soon has it back.
const KEPT_MS: u64 = 3_000;
/// Maximum room that is kept for urgent work which does not wait yet, in percent of the limit.
const MAX_KEPT_PERCENT: u64 = 50;

/// What the urgent work of a team has needed lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UrgentRoom {
    /// Time at which `needed` was measured, in milliseconds.
    measured_ms: u64,
    needed: Option<Resources>,
}

impl UrgentRoom {
    /// Takes into account what the urgent work of the team needs now, at work or waiting.
    pub(crate) fn observe(&mut self, now_ms: u64, needed: &Resources) {
        let recent = self.recent(now_ms);
        match *needed {
            Resources::NONE if recent == Resources::NONE => self.needed = None,
            present if covers_limited(&present, &recent) => {
                self.measured_ms = now_ms;
                self.needed = Some(present);
            }
            _ => {}
        }
    }

    /// Returns the room under `limit` that batch work leaves: what waiting urgent work needs, and a bounded
    /// part of what urgent work has needed lately beyond `used`, which is what it has now.
    pub(crate) fn kept(
        &self,
        now_ms: u64,
        limit: &Resources,
        used: &Resources,
        waiting: &Resources,
    ) -> Resources {
        let recent = self.recent(now_ms);
        let kept = |recent: u64, limit: u64, used: u64, waiting: u64| {
            let bound = limit * MAX_KEPT_PERCENT / 100;
            recent.min(bound).saturating_sub(used).max(waiting)
        };
        let kept_u32 = |recent: u32, limit: u32, used: u32, waiting: u32| {
            kept(recent.into(), limit.into(), used.into(), waiting.into()) as u32
        };
        Resources {
            accelerators: kept_u32(
                recent.accelerators,
                limit.accelerators,
                used.accelerators,
                waiting.accelerators,
            ),
            memory_bytes: kept(
                recent.memory_bytes,
                limit.memory_bytes,
                used.memory_bytes,
                waiting.memory_bytes,
            ),
            processors_millis: kept_u32(
                recent.processors_millis,
                limit.processors_millis,
                used.processors_millis,
                waiting.processors_millis,
            ),
            ..Resources::NONE
        }
    }

    fn recent(&self, now_ms: u64) -> Resources {
        let Some(needed) = self.needed else {
            return Resources::NONE;
        };
        let left_ms = (self.measured_ms + KEPT_MS).saturating_sub(now_ms).min(KEPT_MS);
        let part = |amount: u64| (u128::from(amount) * u128::from(left_ms) / u128::from(KEPT_MS)) as u64;
        Resources {
            accelerators: part(needed.accelerators.into()) as u32,
            memory_bytes: part(needed.memory_bytes),
            processors_millis: part(needed.processors_millis.into()) as u32,
            ..Resources::NONE
        }
    }
}

/// Returns whether `present` is at least `recent` in each resource that a limit may have.
fn covers_limited(present: &Resources, recent: &Resources) -> bool {
    present.accelerators >= recent.accelerators
        && present.memory_bytes >= recent.memory_bytes
        && present.processors_millis >= recent.processors_millis
}
