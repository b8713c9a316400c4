//! Datagrams with load hints.

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

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_400;
const PURPOSE: &str = "load hint";

/// Socket that sends and receives load hints.
pub struct HintSocket {
    /// Datagrams dropped for a wrong tag or content.
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
            key: secret.derive(PURPOSE, &[]),
            socket,
        })
    }

    /// Address that is bound, with the port that the system chose if the setting was 0.
    pub fn local_address(&self) -> Result<SocketAddr, WireError> {
        Ok(self.socket.local_addr()?)
    }

    /// Receives the next hint with a valid tag. Others are dropped and counted.
    ///
    /// A replayed hint passes here; receivers drop it by its session and sequence.
    pub async fn receive(&self) -> Result<LoadHint, WireError> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await?;
            match self.decode(&buffer[..length]) {
                Some(hint) => {
                    count(TrafficDirection::Received, length);
                    return Ok(hint);
                }
                None => self.dropped_datagrams.fetch_add(1, Ordering::Relaxed),
            };
        }
    }

    /// Sends a hint to a peer. Errors of the network are ignored, since hints are soft state.
    pub async fn send(&self, peer: SocketAddr, hint: &LoadHint) -> Result<(), WireError> {
        let mut datagram = postcard::to_stdvec(hint)?;
        let tag = self.key.tag(0, &datagram);
        datagram.extend_from_slice(&tag);
        if let Ok(length) = self.socket.send_to(&datagram, peer).await {
            count(TrafficDirection::Sent, length);
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

fn count(direction: TrafficDirection, bytes: usize) {
    PeerTraffic::global().add(direction, TrafficKind::Hint, bytes);
}
