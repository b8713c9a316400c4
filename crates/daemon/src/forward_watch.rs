//! Finds out when the runs that a lost peer started have ended.
//!
//! Handles idempotent requests that were forwarded to a peer which ended before it responded. A second run is
//! safe only after the first one. The sessions of the peer have to end, after which they start nothing; then
//! each worker has to be fenced by an owner on whose report no task of these sessions runs, or be lost with
//! its lease expired. A worker that was found free of them stays so, since it rejects calls under the epochs
//! of ended sessions.

use {
    crate::{engine_message::EngineMessage, shared::Shared},
    fuchsiatack_ledger::WorkerEntry,
    fuchsiatack_model::{Epoch, SessionId, WorkerName},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Pause between two inquiries. A run of a forwarded request takes some 100 ms.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Limit for the response of one owner.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Workers with the epochs under which their owner has fenced them.
type FencedWorkers = Vec<(WorkerName, Epoch)>;

/// Waits until no worker runs a task of `sessions`. Returns false if that is not known after the time in which
/// the sessions and the leases of their workers end.
pub(crate) async fn runs_have_ended(shared: &Shared, sessions: &[SessionId]) -> bool {
    let leases = &shared.settings.leases;
    let limit_ms = leases.session_ms + leases.task_ms + 2 * leases.margin_ms;
    let limit = Duration::from_millis(limit_ms);
    timeout(limit, wait_for_ends(shared, sessions)).await.is_ok()
}

async fn wait_for_ends(shared: &Shared, sessions: &[SessionId]) {
    let mut free = BTreeSet::new();
    while !are_all_free(shared, sessions, &mut free).await {
        sleep(POLL_PERIOD).await;
    }
}

/// Adds the workers that run no task of `sessions` to `free`. Returns whether these are all workers.
async fn are_all_free(shared: &Shared, sessions: &[SessionId], free: &mut BTreeSet<WorkerName>) -> bool {
    let Some(entries) = entries_after(shared, sessions) else {
        return false;
    };
    let unknown = |free: &BTreeSet<WorkerName>, entry: &WorkerEntry| {
        !entry.lost && !free.contains(&entry.announcement.name)
    };
    let owners: BTreeSet<_> = entries
        .iter()
        .filter(|entry| entry.fenced && unknown(free, entry))
        .filter_map(|entry| entry.owner)
        .collect();
    let inquiries = owners.into_iter().map(|owner| ask(shared, owner, sessions));
    let answers = futures_util::future::join_all(inquiries).await;
    let found: BTreeMap<_, _> = answers.into_iter().flatten().collect();
    for entry in &entries {
        let name = &entry.announcement.name;
        if found.get(name) == Some(&entry.epoch) {
            free.insert(name.clone());
        }
    }
    !entries.iter().any(|entry| unknown(free, entry))
}

/// Returns the workers in the directory; `None` while one of the sessions has not ended.
fn entries_after(shared: &Shared, sessions: &[SessionId]) -> Option<Vec<WorkerEntry>> {
    let directory = shared.session.directory();
    let has_ended = |session: &SessionId| !directory.daemons().contains_key(session);
    sessions
        .iter()
        .all(has_ended)
        .then(|| directory.workers().cloned().collect())
}

/// Asks an owner which of its workers run no task of `sessions`. Returns none if it does not respond.
async fn ask(shared: &Shared, owner: SessionId, sessions: &[SessionId]) -> FencedWorkers {
    if shared.session.id() == Some(owner) {
        return ask_engine(shared, sessions.to_vec()).await;
    }
    let address = peer_address(shared, owner);
    match address {
        Some(address) => shared
            .peers
            .workers_free_of(address, sessions.to_vec(), INQUIRY_TIMEOUT)
            .await
            .unwrap_or_default(),
        None => FencedWorkers::new(),
    }
}

/// Asks the engine of this daemon which workers run no task of `sessions`.
pub(crate) async fn ask_engine(shared: &Shared, sessions: Vec<SessionId>) -> FencedWorkers {
    let (reply, receiver) = oneshot::channel();
    shared
        .engine
        .send(EngineMessage::ListWorkersFreeOf { reply, sessions });
    receiver.await.unwrap_or_default()
}

fn peer_address(shared: &Shared, owner: SessionId) -> Option<SocketAddr> {
    let directory = shared.session.directory();
    directory.daemons().get(&owner).map(|info| info.peer_address)
}
