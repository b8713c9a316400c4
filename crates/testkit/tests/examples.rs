//! Tests that the example files are consistent: keys have the documented secrets, and the daemons of a
//! deployment form one cell.

use {
    fuchsiatack_records::KeyDigest,
    fuchsiatack_testkit::DaemonSettings,
    serde_json::Value,
    std::{
        collections::BTreeSet,
        fs,
        path::{Path, PathBuf},
    },
};

const DAEMONS: usize = 9;
/// Folder of each deployment, and the prefix of its data centres.
const DEPLOYMENTS: [(&str, &str); 2] = [("atelier", "casablanca"), ("society", "prairie")];

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn records(deployment: &str) -> Vec<Value> {
    let file = examples().join(deployment).join("records.yaml");
    let text = fs::read_to_string(file).expect("the record file should be readable");
    serde_saphyr::from_multiple(&text).expect("the record file should hold YAML documents")
}

fn settings(deployment: &str) -> Vec<DaemonSettings> {
    let read = |number| {
        let file = examples().join(deployment).join(format!("entry-{number}.yaml"));
        let text = fs::read_to_string(file).expect("the settings file should be readable");
        serde_saphyr::from_str(&text).expect("the file should hold daemon settings")
    };
    (1..=DAEMONS).map(read).collect()
}

fn names_of(records: &[Value], kind: &str) -> BTreeSet<String> {
    let of_kind = records.iter().filter(|record| record["kind"] == kind);
    of_kind
        .map(|record| {
            record["name"]
                .as_str()
                .expect("the record should have a name")
                .to_owned()
        })
        .collect()
}

/// Guards against example keys whose documented secrets daemons would reject.
#[test]
fn keys_have_the_documented_secrets() {
    for (deployment, _) in DEPLOYMENTS {
        let records = records(deployment);
        let keys: Vec<_> = records.iter().filter(|record| record["kind"] == "key").collect();
        assert_eq!(keys.len(), 6);
        for key in keys {
            let team = key["spec"]["team"]
                .as_str()
                .expect("the record should name a team");
            let KeyDigest(digest) = KeyDigest::of(&format!("{team}-example-key"));
            let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            assert_eq!(key["spec"]["secret_blake3"], digest, "{team}");
        }
    }
}

/// Guards against records of unknown teams, and teams without a limit or a share.
#[test]
fn every_team_has_its_records() {
    for (deployment, _) in DEPLOYMENTS {
        let records = records(deployment);
        let teams = names_of(&records, "team");
        assert_eq!(teams.len(), 6);
        assert_eq!(names_of(&records, "limit"), teams);
        assert_eq!(names_of(&records, "share"), teams);
        for record in &records {
            if let Some(team) = record["spec"]["team"].as_str() {
                assert!(teams.contains(team), "{record}");
            }
        }
        let schemas = records.iter().map(|record| record["schema"].as_u64());
        assert!(schemas.into_iter().all(|schema| matches!(schema, Some(1 | 2))));
    }
}

/// Guards against daemons of one deployment that cannot form a cell.
#[test]
fn the_daemons_of_a_deployment_form_one_cell() {
    for (deployment, prefix) in DEPLOYMENTS {
        let daemons = settings(deployment);
        let mut addresses = BTreeSet::new();
        let mut data_centers = BTreeSet::new();
        for daemon in &daemons {
            data_centers.insert(daemon.data_center.clone());
            addresses.extend([
                daemon.callers.address,
                daemon.operators.address,
                daemon.peers.address,
            ]);
            assert_eq!(daemon.store.members, daemons[0].store.members);
            let member = daemon
                .store
                .members
                .iter()
                .find(|member| member.name == daemon.name);
            assert_eq!(
                member.map(|member| member.address),
                daemon.store.data_folder.as_ref().map(|_| daemon.peers.address)
            );
            assert_eq!(member.is_some(), daemon.roles.contains(&"store".to_owned()));
        }
        assert_eq!(addresses.len(), 3 * DAEMONS);
        let expected = (1..=3).map(|number| format!("{prefix}-{number}"));
        assert_eq!(data_centers, expected.collect());
    }
}
