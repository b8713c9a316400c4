//! Event loop that owns the consensus node and the ledger.

use {
    crate::{
        Membership, StoreError, StoreSettings, StoreStatus,
        clock::steady_ms,
        directory_followers::DirectoryFollowers,
        event::{Event, Input},
        failure::{Failure, FailureKind},
        formation::{self, FormationDecision},
        jobs_role::JobsRole,
        leadership::Leadership,
        peers::Peers,
        pending_calls::{OutgoingResponse, PendingCall, PendingCalls, failed_response},
        runtime_node::decode_ledger,
        work_metrics::WorkKind,
        writer::{WriteRequest, Writer},
    },
    fuchsiatack_consensus::{
        Envelope, JoinRequest, JoinRequests, MemberId, Node, NodeSettings, Role, StoredState,
    },
    fuchsiatack_jobs::JobEvent,
    fuchsiatack_ledger::{Command, Ledger},
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::{Formation, NotLeader, Request, Response},
    std::{
        collections::VecDeque,
        future::ready,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::AbortHandle,
        time::MissedTickBehavior,
    },
};

/// Maximum number of consensus messages, and of other inputs, handled before the node's pending work is
/// processed.
const MAX_INPUTS_PER_TURN: usize = 512;
/// Time after which a turn handles no further inputs other than consensus messages. It is a fraction of the
/// heartbeat interval, since a heartbeat may be due in the meantime.
const INPUT_TIME_LIMIT: Duration = Duration::from_millis(20);
/// Encoded size of the submissions of a turn from which it handles no further inputs, in bytes. They share a log
/// entry, and a message between members holds 8 MiB.
const SUBMISSION_BYTES_LIMIT: usize = 1 << 20;
/// Maximum time in milliseconds that a planned stop waits for another leader.
const STOP_TIMEOUT_MS: u64 = 2_000;
/// Time in milliseconds without a message from a leader after which a member asks to join again. An
/// election takes less.
const REJOIN_AFTER_MS: u64 = 2_000;
/// Number of node ticks in each heartbeat interval.
const TICKS_PER_HEARTBEAT: u64 = 4;

/// Queues that the runtime reads.
pub(crate) struct Queues {
    /// Messages of other members. They are handled first, since a leader that reads them late takes its
    /// followers for lost.
    pub(crate) consensus: mpsc::Receiver<Envelope>,
    pub(crate) events: mpsc::UnboundedReceiver<Event>,
    pub(crate) inputs: mpsc::Receiver<Input>,
}

pub(crate) struct Runtime {
    /// Inputs that were received and not handled yet.
    pub(crate) backlog: VecDeque<Input>,
    /// Responses to send after the next update of the status, which must include their effects.
    pub(crate) responses: Vec<OutgoingResponse>,
    pub(crate) calls: PendingCalls,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) failure: Option<Failure>,
    pub(crate) followers: DirectoryFollowers,
    pub(crate) formation: Option<AbortHandle>,
    pub(crate) forming: bool,
    pub(crate) identity: MemberId,
    pub(crate) jobs: Option<JobsRole>,
    /// Requests of daemons to be store members, while this member leads.
    pub(crate) join_requests: JoinRequests,
    /// Time of the last message from a leader, or of this member's start.
    pub(crate) leader_contact_ms: u64,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) ledger: Ledger,
    pub(crate) node: Node,
    pub(crate) peers: Peers,
    pub(crate) settings: StoreSettings,
    /// Index of the last snapshot that was stored, installed or is being encoded.
    pub(crate) snapshot: LogIndex,
    /// Bytes of the commands applied after that snapshot.
    pub(crate) snapshot_lag_bytes: u64,
    pub(crate) snapshot_running: bool,
    /// Time at which a planned stop no longer waits for another leader; `None` if no stop was
    /// requested.
    pub(crate) stop_due_ms: Option<u64>,
    pub(crate) status: Arc<Mutex<StoreStatus>>,
    pub(crate) writer: Writer,
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
            responsive_members: Arc::default(),
            role: node.role(),
            term: node.term(),
            voters_in_contact: None,
        };
        let mut runtime = Self {
            backlog: VecDeque::with_capacity(MAX_INPUTS_PER_TURN),
            responses: Vec::new(),
            calls: PendingCalls::default(),
            events,
            failure: None,
            followers: DirectoryFollowers::default(),
            formation: None,
            forming: false,
            identity,
            jobs: None,
            join_requests: JoinRequests::default(),
            leader_contact_ms: steady_ms(),
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
        runtime.peers.set_addresses(runtime.node.members());
        if !runtime.node.is_formed() {
            runtime.start_formation();
        }
        Ok(runtime)
    }

    pub(crate) fn status(&self) -> Arc<Mutex<StoreStatus>> {
        self.status.clone()
    }

    /// Runs until a stop is complete or the last `Store` handle is dropped.
    pub(crate) async fn run(mut self, mut queues: Queues) {
        let period_ms = (self.settings.heartbeat_ms / TICKS_PER_HEARTBEAT).max(1);
        let mut ticks = tokio::time::interval(Duration::from_millis(period_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_tick_due = tokio::select! {
                biased;
                _ = ticks.tick() => true,
                Some(message) = queues.consensus.recv() => {
                    self.handle_consensus(message);
                    false
                }
                Some(event) = queues.events.recv() => {
                    self.handle_event(event);
                    false
                }
                () = ready(()), if !self.backlog.is_empty() => false,
                input = queues.inputs.recv() => match input {
                    Some(input) => {
                        self.backlog.push_back(input);
                        false
                    }
                    None => break,
                },
            };
            self.take_turn(&mut queues, is_tick_due);
            if self.can_stop() {
                break;
            }
        }
        self.finish(queues.inputs).await;
    }

    /// Handles what has arrived and processes the node's pending work. What takes too long is left for the next
    /// turn, after the heartbeats that are due.
    fn take_turn(&mut self, queues: &mut Queues, is_tick_due: bool) {
        let started_at = Instant::now();
        if is_tick_due {
            self.tick();
        }
        while let Ok(event) = queues.events.try_recv() {
            self.handle_event(event);
        }
        for _ in 0..MAX_INPUTS_PER_TURN {
            let Ok(message) = queues.consensus.try_recv() else {
                break;
            };
            self.handle_consensus(message);
        }
        while self.backlog.len() < MAX_INPUTS_PER_TURN
            && let Ok(input) = queues.inputs.try_recv()
        {
            self.backlog.push_back(input);
        }
        self.handle_backlog();
        self.advance();
        self.record_work(WorkKind::Turn, started_at);
    }

    /// Handles inputs, at least one, until they have taken long enough or their submissions are large enough.
    fn handle_backlog(&mut self) {
        let started_at = Instant::now();
        while let Some(input) = self.backlog.pop_front() {
            self.handle_input(input);
            let pending_bytes = self.jobs.as_ref().map_or(0, JobsRole::pending_bytes);
            if started_at.elapsed() >= INPUT_TIME_LIMIT || pending_bytes >= SUBMISSION_BYTES_LIMIT {
                break;
            }
        }
    }

    async fn finish(mut self, mut inputs: mpsc::Receiver<Input>) {
        inputs.close();
        while let Ok(input) = inputs.try_recv() {
            self.backlog.push_back(input);
        }
        for input in std::mem::take(&mut self.backlog) {
            if let Input::Call { responder, .. } = input {
                let _ = responder.send(self.not_leader());
            }
        }
        if let Some(formation) = self.formation.take() {
            formation.abort();
        }
        self.calls.fail_all(&failed_response("the store has stopped"));
        let writer = self.writer;
        let _ = tokio::task::spawn_blocking(move || writer.join()).await;
    }

    pub(crate) fn now_ms(&self) -> u64 {
        steady_ms()
    }

    fn tick(&mut self) {
        if self.failure.is_some() {
            return;
        }
        let now_ms = self.now_ms();
        self.tick_node(now_ms);
        self.update_polling(now_ms);
        if let Some(jobs) = &mut self.jobs {
            jobs.handle(now_ms, JobEvent::Tick);
        }
        self.followers.push_idle(now_ms, self.node.applied());
        match self.leadership {
            Some(_) if self.stop_due_ms.is_some() => self.transfer_leadership(),
            Some(_) => {
                self.plan();
                self.change_members();
            }
            None => {}
        }
    }

    /// Transfers the leadership to another member once all accepted calls have a response.
    fn transfer_leadership(&mut self) {
        if self.calls.is_empty() {
            let _ = self.node.transfer_leadership();
        }
    }

    /// Returns whether a planned stop was requested and need not wait any longer: another member
    /// leads, no other member exists, the disk has failed, or the time is up.
    fn can_stop(&self) -> bool {
        let Some(due_ms) = self.stop_due_ms else {
            return false;
        };
        let is_alone = self.node.members().len() <= 1 && self.calls.is_empty();
        let is_replaced = self.node.role() != Role::Leader && self.node.leader().is_some();
        self.failure.is_some() || is_alone || is_replaced || self.now_ms() >= due_ms
    }

    fn handle_consensus(&mut self, message: Envelope) {
        if self.failure.is_none() && !self.forming {
            self.node.receive(self.now_ms(), message);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Call {
                caller,
                responder,
                request,
            } => self.handle_call(PendingCall {
                caller,
                responder,
                request,
            }),
            Input::Jobs(event) => {
                let now_ms = self.now_ms();
                if let Some(jobs) = &mut self.jobs {
                    jobs.handle(now_ms, event);
                }
            }
            Input::Stop => self.stop_due_ms = Some(self.now_ms() + STOP_TIMEOUT_MS),
        }
    }

    fn handle_call(&mut self, call: PendingCall) {
        let accepts = self.failure.is_none() && self.stop_due_ms.is_none();
        let is_leader = accepts && self.node.role() == Role::Leader;
        match call.request {
            Request::Formation(_) => {
                let _ = call.responder.send(Response::Formation(self.own_formation()));
            }
            Request::Cell(cell) if is_leader && self.jobs.is_some() => {
                let now_ms = self.now_ms();
                if let Some(jobs) = &mut self.jobs {
                    jobs.handle_call(now_ms, *cell, call.responder);
                }
            }
            Request::Join {
                address,
                identity,
                name,
            } if is_leader && self.settings.membership != Membership::Records => {
                let request = JoinRequest {
                    address,
                    id: identity,
                    name,
                };
                self.join_requests.insert(self.now_ms(), request);
                let _ = call.responder.send(Response::Joining);
            }
            Request::Propose(command) if is_leader => self.propose(*command, Some(call.responder)),
            Request::Follow { .. } | Request::Query(_) | Request::Renew(_) if is_leader => {
                self.calls.add_read(call);
            }
            Request::Cell(_)
            | Request::Follow { .. }
            | Request::Join { .. }
            | Request::Propose(_)
            | Request::Query(_)
            | Request::Renew(_) => {
                let _ = call.responder.send(self.not_leader());
            }
            Request::Forward(_) | Request::Ping | Request::WorkersFreeOf { .. } => {
                let _ = call
                    .responder
                    .send(failed_response("the store does not handle calls of this kind"));
            }
        }
    }

    pub(crate) fn propose(&mut self, command: Command, responder: Option<oneshot::Sender<Response>>) {
        let started_at = Instant::now();
        let encoded = postcard::to_stdvec(&command);
        self.record_work(WorkKind::Encode, started_at);
        let encoded = match encoded {
            Ok(encoded) => encoded,
            Err(_) => {
                responder.map(|responder| responder.send(failed_response("the command cannot be encoded")));
                return;
            }
        };
        match (self.node.propose(encoded), responder) {
            (Ok(index), Some(responder)) => self.calls.add_proposal(index, self.node.term(), responder),
            (Err(_), Some(responder)) => drop(responder.send(self.not_leader())),
            (_, None) => {}
        }
    }

    pub(crate) fn not_leader(&self) -> Response {
        Response::NotLeader(NotLeader {
            leader: self.leader_address(),
        })
    }

    pub(crate) fn leader_address(&self) -> Option<SocketAddr> {
        match self.failure {
            Some(_) => None,
            None => self.node.leader().and_then(|leader| self.peers.address(leader)),
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::DiskFailed(message) => self.fail(FailureKind::Disk, message),
            Event::DiskReopened(stored) => self.handle_reopened(*stored),
            Event::Formation(responses) => self.handle_formation(&responses),
            Event::Formed(stored) => self.handle_formed(*stored),
            Event::Persisted { mark, messages } => {
                self.node.persisted(mark);
                self.send_all(messages);
            }
            Event::ReopenFailed(error) => self.handle_reopen_failed(error),
            Event::SnapshotEncoded { data, index } => {
                self.snapshot_running = false;
                if !data.is_empty() {
                    self.node.compact(index, data);
                }
            }
        }
    }

    /// Starts to poll other members if this one is formed and hears no leader. A member that was removed
    /// while it was out of contact gets no messages, and becomes a member again only by its request.
    fn update_polling(&mut self, now_ms: u64) {
        let contact_ms = self.node.leader_contact_ms().unwrap_or_default();
        self.leader_contact_ms = self.leader_contact_ms.max(contact_ms);
        if self.formation.is_none() && self.node.is_formed() && self.needs_polling(now_ms) {
            self.start_formation();
        }
    }

    /// Returns whether this member has no member list, or joins by request and hears no leader.
    pub(crate) fn needs_polling(&self, now_ms: u64) -> bool {
        let is_joining = self.settings.membership != Membership::Records;
        let is_leaderless = now_ms >= self.leader_contact_ms + REJOIN_AFTER_MS;
        !self.node.is_formed() || (is_joining && is_leaderless && self.stop_due_ms.is_none())
    }

    pub(crate) fn start_formation(&mut self) {
        let polling =
            formation::poll_members(self.settings.clone(), self.own_formation(), self.events.clone());
        self.formation = Some(tokio::spawn(polling).abort_handle());
    }

    fn own_formation(&self) -> Formation {
        Formation {
            formed: self.node.is_formed(),
            identity: self.identity,
            members: self.node.members().to_vec(),
            name: self.settings.name.clone(),
        }
    }

    fn handle_formation(&mut self, responses: &[(SocketAddr, Option<Formation>)]) {
        for (address, response) in responses {
            if let Some(response) = response {
                self.peers.set_addresses(&response.members);
                self.peers.set_address(response.identity, *address);
            }
        }
        if self.node.is_formed() || self.forming || self.failure.is_some() {
            return;
        }
        match formation::decide(&self.settings, self.identity, responses) {
            FormationDecision::Form(members) => {
                self.forming = true;
                self.writer.push(WriteRequest::Form(members));
            }
            FormationDecision::Wait => {}
        }
    }

    fn handle_formed(&mut self, stored: StoredState) {
        self.forming = false;
        self.node = Node::new(node_settings(&self.settings, self.identity), stored);
        self.peers.set_addresses(self.node.members());
    }
}

pub(crate) fn node_settings(settings: &StoreSettings, id: MemberId) -> NodeSettings {
    NodeSettings {
        election_maximum_ms: settings.election_maximum_ms,
        election_minimum_ms: settings.election_minimum_ms,
        heartbeat_ms: settings.heartbeat_ms,
        id,
        seed: rand::random(),
        ..NodeSettings::default()
    }
}
