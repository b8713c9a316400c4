//! Load of the peers to which requests can be forwarded.

use {
    crate::PeerLoad,
    fuchsiatack_model::{DaemonName, TeamName},
    rand::{RngExt, rngs::StdRng},
};

struct Peer {
    load: PeerLoad,
    received_us: u64,
}

/// Last load hint of each peer, sorted by name.
#[derive(Default)]
pub(crate) struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    pub(crate) fn update(&mut self, now_us: u64, load: PeerLoad) {
        let peer = Peer {
            load,
            received_us: now_us,
        };
        match self.position(&peer.load.daemon) {
            Ok(position) => self.peers[position] = peer,
            Err(position) => self.peers.insert(position, peer),
        }
    }

    /// Returns the number of known peers other than `daemon`.
    pub(crate) fn count_without(&self, daemon: &DaemonName) -> usize {
        self.peers.len() - usize::from(self.position(daemon).is_ok())
    }

    pub(crate) fn remove(&mut self, daemon: &DaemonName) {
        if let Ok(position) = self.position(daemon) {
            self.peers.remove(position);
        }
    }

    /// Chooses a peer that has free slots, and tokens of `limited_team` if it is given. The
    /// choice is random with the free slots as weights, so that daemons with equal hints do not all
    /// forward to the same peer. One free slot is subtracted from the stored hint.
    pub(crate) fn choose(
        &mut self,
        oldest_us: u64,
        limited_team: Option<&TeamName>,
        random: &mut StdRng,
    ) -> Option<DaemonName> {
        let weight = |peer: &Peer| match limited_team {
            _ if peer.received_us < oldest_us => 0,
            Some(team) if !peer.load.token_teams.contains(team) => 0,
            _ => peer.load.free_slots,
        };
        let total: u64 = self.peers.iter().map(|peer| u64::from(weight(peer))).sum();
        if total == 0 {
            return None;
        }
        let mut point = random.random_range(0..total);
        for peer in &mut self.peers {
            let slots = u64::from(weight(peer));
            if point < slots {
                peer.load.free_slots -= 1;
                return Some(peer.load.daemon.clone());
            }
            point -= slots;
        }
        None
    }

    /// Returns whether a hint not older than `oldest_us` shows a free slot.
    pub(crate) fn have_free_slots(&self, oldest_us: u64) -> bool {
        self.peers
            .iter()
            .any(|peer| peer.received_us >= oldest_us && peer.load.free_slots > 0)
    }

    /// Chooses the peer with tokens of the team on which the fewest tasks wait, even if it has no
    /// free slot. Hints older than `oldest_us` are ignored.
    pub(crate) fn choose_with_tokens(&self, oldest_us: u64, team: &TeamName) -> Option<DaemonName> {
        self.peers
            .iter()
            .filter(|peer| peer.received_us >= oldest_us)
            .filter(|peer| peer.load.token_teams.contains(team))
            .min_by_key(|peer| peer.load.waiting)
            .map(|peer| peer.load.daemon.clone())
    }

    fn position(&self, daemon: &DaemonName) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.load.daemon.cmp(daemon))
    }
}
