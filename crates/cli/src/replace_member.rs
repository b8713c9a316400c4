//! `fuchsiatack replace-member`.

use {
    crate::{
        client::{Call, Client},
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

pub(crate) const EXAMPLE: &str = "fuchsiatack replace-member entry-3";

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
    /// new member votes.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [name] = self.free.as_slice() else {
            return Err(CliError::usage("replace-member needs NAME"));
        };
        let member = member(client, name).await?;
        let identity = self
            .identity
            .or(member["waiting_identity"].as_u64())
            .ok_or_else(|| {
                CliError::usage(format!(
                    "{name} reports no new disk; start it with an empty data folder first"
                ))
            })?;
        let address = self
            .address
            .as_deref()
            .or(member["address"].as_str())
            .ok_or_else(|| CliError::usage(format!("the status has no address of {name}; give --address")))?;
        write(client, name, identity, address).await?;
        self.wait_until_voting(client, name, identity).await?;
        format.print(
            &json!({"member": name, "identity": identity, "voting": true}),
            &format!("{name} is replaced and counts in the quorum"),
        );
        Ok(())
    }

    async fn wait_until_voting(&self, client: &Client, name: &str, identity: u64) -> Result<(), CliError> {
        let end = Instant::now() + Duration::from_secs(self.timeout_s);
        loop {
            let counts = match member(client, name).await {
                Ok(member) => member["identity"] == json!(identity) && member["voting"] == json!(true),
                Err(CliError::Unreachable { .. }) => false,
                Err(error) => return Err(error),
            };
            if counts {
                return Ok(());
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

/// Entry of the member in the cell's status, or null.
async fn member(client: &Client, name: &str) -> Result<Value, CliError> {
    let answer = client.send(Call::get(status::PATH.to_owned())).await?;
    let members = answer.body["members"].as_array().cloned().unwrap_or_default();
    Ok(members
        .into_iter()
        .find(|member| member["name"] == json!(name))
        .unwrap_or_default())
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
