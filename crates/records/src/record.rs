//! Records.

use {
    crate::{Kind, RecordError, Schema, Spec},
    fuchsiatack_derives::message,
    serde_json::Value,
    smol_str::SmolStr,
};

/// One record, independent of the schema version it was written in.
#[message]
pub struct Record {
    /// Name, unique in its kind.
    pub name: SmolStr,
    /// Contents.
    pub spec: Spec,
    /// Version: 0 in a write that creates it, else counted from 1 by the ledger.
    pub version: u64,
}

impl Record {
    /// Returns the kind of the record.
    pub fn kind(&self) -> Kind {
        match self.spec {
            Spec::Drain(_) => Kind::Drain,
            Spec::Key(_) => Kind::Key,
            Spec::Limit(_) => Kind::Limit,
            Spec::Queue(_) => Kind::Queue,
            Spec::Share(_) => Kind::Share,
            Spec::StoreMember(_) => Kind::StoreMember,
            Spec::Team(_) => Kind::Team,
            Spec::Work(_) => Kind::Work,
            Spec::WorkerClass(_) => Kind::WorkerClass,
        }
    }

    /// Reads one record in either schema version from JSON.
    pub fn from_json(_value: &Value) -> Result<Self, RecordError> {
        todo!()
    }

    /// Reads all records of a YAML file with one or more documents.
    pub fn from_yaml(_text: &str) -> Result<Vec<Self>, RecordError> {
        todo!()
    }

    /// Writes the record in the form asked for.
    pub fn to_json(&self, _schema: Schema) -> Value {
        todo!()
    }
}
