//! Budget of retries of idempotent requests, which limits the load that retries add.

/// Credit that each request adds to the budget, in hundredths of a retry.
const CREDIT_HUNDREDTHS: u64 = 10;
/// Upper bound of the budget, in hundredths of a retry: ten retries.
const MAX_HUNDREDTHS: u64 = 1_000;
const RETRY_COST_HUNDREDTHS: u64 = 100;

/// Allows one retry for every ten requests, so that retries cannot amplify an overload.
pub(crate) struct RetryBudget {
    hundredths: u64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        Self {
            hundredths: MAX_HUNDREDTHS,
        }
    }

    /// Adds the credit of one request.
    pub(crate) fn credit_request(&mut self) {
        self.hundredths = (self.hundredths + CREDIT_HUNDREDTHS).min(MAX_HUNDREDTHS);
    }

    /// Takes one retry out of the budget. Returns false if the budget is exhausted.
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
