//! Bound of the log's volume.

use std::collections::HashMap;

/// Lines of one event that are written in a second. On-call engineers need the first lines of a
/// change in behaviour; a burst of equal lines adds little and costs processor time.
const LINES_PER_SECOND: u32 = 40;
/// Lines of one event about sampled jobs that are written in a second beyond that, so that the whole
/// story of some jobs is there under any load.
const SAMPLED_LINES_PER_SECOND: u32 = 40;
/// Last digit of the jobs that are sampled: one in sixteen, the same on all daemons.
const SAMPLED_DIGIT: char = '0';

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

/// Returns whether a job's lines are kept under load. `job` ends with its number.
pub fn is_sampled(job: &str) -> bool {
    job.ends_with(SAMPLED_DIGIT)
}

#[derive(Default)]
struct Count {
    sampled: u32,
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
    /// Decides on a line of an event at a time in seconds. `is_sampled` tells that it is about a
    /// sampled job.
    pub fn decide(&mut self, second: u64, event: &'static str, is_sampled: bool) -> Verdict {
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
                return Verdict::Suppress;
            }
        }
        Verdict::Write {
            suppressed: std::mem::take(&mut count.suppressed),
        }
    }
}
