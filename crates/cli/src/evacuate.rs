//! `fuchsiatack evacuate` and `fuchsiatack restore`.
//!
//! An evacuation consists of the drains of the data centre's workers. The text of their reason tells them from
//! drains of single workers, which the end of the evacuation leaves in force.

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
    std::collections::{BTreeMap, BTreeSet},
};

pub(crate) const EVACUATE_EXAMPLE: &str = "fuchsiatack evacuate casablanca-1";
pub(crate) const RESTORE_EXAMPLE: &str = "fuchsiatack restore casablanca-1";

const REASON_PREFIX: &str = "evacuated data centre ";

/// Takes all workers of a data centre out of service.
#[derive(Debug, Options)]
pub(crate) struct EvacuateOptions {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
}

/// Returns the workers of an evacuated data centre to service.
#[derive(Debug, Options)]
pub(crate) struct RestoreOptions {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
}

/// Drained workers of an evacuated data centre, by name, with the versions of their records.
type Drains = BTreeMap<String, u64>;

impl EvacuateOptions {
    /// Writes the `drain` record of each worker of a data centre that has none. Fails if no worker of it is
    /// registered.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [data_center] = self.free.as_slice() else {
            return Err(CliError::usage("evacuate needs DATA_CENTRE"));
        };
        let response = client.send(Request::get(status::PATH.to_owned())).await?;
        let workers = workers_in(&response.body, data_center);
        if workers.is_empty() {
            return Err(CliError::Rejected {
                message: format!("no worker of data centre {data_center} is registered"),
                server: response.server,
            });
        }
        let drained = all_drains(client).await?;
        for worker in workers.iter().filter(|worker| !drained.contains(*worker)) {
            drain(client, worker, data_center).await?;
        }
        format.print(
            &json!({"data_center": data_center, "evacuated": true, "workers": workers.len()}),
            &format!("{data_center} is evacuated, {} workers", workers.len()),
        );
        Ok(())
    }
}

impl RestoreOptions {
    /// Deletes the `drain` records that `evacuate` has written for a data centre. Succeeds without a change if
    /// there are none.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [data_center] = self.free.as_slice() else {
            return Err(CliError::usage("restore needs DATA_CENTRE"));
        };
        let drains = evacuations(&drain_records(client).await?.body);
        let drains = drains.get(data_center).cloned().unwrap_or_default();
        for (worker, version) in &drains {
            let path = records::request_path(Kind::Drain, worker);
            client
                .send(Request::delete(format!("{path}?version={version}")))
                .await?;
        }
        format.print(
            &json!({"data_center": data_center, "evacuated": false, "workers": drains.len()}),
            &format!("{data_center} is in service, {} workers", drains.len()),
        );
        Ok(())
    }
}

/// Returns the evacuated data centres for the status: their workers, those of them that are drained, and those
/// that are not lost, on which tasks may still run.
pub(crate) async fn summary(client: &Client, status: &Value) -> Result<Value, CliError> {
    let response = drain_records(client).await?;
    let drained: BTreeSet<_> = record_names(&response.body).collect();
    let summaries = evacuations(&response.body).into_keys().map(|data_center| {
        let workers = workers_in(status, &data_center);
        let drained = workers.intersection(&drained).count();
        let not_lost = workers_not_lost(status, &data_center);
        json!({
            "data_center": data_center,
            "drained": drained,
            "not_lost": not_lost,
            "workers": workers.len(),
        })
    });
    Ok(Value::Array(summaries.collect()))
}

async fn drain(client: &Client, worker: &str, data_center: &str) -> Result<(), CliError> {
    let body = json!({
        "schema": 2,
        "kind": records::kind_name(Kind::Drain),
        "name": worker,
        "version": 0,
        "spec": {"reason": format!("{REASON_PREFIX}{data_center}")},
    });
    let path = records::request_path(Kind::Drain, worker);
    let response = client.send(Request::put(path, &body)).await?;
    match response.found {
        true => Ok(()),
        false => Err(records::not_found(Kind::Drain, worker, &response)),
    }
}

async fn drain_records(client: &Client) -> Result<Response, CliError> {
    let kind = records::kind_name(Kind::Drain);
    client
        .send(Request::get(format!("/v1/records/{kind}?schema=2")))
        .await
}

async fn all_drains(client: &Client) -> Result<BTreeSet<String>, CliError> {
    let response = drain_records(client).await?;
    Ok(record_names(&response.body).collect())
}

/// Returns the drains that belong to evacuations, by data centre.
fn evacuations(body: &Value) -> BTreeMap<String, Drains> {
    let mut evacuations: BTreeMap<String, Drains> = BTreeMap::new();
    for record in records_of(body) {
        let reason = record["spec"]["reason"].as_str().unwrap_or_default();
        if let Some(data_center) = reason.strip_prefix(REASON_PREFIX)
            && let (Some(worker), Some(version)) = (record["name"].as_str(), record["version"].as_u64())
        {
            let drains = evacuations.entry(data_center.to_owned()).or_default();
            drains.insert(worker.to_owned(), version);
        }
    }
    evacuations
}

fn record_names(body: &Value) -> impl Iterator<Item = String> {
    let names = records_of(body).iter().map(|record| record["name"].as_str());
    names.flatten().map(str::to_owned)
}

fn records_of(body: &Value) -> &[Value] {
    body["records"].as_array().map_or(&[], Vec::as_slice)
}

fn entries_in<'a>(status: &'a Value, data_center: &'a str) -> impl Iterator<Item = &'a Value> {
    let workers = status["ledger"]["workers"].as_array();
    let is_here = move |entry: &&Value| entry["announcement"]["data_center"] == data_center;
    workers.into_iter().flatten().filter(is_here)
}

fn workers_in(status: &Value, data_center: &str) -> BTreeSet<String> {
    let names = entries_in(status, data_center).map(|entry| entry["announcement"]["name"].as_str());
    names.flatten().map(str::to_owned).collect()
}

fn workers_not_lost(status: &Value, data_center: &str) -> usize {
    let entries = entries_in(status, data_center);
    entries.filter(|entry| entry["lost"] == false).count()
}
