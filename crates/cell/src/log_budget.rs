//! Limit on the number of log lines per event and second.

use std::collections::HashMap;

/// Lines that are written per event and second. On-call engineers need the first lines of a change in
/// behaviour; a burst of lines of the same event adds little and costs processor time.
const LINES_PER_SECOND: u32 = 40;
/// Additional lines about sampled jobs that are written per event and second, so that the log has all
/// events of some jobs even under high load.
const SAMPLED_LINES_PER_SECOND: u32 = 40;
/// Last hexadecimal digit of sampled job identifiers: one job in sixteen, the same on all daemons.
const SAMPLED_DIGIT: char = '0';

/// Decision on a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogDecision {
    /// The line is not written, but counted.
    Suppress,
    /// The line is written.
    Write {
        /// Number of lines of the event that were suppressed since the last written one.
        suppressed: u32,
    },
}

/// Returns whether a job is sampled. `job` is a job identifier or a path that ends with one.
pub fn is_sampled(job: &str) -> bool {
    job.ends_with(SAMPLED_DIGIT)
}

#[derive(Default)]
struct EventCounts {
    sampled: u32,
    second: u64,
    suppressed: u32,
    written: u32,
}

/// Counts the lines of each event in the current second.
#[derive(Default)]
pub struct LogBudget {
    counts: HashMap<&'static str, EventCounts>,
}

impl LogBudget {
    /// Decides whether a line of an event is written. `second` is the current time in seconds, and
    /// `is_sampled` whether the line is about a sampled job.
    pub fn decide(&mut self, second: u64, event: &'static str, is_sampled: bool) -> LogDecision {
        let count = self.counts.entry(event).or_default();
        if count.second != second {
            count.second = second;
            count.sampled = 0;
            count.written = 0;
        }
        match (count.written < LINES_PER_SECOND, is_sampled) {
            (true, _) => count.written += 1,
            (false, true) if count.sampled < SAMPLED_LINES_PER_SECOND => count.sampled += 1,
            (false, _) => {
                count.suppressed += 1;
                return LogDecision::Suppress;
            }
        }
        LogDecision::Write {
            suppressed: std::mem::take(&mut count.suppressed),
        }
    }
}
