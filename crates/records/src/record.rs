//! Conversion of records from and to JSON and YAML.

use {
    crate::{Kind, RecordError, Schema, Spec, bounds, fields::Fields, version_1, version_2, yaml},
    fuchsiatack_derives::message,
    serde_json::{Value, json},
    smol_str::SmolStr,
};

/// A record, independent of the schema version in which it was written.
#[message]
pub struct Record {
    /// Name of the record, unique among the records of its kind.
    pub name: SmolStr,
    /// Contents, which also determine the kind.
    pub spec: Spec,
    /// Version that the ledger assigns, counted from 1; 0 in a write that creates the record.
    pub version: u64,
}

impl Record {
    /// Returns the kind that the contents belong to.
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

    /// Parses a record in either schema version.
    pub fn from_json(value: &Value) -> Result<Self, RecordError> {
        let fields = Fields::new(value, SmolStr::default())?;
        let schema = read_schema(&fields)?;
        let kind: Kind = fields.text("kind", bounds::MAX_NAME_BYTES)?.parse()?;
        let name = fields.name("name")?;
        let version = fields.number_or("version", "writes", 0..=u64::MAX, 0)?;
        let spec_fields = fields.object("spec")?;
        fields.finish()?;
        let spec = match schema {
            Schema::V1 => version_1::parse(kind, &spec_fields)?,
            Schema::V2 => version_2::parse(kind, &spec_fields)?,
        };
        spec_fields.finish()?;
        Ok(Self { name, spec, version })
    }

    /// Parses all records of a YAML file with any number of documents. Empty documents are skipped.
    ///
    /// Errors name the document. They also name the line of the syntax error, or the first line of
    /// the invalid document, if the parser reports it.
    pub fn from_yaml(text: &str) -> Result<Vec<Self>, RecordError> {
        yaml::parse(text)
    }

    /// Converts the record to JSON in the given schema version.
    ///
    /// Fields that version 1 cannot express are left out and listed under `omitted` by their paths
    /// in version 2. `from_json` rejects a record with `omitted`, so that an incomplete record cannot
    /// replace the complete one.
    pub fn to_json(&self, schema: Schema) -> Value {
        let encoded = match schema {
            Schema::V1 => version_1::write(&self.spec),
            Schema::V2 => version_2::write(&self.spec),
        };
        let mut value = json!({
            "kind": self.kind(),
            "name": self.name,
            "schema": schema.number(),
            "spec": encoded.spec,
            "version": self.version,
        });
        if !encoded.omitted.is_empty() {
            value["omitted"] = json!(encoded.omitted);
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
