//! Bound of the log's volume.

use std::collections::HashMap;

/// Lines of one event that are written in a second. On-call engineers need the first lines of a
/// change in behaviour; a burst of equal lines adds little and costs processor time.
const LINES_PER_SECOND: u32 = 40;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is left out and counted.
    Suppress,
    /// It is written. `suppressed` lines of its event were left out since the last one.
    Write {
        /// Number of lines that were left out.
        suppressed: u32,
    },
}

#[derive(Default)]
struct Count {
    second: u64,
    suppressed: u32,
    written: u32,
}

/// Counts the lines of each event.
#[derive(Default)]
pub struct LogBudget {
    counts: HashMap<&'static str, Count>,
}

impl LogBudget {
    /// Decides on a line of an event at a time in seconds.
    pub fn decide(&mut self, second: u64, event: &'static str) -> Verdict {
        let count = self.counts.entry(event).or_default();
        if count.second != second {
            count.second = second;
            count.written = 0;
        }
        if count.written >= LINES_PER_SECOND {
            count.suppressed += 1;
            return Verdict::Suppress;
        }
        count.written += 1;
        Verdict::Write {
            suppressed: std::mem::take(&mut count.suppressed),
        }
    }
}
