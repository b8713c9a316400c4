//! Errors of commands and their exit codes.

use displaydoc::Display;

/// Reason why a command failed. Each variant has its own exit code, and its doc comment is the
/// message on standard error.
#[derive(Debug, Display)]
pub(crate) enum CliError {
    /// internal error: {message}
    Internal {
        /// Cause of the error, with the server if one is involved.
        message: String,
    },
    /// rejected by {server}: {message}
    Rejected {
        /// Message of the server and its HTTP status.
        message: String,
        /// Address of the server.
        server: String,
    },
    /// no server could be reached: {attempts}
    Unreachable {
        /// Address and error of each server, separated by semicolons.
        attempts: String,
    },
    /// {message}
    Usage {
        /// Error in the command line or in a file that it names.
        message: String,
    },
}

impl CliError {
    /// Creates a usage error.
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Internal { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Rejected { .. } => 3,
            Self::Unreachable { .. } => 4,
        }
    }
}

impl std::error::Error for CliError {}
