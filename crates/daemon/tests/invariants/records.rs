//! Records: durability, races of operators, resends and readers with a floor.

use {
    crate::common::{assert_no_violation, builder, start, turn},
    fuchsiatack_testkit::Cell,
    reqwest::{Client, Method, StatusCode},
    serde_json::{Value, json},
    std::{collections::BTreeMap, fs, net::SocketAddr, time::Duration},
};

const OPERATIONS: &str = "fuchsiatack-operation-id";

/// An operator of one cell.
#[derive(Clone)]
struct Operator {
    client: Client,
    key: String,
}

impl Operator {
    fn new(cell: &Cell) -> Self {
        let key = fs::read_to_string(cell.operator_key_file()).expect("the operator's key");
        Self {
            client: Client::builder()
                .no_proxy()
                .timeout(Duration::from_secs(15))
                .build()
                .expect("a client without TLS needs no system support"),
            key: key.trim().to_owned(),
        }
    }

    /// Writes a team record and returns the status and the body.
    async fn write(
        &self,
        to: SocketAddr,
        operation: &str,
        team: &str,
        version: u64,
        title: &str,
    ) -> (StatusCode, Value) {
        let answer = self
            .client
            .put(format!("http://{to}/v1/records/team/{team}"))
            .bearer_auth(&self.key)
            .header(OPERATIONS, operation)
            .json(&record(team, version, title))
            .send()
            .await
            .expect("an answer");
        (answer.status(), answer.json().await.expect("JSON"))
    }

    /// Reads a team record with a floor; returns the index and the version, or `None` if the daemon
    /// is behind the floor.
    async fn read(&self, from: SocketAddr, team: &str, floor: u64) -> Option<(u64, u64)> {
        let url = format!("http://{from}/v1/records/team/{team}?schema=2&floor={floor}");
        let call = self.client.request(Method::GET, url).bearer_auth(&self.key);
        let answer = call.send().await.expect("an answer");
        if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let index = answer.headers()["fuchsiatack-index"].to_str().expect("ASCII");
        let index = index.parse().expect("an index");
        let body: Value = answer.json().await.expect("JSON");
        Some((index, body["version"].as_u64().expect("a version")))
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

/// All team records of a daemon by name: version and title.
async fn teams(cell: &Cell, number: usize) -> BTreeMap<String, (u64, String)> {
    let listed = cell
        .operate(number, Method::GET, "/v1/records/team?schema=2", None)
        .await
        .expect("a list");
    let records = listed["records"].as_array().expect("an array").iter();
    records
        .map(|record| {
            let text = |value: &Value| value.as_str().expect("text").to_owned();
            let version = record["version"].as_u64().expect("a version");
            (text(&record["name"]), (version, text(&record["spec"]["title"])))
        })
        .collect()
}

/// Guards against an accepted record that is lost or reverts when all daemons crash at once
/// (invariant 10; processes restart after hundreds of changes).
#[tokio::test]
async fn records_survive_the_crash_of_all_daemons() {
    let _turn = turn().await;
    let mut cell = start(builder(1), 1).await;
    let mut wanted = teams(&cell, 1).await;
    let mut changes = 0;
    for number in 0..250 {
        let name = format!("team-{number}");
        cell.put_record(&record(&name, 0, "first"))
            .await
            .expect("a write");
        wanted.insert(name, (1, "first".to_owned()));
        changes += 1;
    }
    for number in 0..150 {
        let name = format!("team-{number}");
        cell.put_record(&record(&name, 1, "second"))
            .await
            .expect("a write");
        wanted.insert(name, (2, "second".to_owned()));
        changes += 1;
    }
    for number in 100..200 {
        let name = format!("team-{number}");
        let (version, _) = wanted.remove(&name).expect("a written team");
        cell.delete_record("team", &name, version)
            .await
            .expect("a withdrawal");
        changes += 1;
    }
    assert_eq!(changes, 500);

    for number in 1..=3 {
        cell.daemon(number).kill();
    }
    for number in 1..=3 {
        cell.daemon(number).restart().expect("the daemon starts");
    }

    cell.wait_ready().await.expect("ready again");
    for number in 1..=3 {
        let seen = teams(&cell, number).await;
        println!(
            "entry-{number}: {} team records after {changes} changes and the crash",
            seen.len()
        );
        assert_eq!(seen, wanted, "entry-{number}");
    }
    // A deleted name goes on counting, so no version is used twice.
    let again = cell
        .put_record(&record("team-150", 0, "third"))
        .await
        .expect("a write");
    assert_eq!(again["version"], 2);
    cell.stop().await.expect("exit code 0");
}

/// Guards against two winners or none under an equal version, a conflict that does not name the
/// winner, a resend that writes again, and a reader that sees a version go back (invariant 10;
/// concurrent operator writes).
#[tokio::test]
async fn racing_operators_get_one_success_and_one_conflict() {
    const ROUNDS: u64 = 60;
    let _turn = turn().await;
    let mut cell = start(builder(1), 1).await;
    let operator = Operator::new(&cell);
    let addresses = operator_addresses(&mut cell);
    let first = operator.write(addresses[0], "create", "race", 0, "none").await;
    assert_eq!(first.0, StatusCode::OK);
    // Each reader goes round all daemons and passes the index of its last answer as the floor.
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
            "the winner is {}: {message}",
            names[winner]
        );
        // The winner's answer is taken as lost; it resends to the third daemon.
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
        reads += reader.await.expect("no version goes back");
    }
    println!("{ROUNDS} races, {reads} reads with a floor");
    assert!(reads > ROUNDS);
    assert_no_violation(&cell, "racing_operators_get_one_success_and_one_conflict");
}
