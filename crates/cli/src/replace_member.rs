//! `fuchsiatack replace-member`.

use {
    crate::{
        client::{Client, Request, Response},
        error::CliError,
        output::Format,
        records, status,
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

/// Replaces a store member whose disk was lost and waits until the new member votes.
#[derive(Debug, Options)]
pub(crate) struct ReplaceMemberOptions {
    #[options(
        no_short,
        help = "peer address of the member (default: the one in the status)",
        meta = "ADDRESS"
    )]
    address: Option<String>,
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        help = "identity of the new disk (default: the one that the member reports)",
        meta = "N"
    )]
    identity: Option<u64>,
    #[options(
        no_short,
        help = "time to wait until the new member counts in the quorum, in seconds",
        meta = "N",
        default = "600"
    )]
    timeout_s: u64,
}

impl ReplaceMemberOptions {
    /// Writes the `store_member` record with the identity of the new disk and waits until the new
    /// member is a voter. Writes nothing if it already is one.
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
                    "the disk of {name} is unknown; give its operator address with --server, or --identity"
                ))
            })?;
        if !is_voter(&statuses, name, identity) {
            let address = self.address.clone().or_else(|| peer_address(&statuses, name));
            let address = address.ok_or_else(|| {
                CliError::usage(format!("no server reports the address of {name}; give --address"))
            })?;
            write_record(client, name, identity, &address).await?;
            self.wait_until_voting(client, name, identity).await?;
        }
        format.print(
            &json!({"member": name, "identity": identity, "voting": true}),
            &format!("{name} is replaced and counts in the quorum"),
        );
        Ok(())
    }

    /// Polls all servers until one reports the member as a voter or the time-out expires.
    async fn wait_until_voting(&self, client: &Client, name: &str, identity: u64) -> Result<(), CliError> {
        let deadline = Instant::now() + Duration::from_secs(self.timeout_s);
        loop {
            match client.get_from_all(status::PATH).await {
                Ok(statuses) if is_voter(&statuses, name, identity) => return Ok(()),
                Ok(_) | Err(CliError::Unreachable { .. }) => {}
                Err(error) => return Err(error),
            }
            if Instant::now() >= deadline {
                return Err(CliError::Unreachable {
                    attempts: format!(
                        "the record of {name} is written, but the member does not count in the quorum after {} s",
                        self.timeout_s
                    ),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the disk identity that the daemon of the member reports.
fn disk_identity(statuses: &[Response], name: &str) -> Option<u64> {
    statuses
        .iter()
        .find(|status| status.body["daemon"] == json!(name))
        .and_then(|status| status.body["store"]["identity"].as_u64())
}

/// Returns the peer address in the first member list that contains the member.
fn peer_address(statuses: &[Response], name: &str) -> Option<String> {
    members(statuses)
        .find(|member| member["name"] == json!(name))
        .and_then(|member| member["address"].as_str())
        .map(str::to_owned)
}

/// Returns whether any server reports the member with this disk as a voter.
fn is_voter(statuses: &[Response], name: &str, identity: u64) -> bool {
    members(statuses)
        .filter(|member| member["name"] == json!(name) && member["id"] == json!(identity))
        .any(|member| member["role"] == json!("Voter"))
}

/// Returns the entries of the member lists of all servers.
fn members(statuses: &[Response]) -> impl Iterator<Item = &Value> {
    statuses
        .iter()
        .filter_map(|status| status.body["store"]["members"].as_array())
        .flatten()
}

async fn write_record(client: &Client, name: &str, identity: u64, address: &str) -> Result<(), CliError> {
    let path = records::request_path(Kind::StoreMember, name);
    let current = client.send(Request::get(path.clone())).await?;
    let body = json!({
        "schema": 2,
        "kind": records::kind_name(Kind::StoreMember),
        "name": name,
        "version": records::version(&current)?,
        "spec": {"address": address, "identity": identity},
    });
    let response = client.send(Request::put(path, &body)).await?;
    match response.found {
        true => Ok(()),
        false => Err(records::not_found(Kind::StoreMember, name, &response)),
    }
}
