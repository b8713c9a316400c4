//! Stub of the operator, who changes the configuration and reads it back.

use {
    crate::checker::Checker,
    fuchsiatack_jobs::JobId,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const CHANGE_PERIOD: Duration = Duration::from_millis(1_500);
const CALL_LIMIT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time after the acknowledgement of a configuration from which no daemon may return an older one, in
/// milliseconds.
const APPLICATION_DELAY_MS: u64 = 2_000;
/// Host header of the callers' requests.
pub(crate) const HOST: &str = "soak.example";
/// Key of the only team.
pub(crate) const KEY: &str = "soak-key";
/// Path prefix of the queue with advice; the ID of a job follows.
const ADVISED_PREFIX: &str = "/jobs/";
/// Path prefix of the queue without advice, on which workers start late orders without a valid ticket.
const PLAIN_PREFIX: &str = "/plain/";

/// Returns whether a job belongs to the queue with advice. The caller's random ID decides.
pub(crate) fn is_advised(job: JobId) -> bool {
    job.0.is_multiple_of(2)
}

/// Returns the path of a job.
pub(crate) fn job_path(job: JobId) -> String {
    match is_advised(job) {
        true => format!("{ADVISED_PREFIX}{job}"),
        false => format!("{PLAIN_PREFIX}{job}"),
    }
}

/// Sends configurations with increasing versions and reads them back, from each daemon in turn.
/// Never returns.
pub(crate) async fn change_configurations(checker: Arc<Checker>, control: Vec<SocketAddr>) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    for version in 1.. {
        let body = configuration(version).to_string();
        for attempt in version as usize.. {
            let address = control[attempt % control.len()];
            let request = client
                .put(format!("http://{address}/config"))
                .timeout(CALL_LIMIT)
                .body(body.clone());
            match request.send().await.map(|response| response.status().as_u16()) {
                Ok(200) => {
                    checker.observations().acknowledged_version = (version, checker.now_ms());
                    break;
                }
                Ok(status) if (400..500).contains(&status) => {
                    checker.record_violation(format!(
                        "configuration version {version} was rejected with status {status}"
                    ));
                    break;
                }
                Ok(_) | Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
        let end_ms = checker.now_ms() + CHANGE_PERIOD.as_millis() as u64;
        for attempt in 0.. {
            if checker.now_ms() > end_ms {
                break;
            }
            check_version(&checker, &client, control[attempt % control.len()]).await;
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Checks that a daemon does not return an outdated configuration.
async fn check_version(checker: &Checker, client: &reqwest::Client, address: SocketAddr) {
    let (acknowledged, acknowledged_ms) = checker.observations().acknowledged_version;
    let is_due = checker.now_ms() > acknowledged_ms + APPLICATION_DELAY_MS;
    let request = client.get(format!("http://{address}/config")).timeout(CALL_LIMIT);
    let Ok(response) = request.send().await else {
        return;
    };
    if response.status().as_u16() != 200 {
        return;
    }
    let text = response.text().await.unwrap_or_default();
    let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let version = body["version"].as_u64().unwrap_or(0);
    if is_due && version < acknowledged {
        checker.record_violation(format!(
            "{address} returned configuration version {version} after version {acknowledged} was acknowledged"
        ));
    }
}

fn configuration(version: u64) -> serde_json::Value {
    json!({
        "version": version,
        "routes": [
            {
                "name": "r-soak", "host": HOST, "pathPrefix": ADVISED_PREFIX, "type": "unsafe", "timeoutMs": 3000,
                "targetLatencyMs": 250, "priority": 0, "service": "service", "maxAttempts": 4, "stretch": 1.5,
                "advice": { "decideMs": 15.0, "periodMs": 0.1, "validMs": 2500 }, "public": false,
            },
            {
                "name": "r-plain", "host": HOST, "pathPrefix": PLAIN_PREFIX, "type": "unsafe", "timeoutMs": 3000,
                "targetLatencyMs": 250, "priority": 0, "service": "service", "maxAttempts": 4, "stretch": 1.5,
                "public": false,
            },
        ],
        "services": [{ "name": "service", "healthCheckPath": "/health", "maxConnections": 64 }],
        "limits": {},
        "tenants": [{ "name": "tenant", "apiKeys": [KEY], "weight": 1, "cap": { "cpu": 0, "memMb": 0, "gpu": 0 } }],
    })
}
