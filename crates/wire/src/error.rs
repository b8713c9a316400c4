//! Errors of the transports.

use {displaydoc::Display, std::net::SocketAddr};

/// What went wrong between two daemons.
#[derive(Debug, Display)]
pub enum WireError {
    /// the peer did not prove that it holds the cell's secret
    Authentication,
    /// cannot bind {address}: {source}
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// the connection was lost; whether the call took effect is not known
    ConnectionLost,
    /// cannot decode a frame: {0}
    Malformed(postcard::Error),
    /// the call was not sent, since {0} cannot be reached
    NotSent(SocketAddr),
    /// a frame of {0} bytes is longer than the limit
    Oversized(usize),
    /// connection error: {0}
    Socket(std::io::Error),
    /// no answer in time; whether the call took effect is not known
    TimedOut,
}

impl WireError {
    /// Returns whether the call certainly had no effect on the receiver.
    pub fn had_no_effect(&self) -> bool {
        matches!(self, Self::Authentication | Self::NotSent(_) | Self::Oversized(_))
    }
}

impl From<postcard::Error> for WireError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error)
    }
}

impl From<std::io::Error> for WireError {
    fn from(error: std::io::Error) -> Self {
        Self::Socket(error)
    }
}

impl std::error::Error for WireError {}
