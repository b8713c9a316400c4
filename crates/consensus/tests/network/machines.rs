//! Simulated machines whose daemons join the cell by request, and faults of these machines.

use {
    super::{Network, start},
    fuchsiatack_consensus::{HardState, JoinRequest, JoinRequests, MemberId, Role, StoredState, Term},
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::collections::{BTreeMap, BTreeSet},
};

/// Interval in milliseconds between the leader's checks of the member list.
const CHECK_INTERVAL_MS: u64 = 100;
/// Interval in milliseconds between requests of a daemon without a member list.
const JOIN_INTERVAL_MS: u64 = 200;
/// Interval in milliseconds between requests of a member that hears no leader.
const REJOIN_INTERVAL_MS: u64 = 1_000;
/// Time in milliseconds without a leader after which a member asks to join.
const REJOIN_AFTER_MS: u64 = 2_000;
/// Time in milliseconds after which a machine that started or became reachable again takes part.
const CATCH_UP_MS: u64 = 4_000;
/// Time in milliseconds that a disk loss has to itself: `CATCH_UP_MS` after a restart within 1 s.
const DISK_LOSS_MS: u64 = CATCH_UP_MS + 1_000;
/// Time in milliseconds within which a stable majority elects a leader: ten times the longest
/// election timeout.
const LEADER_BOUND_MS: u64 = 3_000;

/// A machine. Its name is its address; a replaced machine has another name.
struct Machine {
    /// State on the disk while the machine is stopped.
    disk: Option<StoredState>,
    /// Time until which the machine stands still.
    frozen_until_ms: u64,
    id: MemberId,
    name: u64,
    /// Names of the machines that it was given at its start.
    seeds: Vec<u64>,
    request_due_ms: u64,
    /// Time at which a stopped machine starts.
    start_due_ms: u64,
    /// Time of the last start or end of a cut.
    changed_ms: u64,
    leader_contact_ms: u64,
}

/// Kinds of faults that a search draws from.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A machine is new.
    Add,
    /// Some machines exchange no messages with the others for some time.
    Cut,
    /// A machine is stopped for some time and keeps its disk.
    Dark,
    /// A machine stands still for some time.
    Freeze,
    /// A machine is gone for good, and an empty one starts under another name.
    Replace,
    /// A machine restarts with an empty disk.
    Wipe,
}

/// Machines on a network.
pub struct Machines {
    pub network: Network,
    checks: BTreeMap<MemberId, (Term, JoinRequests)>,
    check_due_ms: u64,
    cut_until_ms: u64,
    disk_loss_until_ms: u64,
    leaderless_ms: u64,
    last_id: u64,
    machines: Vec<Machine>,
    random: StdRng,
}

impl Machines {
    pub fn new(seed: u64, count: u64) -> Self {
        let machines = (1..=count).map(|id| Machine {
            changed_ms: 0,
            disk: None,
            frozen_until_ms: 0,
            id: MemberId(id),
            leader_contact_ms: 0,
            name: id,
            request_due_ms: 0,
            seeds: (1..=count.min(3)).collect(),
            start_due_ms: 0,
        });
        Self {
            check_due_ms: 0,
            checks: BTreeMap::new(),
            cut_until_ms: 0,
            disk_loss_until_ms: 0,
            last_id: count,
            leaderless_ms: 0,
            machines: machines.collect(),
            network: Network::new(seed, count, 0),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.network.now_ms
    }

    /// Runs for a time and checks that a stable majority has a leader.
    pub fn run(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms() + duration_ms;
        while self.now_ms() < until_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        let before_ms = self.now_ms();
        self.network.advance_time();
        for _ in 0..self.network.messages.len() {
            self.network.deliver_one();
        }
        for id in self.running() {
            self.network.sync(id, usize::MAX);
        }
        self.end_faults();
        self.send_requests();
        self.change_members();
        self.write();
        self.check_leader(before_ms);
    }

    /// Applies a fault to random machines, unless more disks would be lost at once than a cell bears.
    pub fn fault(&mut self, fault: Fault) {
        let is_calm = self.machines.iter().all(|machine| self.takes_part(machine));
        let loses_disk = matches!(fault, Fault::Replace | Fault::Wipe | Fault::Add);
        if self.now_ms() < self.disk_loss_until_ms || (loses_disk && !is_calm) {
            return;
        }
        if loses_disk {
            self.disk_loss_until_ms = self.now_ms() + DISK_LOSS_MS;
        }
        let position = self.random.random_range(0..self.machines.len());
        println!(
            "{} ms: {fault:?} of machine {}",
            self.now_ms(),
            self.machines[position].name
        );
        match fault {
            Fault::Add => self.add(),
            Fault::Cut => self.cut(),
            Fault::Dark => {
                let dark_ms = self.random.random_range(300..20_000);
                self.stop(position, dark_ms);
            }
            Fault::Freeze => self.freeze(position),
            Fault::Replace => self.replace(position),
            Fault::Wipe => self.wipe(position),
        }
    }

    fn add(&mut self) {
        self.last_id += 1;
        self.machines.push(Machine {
            changed_ms: self.now_ms(),
            disk: Some(empty_disk(self.last_id)),
            frozen_until_ms: 0,
            id: MemberId(self.last_id),
            leader_contact_ms: 0,
            name: self.last_id,
            request_due_ms: 0,
            seeds: Vec::new(),
            start_due_ms: self.now_ms(),
        });
    }

    /// Replaces a machine by an empty one that starts 1 s later under another name.
    pub fn replace(&mut self, position: usize) {
        let gone = self.machines.remove(position);
        self.network.peers.remove(&gone.id);
        self.network.frozen.remove(&gone.id);
        self.add();
        if let Some(machine) = self.machines.last_mut() {
            machine.start_due_ms += 1_000;
        }
    }

    fn wipe(&mut self, position: usize) {
        let down_ms = self.random.random_range(100..1_000);
        self.stop(position, down_ms);
        self.last_id += 1;
        self.machines[position].disk = Some(empty_disk(self.last_id));
        self.machines[position].id = MemberId(self.last_id);
    }

    /// Stops a machine for a time. It keeps its disk.
    pub fn stop(&mut self, position: usize, duration_ms: u64) {
        let now_ms = self.now_ms();
        let machine = &mut self.machines[position];
        let Some(peer) = self.network.peers.remove(&machine.id) else {
            return;
        };
        self.network.frozen.remove(&machine.id);
        machine.disk = Some(peer.disk);
        machine.start_due_ms = now_ms + duration_ms;
    }

    fn freeze(&mut self, position: usize) {
        let frozen_ms = self.random.random_range(300..10_000);
        let until_ms = self.now_ms() + frozen_ms;
        let machine = &mut self.machines[position];
        if machine.disk.is_none() {
            machine.frozen_until_ms = until_ms;
            self.network.frozen.insert(machine.id);
        }
    }

    fn cut(&mut self) {
        let size = self.random.random_range(1..=self.machines.len() / 2);
        let cut = self.machines.sample(&mut self.random, size);
        let cut: BTreeSet<_> = cut.map(|machine| machine.id).collect();
        self.touch_partition();
        self.network.partition = cut;
        self.cut_until_ms = self.now_ms() + self.random.random_range(300..10_000);
    }

    fn end_faults(&mut self) {
        let now_ms = self.now_ms();
        let seeds = self.random_names();
        if !self.network.partition.is_empty() && now_ms >= self.cut_until_ms {
            self.touch_partition();
            self.network.partition.clear();
        }
        for machine in &mut self.machines {
            if now_ms >= machine.frozen_until_ms && self.network.frozen.remove(&machine.id) {
                machine.changed_ms = now_ms;
            }
            if now_ms < machine.start_due_ms {
                continue;
            }
            if let Some(disk) = machine.disk.take() {
                let peer = start(disk, self.random.random());
                self.network.peers.insert(machine.id, peer);
                machine.changed_ms = now_ms;
                machine.leader_contact_ms = now_ms;
                machine.seeds.clone_from(&seeds);
            }
        }
    }

    /// Records that the members of the partition are cut off or reachable again.
    fn touch_partition(&mut self) {
        let now_ms = self.now_ms();
        for machine in &mut self.machines {
            if self.network.partition.contains(&machine.id) {
                machine.changed_ms = now_ms;
            }
        }
    }

    fn random_names(&mut self) -> Vec<u64> {
        let machines = self.machines.sample(&mut self.random, 3);
        machines.map(|machine| machine.name).collect()
    }

    fn send_requests(&mut self) {
        let now_ms = self.now_ms();
        for position in 0..self.machines.len() {
            if !self.is_running(&self.machines[position]) {
                continue;
            }
            let machine = &mut self.machines[position];
            let Some(peer) = self.network.peers.get(&machine.id) else {
                continue;
            };
            let contact_ms = peer.node.leader_contact_ms().unwrap_or_default();
            machine.leader_contact_ms = machine.leader_contact_ms.max(contact_ms);
            let is_formed = peer.node.is_formed();
            let is_waiting = !is_formed || now_ms >= machine.leader_contact_ms + REJOIN_AFTER_MS;
            if !is_waiting || now_ms < machine.request_due_ms {
                continue;
            }
            let interval_ms = if is_formed {
                REJOIN_INTERVAL_MS
            } else {
                JOIN_INTERVAL_MS
            };
            machine.request_due_ms = now_ms + interval_ms;
            self.send_request(position);
        }
    }

    /// Sends a request to all machines that the sender's seeds and its member list name, and to those
    /// that these list.
    fn send_request(&mut self, position: usize) {
        let now_ms = self.now_ms();
        let sender = &self.machines[position];
        let request = JoinRequest {
            address: address(sender.name),
            id: sender.id,
            name: format!("member-{}", sender.name).into(),
        };
        let mut known: BTreeSet<_> = sender.seeds.iter().map(|name| address(*name)).collect();
        known.extend(self.listed_addresses(sender.id));
        let reachable = |known: &BTreeSet<_>| {
            let machines = self.machines.iter().filter(|machine| {
                let is_cut = self.network.partition.contains(&machine.id)
                    != self.network.partition.contains(&sender.id);
                !is_cut && self.is_running(machine) && known.contains(&address(machine.name))
            });
            machines.map(|machine| machine.id).collect::<Vec<_>>()
        };
        let named = reachable(&known);
        known.extend(named.iter().flat_map(|member| self.listed_addresses(*member)));
        for member in reachable(&known) {
            if let Some((_, requests)) = self.checks.get_mut(&member) {
                requests.insert(now_ms, request.clone());
            }
        }
    }

    fn listed_addresses(&self, member: MemberId) -> Vec<std::net::SocketAddr> {
        let members = self.network.node(member).members().iter();
        members.map(|member| member.address).collect()
    }

    /// Lets each leader propose the next change of its member list.
    fn change_members(&mut self) {
        let now_ms = self.now_ms();
        let leaders: Vec<_> = self
            .network
            .ids()
            .into_iter()
            .filter(|id| self.network.node(*id).role() == Role::Leader)
            .collect();
        self.checks.retain(|id, (term, _)| {
            let peer = self.network.peers.get(id);
            leaders.contains(id) && peer.is_some_and(|peer| peer.node.term() == *term)
        });
        let is_due = now_ms >= self.check_due_ms;
        if is_due {
            self.check_due_ms = now_ms + CHECK_INTERVAL_MS;
        }
        for id in leaders {
            let term = self.network.node(id).term();
            let (_, requests) = self
                .checks
                .entry(id)
                .or_insert_with(|| (term, JoinRequests::default()));
            if !is_due || self.network.frozen.contains(&id) {
                continue;
            }
            let node = &self.network.peers[&id].node;
            let change = requests.next_change(now_ms, node.members(), |member| node.contact(member));
            if let Some(change) = change {
                let _ = self.network.node_mut(id).propose_members(change);
                self.network.process_ready(id);
            }
        }
    }

    /// Writes and compacts now and then, so that members need appends and snapshots to catch up.
    fn write(&mut self) {
        let Some(leader) = self.network.leader() else {
            return;
        };
        match self.random.random_range(0..100) {
            0..10 => self.network.propose(leader),
            10 => {
                if let Some(id) = self.network.ids().choose(&mut self.random) {
                    self.network.compact(*id);
                }
            }
            _ => {}
        }
    }

    /// Returns whether a machine runs, is connected to a majority of all machines, and has had the
    /// time to catch up.
    fn takes_part(&self, machine: &Machine) -> bool {
        self.is_in_majority(machine) && self.now_ms() >= machine.changed_ms + CATCH_UP_MS
    }

    fn is_running(&self, machine: &Machine) -> bool {
        machine.disk.is_none() && !self.network.frozen.contains(&machine.id)
    }

    fn running(&self) -> Vec<MemberId> {
        let machines = self.machines.iter().filter(|machine| self.is_running(machine));
        machines.map(|machine| machine.id).collect()
    }

    fn is_in_majority(&self, machine: &Machine) -> bool {
        let side = self.network.partition.contains(&machine.id);
        let is_connected =
            |other: &&Machine| self.is_running(other) && self.network.partition.contains(&other.id) == side;
        let connected = self.machines.iter().filter(is_connected).count();
        self.is_running(machine) && connected > self.machines.len() / 2
    }

    fn check_leader(&mut self, before_ms: u64) {
        let running: Vec<_> = self
            .machines
            .iter()
            .filter(|machine| self.takes_part(machine))
            .collect();
        let leads = |machine: &&Machine| self.network.node(machine.id).role() == Role::Leader;
        let is_stable = running.len() > self.machines.len() / 2;
        let has_leader = self
            .machines
            .iter()
            .filter(|machine| self.is_in_majority(machine))
            .any(|machine| leads(&machine));
        self.leaderless_ms = match is_stable && !has_leader {
            true => self.leaderless_ms + self.now_ms() - before_ms,
            false => 0,
        };
        if self.leaderless_ms > LEADER_BOUND_MS {
            self.print();
            panic!("no leader at {} ms", self.now_ms());
        }
    }

    fn print(&self) {
        for machine in &self.machines {
            let node = self.network.peers.get(&machine.id).map(|peer| &peer.node);
            let members = node.map(|node| node.members().iter().map(|member| (member.id.0, member.role)));
            let members: Vec<_> = members.into_iter().flatten().collect();
            println!(
                "machine {} id {:?} {:?} {:?} {members:?}",
                machine.name,
                machine.id,
                node.map(|node| node.role()),
                node.map(|node| node.term()),
            );
        }
    }

    /// Returns the number of voters in the leader's list, and how many of them are machines.
    pub fn voters(&self) -> (usize, usize) {
        use fuchsiatack_consensus::{Member, MemberRole};
        let Some(leader) = self.network.leader() else {
            return (0, 0);
        };
        let is_voter = |member: &&Member| member.role == MemberRole::Voter;
        let voters: Vec<_> = self
            .network
            .node(leader)
            .members()
            .iter()
            .filter(is_voter)
            .collect();
        let present = voters
            .iter()
            .filter(|voter| self.machines.iter().any(|machine| machine.id == voter.id));
        (voters.len(), present.count())
    }

    pub fn len(&self) -> usize {
        self.machines.len()
    }
}

fn address(name: u64) -> std::net::SocketAddr {
    ([127, 0, 0, 1], name as u16).into()
}

fn empty_disk(id: u64) -> StoredState {
    StoredState {
        entries: Vec::new(),
        hard_state: HardState::default(),
        identity: MemberId(id),
        snapshot: None,
    }
}
