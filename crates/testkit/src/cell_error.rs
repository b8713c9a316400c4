//! Errors of the cell builder.

use std::{
    fmt::{Display, Formatter, Result},
    io,
};

/// What went wrong in a cell of a test.
#[derive(Debug)]
pub enum CellError {
    /// A call to a daemon failed or had an unexpected answer.
    Call {
        /// Method and address.
        call: String,
        /// Status and body, or the error of the connection.
        cause: String,
    },
    /// A file or process operation failed.
    Io(io::Error),
    /// A condition did not come true in time.
    TimedOut {
        /// What was waited for.
        condition: String,
        /// Last state seen.
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
