//! `fuchsiatack replace-member`.

use {
    crate::{
        client::{Answer, Call, Client},
        error::CliError,
        output::Format,
        record_file, status,
    },
    fuchsiatack_records::Kind,
    gumdrop::Options,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::Instant,
};

pub(crate) const EXAMPLE: &str =
    "fuchsiatack replace-member entry-3 --server 10.0.0.1:8081 --server 10.0.2.1:8081";

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Options of `replace-member`.
#[derive(Debug, Options)]
pub(crate) struct ReplaceMemberOptions {
    #[options(no_short, help = "peer address (else as in the status)", meta = "ADDRESS")]
    address: Option<String>,
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
    #[options(no_short, help = "identity of the new disk (else as it reports)", meta = "N")]
    identity: Option<u64>,
    #[options(
        no_short,
        help = "longest time until the new member counts, in seconds",
        meta = "N",
        default = "600"
    )]
    timeout_s: u64,
}

impl ReplaceMemberOptions {
    /// Writes the `store_member` record with the new disk's identity and returns once the
    /// new member votes. Nothing is written if it votes already.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [name] = self.free.as_slice() else {
            return Err(CliError::usage("replace-member needs NAME"));
        };
        let statuses = client.get_from_all(status::PATH).await?;
        let identity = self
            .identity
            .or_else(|| disk_identity(&statuses, name))
            .ok_or_else(|| {
                CliError::usage(format!(
                    "{name} does not report its disk; give its operator address by --server, or --identity"
                ))
            })?;
        if !votes(&statuses, name, identity) {
            let address = self.address.clone().or_else(|| address(&statuses, name));
            let address = address.ok_or_else(|| {
                CliError::usage(format!("no server knows the address of {name}; give --address"))
            })?;
            write(client, name, identity, &address).await?;
            self.wait_until_voting(client, name, identity).await?;
        }
        format.print(
            &json!({"member": name, "identity": identity, "voting": true}),
            &format!("{name} is replaced and counts in the quorum"),
        );
        Ok(())
    }

    async fn wait_until_voting(&self, client: &Client, name: &str, identity: u64) -> Result<(), CliError> {
        let end = Instant::now() + Duration::from_secs(self.timeout_s);
        loop {
            match client.get_from_all(status::PATH).await {
                Ok(statuses) if votes(&statuses, name, identity) => return Ok(()),
                Ok(_) | Err(CliError::Unreachable { .. }) => {}
                Err(error) => return Err(error),
            }
            if Instant::now() >= end {
                return Err(CliError::Unreachable {
                    attempts: format!(
                        "the record of {name} is written, but it does not count in the quorum after {} s",
                        self.timeout_s
                    ),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Identity of the disk that the member's own daemon reports.
fn disk_identity(statuses: &[Answer], name: &str) -> Option<u64> {
    statuses
        .iter()
        .find(|status| status.body["daemon"] == json!(name))
        .and_then(|status| status.body["store"]["identity"].as_u64())
}

fn address(statuses: &[Answer], name: &str) -> Option<String> {
    members(statuses)
        .find(|member| member["name"] == json!(name))
        .and_then(|member| member["address"].as_str())
        .map(str::to_owned)
}

/// Returns whether the member with this disk counts in the quorum.
fn votes(statuses: &[Answer], name: &str, identity: u64) -> bool {
    members(statuses)
        .filter(|member| member["name"] == json!(name) && member["id"] == json!(identity))
        .any(|member| member["role"] == json!("Voter"))
}

/// Entries of all member lists.
fn members(statuses: &[Answer]) -> impl Iterator<Item = &Value> {
    statuses
        .iter()
        .filter_map(|status| status.body["store"]["members"].as_array())
        .flatten()
}

async fn write(client: &Client, name: &str, identity: u64, address: &str) -> Result<(), CliError> {
    let path = record_file::path(Kind::StoreMember, name);
    let present = client.send(Call::get(path.clone())).await?;
    let body = json!({
        "schema": 2,
        "kind": record_file::kind_name(Kind::StoreMember),
        "name": name,
        "version": record_file::version(&present)?,
        "spec": {"address": address, "identity": identity},
    });
    let answer = client.send(Call::put(path, &body)).await?;
    match answer.found {
        true => Ok(()),
        false => Err(record_file::not_found(Kind::StoreMember, name, &answer)),
    }
}
