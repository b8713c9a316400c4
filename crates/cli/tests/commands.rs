//! Exit codes, output and requests of the commands.

mod common;

use common::{FakeServer, KEY, closed_address, exit_code, run, standard_error, standard_output, write_file};

const RECORD: &str = r#"{"schema":2,"kind":"drain","name":"w-1","version":3,"spec":{"reason":""}}"#;

const RECORDS: &str = "
schema: 2
kind: team
name: red
spec: {title: Red team}
---
schema: 2
kind: drain
name: w-1
version: 3
spec: {reason: memory}
";

/// Guards against help without an example and against help that needs a server.
#[test]
fn help_of_each_command_shows_an_example() {
    for command in [
        "apply",
        "check",
        "delete",
        "drain",
        "evacuate",
        "get",
        "replace-member",
        "restore",
        "scarce",
        "status",
        "trace",
    ] {
        let output = run(&[], &[command, "--help"]);

        let text = standard_output(&output);
        let example = format!("Example:\n  fuchsiatack {command}");
        assert_eq!(exit_code(&output), 0);
        assert!(text.contains(&example), "{text}");
    }
}

/// Guards against usage errors that a script cannot tell from other failures.
#[test]
fn usage_errors_exit_with_2() {
    for arguments in [
        &["get"][..],
        &["get", "planet"],
        &["fly"],
        &["--output", "xml", "status"],
        &["--schema", "3", "status"],
        &["apply"],
        &["evacuate"],
        &["restore", "a", "b"],
        &["check", "-f", "/missing.yaml"],
        &["status", "--key-file", "/missing.key"],
        &[],
    ] {
        let output = run(&[], arguments);

        assert_eq!(exit_code(&output), 2, "{arguments:?}");
        assert!(
            standard_error(&output).starts_with("fuchsiatack: "),
            "{arguments:?}"
        );
    }
}

/// Guards against an error that does not list why each server failed.
#[test]
fn unreachable_servers_exit_with_4() {
    let closed = closed_address();
    let disconnected = FakeServer::start(&[(503, r#"{"message":"no contact with the store"}"#)]);

    let output = run(&[&closed, &disconnected.address], &["status"]);

    let message = standard_error(&output);
    assert_eq!(exit_code(&output), 4);
    assert!(
        message.contains(&closed) && message.contains("no contact with the store"),
        "{message}"
    );
}

/// Guards against a conflict that does not name the author of the current version, and against an
/// operator's key in the output.
#[test]
fn conflict_exits_with_3_and_names_the_author_of_the_current_version() {
    let conflict = r#"{"reason":"conflict","message":"written meanwhile","author":"ada","version":4}"#;
    let server = FakeServer::start(&[(200, RECORD), (409, conflict)]);

    let output = run(&[&server.address], &["delete", "drain", "w-1"]);

    let message = standard_error(&output);
    assert_eq!(exit_code(&output), 3);
    assert!(message.contains("version 4 by ada"), "{message}");
    assert!(!message.contains(KEY) && !standard_output(&output).contains(KEY));
}

/// Guards against an internal error of a server that is reported as a rejection.
#[test]
fn server_error_exits_with_1() {
    let server = FakeServer::start(&[(500, r#"{"message":"broken"}"#)]);

    let output = run(&[&server.address], &["status"]);

    assert_eq!(exit_code(&output), 1);
}

/// Guards against a write that is applied twice because it is resent with another operation id.
#[test]
fn lost_write_is_resent_with_the_same_operation_id() {
    let first = FakeServer::start(&[(404, ""), (0, "")]);
    let second = FakeServer::start(&[(200, r#"{"version":1}"#)]);

    let output = run(
        &[&first.address, &second.address],
        &["drain", "w-1", "--reason", "memory"],
    );

    let lost = first.received().pop().unwrap();
    let resent = second.received().pop().unwrap();
    assert_eq!(exit_code(&output), 0, "{}", standard_error(&output));
    assert_eq!(resent.line, "PUT /v1/records/drain/w-1 HTTP/1.1");
    assert!(resent.header("fuchsiatack-operation-id").is_some());
    assert_eq!(
        lost.header("fuchsiatack-operation-id"),
        resent.header("fuchsiatack-operation-id")
    );
    assert_eq!(lost.body, resent.body);
    assert_eq!(
        resent.header("authorization"),
        Some(format!("Bearer {KEY}").as_str())
    );
}

/// Guards against an ignored option after the command, and against a wrong `schema` parameter.
#[test]
fn get_prints_json_in_the_requested_schema() {
    let server = FakeServer::start(&[(200, RECORD)]);

    let output = run(
        &[&server.address],
        &["get", "drain", "w-1", "--output", "json", "--schema=1"],
    );

    let printed: serde_json::Value = serde_json::from_str(&standard_output(&output)).unwrap();
    assert_eq!(
        server.received()[0].line,
        "GET /v1/records/drain/w-1?schema=1 HTTP/1.1"
    );
    assert_eq!(printed["version"], 3);
}

/// Guards against a missing record that is reported as success, and against a name that changes
/// the request path.
#[test]
fn missing_record_exits_with_3() {
    let server = FakeServer::start(&[(404, "")]);

    let output = run(&[&server.address], &["get", "team", "a/../b"]);

    assert_eq!(exit_code(&output), 3);
    assert_eq!(
        server.received()[0].line,
        "GET /v1/records/team/a%2F..%2Fb?schema=2 HTTP/1.1"
    );
}

/// Guards against a failure when a drain, or the end of a drain, is repeated.
#[test]
fn drain_and_its_end_can_be_repeated() {
    let drained = FakeServer::start(&[(200, RECORD)]);
    let in_service = FakeServer::start(&[(404, "")]);

    let repeated_drain = run(&[&drained.address], &["drain", "w-1"]);
    let repeated_end = run(&[&in_service.address], &["drain", "w-1", "--end"]);

    assert_eq!((exit_code(&repeated_drain), exit_code(&repeated_end)), (0, 0));
    assert_eq!(standard_output(&repeated_end), "w-1 is in service\n");
}

/// Returns the status of a cell with two workers in the data centre `a` and one in `b`.
fn status_with_workers() -> String {
    let worker = |name: &str, data_center: &str, lost: bool| {
        format!(r#"{{"announcement":{{"name":"{name}","data_center":"{data_center}"}},"lost":{lost}}}"#)
    };
    let workers = [
        worker("w-1", "a", false),
        worker("w-2", "a", true),
        worker("w-3", "b", false),
    ];
    format!(
        r#"{{"daemon":"d","ledger":{{"workers":[{}]}}}}"#,
        workers.join(",")
    )
}

/// Returns a list with the drain of a single worker, and the drains of two evacuated data centres.
fn drains() -> String {
    let evacuated = |name: &str, version: u32, data_center: &str| {
        let reason = format!("evacuated data centre {data_center}");
        format!(r#"{{"name":"{name}","version":{version},"spec":{{"reason":"{reason}"}}}}"#)
    };
    let drains = [
        RECORD.to_owned(),
        evacuated("w-2", 5, "a"),
        evacuated("w-3", 6, "b"),
    ];
    format!(r#"{{"records":[{}]}}"#, drains.join(","))
}

/// Guards against workers that are left out, or whose own drain is replaced.
#[test]
fn evacuate_drains_the_workers_of_the_data_centre_that_are_in_service() {
    let written = (200, r#"{"version":1}"#);
    let fresh = FakeServer::start(&[
        (200, &status_with_workers()),
        (200, r#"{"records":[]}"#),
        written,
        written,
    ]);
    let repeated = FakeServer::start(&[(200, &status_with_workers()), (200, &drains())]);
    let unknown = FakeServer::start(&[(200, &status_with_workers())]);

    let first = run(&[&fresh.address], &["evacuate", "a"]);
    let second = run(&[&repeated.address], &["evacuate", "a"]);
    let third = run(&[&unknown.address], &["evacuate", "c"]);

    let requests = fresh.received();
    let lines: Vec<_> = requests[2..]
        .iter()
        .map(|request| request.line.as_str())
        .collect();
    let record: serde_json::Value = serde_json::from_str(&requests[2].body).unwrap();
    assert_eq!(
        standard_output(&first),
        "a is evacuated, 2 workers\n",
        "{}",
        standard_error(&first)
    );
    assert_eq!(
        lines,
        [
            "PUT /v1/records/drain/w-1 HTTP/1.1",
            "PUT /v1/records/drain/w-2 HTTP/1.1"
        ]
    );
    assert_eq!(record["spec"]["reason"], "evacuated data centre a");
    assert_eq!((exit_code(&second), repeated.received().len()), (0, 2));
    assert_eq!(exit_code(&third), 3);
}

/// Guards against the end of a drain that was written for another reason, and of another data centre.
#[test]
fn restore_ends_only_the_drains_of_the_evacuation() {
    let server = FakeServer::start(&[(200, &drains()), (200, "{}")]);
    let in_service = FakeServer::start(&[(200, &drains())]);

    let restored = run(&[&server.address], &["restore", "a"]);
    let repeated = run(&[&in_service.address], &["restore", "c"]);

    let requests = server.received();
    assert_eq!(standard_output(&restored), "a is in service, 1 workers\n");
    assert_eq!(requests.len(), 2);
    assert_eq!(
        requests[1].line,
        "DELETE /v1/records/drain/w-2?version=5 HTTP/1.1"
    );
    assert_eq!((exit_code(&repeated), in_service.received().len()), (0, 1));
}

/// Guards against operators who cannot see which data centres are evacuated.
#[test]
fn status_shows_evacuated_data_centres() {
    let server = FakeServer::start(&[(200, &status_with_workers()), (200, &drains())]);

    let output = run(&[&server.address], &["status", "--output", "json"]);

    let printed: serde_json::Value = serde_json::from_str(&standard_output(&output)).unwrap();
    let expected = serde_json::json!([
        {"data_center": "a", "drained": 2, "not_lost": 1, "workers": 2},
        {"data_center": "b", "drained": 1, "not_lost": 1, "workers": 1},
    ]);
    assert_eq!(printed["evacuations"], expected);
}

/// Guards against a return before the new member counts in the quorum, and against a record with
/// the disk identity of another member.
#[test]
fn replace_member_waits_until_the_member_votes() {
    let status = |daemon: &str, role: &str| {
        format!(
            r#"{{"daemon":"{daemon}","store":{{"identity":9,"members":[
            {{"name":"entry-1","address":"127.0.0.1:8082","id":7,"role":"Voter"}},
            {{"name":"entry-1","address":"127.0.0.1:8082","id":9,"role":"{role}"}}]}}}}"#
        )
    };
    let other = r#"{"daemon":"entry-2","store":{"identity":5,"members":[]}}"#;
    let first = FakeServer::start(&[
        (200, other),
        (200, r#"{"version":2}"#),
        (200, r#"{"version":3}"#),
        (200, other),
        (200, other),
    ]);
    let second = FakeServer::start(&[
        (200, &status("entry-1", "Learner")),
        (200, &status("entry-1", "Learner")),
        (200, &status("entry-1", "Voter")),
    ]);

    let output = run(&[&first.address, &second.address], &["replace-member", "entry-1"]);

    let requests = first.received();
    let written: serde_json::Value = serde_json::from_str(&requests[2].body).unwrap();
    assert_eq!(exit_code(&output), 0, "{}", standard_error(&output));
    assert_eq!(written["spec"]["identity"], 9);
    assert_eq!(written["version"], 2);
    assert_eq!(second.received().len(), 3);
}

/// Guards against a list of records that is printed empty.
#[test]
fn get_lists_names_and_versions() {
    let server = FakeServer::start(&[(200, &format!(r#"{{"records":[{RECORD}]}}"#))]);

    let output = run(&[&server.address], &["get", "drain"]);

    assert_eq!(standard_output(&output), "w-1 version 3\n");
}

/// Guards against a check that needs a server, and against an error that does not name the document
/// and field.
#[test]
fn check_validates_files_without_a_server() {
    let valid = write_file("valid.yaml", RECORDS);
    let invalid = write_file(
        "invalid.yaml",
        &RECORDS.replace("reason: memory", "reason: memory, raeson: x"),
    );

    let accepted = run(&[], &["check", "-f", valid.to_str().unwrap(), "--output", "json"]);
    let rejected = run(&[], &["check", "-f", invalid.to_str().unwrap()]);

    let message = standard_error(&rejected);
    assert_eq!(exit_code(&accepted), 0, "{}", standard_error(&accepted));
    assert!(standard_output(&accepted).contains("\"records\": 2"));
    assert_eq!(exit_code(&rejected), 2);
    assert!(
        message.contains("document 2") && message.contains("raeson"),
        "{message}"
    );
}

/// Guards against records that are written out of order, or after one was rejected.
#[test]
fn apply_writes_in_order_and_stops_at_a_rejection() {
    let path = write_file("apply.yaml", RECORDS);
    let path = path.to_str().unwrap();
    let accepting = FakeServer::start(&[(200, r#"{"version":1}"#), (200, r#"{"version":4}"#)]);
    let rejecting = FakeServer::start(&[(409, r#"{"message":"the record has version 4 now"}"#)]);

    let applied = run(&[&accepting.address], &["apply", "-f", path]);
    let rejected = run(&[&rejecting.address], &["apply", "-f", path]);

    let lines: Vec<String> = accepting
        .received()
        .iter()
        .map(|request| request.line.clone())
        .collect();
    let second: serde_json::Value = serde_json::from_str(&accepting.received()[1].body).unwrap();
    assert_eq!(exit_code(&applied), 0, "{}", standard_error(&applied));
    assert_eq!(
        standard_output(&applied),
        "team red has version 1\ndrain w-1 has version 4\n"
    );
    assert!(lines[0].starts_with("PUT /v1/records/team/red "), "{lines:?}");
    assert_eq!(second["version"], 3);
    assert_eq!(exit_code(&rejected), 3);
    assert_eq!(rejecting.received().len(), 1);
}

/// Guards against lines out of order, lines of other jobs, and a line that is lost because a log
/// collector has put a prefix before it.
#[test]
fn trace_prints_the_events_of_a_job_in_order() {
    let core = write_file(
        "trace-core.log",
        concat!(
            "  3.7370 core {\"daemon\":\"core\",\"event\":\"job accepted\",\"job\":\"00000000000000aa\",\"unix_ms\":20}\n",
            "{\"daemon\":\"core\",\"event\":\"job accepted\",\"job\":\"00000000000000bb\",\"unix_ms\":21}\n",
            "not a line of a daemon 00000000000000aa\n",
        ),
    );
    let entry = write_file(
        "trace-entry.log",
        "{\"daemon\":\"entry\",\"event\":\"request answered\",\"job\":\"/q/00000000000000aa\",\"unix_ms\":15,\"outcome\":\"accepted\"}\n",
    );
    let path = |file: &std::path::PathBuf| file.display().to_string();

    let output = run(&[], &["trace", "00000000000000aa", &path(&core), &path(&entry)]);
    let missing = run(&[], &["trace", "00000000000000aa"]);

    let text = standard_output(&output);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(
        (exit_code(&output), exit_code(&missing), lines.len()),
        (0, 2, 3),
        "{text}"
    );
    assert!(lines[0].contains("request answered: outcome=accepted"), "{text}");
    assert!(
        lines[1].contains("+5 ms") && lines[1].contains("job accepted"),
        "{text}"
    );
}

/// Guards against an old report that hides a newer one, and against an abundant resource that comes before a
/// scarce one.
#[test]
fn scarce_shows_the_newest_room_with_the_scarcest_resource_first() {
    let room = |unix_ms: u64, free: u64| {
        format!(
            "{{\"event\":\"room in the cell\",\"service\":\"lab\",\"workers\":\"10\",\"reserved_workers\":\"2\",\
             \"processors_millis\":\"1000\",\"free_processors_millis\":\"500\",\"accelerators\":\"80\",\
             \"free_accelerators\":\"{free}\",\"largest_free_accelerators\":\"1\",\"unix_ms\":{unix_ms}}}\n"
        )
    };
    let waits =
        "{\"event\":\"steps waiting\",\"priority\":\"1\",\"waits\":\"awaits advice 780 ms\",\"unix_ms\":7}\n";
    let newer = write_file("scarce-1.log", &format!("{}{waits}", room(20, 8)));
    let older = write_file("scarce-2.log", &room(10, 80));
    let path = |file: &std::path::PathBuf| file.display().to_string();

    let output = run(&[], &["scarce", &path(&newer), &path(&older)]);
    let missing = run(&[], &["scarce"]);

    let text = standard_output(&output);
    assert_eq!((exit_code(&output), exit_code(&missing)), (0, 2), "{text}");
    let first = text.lines().next().unwrap_or_default();
    assert_eq!(first, "lab accelerators: 8 of 80 free (10%), 1 on one worker");
    assert!(text.contains("reserved on 2 of 10 workers"), "{text}");
    assert!(text.contains("awaits advice 780 ms"), "{text}");
}
