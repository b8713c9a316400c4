//! Contents of a record in one schema version.

use {fuchsiatack_model::Policy, serde_json::Value};

/// Fields of a `spec`, and what the schema version can not express.
pub(crate) struct Form {
    /// Paths of the fields of version 2 that are left out.
    pub(crate) omitted: Vec<String>,
    /// The fields.
    pub(crate) spec: Value,
}

impl Form {
    /// Creates a form from an object.
    pub(crate) fn new(spec: Value) -> Self {
        Self {
            omitted: Vec::new(),
            spec,
        }
    }

    /// Notes a field of version 2 that is left out.
    pub(crate) fn omit(mut self, field: &str) -> Self {
        self.omitted.push(format!("spec.{field}"));
        self
    }

    /// Adds a field.
    pub(crate) fn with(mut self, name: &str, value: Value) -> Self {
        let mut map = self.spec.as_object().cloned().unwrap_or_default();
        map.insert(name.to_owned(), value);
        self.spec = Value::Object(map);
        self
    }
}

/// Returns the name of a policy.
pub(crate) fn policy_name(names: &[(&'static str, Policy)], policy: Policy) -> &'static str {
    names
        .iter()
        .find(|(_, named)| *named == policy)
        .map_or("", |(name, _)| *name)
}
