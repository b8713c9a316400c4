//! Stub of the advice service.

use {
    crate::{
        checker::Checker,
        stub_server::{StubResponse, StubService},
    },
    serde_json::{Value, json},
    std::{ops::RangeInclusive, sync::Arc, time::Duration},
    tokio::{sync::Mutex, time::sleep},
};

/// Time to handle one request; the operator's configuration announces it as `decideMs`.
const DECISION_TIME: Duration = Duration::from_millis(15);
/// Validity of a response; the operator's configuration announces it as `validMs`.
const VALID_MS: u64 = 2_500;

/// Handles one request at a time. About two thirds of the workers are eligible for a step.
pub(crate) struct AdviceStub {
    checker: Arc<Checker>,
    in_use: Mutex<()>,
}

impl AdviceStub {
    pub(crate) fn new(checker: Arc<Checker>) -> Self {
        Self {
            checker,
            in_use: Mutex::default(),
        }
    }
}

/// Returns the ticket with which a worker starts tasks of a step, issued at a time in milliseconds.
fn ticket(step: &str, worker: &str, issued_ms: u64) -> String {
    format!("t-{step}-{worker}-{issued_ms}")
}

/// Returns whether a ticket lets a worker start tasks of a step. It holds for one incarnation of the worker,
/// and for `VALID_MS`.
pub(crate) fn is_valid_ticket(value: &str, step: &str, worker: &str, born_ms: u64, now_ms: u64) -> bool {
    let issued_ms = value
        .rsplit_once('-')
        .and_then(|(_, issued_ms)| issued_ms.parse().ok());
    let valid_ms: RangeInclusive<u64> = born_ms.max(now_ms.saturating_sub(VALID_MS))..=now_ms;
    issued_ms
        .is_some_and(|issued_ms| valid_ms.contains(&issued_ms) && value == ticket(step, worker, issued_ms))
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
        let now_ms = self.checker.now_ms();
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        let eligible: Vec<_> = workers
            .iter()
            .filter_map(Value::as_str)
            .filter(|worker| is_eligible(step, worker))
            .map(|worker| json!([worker, ticket(step, worker, now_ms)]))
            .collect();
        Some((200, json!({ "good": eligible, "validMs": VALID_MS })))
    }
}
