//! Records: durability, concurrent writes, resent writes and reads with a floor.

use {
    crate::common::{assert_no_violation, builder, lock_cell, start_cell},
    fuchsiatack_testkit::Cell,
    reqwest::{Client, Method, StatusCode},
    serde_json::{Value, json},
    std::{collections::BTreeMap, fs, net::SocketAddr, time::Duration},
};

const OPERATION_ID_HEADER: &str = "fuchsiatack-operation-id";

/// HTTP client of an operator, with the operator key of one cell.
#[derive(Clone)]
struct Operator {
    client: Client,
    key: String,
}

impl Operator {
    fn new(cell: &Cell) -> Self {
        let key = fs::read_to_string(cell.operator_key_file()).expect("the operator key should be readable");
        Self {
            client: Client::builder()
                .no_proxy()
                .timeout(Duration::from_secs(15))
                .build()
                .expect("a client without TLS needs no system support"),
            key: key.trim().to_owned(),
        }
    }

    /// Writes a team record; returns the status and the body of the response.
    async fn write(
        &self,
        to: SocketAddr,
        operation: &str,
        team: &str,
        version: u64,
        title: &str,
    ) -> (StatusCode, Value) {
        let response = self
            .client
            .put(format!("http://{to}/v1/records/team/{team}"))
            .bearer_auth(&self.key)
            .header(OPERATION_ID_HEADER, operation)
            .json(&record(team, version, title))
            .send()
            .await
            .expect("the daemon should respond");
        (
            response.status(),
            response.json().await.expect("the body should be JSON"),
        )
    }

    /// Reads a team record with a floor; returns the index and the version, or `None` if the daemon
    /// has not reached the floor.
    async fn read(&self, from: SocketAddr, team: &str, floor: u64) -> Option<(u64, u64)> {
        let url = format!("http://{from}/v1/records/team/{team}?schema=2&floor={floor}");
        let call = self.client.request(Method::GET, url).bearer_auth(&self.key);
        let response = call.send().await.expect("the daemon should respond");
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let index = response.headers()["fuchsiatack-index"]
            .to_str()
            .expect("the index header should be ASCII");
        let index = index.parse().expect("the index should be a number");
        let body: Value = response.json().await.expect("the body should be JSON");
        Some((
            index,
            body["version"].as_u64().expect("the version should be a number"),
        ))
    }
}

fn record(team: &str, version: u64, title: &str) -> Value {
    json!({"schema": 2, "kind": "team", "name": team, "version": version, "spec": {"title": title}})
}

fn operator_addresses(cell: &mut Cell) -> Vec<SocketAddr> {
    cell.daemons()
        .iter()
        .map(|daemon| daemon.operator_address())
        .collect()
}

/// Version and title of all team records of a daemon, by name.
async fn team_records(cell: &Cell, number: usize) -> BTreeMap<String, (u64, String)> {
    let listed = cell
        .operate(number, Method::GET, "/v1/records/team?schema=2", None)
        .await
        .expect("the records should be returned");
    let records = listed["records"]
        .as_array()
        .expect("the records should be an array")
        .iter();
    records
        .map(|record| {
            let text = |value: &Value| value.as_str().expect("the value should be text").to_owned();
            let version = record["version"]
                .as_u64()
                .expect("the version should be a number");
            (text(&record["name"]), (version, text(&record["spec"]["title"])))
        })
        .collect()
}

/// Guards against an accepted record that is lost or reverts to an earlier version. All
/// daemons crash at once after 500 changes and restart.
#[tokio::test]
async fn records_survive_the_crash_of_all_daemons() {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(1), 1).await;
    let mut wanted = team_records(&cell, 1).await;
    let mut changes = 0;
    for number in 0..250 {
        let name = format!("team-{number}");
        cell.put_record(&record(&name, 0, "first"))
            .await
            .expect("the write should be accepted");
        wanted.insert(name, (1, "first".to_owned()));
        changes += 1;
    }
    for number in 0..150 {
        let name = format!("team-{number}");
        cell.put_record(&record(&name, 1, "second"))
            .await
            .expect("the write should be accepted");
        wanted.insert(name, (2, "second".to_owned()));
        changes += 1;
    }
    for number in 100..200 {
        let name = format!("team-{number}");
        let (version, _) = wanted.remove(&name).expect("the team should have been written");
        cell.delete_record("team", &name, version)
            .await
            .expect("the record should be deleted");
        changes += 1;
    }
    assert_eq!(changes, 500);

    for number in 1..=3 {
        cell.daemon(number).kill();
    }
    for number in 1..=3 {
        cell.daemon(number).restart().expect("the daemon should restart");
    }

    cell.wait_ready()
        .await
        .expect("all daemons should become ready again");
    for number in 1..=3 {
        let seen = team_records(&cell, number).await;
        println!(
            "entry-{number}: {} team records after {changes} changes and the crash",
            seen.len()
        );
        assert_eq!(seen, wanted, "entry-{number}");
    }
    // A deleted name continues its version count, so that no version is used twice.
    let again = cell
        .put_record(&record("team-150", 0, "third"))
        .await
        .expect("the write should be accepted");
    assert_eq!(again["version"], 2);
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against two accepted writes or none for the same version, a conflict that does not name the
/// winner, a resent write that is applied again, and a reader that sees the version decrease.
/// Two operators write the same record through different daemons at the same time.
#[tokio::test]
async fn concurrent_operator_writes_yield_one_success_and_one_conflict() {
    const ROUNDS: u64 = 60;
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(1), 1).await;
    let operator = Operator::new(&cell);
    let addresses = operator_addresses(&mut cell);
    let first = operator.write(addresses[0], "create", "race", 0, "none").await;
    assert_eq!(first.0, StatusCode::OK);
    // Each reader reads from all daemons in turn and sends the index of its last response as the floor.
    let readers: Vec<_> = (0..6)
        .map(|reader| {
            let (operator, addresses) = (operator.clone(), addresses.clone());
            tokio::spawn(async move {
                let (mut floor, mut last, mut reads) = (0, 0, 0_u64);
                for step in reader.. {
                    let from = addresses[step % addresses.len()];
                    let Some((index, version)) = operator.read(from, "race", floor).await else {
                        continue;
                    };
                    assert!(version >= last, "version {version} after {last}");
                    assert!(index >= floor, "index {index} below the floor {floor}");
                    (floor, last, reads) = (index, version, reads + 1);
                    if version > ROUNDS {
                        break;
                    }
                }
                reads
            })
        })
        .collect();

    for round in 1..=ROUNDS {
        let (one, other) = (round as usize % 3, (round as usize + 1) % 3);
        let names = [format!("amina-{round}"), format!("bilal-{round}")];
        let (first, second) = tokio::join!(
            operator.write(addresses[one], &names[0], "race", round, &names[0]),
            operator.write(addresses[other], &names[1], "race", round, &names[1]),
        );
        let (winner, won, lost) = match first.0 {
            StatusCode::OK => (0, first, second),
            _ => (1, second, first),
        };
        assert_eq!((won.0, lost.0), (StatusCode::OK, StatusCode::CONFLICT));
        assert_eq!(won.1["version"], round + 1);
        let message = lost.1["message"].as_str().unwrap_or_default();
        assert!(
            message.contains(&names[winner]),
            "the conflict should name the winner {}: {message}",
            names[winner]
        );
        // Treats the winner's response as lost: the write is resent to the third daemon.
        let third = (round as usize + 2) % 3;
        let resent = operator
            .write(addresses[third], &names[winner], "race", round, &names[winner])
            .await;
        assert_eq!(resent.0, StatusCode::OK);
        assert_eq!(resent.1["version"], won.1["version"]);
        let loser = &names[1 - winner];
        let resent = operator
            .write(addresses[third], loser, "race", round, loser)
            .await;
        assert_eq!(resent, lost);
    }

    let mut reads = 0;
    for reader in readers {
        reads += reader.await.expect("the reader should see no version decrease");
    }
    println!("{ROUNDS} rounds of concurrent writes, {reads} reads with a floor");
    assert!(reads > ROUNDS);
    assert_no_violation(
        &cell,
        "concurrent_operator_writes_yield_one_success_and_one_conflict",
    );
}
