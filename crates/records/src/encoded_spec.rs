//! Contents of a record, encoded in one schema version.

use {fuchsiatack_model::Policy, serde_json::Value};

/// JSON of a `spec`, and the fields that the schema version cannot express.
pub(crate) struct EncodedSpec {
    /// Paths in version 2 of the fields that are left out.
    pub(crate) omitted: Vec<String>,
    /// Object with the remaining fields.
    pub(crate) spec: Value,
}

impl EncodedSpec {
    /// Creates an encoded spec from an object, with nothing left out.
    pub(crate) fn new(spec: Value) -> Self {
        Self {
            omitted: Vec::new(),
            spec,
        }
    }

    /// Adds a field to `omitted`, given its path below `spec` in version 2.
    pub(crate) fn omit(mut self, field: &str) -> Self {
        self.omitted.push(format!("spec.{field}"));
        self
    }

    /// Adds a field to `spec`.
    pub(crate) fn with(mut self, name: &str, value: Value) -> Self {
        let mut map = self.spec.as_object().cloned().unwrap_or_default();
        map.insert(name.to_owned(), value);
        self.spec = Value::Object(map);
        self
    }
}

/// Returns the name of a policy in `names`, or an empty text if it has none there.
pub(crate) fn policy_name(names: &[(&'static str, Policy)], policy: Policy) -> &'static str {
    names
        .iter()
        .find(|(_, named)| *named == policy)
        .map_or("", |(name, _)| *name)
}
