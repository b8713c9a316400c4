//! Sends load hints to peers and receives theirs. The kernel uses them to choose peers for forwarding.

use {
    crate::{engine_message::EngineMessage, shared::Shared},
    fuchsiatack_model::{SessionId, TeamName},
    fuchsiatack_wire::{HintSocket, LoadHint},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError, atomic::Ordering},
        time::Duration,
    },
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Time between two rounds of hints.
const HINT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of hints in one round, which keeps hints within the budget for control traffic.
/// More peers are served in turns: each of the 13 peers of the largest cell gets a hint every 2 s.
/// The kernel ignores a peer's load after 5 s, so that a single lost datagram has no effect.
const MAX_HINTS_PER_ROUND: usize = 7;
/// Pause after a failed receive, so that a broken socket does not cause a tight loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Load of this daemon's workers, as last computed by the engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LocalLoad {
    pub(crate) free_slots: u32,
    pub(crate) token_teams: Vec<TeamName>,
    pub(crate) waiting: u32,
}

/// Shared cell that the engine writes the load to and the hint sender reads it from.
#[derive(Clone, Default)]
pub(crate) struct LoadCell(Arc<Mutex<LocalLoad>>);

impl LoadCell {
    pub(crate) fn set(&self, load: LocalLoad) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = load;
    }

    fn get(&self) -> LocalLoad {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Sends and receives hints until the future is dropped.
pub(crate) async fn run(shared: &Shared, socket: &HintSocket, load: &LoadCell) {
    tokio::join!(send(shared, socket, load), receive(shared, socket));
}

async fn send(shared: &Shared, socket: &HintSocket, load: &LoadCell) {
    let mut ticks = interval(HINT_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sequence = 0;
    loop {
        ticks.tick().await;
        let Some(session) = shared.session.id().filter(|_| shared.session.has_valid_lease()) else {
            continue;
        };
        sequence += 1;
        let load = match shared.stopping.is_not_ready() {
            true => LocalLoad::default(),
            false => load.get(),
        };
        let hint = LoadHint {
            daemon: shared.daemon.name.clone(),
            free_slots: load.free_slots,
            sequence,
            session,
            token_teams: load.token_teams,
            waiting: load.waiting,
        };
        let peers = peers(shared, session);
        let turns = peers.len().div_ceil(MAX_HINTS_PER_ROUND).max(1);
        let turn = sequence as usize % turns;
        for peer in peers.into_iter().skip(turn).step_by(turns) {
            let _ = socket.send(peer, &hint).await;
        }
    }
}

fn peers(shared: &Shared, own: SessionId) -> Vec<SocketAddr> {
    shared
        .session
        .directory()
        .daemons()
        .iter()
        .filter(|(session, _)| **session != own)
        .map(|(_, info)| info.peer_address)
        .collect()
}

async fn receive(shared: &Shared, socket: &HintSocket) {
    let mut newest: HashMap<SessionId, u64> = HashMap::new();
    loop {
        let received = socket.receive().await;
        let dropped = socket.dropped_datagrams.swap(0, Ordering::Relaxed);
        shared.metrics.datagrams_dropped.inc_by(dropped);
        let Ok(hint) = received else {
            sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        match accept(shared, &mut newest, &hint) {
            true => shared.engine.send(EngineMessage::Hint(hint)),
            false => drop(shared.metrics.hints_dropped.inc()),
        }
    }
}

/// Returns whether a hint comes from a known session of the daemon that it names and is newer than
/// the last accepted one.
fn accept(shared: &Shared, newest: &mut HashMap<SessionId, u64>, hint: &LoadHint) -> bool {
    let directory = shared.session.directory();
    let known = directory
        .daemons()
        .get(&hint.session)
        .is_some_and(|info| info.name == hint.daemon);
    newest.retain(|session, _| directory.daemons().contains_key(session));
    match newest.get(&hint.session) {
        _ if !known => false,
        Some(sequence) if *sequence >= hint.sequence => false,
        _ => {
            newest.insert(hint.session, hint.sequence);
            true
        }
    }
}
