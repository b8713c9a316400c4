//! Byte and frame counters of the traffic on the peer port.

use {
    crate::{Frame, Request, Response},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Direction of traffic as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficDirection {
    /// From a peer to this process.
    Received,
    /// From this process to a peer.
    Sent,
}

impl TrafficDirection {
    /// All directions in declaration order, which is the order of the counters.
    pub const ALL: [Self; 2] = [Self::Received, Self::Sent];

    /// Returns the metric label of the direction.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Sent => "sent",
        }
    }
}

/// Purpose of a frame or datagram. A reply has the kind of its call, except a `Refusal`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Job, worker or configuration call to the cell.
    Cell,
    /// Message of the consensus protocol.
    Consensus,
    /// Subscription to the directory.
    Follow,
    /// Formation of the cell and requests to join the store.
    Formation,
    /// Request forwarded to a peer, and cancellations.
    Forward,
    /// Load hint, by UDP.
    Hint,
    /// Probe of a silent connection.
    Ping,
    /// Command proposed to the store.
    Proposal,
    /// Changes pushed to a follower.
    Push,
    /// Read of the ledger.
    Query,
    /// Reply that a call failed or that its receiver is not the leader. Such a reply does not contain
    /// the kind of its call.
    Refusal,
    /// Renewal of a session.
    Renewal,
}

impl TrafficKind {
    /// All kinds in declaration order, which is the order of the counters.
    pub const ALL: [Self; 12] = [
        Self::Cell,
        Self::Consensus,
        Self::Follow,
        Self::Formation,
        Self::Forward,
        Self::Hint,
        Self::Ping,
        Self::Proposal,
        Self::Push,
        Self::Query,
        Self::Refusal,
        Self::Renewal,
    ];

    /// Returns the metric label of the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cell => "cell",
            Self::Consensus => "consensus",
            Self::Follow => "follow",
            Self::Formation => "formation",
            Self::Forward => "forward",
            Self::Hint => "hint",
            Self::Ping => "ping",
            Self::Proposal => "proposal",
            Self::Push => "push",
            Self::Query => "query",
            Self::Refusal => "refusal",
            Self::Renewal => "renewal",
        }
    }

    pub(crate) fn of(frame: &Frame) -> Self {
        match frame {
            Frame::Call { request, .. } => Self::of_request(request),
            // Usually only forwarded requests run long enough to be cancelled.
            Frame::Cancel { .. } => Self::Forward,
            Frame::Consensus(_) => Self::Consensus,
            Frame::Push { .. } => Self::Push,
            Frame::Reply { response, .. } => Self::of_response(response),
        }
    }

    fn of_request(request: &Request) -> Self {
        match request {
            Request::Cell(_) => Self::Cell,
            Request::Follow { .. } => Self::Follow,
            Request::Formation(_) | Request::Join { .. } => Self::Formation,
            Request::Forward(_) | Request::WorkersFreeOf { .. } => Self::Forward,
            Request::Ping => Self::Ping,
            Request::Propose(_) => Self::Proposal,
            Request::Query(_) => Self::Query,
            Request::Renew(_) => Self::Renewal,
        }
    }

    fn of_response(response: &Response) -> Self {
        match response {
            Response::Cell(_) => Self::Cell,
            Response::Failed { .. } | Response::NotLeader(_) => Self::Refusal,
            Response::Following => Self::Follow,
            Response::Formation(_) | Response::Joining => Self::Formation,
            Response::Forwarded(_) | Response::WorkersFreeOf(_) => Self::Forward,
            Response::Pong => Self::Ping,
            Response::Proposed { .. } => Self::Proposal,
            Response::Queried { .. } => Self::Query,
            Response::Renewed(_) => Self::Renewal,
        }
    }
}

struct TrafficCounter {
    bytes: AtomicU64,
    frames: AtomicU64,
}

impl TrafficCounter {
    const fn new() -> Self {
        Self {
            bytes: AtomicU64::new(0),
            frames: AtomicU64::new(0),
        }
    }
}

/// Traffic on the peer port since the start of this process.
///
/// Bytes include the length prefix and tag of a frame and the whole payload of a datagram. TCP, UDP
/// and IP headers and the handshake are not counted.
pub struct PeerTraffic {
    counters: [[TrafficCounter; TrafficKind::ALL.len()]; TrafficDirection::ALL.len()],
}

/// Counters of the process, which has one peer port. They are global, so that clients created for a
/// single subscription need no handle to them.
static PROCESS: PeerTraffic = PeerTraffic {
    counters: [const { [const { TrafficCounter::new() }; TrafficKind::ALL.len()] };
        TrafficDirection::ALL.len()],
};

impl PeerTraffic {
    /// Returns the counters of this process.
    pub fn global() -> &'static Self {
        &PROCESS
    }

    /// Returns the bytes of one direction and kind.
    pub fn bytes(&self, direction: TrafficDirection, kind: TrafficKind) -> u64 {
        self.counter(direction, kind).bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of frames or datagrams of one direction and kind.
    pub fn frames(&self, direction: TrafficDirection, kind: TrafficKind) -> u64 {
        self.counter(direction, kind).frames.load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, direction: TrafficDirection, kind: TrafficKind, bytes: usize) {
        let counter = self.counter(direction, kind);
        counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        counter.frames.fetch_add(1, Ordering::Relaxed);
    }

    fn counter(&self, direction: TrafficDirection, kind: TrafficKind) -> &TrafficCounter {
        &self.counters[direction as usize][kind as usize]
    }
}
