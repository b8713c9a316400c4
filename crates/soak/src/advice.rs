//! Stub of the advice service.

use {
    crate::stub_server::{StubResponse, StubService},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{sync::Mutex, time::sleep},
};

/// Time to handle one request; the operator's configuration announces it as `decideMs`.
const DECISION_TIME: Duration = Duration::from_millis(15);
/// Validity of a response; the operator's configuration announces it as `validMs`.
const VALID_MS: u64 = 2_500;

/// Handles one request at a time. About two thirds of the workers are eligible for a step.
#[derive(Default)]
pub(crate) struct AdviceStub {
    in_use: Mutex<()>,
}

/// Returns the ticket that a worker requires to start a task of a step.
pub(crate) fn ticket(step: &str, worker: &str) -> String {
    format!("t-{step}-{worker}")
}

/// Returns whether a worker is eligible for a step.
fn is_eligible(step: &str, worker: &str) -> bool {
    let sum: u32 = step.bytes().chain(worker.bytes()).map(u32::from).sum();
    !sum.is_multiple_of(3)
}

impl StubService for AdviceStub {
    async fn respond(&self, _path: String, body: Value) -> StubResponse {
        let _guard = self.in_use.lock().await;
        sleep(DECISION_TIME).await;
        let step = body["step"].as_str().unwrap_or_default();
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        let eligible: Vec<_> = workers
            .iter()
            .filter_map(Value::as_str)
            .filter(|worker| is_eligible(step, worker))
            .map(|worker| json!([worker, ticket(step, worker)]))
            .collect();
        Some((200, json!({ "good": eligible, "validMs": VALID_MS })))
    }
}
