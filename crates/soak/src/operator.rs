//! Stand-in of the operator.

use {
    crate::truth::Truth,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const CHANGE_PERIOD: Duration = Duration::from_millis(1_500);
const CALL_LIMIT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time after an acknowledgement from which no older configuration may be read.
const APPLY_MS: u64 = 2_000;
pub(crate) const HOST: &str = "soak.example";
pub(crate) const KEY: &str = "soak-key";
pub(crate) const PREFIX: &str = "/jobs/";

/// Sends rising versions and reads them back, at one daemon after the other.
pub(crate) async fn operate(truth: Arc<Truth>, control: Vec<SocketAddr>) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    for version in 1.. {
        let body = configuration(version).to_string();
        for turn in version as usize.. {
            let address = control[turn % control.len()];
            let call = client
                .put(format!("http://{address}/config"))
                .timeout(CALL_LIMIT)
                .body(body.clone());
            match call.send().await.map(|answer| answer.status().as_u16()) {
                Ok(200) => {
                    truth.seen().version = (version, truth.now_ms());
                    break;
                }
                Ok(status) if (400..500).contains(&status) => {
                    truth.violate(format!("version {version} was refused with {status}"));
                    break;
                }
                Ok(_) | Err(_) => sleep(RETRY_PAUSE).await,
            }
        }
        let end_ms = truth.now_ms() + CHANGE_PERIOD.as_millis() as u64;
        for turn in 0.. {
            if truth.now_ms() > end_ms {
                break;
            }
            read(&truth, &client, control[turn % control.len()]).await;
            sleep(RETRY_PAUSE).await;
        }
    }
}

async fn read(truth: &Truth, client: &reqwest::Client, address: SocketAddr) {
    let (acknowledged, at_ms) = truth.seen().version;
    let is_due = truth.now_ms() > at_ms + APPLY_MS;
    let call = client.get(format!("http://{address}/config")).timeout(CALL_LIMIT);
    let Ok(answer) = call.send().await else {
        return;
    };
    if answer.status().as_u16() != 200 {
        return;
    }
    let text = answer.text().await.unwrap_or_default();
    let body: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let version = body["version"].as_u64().unwrap_or(0);
    if is_due && version < acknowledged {
        truth.violate(format!(
            "{address} shows version {version} after {acknowledged} was acknowledged"
        ));
    }
}

fn configuration(version: u64) -> serde_json::Value {
    json!({
        "version": version,
        "routes": [{
            "name": "r-soak", "host": HOST, "pathPrefix": PREFIX, "type": "unsafe", "timeoutMs": 3000,
            "targetLatencyMs": 250, "priority": 0, "service": "service", "maxAttempts": 4, "stretch": 1.5,
            "advice": { "decideMs": 15.0, "periodMs": 0.1, "validMs": 2500 }, "public": false,
        }],
        "services": [{ "name": "service", "healthCheckPath": "/health", "maxConnections": 64 }],
        "limits": {},
        "tenants": [{ "name": "tenant", "apiKeys": [KEY], "weight": 1, "cap": { "cpu": 0, "memMb": 0, "gpu": 0 } }],
    })
}
