//! Results of a run of the load generator.

use {
    crate::{AttemptOutcome, CallerEvent},
    fuchsiatack_model::TeamName,
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        fmt::{Display, Formatter, Result},
    },
};

/// Longest wait that the histograms distinguish, in microseconds; longer ones count as this one.
const MAX_WAIT_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcomes and waits of one team's requests.
#[derive(Clone, Debug)]
pub struct TeamReport {
    /// Number of requests by the outcome of their last attempt.
    pub counts: BTreeMap<AttemptOutcome, u64>,
    /// Waits of the completed requests from their due time to the response, in microseconds.
    pub waits: Histogram<u64>,
}

impl Default for TeamReport {
    fn default() -> Self {
        Self {
            counts: BTreeMap::new(),
            waits: Histogram::new_with_max(MAX_WAIT_US, SIGNIFICANT_DIGITS).expect("the limits are valid"),
        }
    }
}

/// Outcomes and waits of a run. `Display` formats a table.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests that were due but not sent because all callers were busy; open loop only.
    pub skipped: u64,
    /// Attempts beyond the first one of each request.
    pub resends: u64,
    /// Results by team.
    pub teams: BTreeMap<TeamName, TeamReport>,
    /// Responses `done` that were incomplete or belonged to another request.
    pub wrong_responses: u64,
}

impl LoadReport {
    /// Adds one attempt.
    pub fn add(&mut self, event: &CallerEvent) {
        if event.attempt > 1 {
            self.resends += 1;
        }
        if event.seen == AttemptOutcome::Done && !(event.whole && event.own) {
            self.wrong_responses += 1;
        }
        if !event.last {
            return;
        }
        let team = self.teams.entry(event.team.clone()).or_default();
        *team.counts.entry(event.seen).or_default() += 1;
        if event.seen == AttemptOutcome::Done {
            team.waits.saturating_record(event.wait_us);
        }
    }

    /// Number of requests of all teams whose last attempt had this outcome.
    pub fn count(&self, seen: AttemptOutcome) -> u64 {
        let counts = self.teams.values().filter_map(|team| team.counts.get(&seen));
        counts.sum()
    }
}

impl Display for LoadReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{:<16}", "team")?;
        for seen in AttemptOutcome::ALL {
            write!(formatter, "{:>9}", seen.as_str())?;
        }
        for column in ["p50 ms", "p90 ms", "p99 ms", "max ms"] {
            write!(formatter, "{column:>10}")?;
        }
        for (name, team) in &self.teams {
            write!(formatter, "\n{:<16}", name.as_str())?;
            for seen in AttemptOutcome::ALL {
                write!(formatter, "{:>9}", team.counts.get(&seen).unwrap_or(&0))?;
            }
            let waits = &team.waits;
            for wait_us in [
                waits.value_at_quantile(0.5),
                waits.value_at_quantile(0.9),
                waits.value_at_quantile(0.99),
                waits.max(),
            ] {
                write!(formatter, "{:>10.1}", wait_us as f64 / 1_000.0)?;
            }
        }
        write!(
            formatter,
            "\nresends {}, skipped {}, wrong responses {}",
            self.resends, self.skipped, self.wrong_responses
        )
    }
}
