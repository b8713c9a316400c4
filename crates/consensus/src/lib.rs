//! Replicated log: elections, replication, snapshots and membership.

mod message;

pub use self::message::{Envelope, MemberId};
