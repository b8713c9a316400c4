//! Counters of the traffic on the peer port.

use {
    crate::{Frame, Request, Response},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Direction of traffic, seen from this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficDirection {
    /// Read by this process.
    Received,
    /// Written by this process.
    Sent,
}

impl TrafficDirection {
    /// All directions.
    pub const ALL: [Self; 2] = [Self::Received, Self::Sent];

    /// Name of the direction as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Received => "received",
            Self::Sent => "sent",
        }
    }
}

/// Purpose of a frame or datagram. A reply has the kind of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Call to the cell.
    Cell,
    /// Message of the replicated log.
    Consensus,
    /// Start of a subscription.
    Follow,
    /// Exchange of identities of store members.
    Formation,
    /// Request that runs on a peer's worker.
    Forward,
    /// Load hint, by UDP.
    Hint,
    /// Probe of a silent connection.
    Ping,
    /// Proposed command.
    Proposal,
    /// Changes pushed to a follower.
    Push,
    /// Read of the ledger.
    Query,
    /// Reply that a call failed or that its receiver does not lead; it does not name the call.
    Refusal,
    /// Renewal of a session.
    Renewal,
}

impl TrafficKind {
    /// All kinds.
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

    /// Name of the kind as a metric label.
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
            // Only forwarded requests run long enough to be cancelled as a rule.
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
            Request::Forward(_) => Self::Forward,
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
            Response::Forwarded(_) => Self::Forward,
            Response::Pong => Self::Ping,
            Response::Proposed { .. } => Self::Proposal,
            Response::Queried { .. } => Self::Query,
            Response::Renewed(_) => Self::Renewal,
        }
    }
}

struct Amount {
    bytes: AtomicU64,
    frames: AtomicU64,
}

impl Amount {
    const fn new() -> Self {
        Self {
            bytes: AtomicU64::new(0),
            frames: AtomicU64::new(0),
        }
    }
}

/// Traffic of this process on the peer port since its start.
///
/// Bytes are those of frames with length and tag, and of datagrams. Headers of TCP, UDP and IP and
/// the handshake are not counted.
pub struct PeerTraffic {
    amounts: [[Amount; TrafficKind::ALL.len()]; TrafficDirection::ALL.len()],
}

/// The counters belong to the process, as its peer port does, so that clients that are opened for
/// a single subscription need no handle to them.
static PROCESS: PeerTraffic = PeerTraffic {
    amounts: [const { [const { Amount::new() }; TrafficKind::ALL.len()] }; TrafficDirection::ALL.len()],
};

impl PeerTraffic {
    /// Counters of this process.
    pub fn global() -> &'static Self {
        &PROCESS
    }

    /// Bytes of one direction and kind.
    pub fn bytes(&self, direction: TrafficDirection, kind: TrafficKind) -> u64 {
        self.amount(direction, kind).bytes.load(Ordering::Relaxed)
    }

    /// Frames or datagrams of one direction and kind.
    pub fn frames(&self, direction: TrafficDirection, kind: TrafficKind) -> u64 {
        self.amount(direction, kind).frames.load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, direction: TrafficDirection, kind: TrafficKind, bytes: usize) {
        let amount = self.amount(direction, kind);
        amount.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        amount.frames.fetch_add(1, Ordering::Relaxed);
    }

    fn amount(&self, direction: TrafficDirection, kind: TrafficKind) -> &Amount {
        &self.amounts[direction as usize][kind as usize]
    }
}
