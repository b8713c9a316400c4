//! Stand-in of the advice service.

use {
    crate::web::{Reply, Stand},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{sync::Mutex, time::sleep},
};

const DECIDE_TIME: Duration = Duration::from_millis(15);
const VALID_MS: u64 = 2_500;

/// Answers one question at a time. Two of three workers may run a step.
#[derive(Default)]
pub(crate) struct AdviceStand {
    turn: Mutex<()>,
}

/// The ticket of a step for a worker.
pub(crate) fn ticket(step: &str, worker: &str) -> String {
    format!("t-{step}-{worker}")
}

/// Whether a worker may run a step.
fn is_good(step: &str, worker: &str) -> bool {
    let sum: u32 = step.bytes().chain(worker.bytes()).map(u32::from).sum();
    !sum.is_multiple_of(3)
}

impl Stand for AdviceStand {
    async fn reply(&self, _path: String, body: Value) -> Reply {
        let _turn = self.turn.lock().await;
        sleep(DECIDE_TIME).await;
        let step = body["step"].as_str().unwrap_or_default();
        let workers = body["workers"].as_array().cloned().unwrap_or_default();
        let good: Vec<_> = workers
            .iter()
            .filter_map(Value::as_str)
            .filter(|worker| is_good(step, worker))
            .map(|worker| json!([worker, ticket(step, worker)]))
            .collect();
        Some((200, json!({ "good": good, "validMs": VALID_MS })))
    }
}
