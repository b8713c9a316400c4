//! Task that owns the node and the ledger.

use {
    crate::{
        Membership, StoreError, StoreSettings, StoreStatus,
        calls::{Answer, Calls, WaitingRead, failed},
        clock::{steady_ms, unix_ms},
        event::{Event, Input},
        followers::Followers,
        formation::{self, Verdict},
        jobs_role::JobsRole,
        leadership::{Demand, Leadership},
        membership::{self, DesiredMember},
        peers::Peers,
        writer::{Job, Writer},
    },
    fuchsiatack_consensus::{
        Entry, Envelope, MemberId, Node, NodeSettings, Payload, Ready, Role, Snapshot, StoredState,
    },
    fuchsiatack_jobs::JobEvent,
    fuchsiatack_ledger::{Addressed, Allocator, Command, Ledger, Query, QueryReply, Renewal, Reply},
    fuchsiatack_model::{LogIndex, SessionId},
    fuchsiatack_records::Kind,
    fuchsiatack_wire::{Formation, NotLeader, Request, Response},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::AbortHandle,
        time::MissedTickBehavior,
    },
};

/// Most inputs that are taken before the node's work is carried out.
const MAX_INPUTS_PER_TURN: usize = 512;
/// Interval of checks for journal entries whose retention is over, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 60_000;
/// Interval of checks of the `store_member` records in milliseconds.
const MEMBERS_INTERVAL_MS: u64 = 100;
/// Most voters of a store whose members join by themselves or by records.
const MAX_VOTERS: usize = 7;
/// Shortest time between two plans in milliseconds, so that many renewals share one.
const MINIMUM_PLAN_INTERVAL_MS: u64 = 20;
/// Interval of the allocator's plans in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;
/// Longest time in milliseconds that a planned stop waits for a successor.
const STOP_LIMIT_MS: u64 = 2_000;
/// Ticks of the node in each heartbeat interval.
const TICKS_PER_HEARTBEAT: u64 = 4;

pub(crate) struct Runtime {
    /// Answers that are sent once the status shows what they report.
    answers: Vec<Answer>,
    calls: Calls,
    events: mpsc::UnboundedSender<Event>,
    failure: Option<String>,
    followers: Followers,
    formation: Option<AbortHandle>,
    forming: bool,
    identity: MemberId,
    jobs: Option<JobsRole>,
    /// Daemons that asked to be store members, by identity.
    joining: HashMap<MemberId, DesiredMember>,
    leadership: Option<Leadership>,
    ledger: Ledger,
    node: Node,
    peers: Peers,
    settings: StoreSettings,
    /// Index of the last snapshot that was taken or is being encoded.
    snapshot: LogIndex,
    /// Bytes of commands that were applied since then.
    snapshot_lag_bytes: u64,
    snapshot_running: bool,
    /// Time at which a planned stop no longer waits for a successor.
    stop_due_ms: Option<u64>,
    status: Arc<Mutex<StoreStatus>>,
    writer: Writer,
}

impl Runtime {
    pub(crate) fn new(
        settings: StoreSettings,
        stored: StoredState,
        writer: Writer,
        events: mpsc::UnboundedSender<Event>,
    ) -> Result<Self, StoreError> {
        let identity = stored.identity;
        let ledger = decode_ledger(stored.snapshot.as_deref())?;
        let snapshot = stored.snapshot.as_ref().map(|snapshot| snapshot.index);
        let node = Node::new(node_settings(&settings, identity), stored);
        let status = StoreStatus {
            applied: node.applied(),
            commit: node.commit(),
            disk_failure: None,
            formed: node.is_formed(),
            identity,
            leader: None,
            members: node.members().to_vec(),
            role: node.role(),
            term: node.term(),
        };
        let mut runtime = Self {
            answers: Vec::new(),
            calls: Calls::default(),
            events,
            failure: None,
            followers: Followers::default(),
            formation: None,
            forming: false,
            identity,
            jobs: None,
            joining: HashMap::new(),
            leadership: None,
            ledger,
            peers: Peers::new(settings.secret.clone(), settings.peer.clone()),
            node,
            settings,
            snapshot: snapshot.unwrap_or_default(),
            snapshot_lag_bytes: 0,
            snapshot_running: false,
            stop_due_ms: None,
            status: Arc::new(Mutex::new(status)),
            writer,
        };
        runtime.peers.learn_all(runtime.node.members());
        if !runtime.node.is_formed() {
            runtime.start_formation();
        }
        Ok(runtime)
    }

    pub(crate) fn status(&self) -> Arc<Mutex<StoreStatus>> {
        self.status.clone()
    }

    /// Runs until the store is stopped or its last handle is dropped.
    pub(crate) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut events: mpsc::UnboundedReceiver<Event>,
    ) {
        let period_ms = (self.settings.heartbeat_ms / TICKS_PER_HEARTBEAT).max(1);
        let mut ticks = tokio::time::interval(Duration::from_millis(period_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut waiting = Vec::with_capacity(MAX_INPUTS_PER_TURN);
        loop {
            tokio::select! {
                Some(event) = events.recv() => self.handle_event(event),
                _ = ticks.tick() => self.tick(),
                received = inputs.recv_many(&mut waiting, MAX_INPUTS_PER_TURN) => {
                    if received == 0 {
                        break;
                    }
                }
            }
            while let Ok(event) = events.try_recv() {
                self.handle_event(event);
            }
            for input in waiting.drain(..) {
                self.handle_input(input);
            }
            self.advance();
            if self.may_stop() {
                break;
            }
        }
        self.finish(inputs).await;
    }

    async fn finish(mut self, mut inputs: mpsc::Receiver<Input>) {
        inputs.close();
        while let Ok(input) = inputs.try_recv() {
            if let Input::Call { reply, .. } = input {
                let _ = reply.send(self.not_leader());
            }
        }
        if let Some(formation) = self.formation.take() {
            formation.abort();
        }
        self.calls.lost_leadership(&failed("the store has stopped"));
        let writer = self.writer;
        let _ = tokio::task::spawn_blocking(move || writer.join()).await;
    }

    fn now_ms(&self) -> u64 {
        steady_ms()
    }

    fn tick(&mut self) {
        if self.failure.is_some() {
            return;
        }
        let now_ms = self.now_ms();
        self.node.tick(now_ms);
        if let Some(jobs) = &mut self.jobs {
            jobs.handle(now_ms, JobEvent::Tick);
        }
        self.followers.push_idle(now_ms, self.node.applied());
        match self.leadership {
            Some(_) if self.stop_due_ms.is_some() => self.hand_over(),
            Some(_) => {
                self.plan();
                self.change_members();
            }
            None => {}
        }
    }

    /// Gives the leadership to another member once all accepted calls are answered.
    fn hand_over(&mut self) {
        if self.calls.is_empty() {
            let _ = self.node.transfer_leadership();
        }
    }

    /// Returns whether a planned stop was asked for and another member leads or none can.
    fn may_stop(&self) -> bool {
        let Some(due_ms) = self.stop_due_ms else {
            return false;
        };
        let is_alone = self.node.members().len() <= 1 && self.calls.is_empty();
        let is_replaced = self.node.role() != Role::Leader && self.node.leader().is_some();
        self.failure.is_some() || is_alone || is_replaced || self.now_ms() >= due_ms
    }

    // Inputs.

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Call {
                caller,
                reply,
                request,
            } => self.handle_call(WaitingRead {
                caller,
                reply,
                request,
            }),
            Input::Consensus(envelope) if self.failure.is_none() && !self.forming => {
                self.node.receive(self.now_ms(), envelope);
            }
            Input::Consensus(_) => {}
            Input::Jobs(event) => {
                let now_ms = self.now_ms();
                if let Some(jobs) = &mut self.jobs {
                    jobs.handle(now_ms, event);
                }
            }
            Input::Stop => self.stop_due_ms = Some(self.now_ms() + STOP_LIMIT_MS),
        }
    }

    fn handle_call(&mut self, call: WaitingRead) {
        let accepts = self.failure.is_none() && self.stop_due_ms.is_none();
        let is_leader = accepts && self.node.role() == Role::Leader;
        match call.request {
            Request::Form(_) => {
                let _ = call.reply.send(Response::Formation(self.own_formation()));
            }
            Request::Cell(cell) if is_leader && self.jobs.is_some() => {
                let now_ms = self.now_ms();
                if let Some(jobs) = &mut self.jobs {
                    jobs.called(now_ms, *cell, call.reply);
                }
            }
            Request::Join {
                address,
                identity,
                name,
            } if is_leader && self.settings.membership != Membership::Records => {
                let desired = DesiredMember {
                    address,
                    id: identity,
                    name,
                };
                self.joining.insert(identity, desired);
                let _ = call.reply.send(Response::Joining);
            }
            Request::Propose(command) if is_leader => self.propose(*command, Some(call.reply)),
            Request::Follow { .. } | Request::Query(_) | Request::Renew(_) if is_leader => {
                self.calls.add_read(call);
            }
            Request::Cell(_)
            | Request::Follow { .. }
            | Request::Join { .. }
            | Request::Propose(_)
            | Request::Query(_)
            | Request::Renew(_) => {
                let _ = call.reply.send(self.not_leader());
            }
            Request::Forward(_) | Request::Ping => {
                let _ = call.reply.send(failed("the store does not answer such calls"));
            }
        }
    }

    fn propose(&mut self, command: Command, reply: Option<oneshot::Sender<Response>>) {
        let encoded = match postcard::to_stdvec(&command) {
            Ok(encoded) => encoded,
            Err(_) => {
                reply.map(|reply| reply.send(failed("the command cannot be encoded")));
                return;
            }
        };
        match (self.node.propose(encoded), reply) {
            (Ok(index), Some(reply)) => self.calls.add_proposal(index, self.node.term(), reply),
            (Err(_), Some(reply)) => drop(reply.send(self.not_leader())),
            (_, None) => {}
        }
    }

    fn not_leader(&self) -> Response {
        Response::NotLeader(NotLeader {
            leader: self.leader_address(),
        })
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        match self.failure {
            Some(_) => None,
            None => self.node.leader().and_then(|leader| self.peers.address(leader)),
        }
    }

    // Events.

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::DiskFailed(message) => self.fail(message),
            Event::Formation(answers) => self.handle_formation(&answers),
            Event::Formed(stored) => self.formed(*stored),
            Event::Persisted { mark, messages } => {
                self.node.persisted(mark);
                self.send_all(messages);
            }
            Event::SnapshotEncoded { data, index } => {
                self.snapshot_running = false;
                if !data.is_empty() {
                    self.node.compact(index, data);
                }
            }
        }
    }

    fn fail(&mut self, message: String) {
        self.failure = Some(message);
        self.resign();
    }

    fn start_formation(&mut self) {
        let asking = formation::ask_members(self.settings.clone(), self.own_formation(), self.events.clone());
        self.formation = Some(tokio::spawn(asking).abort_handle());
    }

    fn own_formation(&self) -> Formation {
        Formation {
            formed: self.node.is_formed(),
            identity: self.identity,
            members: self.node.members().to_vec(),
            name: self.settings.name.clone(),
        }
    }

    fn handle_formation(&mut self, answers: &[(SocketAddr, Option<Formation>)]) {
        for (address, answer) in answers {
            if let Some(answer) = answer {
                self.peers.learn_all(&answer.members);
                self.peers.learn(answer.identity, *address);
            }
        }
        if self.node.is_formed() || self.forming || self.failure.is_some() {
            return;
        }
        match formation::decide(&self.settings, self.identity, answers) {
            Verdict::Form(members) => {
                self.forming = true;
                self.writer.push(Job::Form(members));
            }
            Verdict::Wait => {}
        }
    }

    fn formed(&mut self, stored: StoredState) {
        self.forming = false;
        self.node = Node::new(node_settings(&self.settings, self.identity), stored);
        self.peers.learn_all(self.node.members());
    }

    // Work of the node.

    /// Carries out the node's work until there is none.
    fn advance(&mut self) {
        if self.failure.is_none() && !self.forming {
            self.follow_role();
            self.confirm_reads();
            self.propose_jobs();
            loop {
                let ready = self.node.take_ready();
                if ready.is_empty() {
                    break;
                }
                self.run_ready(ready);
                self.follow_role();
            }
            self.take_snapshot();
            self.release_effects();
        }
        if self.node.is_formed()
            && let Some(formation) = self.formation.take()
        {
            formation.abort();
        }
        self.update_status();
        // A caller that was answered must find its command in the status.
        for (reply, response) in self.answers.drain(..) {
            let _ = reply.send(response);
        }
    }

    /// Asks for a confirmation for the reads that came since the last one.
    ///
    /// Renewals alone ask at most once in each heartbeat interval. Each confirmation is a round of
    /// heartbeats, so they cost no messages beyond those of an idle leader.
    fn confirm_reads(&mut self) {
        let now_ms = self.now_ms();
        let is_urgent = self.calls.has_urgent_reads() || self.stop_due_ms.is_some();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if !is_urgent && now_ms < leadership.confirmation_due_ms {
            return;
        }
        if let Some(token) = self.calls.next_token() {
            leadership.confirmation_due_ms = now_ms + self.settings.heartbeat_ms;
            // `leadership` follows the role of the node, so this cannot fail.
            let _ = self.node.confirm_leadership(token);
        }
    }

    fn run_ready(&mut self, mut ready: Ready) {
        let immediate = std::mem::take(&mut ready.immediate);
        let committed = std::mem::take(&mut ready.committed);
        let confirmed = std::mem::take(&mut ready.confirmed);
        let installed = ready.snapshot.clone().filter(|_| ready.install_snapshot);
        let has_members = |entry: &Arc<Entry>| matches!(entry.payload, Payload::Members(_));
        if installed.is_some() || ready.entries.iter().any(has_members) {
            self.peers.learn_all(self.node.members());
        }
        self.send_all(immediate);
        if ready.needs_sync() || !ready.after_sync.is_empty() {
            self.writer.push(Job::Persist(Box::new(ready)));
        }
        if let Some(snapshot) = installed {
            self.install(&snapshot);
        }
        self.apply(committed);
        for token in confirmed {
            for read in self.calls.confirmed(token) {
                self.answer(read);
            }
        }
    }

    fn send_all(&mut self, messages: Vec<Envelope>) {
        for message in messages {
            self.peers.send(message);
        }
    }

    fn install(&mut self, snapshot: &Snapshot) {
        match decode_ledger(Some(snapshot)) {
            Ok(ledger) => {
                self.ledger = ledger;
                self.snapshot = snapshot.index;
            }
            Err(error) => self.fail(error.to_string()),
        }
    }

    fn apply(&mut self, entries: Vec<Arc<Entry>>) {
        let Some(last) = entries.last().map(|entry| entry.index) else {
            return;
        };
        let mut changes = Vec::new();
        for entry in entries {
            if self.failure.is_some() {
                return;
            }
            let reply = match &entry.payload {
                Payload::Command(command) => self.apply_command(&entry, command, &mut changes),
                Payload::Members(_) => Reply::Applied,
            };
            let answer = self.calls.applied(entry.index, entry.term, reply);
            self.answers.extend(answer);
        }
        let now_ms = self.now_ms();
        self.followers.push(now_ms, &changes, last);
    }

    fn apply_command(&mut self, entry: &Entry, command: &[u8], changes: &mut Vec<Addressed>) -> Reply {
        if command.is_empty() {
            return Reply::Applied;
        }
        self.snapshot_lag_bytes += command.len() as u64;
        match postcard::from_bytes(command) {
            Ok(Command::Noop) => Reply::Applied,
            Ok(command) => {
                let applied = self.ledger.apply(entry.index, command);
                changes.extend(applied.changes);
                applied.reply
            }
            Err(error) => {
                // Skipping it would let this member's state differ from that of the others.
                self.fail(format!("entry {} cannot be decoded: {error}", entry.index.0));
                Reply::Applied
            }
        }
    }

    fn take_snapshot(&mut self) {
        let applied = self.node.applied();
        let is_due = applied.0 >= self.snapshot.0 + self.settings.snapshot_entries
            || self.snapshot_lag_bytes >= self.settings.snapshot_bytes;
        if !is_due || self.snapshot_running {
            return;
        }
        self.snapshot = applied;
        self.snapshot_lag_bytes = 0;
        self.snapshot_running = true;
        let ledger = self.ledger.clone();
        let events = self.events.clone();
        tokio::task::spawn_blocking(move || {
            let data = encode_ledger(&ledger);
            let _ = events.send(Event::SnapshotEncoded { data, index: applied });
        });
    }

    // Reads.

    fn answer(&mut self, read: WaitingRead) {
        let index = self.node.applied();
        let response = match read.request {
            Request::Follow { session, .. } => self.follow(read.caller, session, index),
            Request::Query(query) => Response::Queried {
                index,
                reply: Box::new(self.ledger.query(&query)),
            },
            Request::Renew(renewal) => self.renew(&renewal, index),
            _ => failed("the store does not answer such calls"),
        };
        self.answers.push((read.reply, response));
    }

    fn follow(&mut self, caller: fuchsiatack_wire::Caller, session: SessionId, index: LogIndex) -> Response {
        let now_ms = self.now_ms();
        match self.followers.add(now_ms, caller, session, index, &self.ledger) {
            true => Response::Following,
            false => failed("the connection's queue is full"),
        }
    }

    fn renew(&mut self, renewal: &Renewal, index: LogIndex) -> Response {
        if self.followers.take_dropped(renewal.session) {
            return failed("the follower did not keep up and must follow again");
        }
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            return self.not_leader();
        };
        let Some(allocator) = &mut leadership.allocator else {
            return failed("the store runs no allocator");
        };
        let mut advice = allocator.renewed(now_ms, renewal, &self.ledger);
        advice.commit = index;
        let demand = Demand::of(renewal);
        if leadership.demand.get(&renewal.session) != Some(&demand) {
            leadership.demand.insert(renewal.session, demand);
            leadership.plan_due_ms = leadership.planned_ms + MINIMUM_PLAN_INTERVAL_MS;
        }
        self.plan();
        self.followers.push_index(now_ms, renewal.session, index);
        Response::Renewed(advice)
    }

    // Jobs.

    /// Starts the planner once every entry of earlier leaders is applied, and proposes what it
    /// decided in this turn.
    fn propose_jobs(&mut self) {
        let Some(settings) = &self.settings.jobs else {
            return;
        };
        if self.jobs.is_none() && self.node.is_settled_leader() && self.node.applied() == self.node.commit() {
            let now_ms = self.now_ms();
            let mut jobs = JobsRole::new(settings, self.ledger.jobs(), self.node.term(), now_ms);
            jobs.set_members(self.node.members().iter().map(|member| member.address).collect());
            self.jobs = Some(jobs);
        }
        let Some(jobs) = &mut self.jobs else {
            return;
        };
        let (commands, effects) = jobs.take_commands();
        if !commands.is_empty() {
            self.propose(Command::Jobs(commands), None);
        }
        let index = self.node.last();
        if let Some(jobs) = &mut self.jobs {
            jobs.wait_for(index, effects);
        }
    }

    /// Carries out the planner's effects whose entries are applied, while the lease holds.
    fn release_effects(&mut self) {
        let now_ms = self.now_ms();
        let holds_lease = self
            .node
            .lease_until_ms()
            .is_some_and(|until_ms| now_ms < until_ms);
        let applied = self.node.applied();
        if let Some(jobs) = self.jobs.as_mut().filter(|_| holds_lease) {
            self.answers.extend(jobs.release(applied));
        }
    }

    // Leadership.

    /// Starts or ends the work of a leader when the role has changed.
    fn follow_role(&mut self) {
        let led = self.leadership.as_ref().map(|leadership| leadership.term);
        let leads = (self.node.role() == Role::Leader).then(|| self.node.term());
        // Calls may have been accepted in a leadership that lasted for less than a turn.
        let has_orphans = leads.is_none() && !self.calls.is_empty();
        if led == leads && !has_orphans {
            return;
        }
        if led.is_some() || has_orphans {
            self.resign();
        }
        if let Some(term) = leads {
            let now_ms = self.now_ms();
            let allocator = self.settings.allocator.clone();
            self.leadership = Some(Leadership {
                allocator: allocator.map(|settings| Allocator::new(settings, now_ms)),
                demand: HashMap::new(),
                confirmation_due_ms: now_ms,
                expiry_due_ms: now_ms,
                members_due_ms: now_ms,
                plan_due_ms: now_ms,
                planned: self.node.last(),
                planned_ms: 0,
                term,
            });
        }
    }

    fn resign(&mut self) {
        self.leadership = None;
        if let Some(jobs) = self.jobs.take() {
            jobs.lost_leadership();
        }
        self.followers.clear();
        let not_leader = self.not_leader();
        self.calls.lost_leadership(&not_leader);
    }

    /// Proposes the allocator's commands if a plan is due and former ones are applied.
    fn plan(&mut self) {
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if self.stop_due_ms.is_some() {
            return;
        }
        if now_ms < leadership.plan_due_ms || self.node.applied() < leadership.planned {
            return;
        }
        leadership.plan_due_ms = now_ms + PLAN_INTERVAL_MS;
        leadership.planned_ms = now_ms;
        let Some(allocator) = &mut leadership.allocator else {
            return;
        };
        let mut commands = allocator.plan(now_ms, &self.ledger);
        if now_ms >= leadership.expiry_due_ms {
            leadership.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS;
            commands.extend(self.ledger.journal_expiry(unix_ms()));
        }
        if commands.is_empty() {
            return;
        }
        for command in commands {
            self.propose(command, None);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.planned = self.node.last();
        }
    }

    /// Proposes the next change of the member list that the records ask for. It is tried again
    /// later if an earlier change is not committed yet.
    fn change_members(&mut self) {
        let now_ms = self.now_ms();
        match &mut self.leadership {
            Some(leadership) if now_ms >= leadership.members_due_ms => {
                leadership.members_due_ms = now_ms + MEMBERS_INTERVAL_MS;
            }
            _ => return,
        }
        let desired = match (
            self.settings.membership,
            self.ledger.query(&Query::Records(Kind::StoreMember)),
        ) {
            (Membership::Joining { .. }, _) => self.joining.values().cloned().collect(),
            (Membership::Records, QueryReply::Records(records)) => membership::of_records(&records),
            (Membership::Records, _) => Vec::new(),
        };
        let is_caught_up = |member| self.node.is_caught_up(member);
        let change = membership::next_change(&desired, self.node.members(), MAX_VOTERS, is_caught_up);
        if let Some(change) = change {
            let _ = self.node.propose_members(change);
            self.peers.learn_all(self.node.members());
        }
    }

    fn update_status(&self) {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.applied = self.node.applied();
        status.commit = self.node.commit();
        status.disk_failure.clone_from(&self.failure);
        status.formed = self.node.is_formed();
        status.leader = self.leader_address();
        status.role = match self.failure {
            Some(_) => Role::Follower,
            None => self.node.role(),
        };
        status.term = self.node.term();
        if status.members != self.node.members() {
            status.members = self.node.members().to_vec();
        }
    }
}

fn node_settings(settings: &StoreSettings, id: MemberId) -> NodeSettings {
    NodeSettings {
        election_maximum_ms: settings.election_maximum_ms,
        election_minimum_ms: settings.election_minimum_ms,
        heartbeat_ms: settings.heartbeat_ms,
        id,
        seed: rand::random(),
        ..NodeSettings::default()
    }
}

/// Encodes the ledger as `Some`, so that no ledger has the empty encoding of the initial snapshot.
fn encode_ledger(ledger: &Ledger) -> Vec<u8> {
    postcard::to_stdvec(&Some(ledger)).unwrap_or_default()
}

fn decode_ledger(snapshot: Option<&Snapshot>) -> Result<Ledger, postcard::Error> {
    match snapshot {
        Some(snapshot) if !snapshot.data.is_empty() => {
            let ledger: Option<Ledger> = postcard::from_bytes(&snapshot.data)?;
            Ok(ledger.unwrap_or_default())
        }
        _ => Ok(Ledger::default()),
    }
}
