//! Records that operators write: their kinds, schema versions, parsing and validation.

mod bounds;
mod digest;
mod encoded_spec;
mod error;
mod fields;
mod kind;
mod record;
mod schema;
mod spec;
mod version_1;
mod version_2;
mod yaml;

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
