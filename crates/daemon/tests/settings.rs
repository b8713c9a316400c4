//! Invalid settings are rejected with file, line and key before the daemon starts.

use {
    std::{fs, path::Path, process::Command},
    tempfile::TempDir,
};

const SECRET: &str = "a secret of more than sixteen characters";

/// Valid settings; `FOLDER` stands for the temporary folder of the test.
const VALID: &str = "\
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

struct CheckOutput {
    code: Option<i32>,
    file: String,
    text: String,
}

/// Runs `fuchsiatackd --check` on the settings.
fn check(settings: &str) -> CheckOutput {
    let folder = folder();
    let file = folder.path().join("daemon.yaml");
    let text = settings.replace("FOLDER", &folder.path().display().to_string());
    fs::write(&file, text).expect("the file should be written");
    let output = Command::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .arg("--check")
        .arg("--settings")
        .arg(&file)
        .output()
        .expect("the program should run");
    CheckOutput {
        code: output.status.code(),
        file: file.display().to_string(),
        text: String::from_utf8(output.stderr).expect("stderr should be UTF-8"),
    }
}

fn folder() -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder should be created");
    write(folder.path(), "cell.secret", SECRET);
    write(folder.path(), "operator.key", SECRET);
    write(folder.path(), "short.key", "  fifteen-letters  \n");
    folder
}

fn write(folder: &Path, name: &str, text: &str) {
    fs::write(folder.join(name), text).expect("the file should be written");
}

/// Guards against a check that rejects the example settings of the design documentation.
#[test]
fn accepts_valid_settings() {
    let output = check(VALID);

    assert_eq!((output.code, output.text.as_str()), (Some(0), ""));
}

/// Guards against a daemon that starts with invalid settings, and against a message that shows a secret
/// or lacks the file, line or key of the error.
#[test]
fn reports_each_error_with_line_and_key() {
    let cases = [
        // (replaced text, replacement, line of the error, parts of the message)
        ("weight: 4", "wieght: 4", 4, vec!["wieght"]),
        ("weight: 4", "weight: four", 4, vec!["weight"]),
        ("weight: 4", "weight: 0", 4, vec!["weight"]),
        ("name: entry-1\ndata", "data", 1, vec!["name"]),
        (
            "weight: 4",
            "clients: {memory_mb: 134217728}",
            4,
            vec!["clients.memory_mb", "1048576"],
        ),
        (
            "weight: 4",
            "clients: {max_head_bytes: 100}",
            4,
            vec!["clients.max_head_bytes", "8192"],
        ),
        (
            "weight: 4",
            "clients: {max_pipelined: 0}",
            4,
            vec!["clients.max_pipelined"],
        ),
        (
            "weight: 4",
            "clients: {max_depth: 0}",
            4,
            vec!["clients.max_depth"],
        ),
        ("weight: 4", "clients: {max_deep: 1}", 4, vec!["max_deep"]),
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
        assert!(VALID.contains(from), "{from} is missing from the valid settings");

        let output = check(&VALID.replacen(from, to, 1));

        assert_eq!(output.code, Some(2), "{to}: {}", output.text);
        let place = format!("{}:{line}:", output.file);
        assert!(
            output.text.contains(&place),
            "{to}: no {place} in {}",
            output.text
        );
        for part in parts {
            assert!(output.text.contains(part), "{to}: no {part} in {}", output.text);
        }
        assert!(!output.text.contains(SECRET), "{to}: the message shows a secret");
        assert!(
            !output.text.contains("fifteen-letters"),
            "{to}: the message shows a secret"
        );
    }
}
