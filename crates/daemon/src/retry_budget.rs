//! Budget of retries.

/// Part of a retry that each request earns, in hundredths.
const CREDIT_HUNDREDTHS: u64 = 10;
/// Most that the budget collects, in hundredths: ten retries.
const MAX_HUNDREDTHS: u64 = 1_000;
const RETRY_COST_HUNDREDTHS: u64 = 100;

/// Allows one retry for ten requests, so that retries cannot multiply an overload.
pub(crate) struct RetryBudget {
    hundredths: u64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self {
            hundredths: MAX_HUNDREDTHS,
        }
    }

    /// Notes a request.
    pub(crate) fn credit_request(&mut self) {
        self.hundredths = (self.hundredths + CREDIT_HUNDREDTHS).min(MAX_HUNDREDTHS);
    }

    /// Takes one retry out of the budget, if there is one.
    pub(crate) fn try_take(&mut self) -> bool {
        match self.hundredths.checked_sub(RETRY_COST_HUNDREDTHS) {
            Some(left) => {
                self.hundredths = left;
                true
            }
            None => false,
        }
    }
}
