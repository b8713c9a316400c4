//! Measures how long tasks take on one kind of worker, compared with their estimates.

/// Ratio of duration to estimate for a kind of worker without samples, in thousandths.
pub(crate) const NEUTRAL_SLOWNESS_THOUSANDTHS: u64 = 1_000;
/// Ratio at which a single sample is capped, in thousandths.
const MAX_SLOWNESS_THOUSANDTHS: u64 = 20_000;
/// Number of samples from which the mean is used to judge single runs.
const MIN_SAMPLES: u64 = 10;
/// Number of samples over which the mean is taken; older ones lose weight.
const WINDOW: u64 = 32;

/// Mean ratio of actual to estimated duration of the tasks on one kind of worker.
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
    /// Adds the duration of a task that is done. The first samples weigh most, so that a new leader
    /// knows its kinds of workers within a second.
    pub fn record(&mut self, ran_ms: u64, estimated_ms: u64) {
        let slowness =
            (ran_ms * NEUTRAL_SLOWNESS_THOUSANDTHS / estimated_ms.max(1)).min(MAX_SLOWNESS_THOUSANDTHS);
        let before = self.samples.min(WINDOW - 1);
        self.mean_thousandths = (self.mean_thousandths * before + slowness) / (before + 1);
        self.samples += 1;
    }

    /// Mean ratio of actual to estimated duration, in thousandths; at least 1.
    pub fn slowness_thousandths(&self) -> u64 {
        self.mean_thousandths.max(1)
    }

    /// Returns whether there are enough samples to judge single runs by the mean.
    pub fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}
