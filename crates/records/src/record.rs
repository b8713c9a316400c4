//! Records.

use {
    crate::{Kind, RecordError, Schema, Spec, bounds, fields::Fields, version_1, version_2, yaml},
    fuchsiatack_derives::message,
    serde_json::{Value, json},
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
    pub fn from_json(value: &Value) -> Result<Self, RecordError> {
        let fields = Fields::new(value, SmolStr::default())?;
        let schema = read_schema(&fields)?;
        let kind: Kind = fields.text("kind", bounds::MAX_NAME_BYTES)?.parse()?;
        let name = fields.name("name")?;
        let version = fields.number_or("version", "writes", 0..=u64::MAX, 0)?;
        let contents = fields.object("spec")?;
        fields.finish()?;
        let spec = match schema {
            Schema::V1 => version_1::parse(kind, &contents)?,
            Schema::V2 => version_2::parse(kind, &contents)?,
        };
        contents.finish()?;
        Ok(Self { name, spec, version })
    }

    /// Reads all records of a YAML file with one or more documents.
    ///
    /// Errors name the document and, where it is known, the line at which it starts or at
    /// which its syntax is wrong. Empty documents are skipped.
    pub fn from_yaml(text: &str) -> Result<Vec<Self>, RecordError> {
        yaml::parse(text)
    }

    /// Writes the record in the form asked for.
    ///
    /// What version 1 can not express is listed in `omitted`, by its path in version 2.
    /// `from_json` refuses such an answer, so that it does not replace the complete record.
    pub fn to_json(&self, schema: Schema) -> Value {
        let form = match schema {
            Schema::V1 => version_1::write(&self.spec),
            Schema::V2 => version_2::write(&self.spec),
        };
        let mut value = json!({
            "kind": self.kind(),
            "name": self.name,
            "schema": schema.number(),
            "spec": form.spec,
            "version": self.version,
        });
        if !form.omitted.is_empty() {
            value["omitted"] = json!(form.omitted);
        }
        value
    }
}

fn read_schema(fields: &Fields<'_>) -> Result<Schema, RecordError> {
    let value = fields.required("schema", "1 or 2")?;
    value
        .as_u64()
        .and_then(Schema::from_number)
        .ok_or_else(|| RecordError::UnknownSchema {
            found: value.to_string().chars().take(64).collect(),
        })
}
