//! Errors at the start of a daemon.

use {displaydoc::Display, fuchsiatack_store::StoreError, fuchsiatack_wire::WireError, std::net::SocketAddr};

/// Why a daemon cannot start.
#[derive(Debug, Display)]
pub enum CellError {
    /// cannot bind {address}: {message}
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error text of the operating system.
        message: String,
    },
    /// cannot set up the HTTP client: {0}
    Client(String),
    /// cannot set up logging: {0}
    Log(String),
    /// store: {0}
    Store(StoreError),
    /// peer port: {0}
    Wire(WireError),
}

impl From<StoreError> for CellError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<WireError> for CellError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

impl std::error::Error for CellError {}
