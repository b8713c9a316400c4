//! Measures the progress and speed of a run from the reports of its worker.

/// Minimum time between the two readings from which a speed is computed, in milliseconds. Readings
/// closer together give no reliable speed.
const MIN_SPAN_MS: u64 = 250;
/// Maximum span over which the speed is measured if readings are frequent, in milliseconds. It is
/// short because a worker may become slow at any moment.
const SPAN_MS: u64 = 800;

/// A reported progress.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reading {
    /// Reading of the worker's monotonic clock.
    clock_ms: u64,
    percent: u32,
}

/// Progress of a run, timed by its worker's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// Start of the span over which the speed is measured.
    begin: Option<Reading>,
    last: Option<Reading>,
    /// Start of the next span.
    middle: Option<Reading>,
    /// First reading with the present percentage.
    moved: Option<Reading>,
}

impl Progress {
    /// Adds a reported progress. Reports may overtake each other, so that readings no newer than
    /// the last one are ignored.
    pub fn observe(&mut self, clock_ms: u64, percent: u32) {
        let reading = Reading { clock_ms, percent };
        let Some(last) = self.last else {
            *self = Self {
                begin: Some(reading),
                last: Some(reading),
                middle: Some(reading),
                moved: Some(reading),
            };
            return;
        };
        if clock_ms <= last.clock_ms {
            return;
        }
        let is_due = |middle: Reading| last.clock_ms >= middle.clock_ms + SPAN_MS / 2;
        if self.middle.is_none_or(is_due) {
            self.begin = self.middle;
            self.middle = Some(last);
        }
        if percent != last.percent {
            self.moved = Some(reading);
        }
        self.last = Some(reading);
    }

    /// Completed part of the task in percent; 0 before the first report.
    pub fn percent(&self) -> u32 {
        self.last.map_or(0, |last| last.percent)
    }

    /// Time for which the percentage has not changed, in milliseconds.
    pub fn stalled_ms(&self) -> u64 {
        match (self.moved, self.last) {
            (Some(moved), Some(last)) => last.clock_ms - moved.clock_ms,
            _ => 0,
        }
    }

    /// Duration of the whole run at its present speed, in milliseconds; `None` if the speed is not
    /// known yet or the run makes no progress.
    pub fn total_ms(&self) -> Option<u64> {
        let (begin, last) = (self.begin?, self.last?);
        let span_ms = last.clock_ms - begin.clock_ms;
        let percent = last.percent.checked_sub(begin.percent)?;
        (span_ms >= MIN_SPAN_MS && percent > 0).then(|| span_ms * 100 / u64::from(percent))
    }

    /// Time to the end of the run at its present speed, in milliseconds; `None` if the speed is not
    /// known.
    pub fn remaining_ms(&self) -> Option<u64> {
        let remaining_percent = 100_u64.saturating_sub(self.percent().into());
        self.total_ms().map(|total_ms| total_ms * remaining_percent / 100)
    }
}
