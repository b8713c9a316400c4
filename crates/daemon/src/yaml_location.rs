//! Finds the line of a key in a YAML settings file, and the key at a location, for error messages.

use {
    serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
    serde_json::Value,
    serde_saphyr::Location,
    std::fmt::{Formatter, Result as FormatResult},
};

const FOUND_MESSAGE: &str = "found";

/// Returns the line of the key at `path`, or of its closest parent that is present.
///
/// The YAML library reports locations only in errors, so the walk ends with an error at the key.
pub(crate) fn line_of(text: &str, path: &[&str]) -> u64 {
    (1..=path.len())
        .rev()
        .find_map(|length| line_of_exact(text, &path[..length]))
        .unwrap_or(1)
}

/// Returns the path, separated by dots, of the key whose value is at `location`.
pub(crate) fn key_at(text: &str, location: &Location) -> Option<String> {
    paths_of(text).into_iter().find(|path| {
        let steps: Vec<_> = path.split('.').collect();
        location_of(text, &steps).is_some_and(|found| is_same_location(&found, location))
    })
}

fn is_same_location(one: &Location, other: &Location) -> bool {
    (one.line(), one.column()) == (other.line(), other.column())
}

fn line_of_exact(text: &str, path: &[&str]) -> Option<u64> {
    location_of(text, path).map(|location| location.line())
}

fn location_of(text: &str, path: &[&str]) -> Option<Location> {
    let walked = serde_saphyr::with_deserializer_from_str(text, |yaml| PathWalk { path }.deserialize(yaml));
    walked.err()?.location().filter(|location| location.line() > 0)
}

/// Returns the paths of all keys. A parent precedes its children.
fn paths_of(text: &str) -> Vec<String> {
    let mut paths = Vec::new();
    let mut level = vec![String::new()];
    while let Some(parent) = level.pop() {
        let children = child_paths(text, &parent);
        level.extend(children.iter().cloned());
        paths.extend(children);
    }
    paths
}

fn child_paths(text: &str, parent: &str) -> Vec<String> {
    let Ok(Value::Object(root)) = serde_saphyr::from_str::<Value>(text) else {
        return Vec::new();
    };
    let root = Value::Object(root);
    let pointer = match parent {
        "" => String::new(),
        parent => format!("/{}", parent.replace('.', "/")),
    };
    let join = |key: String| match parent {
        "" => key,
        parent => format!("{parent}.{key}"),
    };
    match root.pointer(&pointer) {
        Some(Value::Object(map)) => map.keys().cloned().map(join).collect(),
        Some(Value::Array(items)) => (0..items.len()).map(|number| join(number.to_string())).collect(),
        _ => Vec::new(),
    }
}

struct PathWalk<'a> {
    path: &'a [&'a str],
}

impl PathWalk<'_> {
    fn child(&self) -> Self {
        Self {
            path: &self.path[1..],
        }
    }
}

impl<'de> DeserializeSeed<'de> for PathWalk<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        match self.path.is_empty() {
            true => Err(Error::custom(FOUND_MESSAGE)),
            false => deserializer.deserialize_any(self),
        }
    }
}

impl<'de> Visitor<'de> for PathWalk<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut Formatter<'_>) -> FormatResult {
        formatter.write_str("settings")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key == self.path[0] {
                true => map.next_value_seed(self.child())?,
                false => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        let index = self.path[0].parse().unwrap_or(usize::MAX);
        for _ in 0..index {
            if items.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
        items.next_element_seed(self.child())?;
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}
