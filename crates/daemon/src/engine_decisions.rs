//! The engine's side of the kernel's decisions.

use {
    crate::{
        answer::Answer,
        engine::Engine,
        engine_message::EngineMessage,
        entry::{Entry, EntryState, RunningAt},
        job::ReplyTo,
        peers::Peers,
        token_returns::AppliedReturn,
        worker_adapter::RunCall,
    },
    fuchsiatack_kernel::{Decision, Event, TaskEnd},
    fuchsiatack_ledger::Command,
    fuchsiatack_model::{DaemonName, Epoch, TaskCommand, TaskId, TeamName, WorkerName},
    fuchsiatack_wire::{ForwardedRequest, WireError},
    opentelemetry::trace::SpanKind,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Longest wait for one attempt to return tokens.
const PROPOSE_LIMIT: Duration = Duration::from_secs(2);
/// Pause after a proposal that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Attempts to stop a task on its worker. After these its lease decides.
const STOP_ATTEMPTS: u32 = 5;

impl Engine {
    pub(crate) fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Abandon { task } => {
                self.finish(task, Answer::unknown("the connection to the worker was lost"));
            }
            Decision::Blocked { task, .. } => {
                spdlog::debug!("no present worker is large enough for a task", kv: { task = task.to_string() });
            }
            Decision::Forward { daemon, task } => self.forward(task, &daemon),
            Decision::Refuse {
                reason,
                retry_after_ms,
                task,
            } => self.finish(task, Answer::not_run(reason, retry_after_ms)),
            Decision::ReturnTokens { team, tokens } => {
                if let Some(tokens) = self.returns.begin(&team, tokens) {
                    self.propose_return(team, tokens);
                }
            }
            Decision::Start { epoch, task, worker } => self.start(task, worker, epoch),
            Decision::Stop { task, worker } => {
                if let Some(entry) = self.entries.get_mut(task) {
                    entry.stopping = true;
                }
                self.stop_on_worker(task, &worker);
            }
        }
    }

    /// Runs a task on a worker, if the lease holds at this moment.
    fn start(&mut self, task: TaskId, worker: WorkerName, epoch: Epoch) {
        let valid = self.check_lease();
        if !self.may_start_again(task) {
            let end = TaskEnd::Done;
            self.feed(Event::TaskEnded { end, run_us: 0, task });
            let message = "the connection to the worker was lost and the retry budget is used up";
            return self.finish(task, Answer::unknown(message));
        }
        let address = self
            .attached
            .get(&worker)
            .map(|entry| entry.announcement.address.clone());
        let (Some(entry), Some(address), true) = (self.entries.get_mut(task), address, valid) else {
            let end = TaskEnd::Refused;
            return self.feed(Event::TaskEnded { end, run_us: 0, task });
        };
        entry.stopping = false;
        entry.wait = None;
        self.shared.metrics.waited(entry.waiting_since.elapsed());
        let call = run_call(entry, task, epoch);
        let shared = self.shared.clone();
        let attempt = async move {
            let began = Instant::now();
            let hop = shared
                .traces
                .hop("run", SpanKind::Client, call.trace_parent.as_ref());
            let trace_parent = hop.trace_parent();
            let end = shared
                .adapter
                .run(&address, RunCall { trace_parent, ..call })
                .await;
            drop(hop);
            let ran = began.elapsed();
            shared.engine.send(EngineMessage::RunEnded { end, ran, task });
        };
        let running = RunningAt {
            abort: tokio::spawn(attempt).abort_handle(),
            epoch,
            worker,
        };
        self.entries.set_state(task, EntryState::Running(running));
    }

    /// Takes a retry out of the budget if the task was lost before. Queued work needs none.
    fn may_start_again(&mut self, task: TaskId) -> bool {
        let Some(entry) = self.entries.get(task) else {
            return true;
        };
        match (&entry.state, &entry.job.reply) {
            (EntryState::Lost { .. }, ReplyTo::Caller(_)) if !self.budget.take() => false,
            (EntryState::Lost { .. }, _) => {
                self.shared.metrics.retries.inc();
                true
            }
            _ => true,
        }
    }

    fn forward(&mut self, task: TaskId, daemon: &DaemonName) {
        let address = Peers::address_of(&self.shared.session.directory(), daemon);
        let (Some(entry), Some(address)) = (self.entries.get_mut(task), address) else {
            return self.resubmit(task);
        };
        entry.wait = None;
        self.shared.metrics.forwards.inc();
        let request = forwarded(entry);
        let shared = self.shared.clone();
        let attempt = async move {
            let hop = shared
                .traces
                .hop("forward", SpanKind::Client, request.trace_parent.as_ref());
            let trace_parent = hop.trace_parent();
            let request = ForwardedRequest {
                trace_parent,
                ..request
            };
            let result: Result<_, WireError> = shared.peers.forward(address, request).await;
            drop(hop);
            shared.engine.send(EngineMessage::Forwarded { result, task });
        };
        let abort = tokio::spawn(attempt).abort_handle();
        self.entries.set_state(task, EntryState::Forwarded(abort));
    }

    /// Cancels a task on its worker. `Stopped` follows once the worker confirms it.
    pub(crate) fn stop_on_worker(&mut self, task: TaskId, worker: &WorkerName) {
        let address = self.address_of(worker);
        let epoch = self.entries.get(task).and_then(|entry| match &entry.state {
            EntryState::Running(running) => Some(running.epoch),
            _ => self.attached.get(worker).map(|entry| entry.epoch),
        });
        let epoch = epoch.or_else(|| self.attached.get(worker).map(|entry| entry.epoch));
        let (Some(address), Some(epoch)) = (address, epoch) else {
            return;
        };
        let shared = self.shared.clone();
        tokio::spawn(async move {
            for _ in 0..STOP_ATTEMPTS {
                let command = TaskCommand::Cancel;
                match shared.adapter.command(&address, epoch, task, command).await {
                    Ok(()) => return shared.engine.send(EngineMessage::Stopped(task)),
                    Err(_) => sleep(RETRY_DELAY).await,
                }
            }
        });
    }

    fn address_of(&self, worker: &WorkerName) -> Option<smol_str::SmolStr> {
        match self.attached.get(worker) {
            Some(entry) => Some(entry.announcement.address.clone()),
            None => self
                .shared
                .session
                .directory()
                .worker(worker)
                .map(|entry| entry.announcement.address.clone()),
        }
    }

    /// Tells the kernel of applied returns once it has seen the smaller pools.
    pub(crate) fn end_returns(&mut self) {
        for AppliedReturn { team, tokens, .. } in self.returns.take_over() {
            self.feed(Event::TokensReturned {
                team: team.clone(),
                tokens,
            });
            if let Some(tokens) = self.returns.end(&team) {
                self.propose_return(team, tokens);
            }
        }
    }

    /// Proposes to return tokens until that is applied: until then they count at no daemon.
    fn propose_return(&mut self, team: TeamName, tokens: u32) {
        let Some(session) = self.session else {
            return;
        };
        let sequence = self.returns.next_sequence();
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let command = Command::ReturnTokens {
                sequence,
                session,
                team: team.clone(),
                tokens,
            };
            while shared.session.id() == Some(session) {
                let proposed = shared
                    .session
                    .cell()
                    .propose(command.clone(), true, PROPOSE_LIMIT)
                    .await;
                let Ok(committed) = proposed else {
                    sleep(RETRY_DELAY).await;
                    continue;
                };
                let applied = AppliedReturn {
                    index: committed.index,
                    team,
                    tokens,
                };
                return shared
                    .engine
                    .send(EngineMessage::TokensReturned { applied, session });
            }
        });
    }
}

fn run_call(entry: &Entry, task: TaskId, epoch: Epoch) -> RunCall {
    RunCall {
        body: entry.job.body.clone(),
        content_type: entry.job.content_type.clone(),
        demand: entry.class.class.demand,
        epoch,
        request: entry.job.request.clone(),
        task,
        team: entry.class.team.clone(),
        trace_parent: entry.job.trace_parent.clone(),
        work: match &entry.job.reply {
            ReplyTo::Work(work) => Some(work.clone()),
            ReplyTo::Caller(_) => None,
        },
    }
}

fn forwarded(entry: &Entry) -> ForwardedRequest {
    ForwardedRequest {
        body: entry.job.body.to_vec(),
        class: entry.class.class.clone(),
        content_type: entry.job.content_type.clone(),
        deadline_ms: entry
            .class
            .deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()).as_millis() as u64),
        request: entry.job.request.clone(),
        team: entry.class.team.clone(),
        trace_parent: entry.job.trace_parent.clone(),
    }
}
