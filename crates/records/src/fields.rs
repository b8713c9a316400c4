//! Validating access to the fields of a JSON object.

use {
    crate::{Access, KeyDigest, RecordError, bounds},
    fuchsiatack_model::{Resources, TeamName},
    serde_json::{Map, Value},
    smol_str::{SmolStr, format_smolstr},
    std::{cell::RefCell, net::SocketAddr, ops::RangeInclusive},
};

/// Reader of a JSON object. It records which fields are read, so that `finish` can reject the
/// others as unknown.
pub(crate) struct Fields<'a> {
    map: &'a Map<String, Value>,
    path: SmolStr,
    read: RefCell<Vec<&'static str>>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of the object at `path`, which is empty for the record itself. Returns an
    /// error if the value is not an object.
    pub(crate) fn new(value: &'a Value, path: SmolStr) -> Result<Self, RecordError> {
        let Some(map) = value.as_object() else {
            let field = if path.is_empty() { "record".into() } else { path };
            return Err(invalid(field, "an object"));
        };
        Ok(Self {
            map,
            path,
            read: RefCell::default(),
        })
    }

    /// Builds the error for a field whose value is not accepted.
    pub(crate) fn invalid(&self, name: &str, expected: &str) -> RecordError {
        invalid(self.path_of(name), expected)
    }

    /// Returns an error if the object has a field that was not read.
    pub(crate) fn finish(self) -> Result<(), RecordError> {
        let read = self.read.borrow();
        match self.map.keys().find(|name| !read.contains(&name.as_str())) {
            None => Ok(()),
            Some(name) => Err(RecordError::UnknownField {
                expected: read.join(", ").into(),
                field: self.path_of(&shorten(name)),
            }),
        }
    }

    /// Reads an IP address with a port.
    pub(crate) fn address(&self, name: &'static str) -> Result<SocketAddr, RecordError> {
        let expected = "an IP address and port such as 10.0.0.1:8082";
        self.required(name, expected)?
            .as_str()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| self.invalid(name, expected))
    }

    /// Reads the digest of a key's secret.
    pub(crate) fn digest(&self, name: &'static str) -> Result<KeyDigest, RecordError> {
        let expected = "a BLAKE3 digest as 64 hexadecimal digits";
        self.required(name, expected)?
            .as_str()
            .and_then(KeyDigest::from_hex)
            .ok_or_else(|| self.invalid(name, expected))
    }

    /// Reads the secret of a key. No error message contains it.
    pub(crate) fn secret(&self, name: &'static str) -> Result<SmolStr, RecordError> {
        let expected = format!("a secret of 1 to {} bytes", bounds::MAX_SECRET_BYTES);
        self.required(name, &expected)?
            .as_str()
            .filter(|text| (1..=bounds::MAX_SECRET_BYTES).contains(&text.len()))
            .map(SmolStr::new)
            .ok_or_else(|| self.invalid(name, &expected))
    }

    /// Reads the team of a queue, which is required for open queues.
    pub(crate) fn queue_team(
        &self,
        name: &'static str,
        access: Access,
    ) -> Result<Option<TeamName>, RecordError> {
        match access {
            Access::Keyed => self.optional_team(name),
            Access::Open => self.team(name).map(Some),
        }
    }

    /// Reads an object and returns a reader of it.
    pub(crate) fn object(&self, name: &'static str) -> Result<Self, RecordError> {
        Self::new(self.required(name, "an object")?, self.path_of(name))
    }

    /// Reads `true` or `false`.
    pub(crate) fn boolean(&self, name: &'static str) -> Result<bool, RecordError> {
        let expected = "true or false";
        self.required(name, expected)?
            .as_bool()
            .ok_or_else(|| self.invalid(name, expected))
    }

    /// Reads a whole number in `range`. The error message names `unit`.
    pub(crate) fn number(
        &self,
        name: &'static str,
        unit: &str,
        range: RangeInclusive<u64>,
    ) -> Result<u64, RecordError> {
        let expected = expected_number(unit, &range);
        let value = self.required(name, &expected)?;
        self.checked_number(name, value, &expected, range)
    }

    /// Reads a whole number as `number` does, or returns `default` if the field is missing or null.
    pub(crate) fn number_or(
        &self,
        name: &'static str,
        unit: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, RecordError> {
        match self.optional(name) {
            None => Ok(default),
            Some(value) => self.checked_number(name, value, &expected_number(unit, &range), range),
        }
    }

    /// Reads a whole number of 32 bits as `number` does.
    pub(crate) fn number_u32(
        &self,
        name: &'static str,
        unit: &str,
        range: RangeInclusive<u32>,
    ) -> Result<u32, RecordError> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        Ok(self.number(name, unit, range)? as u32)
    }

    /// Reads a number with up to three decimals and returns it in thousandths, as `range` is.
    pub(crate) fn thousandths(
        &self,
        name: &'static str,
        unit: &str,
        range: RangeInclusive<u32>,
    ) -> Result<u32, RecordError> {
        let (start, end) = (f64::from(*range.start()) / 1e3, f64::from(*range.end()) / 1e3);
        let expected = format!("a number of {unit} from {start} to {end} with at most 3 decimals");
        let value = self.required(name, &expected)?.as_f64();
        let millis = value.map(|value| value * 1e3).filter(|millis| {
            let is_exact = (millis - millis.round()).abs() < 1e-4;
            is_exact && (f64::from(*range.start())..=f64::from(*range.end())).contains(&millis.round())
        });
        match millis {
            Some(millis) => Ok(millis.round() as u32),
            None => Err(self.invalid(name, &expected)),
        }
    }

    /// Reads one of the names in `choices` and returns the value that belongs to it.
    pub(crate) fn choice<T: Copy>(
        &self,
        name: &'static str,
        choices: &[(&'static str, T)],
    ) -> Result<T, RecordError> {
        let names: Vec<&str> = choices.iter().map(|(choice, _)| *choice).collect();
        let expected = format!("one of {}", names.join(", "));
        let text = self.required(name, &expected)?.as_str();
        choices
            .iter()
            .find(|(choice, _)| Some(*choice) == text)
            .map(|(_, value)| *value)
            .ok_or_else(|| self.invalid(name, &expected))
    }

    /// Reads a text of at most `max_bytes` bytes.
    pub(crate) fn text(&self, name: &'static str, max_bytes: usize) -> Result<SmolStr, RecordError> {
        let expected = format!("a text of at most {max_bytes} bytes");
        self.required(name, &expected)?
            .as_str()
            .filter(|text| text.len() <= max_bytes)
            .map(SmolStr::new)
            .ok_or_else(|| self.invalid(name, &expected))
    }

    /// Reads a reason or title: one line of at most `MAX_TEXT_BYTES`.
    pub(crate) fn single_line(&self, name: &'static str) -> Result<SmolStr, RecordError> {
        let text = self.text(name, bounds::MAX_TEXT_BYTES)?;
        match text.chars().any(char::is_control) {
            false => Ok(text),
            true => Err(self.invalid(name, "a text without control characters")),
        }
    }

    /// Reads the name of a record, worker or team.
    pub(crate) fn name(&self, name: &'static str) -> Result<SmolStr, RecordError> {
        let max_bytes = bounds::MAX_NAME_BYTES;
        let expected = format!(
            "a name of 1 to {max_bytes} bytes without control characters, slashes or leading or trailing spaces"
        );
        self.required(name, &expected)?
            .as_str()
            .filter(|text| is_name(text))
            .map(SmolStr::new)
            .ok_or_else(|| self.invalid(name, &expected))
    }

    /// Reads the name of a team.
    pub(crate) fn team(&self, name: &'static str) -> Result<TeamName, RecordError> {
        self.name(name).map(TeamName)
    }

    /// Reads the name of a team, or returns `None` if the field is missing or null.
    pub(crate) fn optional_team(&self, name: &'static str) -> Result<Option<TeamName>, RecordError> {
        match self.optional(name) {
            None => Ok(None),
            Some(_) => self.team(name).map(Some),
        }
    }

    /// Reads an amount of each resource. A missing amount is the one in `Resources::default()`.
    pub(crate) fn resources(&self, name: &'static str) -> Result<Resources, RecordError> {
        if self.optional(name).is_none() {
            return Ok(Resources::default());
        }
        let fields = self.object(name)?;
        let default = Resources::default();
        let amount = |name, unit, default: u32| {
            let amount = fields.number_or(name, unit, 0..=bounds::MAX_AMOUNT, default.into());
            amount.map(|amount| amount as u32)
        };
        let resources = Resources {
            accelerators: amount("accelerators", "accelerators", default.accelerators)?,
            connections: amount("connections", "connections", default.connections)?,
            memory_bytes: fields.number_or(
                "memory_bytes",
                "bytes",
                0..=bounds::MAX_MEMORY_BYTES,
                default.memory_bytes,
            )?,
            processors_millis: amount(
                "processors_millis",
                "thousandths of a core",
                default.processors_millis,
            )?,
            slots: amount("slots", "slots", default.slots)?,
        };
        fields.finish()?;
        Ok(resources)
    }

    /// Returns the value of a required field, which may be null.
    pub(crate) fn required(&self, name: &'static str, expected: &str) -> Result<&'a Value, RecordError> {
        self.read.borrow_mut().push(name);
        self.map.get(name).ok_or_else(|| RecordError::Missing {
            expected: expected.into(),
            field: self.path_of(name),
        })
    }

    /// Returns the value of a field, or `None` if it is missing or null.
    pub(crate) fn optional(&self, name: &'static str) -> Option<&'a Value> {
        self.read.borrow_mut().push(name);
        self.map.get(name).filter(|value| !value.is_null())
    }

    fn checked_number(
        &self,
        name: &str,
        value: &Value,
        expected: &str,
        range: RangeInclusive<u64>,
    ) -> Result<u64, RecordError> {
        value
            .as_u64()
            .filter(|number| range.contains(number))
            .ok_or_else(|| self.invalid(name, expected))
    }

    fn path_of(&self, name: &str) -> SmolStr {
        match self.path.as_str() {
            "" => name.into(),
            path => format_smolstr!("{path}.{name}"),
        }
    }
}

fn expected_number(unit: &str, range: &RangeInclusive<u64>) -> String {
    format!(
        "a whole number of {unit} from {} to {}",
        range.start(),
        range.end()
    )
}

fn invalid(field: SmolStr, expected: &str) -> RecordError {
    RecordError::Invalid {
        expected: expected.into(),
        field,
    }
}

fn is_name(text: &str) -> bool {
    let is_accepted = |character: char| !character.is_control() && character != '/';
    (1..=bounds::MAX_NAME_BYTES).contains(&text.len())
        && text.trim().len() == text.len()
        && text.chars().all(is_accepted)
}

/// Removes control characters from an unknown field name and cuts it to 64 characters for the
/// error message.
fn shorten(name: &str) -> String {
    name.chars()
        .filter(|character| !character.is_control())
        .take(64)
        .collect()
}
