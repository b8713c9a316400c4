//! Peer protocol of the daemons: messages, framing, authentication, TCP connections and UDP load
//! hints.

mod cell_secret;
mod client;
mod codec;
mod connection;
mod error;
mod forward;
mod frame;
mod handler;
mod hints;
mod load_hint;
mod peer_traffic;
mod request;
mod response;
mod server;

pub use self::{
    cell_secret::CellSecret,
    client::{FollowUpdate, PeerClient, PeerClientSettings},
    error::WireError,
    forward::{ForwardedRequest, ForwardedResponse},
    frame::Frame,
    handler::{Handler, PeerCaller},
    hints::HintSocket,
    load_hint::LoadHint,
    peer_traffic::{PeerTraffic, TrafficDirection, TrafficKind},
    request::{Formation, Request},
    response::{NotLeader, Response},
    server::{PeerServer, ServerCounters},
};
