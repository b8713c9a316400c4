//! How fast a run advances, from the lists of its worker.

/// Readings closer together than this say little of a pace, in milliseconds.
const MIN_SPAN_MS: u64 = 250;
/// Longest span over which the pace is taken if lists come often, in milliseconds. A worker may turn slow at any moment.
const SPAN_MS: u64 = 800;

/// A listed progress.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Reading {
    /// The worker's steady clock.
    clock_ms: u64,
    percent: u32,
}

/// Progress of a run, by its worker's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// Begin of the span over which the pace is taken.
    begin: Option<Reading>,
    last: Option<Reading>,
    /// Next begin of the span.
    middle: Option<Reading>,
    /// First reading of the present percentage.
    moved: Option<Reading>,
}

impl Progress {
    /// Takes a listed progress. Lists may overtake each other, so an older one is left out.
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

    /// Share that is done, in percent.
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

    /// Time that the whole run takes at its present pace, in milliseconds; `None` if that is not
    /// known yet or it stands still.
    pub fn total_ms(&self) -> Option<u64> {
        let (begin, last) = (self.begin?, self.last?);
        let span_ms = last.clock_ms - begin.clock_ms;
        let percent = last.percent.checked_sub(begin.percent)?;
        (span_ms >= MIN_SPAN_MS && percent > 0).then(|| span_ms * 100 / u64::from(percent))
    }

    /// Time to the end at the present pace, in milliseconds.
    pub fn remaining_ms(&self) -> Option<u64> {
        let remaining_percent = 100_u64.saturating_sub(self.percent().into());
        self.total_ms().map(|total_ms| total_ms * remaining_percent / 100)
    }
}
