//! Parsing, validation and conversion of records in both schema versions.

use {
    fuchsiatack_records::{KeyDigest, Kind, Record, RecordError, Schema},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    serde_json::{Value, json},
    std::collections::BTreeSet,
};

const RECORDS_PAGE: &str = include_str!("../../../docs/records.md");

const SECRET: &str = "correct-horse";

/// Record of any kind with random contents.
#[derive(Clone, Debug)]
struct AnyRecord(Record);

impl Arbitrary for AnyRecord {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut number = |end: u64| u64::arbitrary(random) % end + 1;
        let (tasks, weight, speed) = (number(10_000), number(10_000), number(1_000_000));
        let demand = json!({
            "accelerators": number(4) - 1, "connections": number(3) - 1, "memory_bytes": number(50) * 500_000,
            "processors_millis": number(64_000), "slots": number(3) - 1,
        });
        let identity = u64::arbitrary(random);
        let digest = KeyDigest::of(&String::arbitrary(random)).to_hex();
        let (body, idempotent) = (String::arbitrary(random), bool::arbitrary(random));
        let access = random.choose(&["keyed", "open"]).unwrap();
        let policy = random.choose(&["batch", "gang", "service"]).unwrap();
        let specs = [
            ("drain", json!({"reason": ""})),
            ("key", json!({"secret_blake3": digest, "team": "red"})),
            ("limit", json!({"max_running": tasks, "team": "red"})),
            (
                "queue",
                json!({"access": access, "demand": demand, "max_waiting": 9, "policy": "interactive", "team": "red"}),
            ),
            ("share", json!({"team": "red", "weight_millis": weight})),
            (
                "store_member",
                json!({"address": "[::1]:9", "identity": identity}),
            ),
            ("team", json!({"title": "Größe: 1 — {x}"})),
            (
                "work",
                json!({"body": body, "demand": demand, "idempotent": idempotent, "policy": policy, "tasks": tasks, "team": "red"}),
            ),
            ("worker_class", json!({"speed_millis": speed})),
        ];
        let (kind, spec) = random.choose(&specs).unwrap();
        let value = json!({"kind": kind, "name": "name", "schema": 2, "spec": spec, "version": identity});
        let record = Record::from_json(&value).unwrap();
        assert_eq!(record.to_json(Schema::V2), value);
        Self(record)
    }
}

fn check<A: quickcheck::Testable>(property: A) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(500)
        .quickcheck(property);
}

fn limit_record() -> Value {
    json!({"schema": 2, "kind": "limit", "name": "red", "spec": {"max_running": 4, "team": "red"}})
}

fn with_field(mut value: Value, pointer: &str, field: &str, new: Value) -> Value {
    value.pointer_mut(pointer).unwrap()[field] = new;
    value
}

fn error_of(value: &Value) -> String {
    Record::from_json(value).unwrap_err().to_string()
}

/// Guards against documented examples that are rejected and against kinds that are documented in
/// one version only.
#[test]
fn documented_examples_of_both_versions_are_accepted_and_equal() {
    let blocks = RECORDS_PAGE.split("```yaml\n").skip(1);
    let examples: Vec<&str> = blocks.map(|block| block.split("```").next().unwrap()).collect();
    let records = Record::from_yaml(&examples.join("---\n")).unwrap();

    let kinds: BTreeSet<Kind> = records.iter().map(Record::kind).collect();
    assert_eq!((records.len(), kinds.len()), (18, 9));
    for pair in records.chunks(2) {
        assert_eq!(pair[0], pair[1]);
    }
}

/// Guards against a record that changes when it is written and parsed again.
#[test]
fn records_round_trip_through_version_2_and_if_complete_through_version_1() {
    fn property(AnyRecord(record): AnyRecord) -> bool {
        let version_2 = record.to_json(Schema::V2);
        let version_1 = record.to_json(Schema::V1);
        let is_complete = version_1.get("omitted").is_none();
        Record::from_json(&version_2).as_ref() == Ok(&record)
            && match Record::from_json(&version_1) {
                Ok(parsed) => is_complete && parsed == record,
                Err(_) => !is_complete,
            }
    }
    check(property as fn(AnyRecord) -> bool);
}

/// Guards against a secret in a response, an error message or a log line.
#[test]
fn secrets_are_digested_and_never_shown() {
    let value = json!({"schema": 1, "kind": "key", "name": "k", "spec": {"secret": SECRET, "team": "red"}});
    let record = Record::from_json(&value).unwrap();
    let invalid = with_field(value, "/spec", "team", json!(7));
    let broken = format!("schema: 1\nkind: key\nname: k\nspec: {{secret: {SECRET}, team: ]}}\n");

    let shown = [
        record.to_json(Schema::V1).to_string(),
        record.to_json(Schema::V2).to_string(),
        format!("{record:?}"),
        error_of(&invalid),
        Record::from_yaml(&broken).unwrap_err().to_string(),
    ];
    assert!(shown.iter().all(|text| !text.contains(SECRET)), "{shown:?}");
    assert_eq!(
        record.to_json(Schema::V1)["omitted"],
        json!(["spec.secret_blake3"])
    );
    let hex = KeyDigest::of(SECRET).to_hex();
    assert_eq!(record.to_json(Schema::V2)["spec"]["secret_blake3"], json!(hex));
}

/// Guards against invalid fields that are accepted and against errors that do not name the field.
#[test]
fn errors_name_the_invalid_field_and_what_is_expected() {
    let long = format!("\"{}\"", "n".repeat(129));
    let cases = [
        ("", "schema", "3", "schema: version 3 is unknown"),
        ("", "kind", "\"limits\"", "kind: limits is unknown"),
        ("", "name", "\"\"", "name: expected a name of 1 to 128"),
        ("", "name", &long, "name: expected a name of 1 to 128"),
        ("", "name", "\"a/b\"", "name: expected a name"),
        ("", "name", "\"a\\nb\"", "name: expected a name"),
        ("", "version", "-1", "version: expected a whole number"),
        ("", "extra", "1", "extra: unknown field; expected one of schema"),
        ("", "spec", "[]", "spec: expected an object"),
        ("/spec", "team", "null", "spec.team: expected a name"),
        ("/spec", "max", "1", "spec.max: unknown field"),
        (
            "/spec",
            "max_running",
            "\"4 tasks\"",
            "spec.max_running: expected a whole number of tasks",
        ),
        ("/spec", "max_running", "1.5", "spec.max_running: expected"),
        ("/spec", "max_running", "10000001", "spec.max_running: expected"),
    ];
    for (pointer, field, value, expected) in cases {
        let error = error_of(&with_field(
            limit_record(),
            pointer,
            field,
            value.parse().unwrap(),
        ));
        assert!(
            error.starts_with(expected),
            "{error} does not start with {expected}"
        );
    }
    assert_eq!(error_of(&json!(7)), "record: expected an object");
    assert!(error_of(&json!({})).starts_with("schema: required field is missing"));
}

/// Guards against a value in another unit that is accepted as a different amount.
#[test]
fn values_with_another_unit_are_rejected() {
    let queue = json!({"schema": 2, "kind": "queue", "name": "q", "spec": {
        "access": "open", "demand": {"memory_bytes": "2GB"}, "max_waiting": 1, "policy": "batch", "team": "red"
    }});
    assert!(error_of(&queue).starts_with("spec.demand.memory_bytes: expected a whole number of bytes"));

    let demand = json!({"memory_mb": 2});
    let queue = with_field(queue, "/spec", "demand", demand);
    assert!(
        error_of(&queue).starts_with("spec.demand.memory_mb: unknown field; expected one of accelerators")
    );
}

/// Guards against errors that do not show where in a long file they occur.
#[test]
fn yaml_errors_name_document_line_and_field() {
    let text =
        "schema: 2\nkind: team\nname: a\nspec: {title: A}\n---\nschema: 2\nkind: team\nname: b\nspec: {}\n";
    match Record::from_yaml(text).unwrap_err() {
        RecordError::DocumentLine {
            document,
            error,
            line,
        } => {
            assert_eq!((document, line), (2, 6));
            assert!(matches!(*error, RecordError::Missing { field, .. } if field == "spec.title"));
        }
        error => panic!("{error:?}"),
    }
    let error = Record::from_yaml("schema: [\n").unwrap_err();
    assert!(
        matches!(error, RecordError::DocumentLine { document: 1, .. }),
        "{error}"
    );
    assert_eq!(Record::from_yaml("").unwrap(), []);
}

/// Guards against input that makes a parser panic, which would stop the daemon.
#[test]
fn arbitrary_input_never_panics_the_parsers() {
    fn yaml(pieces: Vec<u8>) -> bool {
        const PIECES: [&str; 16] = [
            "schema: 2\n",
            "kind: work\n",
            "name: x\n",
            "spec:\n",
            "  team: red\n",
            "---\n",
            "[",
            "{",
            "}",
            ": ",
            "- ",
            "&a ",
            "*a\n",
            "\"",
            "!!int 7\n",
            "  tasks: 99999999999999999999\n",
        ];
        let text: String = pieces
            .iter()
            .map(|piece| PIECES[usize::from(piece % 16)])
            .collect();
        let _ = Record::from_yaml(&text);
        let _ = Record::from_yaml(&String::from_utf8_lossy(&pieces));
        true
    }
    fn json(record: AnyRecord, field: String, number: i64, schema: bool) -> bool {
        let schema = if schema { Schema::V1 } else { Schema::V2 };
        let mut value = record.0.to_json(schema);
        let spec = value["spec"].as_object_mut().unwrap();
        if let Some(first) = spec.values_mut().next() {
            *first = json!(number);
        }
        spec.insert(field, json!({"a": [number]}));
        Record::from_json(&value).is_err()
    }
    check(yaml as fn(Vec<u8>) -> bool);
    check(json as fn(AnyRecord, String, i64, bool) -> bool);
}
