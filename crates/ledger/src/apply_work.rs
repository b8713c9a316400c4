//! Record writes and queued work.

use {
    crate::{
        Change, Ledger, LedgerError, RecordAction, RecordWrite, Reply, changes::Changes, session::Session,
    },
    fuchsiatack_model::{
        LogIndex, Policy, Refusal, Resources, SessionId, TaskOutcome, WorkName, WorkSpec, WorkStatus,
        WorkTask, WorkerName,
    },
    fuchsiatack_records::{Kind, Record, Spec},
    smol_str::SmolStr,
};

impl Ledger {
    /// Gives waiting tasks to a session. A gang's tasks are given all or none.
    pub(crate) fn assign_tasks(
        &mut self,
        session: SessionId,
        work: &WorkName,
        tasks: &[u32],
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live(session)?;
        let assigned = self.works.assign(work, session, tasks);
        if let Some(change) = assigned {
            changes.session(session, change);
            self.revisions.work += 1;
        }
        Ok(Reply::Applied)
    }

    /// Removes the oldest works that have ended, with their records.
    pub(crate) fn evict_ended_works(&mut self) {
        while let Some(work) = self.works.pop_surplus() {
            self.records.delete(Kind::Work, &work.0, &SmolStr::default());
        }
    }

    /// Records the end of a task that the session holds or relays.
    pub(crate) fn finish_task(
        &mut self,
        outcome: TaskOutcome,
        session: SessionId,
        task: &WorkTask,
    ) -> Result<Reply, LedgerError> {
        self.live(session)?;
        if !self.works.finish(task, session, outcome) {
            return Err(LedgerError::NotFound {
                what: "assigned task of work".into(),
                name: task.work.0.clone(),
            });
        }
        self.evict_ended_works();
        Ok(Reply::Applied)
    }

    /// Takes back tasks that the session holds and that have not run.
    pub(crate) fn return_tasks(
        &mut self,
        session: SessionId,
        work: &WorkName,
        tasks: &[u32],
    ) -> Result<Reply, LedgerError> {
        self.live(session)?;
        self.works.give_back(work, session, tasks);
        self.revisions.work += 1;
        self.evict_ended_works();
        Ok(Reply::Applied)
    }

    /// Returns the record and the progress of a work.
    pub(crate) fn work_status(&self, work: &WorkName) -> Option<(Record, WorkStatus)> {
        let work = self.works.get(work)?;
        let missing = match work.waiting() {
            0 => None,
            _ => self.missing(work.spec()),
        };
        let status = WorkStatus {
            blocked: missing.map(|_| Refusal::NeverFits),
            missing,
            outcomes: work.outcomes(),
            phase: work.phase(),
        };
        Some((work.record.clone(), status))
    }

    /// Writes a record, once for each operation.
    pub(crate) fn write_record(
        &mut self,
        index: LogIndex,
        write: RecordWrite,
        changes: &mut Changes,
    ) -> Reply {
        if let Some(reply) = self.records.remembered(&write) {
            return reply.clone();
        }
        let operation = write.operation;
        let reply = self.write_new_record(index, write, changes);
        self.records.remember(operation, &reply);
        reply
    }

    /// Returns what the fleet lacks for a work, or `None` if the work can run at some time.
    fn missing(&self, spec: &WorkSpec) -> Option<Resources> {
        let needed = match spec.policy {
            Policy::Gang => spec.tasks,
            Policy::Batch | Policy::Interactive | Policy::Service => 1,
        };
        let limit = self.records.limit(&spec.team).unwrap_or(u32::MAX);
        let places = match needed {
            1 => u32::from(self.lacking(&spec.demand) == Resources::NONE),
            _ => self.largest_owner(&spec.demand).map_or(0, |(_, places)| places),
        };
        match (limit < needed, places < needed) {
            (false, false) => None,
            (true, false) => Some(Resources::NONE),
            (_, true) if needed == 1 => Some(self.lacking(&spec.demand)),
            (_, true) => Some(scaled(&spec.demand, needed - places)),
        }
    }

    /// Returns what the usable worker that comes closest lacks for one task.
    fn lacking(&self, demand: &Resources) -> Resources {
        let capacities = self
            .workers
            .keys()
            .filter_map(|worker| self.usable_capacity(worker));
        capacities
            .map(|capacity| demand.minus(capacity))
            .min_by_key(|lacking| (kinds(lacking), *lacking))
            .unwrap_or(*demand)
    }

    /// Returns the live session on whose workers most tasks of a size fit, and how many.
    pub(crate) fn largest_owner(&self, demand: &Resources) -> Option<(SessionId, u32)> {
        let places = |session: &Session| {
            let places = session.owned.iter().map(|worker| self.places(worker, demand));
            places.fold(0, u32::saturating_add)
        };
        self.live_sessions()
            .map(|(id, session)| (id, places(session)))
            .max_by_key(|(id, places)| (*places, std::cmp::Reverse(*id)))
    }

    fn places(&self, worker: &WorkerName, demand: &Resources) -> u32 {
        self.usable_capacity(worker)
            .map_or(0, |capacity| times(capacity, demand))
    }

    fn delete_record(&mut self, kind: Kind, name: SmolStr, author: &SmolStr, changes: &mut Changes) -> Reply {
        let Some(record) = self.records.delete(kind, &name, author) else {
            return Reply::Applied;
        };
        self.note_record(kind);
        if kind == Kind::Work {
            self.works.cancel(&WorkName(name), changes);
            self.evict_ended_works();
        } else {
            changes.all(Change::RecordDeleted { kind, name });
        }
        Reply::Written {
            version: record.version,
        }
    }

    fn note_record(&mut self, kind: Kind) {
        match kind {
            Kind::Limit | Kind::Share => self.revisions.tokens += 1,
            Kind::Work => self.revisions.work += 1,
            _ => {}
        }
    }

    fn put_record(
        &mut self,
        index: LogIndex,
        record: Record,
        author: &SmolStr,
        changes: &mut Changes,
    ) -> Reply {
        if let Spec::Work(spec) = &record.spec
            && let Err(error) = self.works.admit(&WorkName(record.name.clone()), &spec.team)
        {
            return Reply::Refused(error);
        }
        let kind = record.kind();
        let stored = self.records.put(record, author).clone();
        let version = stored.version;
        self.note_record(kind);
        if kind == Kind::Work {
            self.works.create(index, stored);
        } else {
            changes.all(Change::RecordWritten(Box::new(stored)));
        }
        Reply::Written { version }
    }

    fn write_new_record(&mut self, index: LogIndex, write: RecordWrite, changes: &mut Changes) -> Reply {
        if let Some(conflict) = self.records.conflict(&write.action) {
            return Reply::Conflict(conflict);
        }
        match write.action {
            RecordAction::Delete { kind, name, .. } => self.delete_record(kind, name, &write.author, changes),
            RecordAction::Put(record) => self.put_record(index, *record, &write.author, changes),
        }
    }
}

/// Returns how many tasks of a size fit into an amount.
pub(crate) fn times(amount: &Resources, demand: &Resources) -> u32 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
    let fits = [
        ratio(amount.accelerators.into(), demand.accelerators.into()),
        ratio(amount.connections.into(), demand.connections.into()),
        ratio(amount.memory_bytes, demand.memory_bytes),
        ratio(amount.processors_millis.into(), demand.processors_millis.into()),
        ratio(amount.slots.into(), demand.slots.into()),
    ];
    let least = fits.into_iter().fold(u64::MAX, u64::min);
    u32::try_from(least).unwrap_or(u32::MAX)
}

/// Returns the amounts that several tasks of a size need together.
pub(crate) fn scaled(size: &Resources, count: u32) -> Resources {
    Resources {
        accelerators: size.accelerators.saturating_mul(count),
        connections: size.connections.saturating_mul(count),
        memory_bytes: size.memory_bytes.saturating_mul(count.into()),
        processors_millis: size.processors_millis.saturating_mul(count),
        slots: size.slots.saturating_mul(count),
    }
}

/// Returns the number of resources of which there is some.
fn kinds(amount: &Resources) -> usize {
    let is_some = [
        amount.accelerators > 0,
        amount.connections > 0,
        amount.memory_bytes > 0,
        amount.processors_millis > 0,
        amount.slots > 0,
    ];
    is_some.into_iter().filter(|is_some| *is_some).count()
}
