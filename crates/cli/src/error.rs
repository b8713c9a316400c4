//! Errors of the command line.

use displaydoc::Display;

/// Why a command failed. Each variant has its own exit code.
#[derive(Debug, Display)]
pub(crate) enum CliError {
    /// internal error: {message}
    Internal {
        /// What happened.
        message: String,
    },
    /// rejected by {server}: {message}
    Rejected {
        /// What the server said.
        message: String,
        /// The server.
        server: String,
    },
    /// no server could be reached: {attempts}
    Unreachable {
        /// Each server and what went wrong with it.
        attempts: String,
    },
    /// {message}
    Usage {
        /// What is wrong with the command line or a file that it names.
        message: String,
    },
}

impl CliError {
    /// Builds a usage error.
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    /// Exit code of the process.
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
