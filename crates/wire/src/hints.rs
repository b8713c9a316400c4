//! UDP socket for authenticated load hints.

use {
    crate::{
        CellSecret, LoadHint, PeerTraffic, TrafficDirection, TrafficKind, WireError, cell_secret::TAG_BYTES,
    },
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
    },
    tokio::net::UdpSocket,
};

/// Largest datagram that is received, in bytes; a longer one is truncated and fails its tag.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Purpose from which the key of the tags is derived.
const KEY_PURPOSE: &str = "load hint";

/// Socket that sends and receives load hints.
pub struct HintSocket {
    /// Number of datagrams dropped because of an invalid tag or body.
    pub dropped_datagrams: AtomicU64,
    key: CellSecret,
    socket: UdpSocket,
}

impl HintSocket {
    /// Binds the UDP side of the peer port.
    pub async fn bind(address: SocketAddr, secret: &CellSecret) -> Result<Self, WireError> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| WireError::Bind { address, source })?;
        Ok(Self {
            dropped_datagrams: AtomicU64::default(),
            key: secret.derive(KEY_PURPOSE, &[]),
            socket,
        })
    }

    /// Returns the bound address, with the port that the system chose if port 0 was requested.
    pub fn local_address(&self) -> Result<SocketAddr, WireError> {
        Ok(self.socket.local_addr()?)
    }

    /// Receives the next valid hint. Invalid datagrams are dropped and counted.
    ///
    /// Replayed hints are not detected here; the receiver drops them by session and sequence.
    pub async fn receive(&self) -> Result<LoadHint, WireError> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await?;
            match self.decode(&buffer[..length]) {
                Some(hint) => {
                    count_datagram(TrafficDirection::Received, length);
                    return Ok(hint);
                }
                None => self.dropped_datagrams.fetch_add(1, Ordering::Relaxed),
            };
        }
    }

    /// Sends a hint to a peer. Network errors are ignored, since a lost hint only makes requests wait
    /// longer.
    pub async fn send(&self, peer: SocketAddr, hint: &LoadHint) -> Result<(), WireError> {
        let mut datagram = postcard::to_stdvec(hint)?;
        let tag = self.key.tag(0, &datagram);
        datagram.extend_from_slice(&tag);
        if let Ok(length) = self.socket.send_to(&datagram, peer).await {
            count_datagram(TrafficDirection::Sent, length);
        }
        Ok(())
    }

    fn decode(&self, datagram: &[u8]) -> Option<LoadHint> {
        let (body, tag) = datagram.split_at_checked(datagram.len().checked_sub(TAG_BYTES)?)?;
        match self.key.verify(0, body, tag) {
            true => postcard::from_bytes(body).ok(),
            false => None,
        }
    }
}

fn count_datagram(direction: TrafficDirection, bytes: usize) {
    PeerTraffic::global().add(direction, TrafficKind::Hint, bytes);
}
