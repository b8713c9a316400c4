//! The engine's side of the session and the directory.

use {
    crate::{
        answer::Answer,
        engine::{Engine, LEASE_RETRY_MS, new_kernel},
        engine_message::Owned,
        keeper::Keeper,
        team_setting::TeamSetting,
    },
    fuchsiatack_kernel::Event,
    fuchsiatack_ledger::{Change, Command, RenewalResponse, TeamCount, WorkerEntry},
    fuchsiatack_model::{LogIndex, Refusal, SessionId, WorkerName, WorkerReport},
    fuchsiatack_records::{Kind, Spec},
    fuchsiatack_session::SessionEvent,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Speed of a worker without a class record, in thousandths.
const ORDINARY_SPEED_MILLIS: u32 = 1_000;
/// Longest wait for one attempt to release a worker.
const RELEASE_LIMIT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest time that a planned stop waits for its drain, after which waiting requests are refused.
const DRAIN_LIMIT: Duration = Duration::from_secs(5);

impl Engine {
    pub(crate) fn on_session(&mut self, event: SessionEvent) {
        match event {
            SessionEvent::Renewed(advice) => self.on_advice(advice),
            SessionEvent::Changed { changes, index } => self.on_changes(changes, index),
            SessionEvent::Opened(session) => self.on_opened(session),
        }
    }

    /// Starts afresh in a new session: workers, tokens and tasks of the former one are lost.
    fn on_opened(&mut self, session: SessionId) {
        spdlog::info!("session opened", kv: { session = session.0 });
        self.session = Some(session);
        self.valid = false;
        self.attached.clear();
        self.book.clear();
        self.daemons.clear();
        self.events.clear();
        self.held.clear();
        self.keepers.clear();
        self.releasing.clear();
        self.returns.clear();
        self.teams.clear();
        self.kernel = new_kernel(self.shared.settings.placement_rule);
        for task in self.entries.tasks_where(|entry| entry.is_waiting()) {
            self.finish(task, Answer::not_run(Refusal::LeaseLapsed, LEASE_RETRY_MS));
        }
        self.follow_teams();
        self.check_lease();
    }

    fn on_advice(&mut self, advice: RenewalResponse) {
        for usage in advice.fleet {
            self.feed(Event::FleetUsage {
                running: usage.running,
                team: usage.team,
            });
        }
        for target in advice.return_tokens {
            self.feed(Event::TokenTargetSet {
                target: target.target,
                team: target.team,
            });
        }
        for worker in advice.release_workers {
            if self.attached.contains_key(&worker) {
                tokio::spawn(self.release(worker));
            }
        }
        self.check_lease();
    }

    fn on_changes(&mut self, changes: Vec<Change>, index: LogIndex) {
        self.book.followed(index);
        let mut teams_changed = false;
        for change in changes {
            teams_changed |= is_of_team(&change);
            self.on_change(change);
        }
        if teams_changed {
            self.follow_teams();
        }
        self.returns.followed(index);
        self.end_returns();
        self.shared.metrics.index.set(index.0 as i64);
        self.shared.peers.retain(&self.shared.session.directory());
        self.check_lease();
    }

    fn on_change(&mut self, change: Change) {
        match change {
            Change::DaemonJoined { daemon, session } => {
                self.daemons.insert(session, daemon.name);
            }
            Change::DaemonLeft { session } => self.on_daemon_left(session),
            Change::RecordDeleted {
                kind: Kind::Drain,
                name,
            } => self.follow_hold(WorkerName(name)),
            Change::RecordWritten(record) if record.kind() == Kind::Drain => {
                self.follow_hold(WorkerName(record.name));
            }
            Change::RecordDeleted { .. } | Change::RecordWritten(_) => {}
            Change::TasksAssigned {
                running,
                spec,
                tasks,
                work,
            } => match running {
                true => self.book.expect(&Arc::new(*spec), &work, tasks),
                false => self.on_tasks_assigned(*spec, tasks, work),
            },
            Change::TokensSet { team, tokens } => self.feed(Event::TokensSet { team, tokens }),
            Change::WorkCancelled { work } => self.on_work_cancelled(&work),
            Change::WorkerChanged(entry) => self.on_worker_changed(*entry),
            Change::WorkerRemoved { worker } => drop(self.keepers.remove(&worker)),
            Change::WorkerDetached {
                moved_tokens: moved,
                worker,
            } => self.on_worker_detached(worker, moved),
        }
    }

    fn on_daemon_left(&mut self, session: SessionId) {
        let Some(daemon) = self.daemons.remove(&session) else {
            return;
        };
        if !self.daemons.values().any(|name| *name == daemon) {
            self.feed(Event::PeerLeft { daemon });
        }
    }

    /// Tells the kernel which teams changed.
    fn follow_teams(&mut self) {
        let teams = TeamSetting::all(&self.shared.session.directory());
        let gone: Vec<_> = self
            .teams
            .keys()
            .filter(|team| !teams.contains_key(*team))
            .cloned()
            .collect();
        for team in gone {
            self.shared.metrics.forget_team(&team);
            self.feed(Event::TeamRemoved { team });
        }
        for (team, setting) in &teams {
            if self.teams.get(team) != Some(setting) {
                self.feed(setting.event(team));
            }
        }
        self.teams = teams;
    }

    fn on_worker_changed(&mut self, entry: WorkerEntry) {
        let worker = entry.announcement.name.clone();
        let kept = self.keepers.get(&worker).map(|keeper| keeper.owned.epoch);
        match (self.session, entry.owner) {
            (Some(session), Some(owner)) if session == owner => {
                // A fenced worker without keeper is presented the same epoch again.
                if kept.is_none_or(|epoch| epoch < entry.epoch) {
                    spdlog::info!("worker assigned", kv: {
                        worker = worker.to_string(),
                        epoch = entry.epoch.0,
                    });
                    let keeper = Keeper::start(self.shared.clone(), entry, session);
                    self.keepers.insert(worker.clone(), keeper);
                }
                self.follow_hold(worker);
            }
            // A released worker keeps its lease until the new owner has counted its tasks.
            _ if self.releasing.contains(&worker) => {}
            _ if kept.is_some() => {
                self.keepers.remove(&worker);
                self.feed(Event::WorkerUnreachable { worker });
            }
            _ => {}
        }
    }

    /// Gives a fenced worker to the kernel, if this session still owns it.
    pub(crate) fn on_fenced(&mut self, entry: WorkerEntry, owned: &Owned, report: WorkerReport) {
        let worker = owned.worker.clone();
        let is_present = self
            .shared
            .session
            .directory()
            .worker(&worker)
            .is_some_and(|present| present.epoch == owned.epoch && present.owner == self.session);
        if !self.owns(owned) {
            return;
        }
        if !is_present {
            spdlog::warn!("a worker was fenced under a past ownership", kv: { worker = worker.to_string() });
            drop(self.keepers.remove(&worker));
            return;
        }
        spdlog::info!("worker attached", kv: { worker = worker.to_string(), epoch = owned.epoch.0 });
        for running in &report.running {
            if let Some(work) = running.work.clone() {
                self.book.adopt(work, running.task, worker.clone());
            }
        }
        let announcement = entry.announcement.clone();
        self.releasing.remove(&worker);
        self.held.remove(&worker);
        self.feed(Event::WorkerAttached {
            capacity: announcement.capacity,
            data_center: announcement.data_center,
            epoch: owned.epoch,
            rack: announcement.rack,
            running: report.running,
            speed_millis: self.speed_of(announcement.class.as_deref()),
            worker: worker.clone(),
        });
        self.attached.insert(worker.clone(), entry);
        if report.leaving {
            self.hold(worker.clone(), true);
        }
        self.follow_hold(worker);
    }

    fn speed_of(&self, class: Option<&str>) -> u32 {
        let directory = self.shared.session.directory();
        let record = class.and_then(|class| directory.record(Kind::WorkerClass, class));
        match record.map(|record| &record.spec) {
            Some(Spec::WorkerClass(class)) => class.speed_millis,
            _ => ORDINARY_SPEED_MILLIS,
        }
    }

    fn on_worker_detached(&mut self, worker: WorkerName, moved: Vec<TeamCount>) {
        self.move_work_away(&worker);
        self.attached.remove(&worker);
        self.held.remove(&worker);
        self.keepers.remove(&worker);
        self.releasing.remove(&worker);
        let moved = moved.into_iter().map(|count| (count.team, count.count)).collect();
        self.feed(Event::WorkerDetached {
            moved_tokens: moved,
            worker,
        });
    }

    /// Holds a worker that is drained or leaving, and no longer holds it otherwise.
    fn follow_hold(&mut self, worker: WorkerName) {
        let held = {
            let directory = self.shared.session.directory();
            let is_drained = directory.record(Kind::Drain, worker.as_str()).is_some();
            let is_leaving = directory
                .worker(&worker)
                .is_some_and(|entry| entry.announcement.leaving);
            is_drained || is_leaving
        };
        self.hold(worker, held);
    }

    pub(crate) fn hold(&mut self, worker: WorkerName, held: bool) {
        if !self.attached.contains_key(&worker) {
            return;
        }
        let changed = match held {
            true => self.held.insert(worker.clone()),
            false => self.held.remove(&worker),
        };
        if changed {
            self.feed(Event::WorkerDraining {
                draining: held,
                worker,
            });
        }
    }

    /// Stops placing work on a worker and returns the proposal that gives it back.
    fn release(&mut self, worker: WorkerName) -> impl Future<Output = ()> + Send + use<> {
        let is_new = self.releasing.insert(worker.clone());
        if is_new && self.attached.contains_key(&worker) {
            self.feed(Event::WorkerReleasing {
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
                    .propose(command.clone(), true, RELEASE_LIMIT)
                    .await
                {
                    Ok(_) => return,
                    Err(_) => sleep(RETRY_DELAY).await,
                }
            }
        }
    }

    /// Releases all workers as part of a planned stop, once no request waits for them.
    pub(crate) fn hand_over_when_drained(&mut self) {
        if self.handing_over.is_none() {
            return;
        }
        self.return_waiting_work();
        let Some(handing_over) = &self.handing_over else {
            return;
        };
        let is_drained = self.entries.waiting() == 0 || handing_over.began.elapsed() >= DRAIN_LIMIT;
        let is_begun = handing_over.reply.is_closed();
        if is_begun || !is_drained {
            return;
        }
        self.refuse_waiting();
        let workers: Vec<_> = self.keepers.keys().cloned().collect();
        let releases: Vec<_> = workers.into_iter().map(|worker| self.release(worker)).collect();
        let Some(handing_over) = self.handing_over.as_mut() else {
            return;
        };
        let (closed, _) = tokio::sync::oneshot::channel();
        let reply = std::mem::replace(&mut handing_over.reply, closed);
        tokio::spawn(async move {
            futures_util::future::join_all(releases).await;
            let _ = reply.send(());
        });
    }

    fn refuse_waiting(&mut self) {
        for task in self.entries.tasks_where(|entry| entry.is_waiting()) {
            self.feed(Event::Cancel { task });
            self.finish(task, Answer::not_run(Refusal::Stopping, LEASE_RETRY_MS));
        }
    }
}

/// Returns whether a change may alter what the kernel knows of teams.
fn is_of_team(change: &Change) -> bool {
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
