//! Load hints to and from peers.

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
/// Most hints of one round. More peers take turns, so that hints stay within the control budget.
/// With the 13 peers of the largest cell each gets one every 2 s; the kernel ignores a peer's load
/// after 5 s, so one lost datagram does not matter.
const MAX_HINTS_PER_ROUND: usize = 7;
/// Pause after a failed receive, so that a broken socket does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Load that the engine last computed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OwnLoad {
    pub(crate) free_slots: u32,
    pub(crate) token_teams: Vec<TeamName>,
    pub(crate) waiting: u32,
}

/// Own load, written by the engine and read by the sender.
#[derive(Clone, Default)]
pub(crate) struct LoadCell(Arc<Mutex<OwnLoad>>);

impl LoadCell {
    pub(crate) fn set(&self, load: OwnLoad) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = load;
    }

    fn get(&self) -> OwnLoad {
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
            true => OwnLoad::default(),
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

/// Returns whether a hint is of a known session of the named daemon and newer than the last.
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
