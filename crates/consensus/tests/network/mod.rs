//! Simulated members with in-memory disks, on a network that loses, duplicates and reorders
//! messages.

// Not every test file uses all functions.
#![allow(dead_code)]

pub mod machines;

use {
    fuchsiatack_consensus::{
        Entry, Envelope, HardState, Member, MemberChange, MemberId, MemberRole, Node, NodeSettings, Payload,
        Ready, Role, Snapshot, StoredState, Term,
    },
    fuchsiatack_model::LogIndex,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// One member with its synced state and its `Ready` values that are not synced yet.
struct Peer {
    disk: StoredState,
    node: Node,
    /// Digest of the applied entries.
    state: u64,
    unsynced: VecDeque<Ready>,
}

/// Members, messages in transit, and the history that the checks compare against.
pub struct Network {
    /// Probability in thousandths that a message is lost, and that it is duplicated.
    pub loss_millis: u32,
    committed: BTreeMap<LogIndex, Arc<Entry>>,
    /// Members that neither receive messages nor notice that time passes.
    frozen: BTreeSet<MemberId>,
    isolated: BTreeSet<MemberId>,
    leaders: BTreeMap<Term, MemberId>,
    messages: Vec<Envelope>,
    /// Members that exchange no messages with the others.
    partition: BTreeSet<MemberId>,
    now_ms: u64,
    peers: BTreeMap<MemberId, Peer>,
    random: StdRng,
    /// Highest committed index at the time of each confirmation request, by token.
    reads: BTreeMap<u64, LogIndex>,
    pub confirmed_reads: usize,
    /// Digest of the state at each committed index.
    states: BTreeMap<LogIndex, u64>,
}

impl Network {
    /// Creates a cell of voters with the identities 1 to `voters`, and `empty` further members with
    /// empty disks.
    pub fn new(seed: u64, voters: u64, empty: u64) -> Self {
        let members = (1..=voters).map(|id| Member {
            role: MemberRole::Voter,
            ..member(MemberId(id))
        });
        let formed = Arc::new(Snapshot {
            data: Vec::new(),
            index: LogIndex(0),
            members: members.collect(),
            term: Term(0),
        });
        let mut random = StdRng::seed_from_u64(seed);
        let peers = (1..=voters + empty).map(|id| {
            let disk = StoredState {
                entries: Vec::new(),
                hard_state: HardState::default(),
                identity: MemberId(id),
                snapshot: (id <= voters).then(|| formed.clone()),
            };
            (MemberId(id), start(disk, random.random()))
        });
        Self {
            confirmed_reads: 0,
            committed: BTreeMap::new(),
            frozen: BTreeSet::new(),
            isolated: BTreeSet::new(),
            leaders: BTreeMap::new(),
            loss_millis: 0,
            messages: Vec::new(),
            partition: BTreeSet::new(),
            now_ms: 0,
            peers: peers.collect(),
            random,
            reads: BTreeMap::new(),
            states: BTreeMap::from([(LogIndex(0), 0)]),
        }
    }

    /// Performs one random action. Heavy faults mean slow disks, long delays, and frequent crashes
    /// and isolated members.
    pub fn step(&mut self, has_heavy_faults: bool) {
        let id = self.random_member();
        let light = [100, 550, 240, 50, 20, 10, 20, 4, 2, 4];
        let heavy = [100, 330, 60, 50, 40, 10, 10, 20, 8, 8];
        let mut remaining: i32 = self
            .random
            .random_range(0..if has_heavy_faults { 638 } else { 1_002 });
        let weights = if has_heavy_faults { heavy } else { light };
        let chosen = weights.iter().position(|weight| {
            let is_chosen = remaining < *weight;
            remaining -= weight;
            is_chosen
        });
        match chosen {
            Some(0) => self.advance_time(),
            Some(1) => self.deliver_one(),
            Some(2) => self.sync(id, 2),
            Some(3) => self.propose(id),
            Some(4) => self.confirm(id),
            Some(5) => self.compact(id),
            Some(6) => self.change_members(id),
            Some(7) => self.crash(id),
            Some(8) => drop(self.isolated.insert(id)),
            Some(9) => self.isolated.clear(),
            _ => drop(self.node_mut(id).transfer_leadership()),
        }
    }

    /// Ends all faults, then advances time, delivers messages and syncs until the condition holds.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        self.isolated.clear();
        self.loss_millis = 0;
        for _ in 0..2_000 {
            if condition(self) {
                return;
            }
            self.run_round();
        }
        for (id, Peer { node, .. }) in &self.peers {
            println!("{id:?} {:?} {:?} {:?}", node.role(), node.term(), node.members());
        }
        panic!("no progress: {what}");
    }

    /// Advances time, and delivers the messages and syncs of one round.
    pub fn run_round(&mut self) {
        self.advance_time();
        for _ in 0..self.messages.len() {
            self.deliver_one();
        }
        for id in self.ids() {
            self.sync(id, usize::MAX);
        }
    }

    pub fn leader(&self) -> Option<MemberId> {
        let leaders = self
            .ids()
            .into_iter()
            .filter(|id| self.node(*id).role() == Role::Leader);
        leaders.max_by_key(|id| self.node(*id).term())
    }

    /// Returns whether every member of the leader's list has that list and has applied the leader's
    /// whole log.
    pub fn has_converged(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let last = self.node(leader).last();
        let members = self.node(leader).members();
        members.iter().all(|member| {
            let node = self.node(member.id);
            node.applied() == last && node.members() == members
        })
    }

    pub fn node(&self, id: MemberId) -> &Node {
        &self.peers[&id].node
    }

    pub fn node_mut(&mut self, id: MemberId) -> &mut Node {
        &mut self.peers.get_mut(&id).unwrap().node
    }

    pub fn isolate(&mut self, id: MemberId) {
        self.isolated.insert(id);
    }

    /// Returns the present time of the members in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the number of committed entries that at least one member has applied.
    pub fn committed(&self) -> usize {
        self.committed.len()
    }

    pub fn advance_time(&mut self) {
        self.now_ms += self.random.random_range(1..12);
        for id in self
            .ids()
            .into_iter()
            .filter(|id| !self.frozen.contains(id))
            .collect::<Vec<_>>()
        {
            let now_ms = self.now_ms;
            self.node_mut(id).tick(now_ms);
            self.process_ready(id);
        }
    }

    fn ids(&self) -> Vec<MemberId> {
        self.peers.keys().copied().collect()
    }

    fn random_member(&mut self) -> MemberId {
        *self.ids().choose(&mut self.random).unwrap()
    }

    /// Takes a random message out of the network and delivers, duplicates or loses it.
    pub fn deliver_one(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let position = self.random.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(position);
        if !self.peers.contains_key(&message.to) {
            return;
        }
        let is_cut = self.partition.contains(&message.from) != self.partition.contains(&message.to);
        let is_isolated = is_cut
            || self.frozen.contains(&message.to)
            || self.isolated.contains(&message.from)
            || self.isolated.contains(&message.to);
        if is_isolated || self.random.random_range(0..1_000) < self.loss_millis {
            return;
        }
        if self.random.random_range(0..1_000) < self.loss_millis {
            self.messages.push(message.clone());
        }
        let (now_ms, to) = (self.now_ms, message.to);
        self.node_mut(to).receive(now_ms, message);
        self.process_ready(to);
    }

    /// Syncs at most `max_count` of a member's oldest unsynced `Ready` values.
    fn sync(&mut self, id: MemberId, max_count: usize) {
        let peer = self.peers.get_mut(&id).unwrap();
        let count = peer.unsynced.len().min(max_count);
        for ready in peer.unsynced.drain(..count) {
            store(&mut peer.disk, &ready);
            peer.node.persisted(ready.mark);
            self.messages.extend(ready.after_sync);
        }
        self.process_ready(id);
    }

    /// Restarts a member from its synced state.
    pub fn crash(&mut self, id: MemberId) {
        let seed = self.random.random();
        let disk = self.peers[&id].disk.clone();
        self.peers.insert(id, start(disk, seed));
    }

    pub fn propose(&mut self, id: MemberId) {
        let command = self.random.random::<u64>().to_le_bytes().to_vec();
        let _ = self.node_mut(id).propose(command);
        self.process_ready(id);
    }

    fn confirm(&mut self, id: MemberId) {
        let token = self.reads.len() as u64;
        let committed = self.committed.keys().next_back().copied().unwrap_or_default();
        self.reads.insert(token, committed);
        let _ = self.node_mut(id).confirm_leadership(token);
        self.process_ready(id);
    }

    fn compact(&mut self, id: MemberId) {
        let peer = self.peers.get_mut(&id).unwrap();
        let (applied, data) = (peer.node.applied(), snapshot_data(peer.state));
        peer.node.compact(applied, data);
        self.process_ready(id);
    }

    fn change_members(&mut self, id: MemberId) {
        let subject = self.random_member();
        let change = match self.random.random_range(0..3) {
            0 => {
                let Member {
                    address, id, name, ..
                } = member(subject);
                MemberChange::Add { address, id, name }
            }
            1 => MemberChange::Promote(subject),
            _ => MemberChange::Remove(subject),
        };
        let _ = self.node_mut(id).propose_members(change);
        self.process_ready(id);
    }

    /// Processes the node's `Ready` and checks it against the history.
    pub fn process_ready(&mut self, id: MemberId) {
        let peer = self.peers.get_mut(&id).unwrap();
        if peer.node.role() == Role::Leader {
            let leader = *self.leaders.entry(peer.node.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in {:?}", peer.node.term());
        }
        let mut ready = peer.node.take_ready();
        self.messages.append(&mut ready.immediate);
        if ready.install_snapshot {
            let snapshot = ready.snapshot.as_ref().unwrap();
            peer.state = self.states[&snapshot.index];
            let is_initial = snapshot.index == LogIndex(0) && snapshot.data.is_empty();
            assert!(is_initial || snapshot.data == snapshot_data(peer.state));
        }
        for entry in ready.committed.drain(..) {
            let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "a committed entry changed");
            peer.state = digest(peer.state, &entry);
            let state = *self.states.entry(entry.index).or_insert(peer.state);
            assert_eq!(state, peer.state, "applied prefixes differ");
        }
        for token in ready.confirmed.drain(..) {
            assert!(
                peer.node.applied() >= self.reads[&token],
                "a read misses a commit"
            );
            self.confirmed_reads += 1;
        }
        if !ready.is_empty() {
            peer.unsynced.push_back(ready);
        }
    }
}

fn start(disk: StoredState, seed: u64) -> Peer {
    let settings = NodeSettings {
        id: disk.identity,
        max_append_bytes: 40,
        max_in_flight: 3,
        max_snapshot_part_bytes: 10,
        seed,
        trailing_bytes: 30,
        ..NodeSettings::default()
    };
    let data = disk.snapshot.as_ref().map(|snapshot| snapshot.data.clone());
    let state = data.and_then(|data| data.first_chunk().copied());
    Peer {
        node: Node::new(settings, disk.clone()),
        disk,
        state: u64::from_le_bytes(state.unwrap_or_default()),
        unsynced: VecDeque::new(),
    }
}

/// Stores a `Ready` as `LogStore` does.
fn store(disk: &mut StoredState, ready: &Ready) {
    if let Some(hard_state) = ready.hard_state {
        disk.hard_state = hard_state;
    }
    if ready.reset_log {
        disk.entries.clear();
    }
    for entry in &ready.entries {
        disk.entries.retain(|stored| stored.index < entry.index);
        disk.entries.push(entry.clone());
    }
    if let Some(snapshot) = &ready.snapshot {
        disk.entries.retain(|stored| stored.index > snapshot.index);
        disk.snapshot = Some(snapshot.clone());
    }
}

fn snapshot_data(state: u64) -> Vec<u8> {
    state.to_le_bytes().repeat(3)
}

fn digest(state: u64, entry: &Entry) -> u64 {
    let value = match &entry.payload {
        Payload::Command(command) => command
            .first_chunk()
            .map_or(1, |bytes| u64::from_le_bytes(*bytes)),
        Payload::Members(members) => members.len() as u64,
    };
    (state ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(7)
}

fn member(id: MemberId) -> Member {
    Member {
        address: ([127, 0, 0, 1], id.0 as u16).into(),
        id,
        name: format!("member-{}", id.0).into(),
        role: MemberRole::Learner,
    }
}
