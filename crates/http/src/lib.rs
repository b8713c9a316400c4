//! HTTP/1 server with limits on what its clients can make it hold: connections, request heads, bodies, decoded
//! requests and unread responses.
//!
//! Each listening address has a server with a budget of its own, so that load at one address takes nothing from
//! another.

mod blocks;
mod body;
mod budget;
mod connection;
mod json_counts;
mod limits;
mod server;
mod stream;

pub use self::{
    body::{BodyError, HeldBody, HeldBytes, read_body},
    budget::Reservation,
    connection::Connection,
    json_counts::{JsonCounts, JsonLimits},
    limits::{HttpLimits, Limit, LimitError, LimitObserver},
    server::{HttpServer, HttpService},
};
