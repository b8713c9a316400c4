//! Executes the kernel's decisions.

use {
    crate::{
        engine::Engine,
        engine_message::EngineMessage,
        job::ReplyTo,
        job_entry::{JobEntry, JobState, RunningJob},
        peers::Peers,
        run_response::RunResponse,
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

/// Limit for one attempt to return tokens.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed proposal or stop command.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Attempts to stop a task on its worker. After these, the task ends by itself or with the worker's lease.
const STOP_ATTEMPTS: u32 = 5;

impl Engine {
    pub(crate) fn execute(&mut self, decision: Decision) {
        match decision {
            Decision::Abandon { task } => {
                self.finish(
                    task,
                    RunResponse::unknown("the connection to the worker was lost"),
                );
            }
            Decision::Blocked { task, .. } => {
                spdlog::debug!("no attached worker has the capacity for a task", kv: { task = task.to_string() });
            }
            Decision::Forward { daemon, task } => self.forward(task, &daemon),
            Decision::Refuse {
                reason,
                retry_after_ms,
                task,
            } => self.finish(task, RunResponse::not_run(reason, retry_after_ms)),
            Decision::ReturnTokens { team, tokens } => {
                if let Some(tokens) = self.token_returns.begin(&team, tokens) {
                    self.propose_return(team, tokens);
                }
            }
            Decision::Start { epoch, task, worker } => self.start(task, worker, epoch),
            Decision::Stop { task, worker } => {
                if let Some(entry) = self.jobs.get_mut(task) {
                    entry.stopping = true;
                }
                self.stop_on_worker(task, &worker);
            }
        }
    }

    /// Starts a task on a worker if the session lease is still valid. Otherwise the start is refused.
    fn start(&mut self, task: TaskId, worker: WorkerName, epoch: Epoch) {
        let valid = self.check_lease();
        if !self.may_start_again(task) {
            let end = TaskEnd::Done;
            self.enqueue(Event::TaskEnded { end, run_us: 0, task });
            let message = "the connection to the worker was lost and the retry budget is exhausted";
            return self.finish(task, RunResponse::unknown(message));
        }
        let address = self
            .attached
            .get(&worker)
            .map(|entry| entry.announcement.address.clone());
        let (Some(entry), Some(address), true) = (self.jobs.get_mut(task), address, valid) else {
            let end = TaskEnd::Refused;
            return self.enqueue(Event::TaskEnded { end, run_us: 0, task });
        };
        entry.stopping = false;
        entry.wait_span = None;
        self.shared.metrics.observe_wait(entry.waiting_since.elapsed());
        let call = run_call(entry, task, epoch);
        let shared = self.shared.clone();
        let attempt = async move {
            let began = Instant::now();
            let span = shared
                .traces
                .start_span("run", SpanKind::Client, call.trace_parent.as_ref());
            let trace_parent = span.trace_parent();
            let end = shared
                .adapter
                .run(&address, RunCall { trace_parent, ..call })
                .await;
            drop(span);
            let ran = began.elapsed();
            shared.engine.send(EngineMessage::RunEnded { end, ran, task });
        };
        let running = RunningJob {
            abort: tokio::spawn(attempt).abort_handle(),
            epoch,
            worker,
        };
        self.jobs.set_state(task, JobState::Running(running));
    }

    /// Takes a retry out of the budget if an earlier attempt was lost. Tasks of queued works need none.
    fn may_start_again(&mut self, task: TaskId) -> bool {
        let Some(entry) = self.jobs.get(task) else {
            return true;
        };
        match (&entry.state, &entry.job.reply) {
            (JobState::Lost { .. }, ReplyTo::Caller(_)) if !self.retry_budget.try_take() => false,
            (JobState::Lost { .. }, _) => {
                self.shared.metrics.retries.inc();
                true
            }
            _ => true,
        }
    }

    fn forward(&mut self, task: TaskId, daemon: &DaemonName) {
        let address = Peers::address_of(&self.shared.session.directory(), daemon);
        let (Some(entry), Some(address)) = (self.jobs.get_mut(task), address) else {
            return self.resubmit(task);
        };
        entry.wait_span = None;
        self.shared.metrics.forwards.inc();
        let request = forwarded_request(entry);
        let shared = self.shared.clone();
        let attempt = async move {
            let span = shared
                .traces
                .start_span("forward", SpanKind::Client, request.trace_parent.as_ref());
            let trace_parent = span.trace_parent();
            let request = ForwardedRequest {
                trace_parent,
                ..request
            };
            let result: Result<_, WireError> = shared.peers.forward(address, request).await;
            drop(span);
            shared.engine.send(EngineMessage::Forwarded { result, task });
        };
        let abort = tokio::spawn(attempt).abort_handle();
        let daemon = daemon.clone();
        self.jobs.set_state(task, JobState::Forwarded { abort, daemon });
    }

    /// Cancels a task on its worker. `TaskStopped` follows once the worker has confirmed it.
    pub(crate) fn stop_on_worker(&mut self, task: TaskId, worker: &WorkerName) {
        let address = self.address_of(worker);
        let epoch = self.jobs.get(task).and_then(|entry| match &entry.state {
            JobState::Running(running) => Some(running.epoch),
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
                    Ok(()) => return shared.engine.send(EngineMessage::TaskStopped(task)),
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

    /// Reports applied token returns to the kernel once it has received the reduced pools.
    pub(crate) fn finish_returns(&mut self) {
        for AppliedReturn { team, tokens, .. } in self.token_returns.take_finished() {
            self.enqueue(Event::TokensReturned {
                team: team.clone(),
                tokens,
            });
            if let Some(tokens) = self.token_returns.end(&team) {
                self.propose_return(team, tokens);
            }
        }
    }

    /// Proposes a return of tokens until it is applied. Until then no daemon can use these tokens.
    fn propose_return(&mut self, team: TeamName, tokens: u32) {
        let Some(session) = self.session else {
            return;
        };
        let sequence = self.token_returns.next_sequence();
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
                    .propose(command.clone(), true, PROPOSE_TIMEOUT)
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

fn run_call(entry: &JobEntry, task: TaskId, epoch: Epoch) -> RunCall {
    RunCall {
        body: entry.job.body.clone(),
        content_type: entry.job.content_type.clone(),
        demand: entry.class.task_class.demand,
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

fn forwarded_request(entry: &JobEntry) -> ForwardedRequest {
    ForwardedRequest {
        body: entry.job.body.to_vec(),
        class: entry.class.task_class.clone(),
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
