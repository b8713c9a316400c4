//! Handles session events: new sessions, responses to renewals and changes of the directory.

use {
    crate::{
        engine::{Engine, RETRY_AFTER_MS, new_kernel},
        engine_message::OwnershipId,
        ownership::Ownership,
        run_response::RunResponse,
        team_setting::TeamSetting,
    },
    fuchsiatack_kernel::Event,
    fuchsiatack_ledger::{Change, Command, RenewalResponse, TeamCount, WorkerEntry},
    fuchsiatack_model::{DaemonName, LogIndex, Refusal, SessionId, WorkerName, WorkerReport},
    fuchsiatack_records::{Kind, Spec},
    fuchsiatack_session::SessionEvent,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Speed of a worker without a worker class record, in thousandths.
const DEFAULT_SPEED_MILLIS: u32 = 1_000;
/// Limit for one attempt to release a worker.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time that a planned stop leaves for waiting requests to start. After it they are refused.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

impl Engine {
    pub(crate) fn on_session_event(&mut self, event: SessionEvent) {
        match event {
            SessionEvent::Renewed(response) => self.on_renewal_response(response),
            SessionEvent::Changed { changes, index } => self.on_changes(changes, index),
            SessionEvent::Opened(session) => self.on_opened(session),
        }
    }

    /// Resets the engine for a new session. Workers, tokens and tasks of the former session are lost.
    fn on_opened(&mut self, session: SessionId) {
        spdlog::info!("session opened", kv: { session = session.0 });
        self.session = Some(session);
        self.lease_valid = false;
        self.attached.clear();
        self.work_tasks.clear();
        self.daemons.clear();
        self.events.clear();
        self.draining.clear();
        self.ownerships.clear();
        self.releasing.clear();
        self.token_returns.clear();
        self.teams.clear();
        self.kernel = new_kernel(self.shared.settings.placement_rule);
        for task in self.jobs.tasks_where(|entry| entry.is_waiting()) {
            self.finish(task, RunResponse::not_run(Refusal::LeaseLapsed, RETRY_AFTER_MS));
        }
        self.update_teams();
        self.check_lease();
    }

    fn on_renewal_response(&mut self, response: RenewalResponse) {
        for usage in response.fleet {
            self.enqueue(Event::FleetUsage {
                running: usage.running,
                team: usage.team,
            });
        }
        for target in response.return_tokens {
            self.enqueue(Event::TokenTargetSet {
                target: target.target,
                team: target.team,
            });
        }
        for worker in response.release_workers {
            if self.attached.contains_key(&worker) {
                tokio::spawn(self.release(worker));
            }
        }
        self.check_lease();
    }

    fn on_changes(&mut self, changes: Vec<Change>, index: LogIndex) {
        self.work_tasks.remove_settled(index);
        let mut teams_changed = false;
        for change in changes {
            teams_changed |= affects_teams(&change);
            self.on_change(change);
        }
        if teams_changed {
            self.update_teams();
        }
        self.token_returns.set_applied_index(index);
        self.finish_returns();
        self.shared.metrics.index.set(index.0 as i64);
        self.shared.peers.retain(&self.shared.session.directory());
        self.check_lease();
    }

    fn on_change(&mut self, change: Change) {
        match change {
            Change::DaemonJoined { daemon, session } => {
                self.seen_sessions.insert((daemon.name.clone(), session));
                self.daemons.insert(session, daemon.name);
            }
            Change::DaemonLeft { session } => self.on_daemon_left(session),
            Change::RecordDeleted {
                kind: Kind::Drain,
                name,
            } => self.update_draining(WorkerName(name)),
            Change::RecordWritten(record) if record.kind() == Kind::Drain => {
                self.update_draining(WorkerName(record.name));
            }
            Change::RecordDeleted { .. } | Change::RecordWritten(_) => {}
            Change::TasksAssigned {
                running,
                spec,
                tasks,
                work,
            } => match running {
                true => self.work_tasks.add_expected(&Arc::new(*spec), &work, tasks),
                false => self.on_tasks_assigned(*spec, tasks, work),
            },
            Change::TokensSet { team, tokens } => self.enqueue(Event::TokensSet { team, tokens }),
            Change::WorkCancelled { work } => self.on_work_cancelled(&work),
            Change::WorkerChanged(entry) => self.on_worker_changed(*entry),
            Change::WorkerRemoved { worker } => drop(self.ownerships.remove(&worker)),
            Change::WorkerDetached { moved_tokens, worker } => self.on_worker_detached(worker, moved_tokens),
        }
    }

    /// Returns the sessions of a daemon that this one has seen, also ended ones.
    pub(crate) fn sessions_of(&self, daemon: &DaemonName) -> impl Iterator<Item = SessionId> {
        let sessions = self.seen_sessions.iter();
        sessions
            .filter(move |(name, _)| name == daemon)
            .map(|(_, session)| *session)
    }

    fn on_daemon_left(&mut self, session: SessionId) {
        let Some(daemon) = self.daemons.remove(&session) else {
            return;
        };
        if !self.daemons.values().any(|name| *name == daemon) {
            self.enqueue(Event::PeerLeft { daemon });
        }
    }

    /// Reads the settings of all teams from the directory, and passes changes on to the kernel.
    fn update_teams(&mut self) {
        let teams = TeamSetting::all(&self.shared.session.directory());
        let removed_teams: Vec<_> = self
            .teams
            .keys()
            .filter(|team| !teams.contains_key(*team))
            .cloned()
            .collect();
        for team in removed_teams {
            self.shared.metrics.remove_team(&team);
            self.enqueue(Event::TeamRemoved { team });
        }
        for (team, setting) in &teams {
            if self.teams.get(team) != Some(setting) {
                self.enqueue(setting.to_event(team));
            }
        }
        self.teams = teams;
    }

    fn on_worker_changed(&mut self, entry: WorkerEntry) {
        let worker = entry.announcement.name.clone();
        let known_epoch = self.ownerships.get(&worker).map(|ownership| ownership.id.epoch);
        match (self.session, entry.owner) {
            (Some(session), Some(owner)) if session == owner => {
                // A fenced worker without a running ownership task is presented the same epoch again.
                if known_epoch.is_none_or(|epoch| epoch < entry.epoch) {
                    spdlog::info!("worker assigned", kv: {
                        worker = worker.to_string(),
                        epoch = entry.epoch.0,
                    });
                    let ownership = Ownership::start(self.shared.clone(), entry, session);
                    self.ownerships.insert(worker.clone(), ownership);
                }
                self.update_draining(worker);
            }
            // A released worker's lease is renewed here until the new owner has counted its tasks.
            _ if self.releasing.contains(&worker) => {}
            _ if known_epoch.is_some() => {
                self.ownerships.remove(&worker);
                self.enqueue(Event::WorkerUnreachable { worker });
            }
            _ => {}
        }
    }

    /// Attaches a fenced worker to the kernel if this session still owns it.
    pub(crate) fn on_worker_fenced(
        &mut self,
        entry: WorkerEntry,
        ownership: &OwnershipId,
        report: WorkerReport,
    ) {
        let worker = ownership.worker.clone();
        let is_owned = self
            .shared
            .session
            .directory()
            .worker(&worker)
            .is_some_and(|current| current.epoch == ownership.epoch && current.owner == self.session);
        if !self.is_current(ownership) {
            return;
        }
        if !is_owned {
            spdlog::warn!("fencing of a worker under a superseded epoch ignored", kv: { worker = worker.to_string() });
            drop(self.ownerships.remove(&worker));
            return;
        }
        spdlog::info!("worker attached", kv: { worker = worker.to_string(), epoch = ownership.epoch.0 });
        for running in &report.running {
            if let Some(work) = running.work.clone() {
                self.work_tasks.adopt(work, running.task, worker.clone());
            }
        }
        let announcement = entry.announcement.clone();
        self.releasing.remove(&worker);
        self.draining.remove(&worker);
        self.enqueue(Event::WorkerAttached {
            capacity: announcement.capacity,
            data_center: announcement.data_center,
            epoch: ownership.epoch,
            rack: announcement.rack,
            running: report.running,
            speed_millis: self.speed_of(announcement.class.as_deref()),
            worker: worker.clone(),
        });
        self.attached.insert(worker.clone(), entry);
        if report.leaving {
            self.set_draining(worker.clone(), true);
        }
        self.update_draining(worker);
    }

    fn speed_of(&self, class: Option<&str>) -> u32 {
        let directory = self.shared.session.directory();
        let record = class.and_then(|class| directory.record(Kind::WorkerClass, class));
        match record.map(|record| &record.spec) {
            Some(Spec::WorkerClass(class)) => class.speed_millis,
            _ => DEFAULT_SPEED_MILLIS,
        }
    }

    fn on_worker_detached(&mut self, worker: WorkerName, moved_tokens: Vec<TeamCount>) {
        self.mark_work_reassigned(&worker);
        self.attached.remove(&worker);
        self.draining.remove(&worker);
        self.ownerships.remove(&worker);
        self.releasing.remove(&worker);
        let moved_tokens = moved_tokens
            .into_iter()
            .map(|count| (count.team, count.count))
            .collect();
        self.enqueue(Event::WorkerDetached { moved_tokens, worker });
    }

    /// Marks a worker as draining while it has a drain record or has announced that it is leaving.
    fn update_draining(&mut self, worker: WorkerName) {
        let draining = {
            let directory = self.shared.session.directory();
            let is_drained = directory.record(Kind::Drain, worker.as_str()).is_some();
            let is_leaving = directory
                .worker(&worker)
                .is_some_and(|entry| entry.announcement.leaving);
            is_drained || is_leaving
        };
        self.set_draining(worker, draining);
    }

    pub(crate) fn set_draining(&mut self, worker: WorkerName, draining: bool) {
        if !self.attached.contains_key(&worker) {
            return;
        }
        let changed = match draining {
            true => self.draining.insert(worker.clone()),
            false => self.draining.remove(&worker),
        };
        if changed {
            self.enqueue(Event::WorkerDraining { draining, worker });
        }
    }

    /// Starts no further tasks on a worker, and returns a future that proposes its release.
    fn release(&mut self, worker: WorkerName) -> impl Future<Output = ()> + Send + use<> {
        let is_new = self.releasing.insert(worker.clone());
        if is_new && self.attached.contains_key(&worker) {
            self.enqueue(Event::WorkerReleasing {
                worker: worker.clone(),
            });
        }
        let session = self.session.filter(|_| is_new);
        let shared = self.shared.clone();
        async move {
            let Some(session) = session else {
                return;
            };
            let command = Command::ReleaseWorker { session, worker };
            while shared.session.id() == Some(session) {
                match shared
                    .session
                    .cell()
                    .propose(command.clone(), true, RELEASE_TIMEOUT)
                    .await
                {
                    Ok(_) => return,
                    Err(_) => sleep(RETRY_DELAY).await,
                }
            }
        }
    }

    /// Releases all workers in a planned stop, once no request waits or `DRAIN_TIMEOUT` has passed.
    pub(crate) fn hand_over_when_drained(&mut self) {
        if self.handover.is_none() {
            return;
        }
        self.return_waiting_work();
        let Some(handover) = &self.handover else {
            return;
        };
        let is_drained = self.jobs.waiting() == 0 || handover.began.elapsed() >= DRAIN_TIMEOUT;
        let has_begun = handover.reply.is_closed();
        if has_begun || !is_drained {
            return;
        }
        self.refuse_waiting();
        let workers: Vec<_> = self.ownerships.keys().cloned().collect();
        let releases: Vec<_> = workers.into_iter().map(|worker| self.release(worker)).collect();
        let Some(handover) = self.handover.as_mut() else {
            return;
        };
        let (closed, _) = tokio::sync::oneshot::channel();
        let reply = std::mem::replace(&mut handover.reply, closed);
        tokio::spawn(async move {
            futures_util::future::join_all(releases).await;
            let _ = reply.send(());
        });
    }

    fn refuse_waiting(&mut self) {
        for task in self.jobs.tasks_where(|entry| entry.is_waiting()) {
            self.enqueue(Event::Cancel { task });
            self.finish(task, RunResponse::not_run(Refusal::Stopping, RETRY_AFTER_MS));
        }
    }
}

/// Returns whether a change may affect the setting of a team.
fn affects_teams(change: &Change) -> bool {
    let kind = match change {
        Change::RecordDeleted { kind, .. } => *kind,
        Change::RecordWritten(record) => record.kind(),
        _ => return false,
    };
    matches!(
        kind,
        Kind::Key | Kind::Limit | Kind::Queue | Kind::Share | Kind::Team
    )
}
