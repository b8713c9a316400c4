//! Errors that prevent the start of a daemon.

use {crate::SettingsError, displaydoc::Display, fuchsiatack_wire::WireError};

/// Reason why a daemon could not start.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {message}
    Bind {
        /// IP address and port, or a description of the listener.
        address: String,
        /// Error of the operating system.
        message: String,
    },
    /// cannot set up the HTTP client: {0}
    HttpClient(String),
    /// cannot set up the log: {0}
    Log(String),
    /// cannot open the peer port: {0}
    Peer(WireError),
    /// invalid settings: {0}
    Settings(SettingsError),
    /// cannot start the store role: {0}
    Store(String),
    /// cannot set up the traces: {0}
    Traces(String),
}

impl DaemonError {
    pub(crate) fn log(error: spdlog::Error) -> Self {
        Self::Log(error.to_string())
    }
}

impl From<SettingsError> for DaemonError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}

impl From<WireError> for DaemonError {
    fn from(error: WireError) -> Self {
        Self::Peer(error)
    }
}

impl std::error::Error for DaemonError {}
