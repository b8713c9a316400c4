//! How long tasks take on one kind of worker.

/// Duration over estimate of a kind that has not run anything yet, in thousandths.
pub(crate) const NEUTRAL_SLOWNESS_THOUSANDTHS: u64 = 1_000;
/// Longest actual duration that counts, in thousandths of the estimate.
const MAX_SLOWNESS_THOUSANDTHS: u64 = 20_000;
/// Tasks from which the mean is used for judgements on single runs.
const MIN_SAMPLES: u64 = 10;
/// Tasks after which an older one counts little.
const WINDOW: u64 = 32;

/// Mean of actual over declared duration of the tasks on a kind of worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindSpeed {
    mean_thousandths: u64,
    samples: u64,
}

impl Default for KindSpeed {
    fn default() -> Self {
        Self {
            mean_thousandths: NEUTRAL_SLOWNESS_THOUSANDTHS,
            samples: 0,
        }
    }
}

impl KindSpeed {
    /// Takes the duration of a task that is done. The first ones count most, so that a leader
    /// knows its kinds of workers within a second.
    pub fn record(&mut self, ran_ms: u64, estimated_ms: u64) {
        let slowness =
            (ran_ms * NEUTRAL_SLOWNESS_THOUSANDTHS / estimated_ms.max(1)).min(MAX_SLOWNESS_THOUSANDTHS);
        let before = self.samples.min(WINDOW - 1);
        self.mean_thousandths = (self.mean_thousandths * before + slowness) / (before + 1);
        self.samples += 1;
    }

    /// Mean of actual over declared duration in thousandths.
    pub fn slowness_thousandths(&self) -> u64 {
        self.mean_thousandths.max(1)
    }

    /// Returns whether enough tasks were done to update_health others by them.
    pub fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}
