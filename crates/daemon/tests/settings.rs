//! Wrong settings are refused with file, line and key before anything starts.

use {
    std::{fs, path::Path, process::Command},
    tempfile::TempDir,
};

const SECRET: &str = "a secret of more than sixteen characters";

/// Settings that are correct, with `FOLDER` in place of their folder.
const CORRECT: &str = "\
name: entry-1
data_center: casablanca-1
roles: [entry, store]
weight: 4
cell_secret_file: FOLDER/cell.secret
operator_key_file: FOLDER/operator.key
callers: {address: 127.0.0.1:8080, max_body_bytes: 1048576, max_connections: 4096}
operators: {address: 127.0.0.1:8081}
peers: {address: 127.0.0.1:8082}
store:
  data_folder: FOLDER/data
  members:
    - {name: entry-1, address: 127.0.0.1:8082}
leases: {session_ms: 3000, session_renewal_ms: 500, task_ms: 10000, task_renewal_ms: 3000, margin_ms: 1000}
election: {minimum_ms: 150, maximum_ms: 300, heartbeat_ms: 50}
log: {level: info, file: null}
traces: {file: null}
";

struct Checked {
    code: Option<i32>,
    file: String,
    text: String,
}

/// Runs `fuchsiatackd --check` on the settings.
fn check(settings: &str) -> Checked {
    let folder = folder();
    let file = folder.path().join("daemon.yaml");
    let text = settings.replace("FOLDER", &folder.path().display().to_string());
    fs::write(&file, text).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the program runs");
    Checked {
        code: output.status.code(),
        file: file.display().to_string(),
        text: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

fn folder() -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path(), "cell.secret", SECRET);
    write(folder.path(), "operator.key", SECRET);
    write(folder.path(), "short.key", "  fifteen-letters  \n");
    folder
}

fn write(folder: &Path, name: &str, text: &str) {
    fs::write(folder.join(name), text).expect("a file");
}

/// Guards against a check that refuses the example of the design page.
#[test]
fn accepts_correct_settings() {
    let checked = check(CORRECT);

    assert_eq!((checked.code, checked.text.as_str()), (Some(0), ""));
}

/// Guards against a daemon that starts with a mistake, and against a report without its place.
#[test]
fn reports_each_mistake_with_line_and_key() {
    let cases = [
        // (part that is replaced, replacement, line, parts of the message)
        ("weight: 4", "wieght: 4", 4, vec!["wieght"]),
        ("weight: 4", "weight: four", 4, vec!["weight"]),
        ("weight: 4", "weight: 0", 4, vec!["weight"]),
        ("name: entry-1\ndata", "data", 1, vec!["name"]),
        (
            "operators: {address: 127.0.0.1:8081}",
            "operators: {}",
            8,
            vec!["operators.address", "missing"],
        ),
        (
            "{address: 127.0.0.1:8081}",
            "{address: 127.0.0.1:8080}",
            8,
            vec!["operators.address", "callers.address"],
        ),
        (
            "  data_folder: FOLDER/data\n",
            "",
            11,
            vec!["store.data_folder", "store role"],
        ),
        (
            "- {name: entry-1,",
            "- {name: entry-2,",
            13,
            vec!["store.members", "entry-1"],
        ),
        (
            "- {name: entry-1, address: 127.0.0.1:8082}",
            "- {name: entry-1, address: 127.0.0.1:8083}",
            13,
            vec!["store.members.0.address", "peers.address"],
        ),
        (
            "session_renewal_ms: 500",
            "session_renewal_ms: 1001",
            14,
            vec!["leases.session_renewal_ms", "3000"],
        ),
        (
            "task_renewal_ms: 3000",
            "task_renewal_ms: 5000",
            14,
            vec!["leases.task_renewal_ms", "10000"],
        ),
        ("session_ms: 3000", "session_s: 3", 14, vec!["session_s"]),
        (
            "session_ms: 3000",
            "session_ms: 3s",
            14,
            vec!["leases.session_ms"],
        ),
        (
            "maximum_ms: 300",
            "maximum_ms: 150",
            15,
            vec!["election.maximum_ms"],
        ),
        (
            "heartbeat_ms: 50",
            "heartbeat_ms: 100",
            15,
            vec!["election.heartbeat_ms"],
        ),
        ("level: info", "level: loud", 16, vec!["log.level", "loud"]),
        (
            "FOLDER/cell.secret",
            "FOLDER/none",
            5,
            vec!["cell_secret_file", "none"],
        ),
        (
            "FOLDER/operator.key",
            "FOLDER/short.key",
            6,
            vec!["operator_key_file", "16"],
        ),
        ("roles: [entry, store]", "roles: [entry, stroe]", 3, vec!["stroe"]),
        ("weight: 4", "weight: [4", 4, vec![]),
    ];

    for (from, to, line, parts) in cases {
        assert!(CORRECT.contains(from), "{from} is not in the settings");

        let checked = check(&CORRECT.replacen(from, to, 1));

        assert_eq!(checked.code, Some(2), "{to}: {}", checked.text);
        let place = format!("{}:{line}:", checked.file);
        assert!(
            checked.text.contains(&place),
            "{to}: no {place} in {}",
            checked.text
        );
        for part in parts {
            assert!(checked.text.contains(part), "{to}: no {part} in {}", checked.text);
        }
        assert!(!checked.text.contains(SECRET), "{to}: the secret is shown");
        assert!(
            !checked.text.contains("fifteen-letters"),
            "{to}: the secret is shown"
        );
    }
}
