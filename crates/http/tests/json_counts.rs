//! Counts of JSON texts against those of a decoder, and limits on them.

use {
    fuchsiatack_http::{JsonCounts, JsonLimits, Limit},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    serde_json::Value,
};

/// Largest nesting of a generated text.
const MAX_DEPTH: usize = 4;

#[derive(Clone, Debug)]
struct Json(Value);

fn arbitrary_value(generator: &mut Gen, depth: usize) -> Value {
    let kinds = if depth == 0 { 3 } else { 5 };
    match u8::arbitrary(generator) % kinds {
        0 => Value::from(i32::arbitrary(generator)),
        // Any text, so also quotes, backslashes and brackets.
        1 => Value::from(String::arbitrary(generator)),
        2 => Value::Null,
        3 => (0..u8::arbitrary(generator) % 5)
            .map(|_| arbitrary_value(generator, depth - 1))
            .collect(),
        _ => (0..u8::arbitrary(generator) % 5)
            .map(|_| {
                (
                    String::arbitrary(generator),
                    arbitrary_value(generator, depth - 1),
                )
            })
            .collect(),
    }
}

impl Arbitrary for Json {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self(arbitrary_value(generator, MAX_DEPTH))
    }
}

/// Counts of a decoded value.
fn counts_of(value: &Value) -> JsonCounts {
    let (own, children): (JsonCounts, Vec<&Value>) = match value {
        Value::Array(items) => {
            let own = JsonCounts {
                elements: items.len(),
                ..JsonCounts::default()
            };
            (own, items.iter().collect())
        }
        Value::Object(fields) => {
            let own = JsonCounts {
                fields: fields.len(),
                ..JsonCounts::default()
            };
            (own, fields.values().collect())
        }
        _ => return JsonCounts::default(),
    };
    let children = children.into_iter().map(counts_of);
    let sum = children.fold(own, |sum, child| JsonCounts {
        depth: sum.depth.max(child.depth),
        elements: sum.elements + child.elements,
        fields: sum.fields + child.fields,
    });
    JsonCounts {
        depth: sum.depth + 1,
        ..sum
    }
}

fn empty_containers(value: &Value) -> usize {
    match value {
        Value::Array(items) if items.is_empty() => 1,
        Value::Object(fields) if fields.is_empty() => 1,
        Value::Array(items) => items.iter().map(empty_containers).sum(),
        Value::Object(fields) => fields.values().map(empty_containers).sum(),
        _ => 0,
    }
}

fn objects(value: &Value) -> usize {
    match value {
        Value::Array(items) => items.iter().map(objects).sum(),
        Value::Object(fields) => 1 + fields.values().map(objects).sum::<usize>(),
        _ => 0,
    }
}

fn limits() -> JsonLimits {
    JsonLimits {
        max_depth: 3,
        max_elements: 4,
        max_fields: 2,
    }
}

/// Guards against counts that are too low, so that a body passes its limits, and against counts that texts with
/// quotes or brackets in strings raise.
#[test]
fn counts_equal_those_of_the_decoder() {
    fn counts_equal(json: Json) -> bool {
        let text = json.0.to_string();
        let mut expected = counts_of(&json.0);
        expected.elements += empty_containers(&json.0);
        expected.elements = expected.elements.max(objects(&json.0).saturating_sub(1));
        JsonCounts::of(text.as_bytes()) == expected
    }

    QuickCheck::new()
        .tests(2_000)
        .quickcheck(counts_equal as fn(Json) -> bool);
}

/// Guards against a panic or an endless loop on bytes that are not JSON.
#[test]
fn any_bytes_are_counted() {
    fn counts(bytes: Vec<u8>) -> bool {
        let counts = JsonCounts::of(&bytes);
        counts.depth <= bytes.len() && counts.fields + counts.elements <= 2 * bytes.len()
    }

    QuickCheck::new()
        .tests(2_000)
        .quickcheck(counts as fn(Vec<u8>) -> bool);
}

/// Guards against colons behind a list that make its elements seem to be fields.
#[test]
fn stray_colons_hide_no_objects() {
    let text = format!("[{}]{}", ["{}"; 100].join(","), ":".repeat(100));

    assert!(JsonCounts::of(text.as_bytes()).elements >= 99);
}

/// Guards against a limit that is off by one or reported under another name.
#[test]
fn each_limit_allows_its_value_and_no_more() {
    let check = |text: &str| JsonCounts::of(text.as_bytes()).check(&limits());

    assert_eq!(check("[[[1]]]"), Ok(()));
    assert_eq!(check("[[[[1]]]]"), Err(Limit::Depth));
    assert_eq!(check("[1,2,3,4]"), Ok(()));
    assert_eq!(check("[1,2,3,4,5]"), Err(Limit::Elements));
    assert_eq!(check(r#"{"a":1,"b":2}"#), Ok(()));
    assert_eq!(check(r#"{"a":1,"b":2,"c":3}"#), Err(Limit::Fields));
}
