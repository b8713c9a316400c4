//! Records that operators write: kinds, schema versions, validation.

mod digest;
mod error;
mod kind;
mod record;
mod schema;
mod spec;

pub use self::{
    digest::KeyDigest,
    error::RecordError,
    kind::Kind,
    record::Record,
    schema::Schema,
    spec::{
        Access, DrainSpec, KeySpec, LimitSpec, QueueSpec, ShareSpec, Spec, StoreMemberSpec, TeamSpec,
        WorkerClassSpec,
    },
};
