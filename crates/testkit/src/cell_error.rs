//! Errors of test cells.

use std::{
    fmt::{Display, Formatter, Result},
    io,
};

/// Error of an operation on a test cell.
#[derive(Debug)]
pub enum CellError {
    /// A request to a daemon or worker failed or returned an unexpected response.
    Call {
        /// Method and URL.
        call: String,
        /// Status and body of the response, or the connection error.
        cause: String,
    },
    /// A file or process operation failed.
    Io(io::Error),
    /// A condition did not become true in time.
    TimedOut {
        /// Condition that was waited for.
        condition: String,
        /// Last result of the condition.
        last: String,
    },
}

impl Display for CellError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self {
            Self::Call { call, cause } => write!(formatter, "{call}: {cause}"),
            Self::Io(error) => write!(formatter, "file or process operation: {error}"),
            Self::TimedOut { condition, last } => {
                write!(
                    formatter,
                    "timed out while waiting until {condition}; last seen: {last}"
                )
            }
        }
    }
}

impl std::error::Error for CellError {}

impl From<io::Error> for CellError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
