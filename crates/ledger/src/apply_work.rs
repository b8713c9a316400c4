//! Commands for record writes and queued work.

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
    /// Assigns waiting tasks to a session. Tasks of a gang are assigned all or none.
    pub(crate) fn assign_tasks(
        &mut self,
        session: SessionId,
        work: &WorkName,
        tasks: &[u32],
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live_session(session)?;
        let assigned = self.works.assign(work, session, tasks);
        if let Some(change) = assigned {
            changes.send_to(session, change);
            self.revisions.work += 1;
        }
        Ok(Reply::Applied)
    }

    /// Removes the oldest ended works beyond the limit, with their records.
    pub(crate) fn evict_ended_works(&mut self) {
        while let Some(work) = self.works.evict_oldest_ended() {
            self.records.delete(Kind::Work, &work.0, &SmolStr::default());
        }
    }

    /// Stores the end of a task that the session holds or relays.
    pub(crate) fn finish_task(
        &mut self,
        outcome: TaskOutcome,
        session: SessionId,
        task: &WorkTask,
    ) -> Result<Reply, LedgerError> {
        self.live_session(session)?;
        if !self.works.finish(task, session, outcome) {
            return Err(LedgerError::NotFound {
                kind: "assigned task of work".into(),
                name: task.work.0.clone(),
            });
        }
        self.evict_ended_works();
        Ok(Reply::Applied)
    }

    /// Returns tasks that the session holds, so that they can be assigned again.
    pub(crate) fn return_tasks(
        &mut self,
        session: SessionId,
        work: &WorkName,
        tasks: &[u32],
    ) -> Result<Reply, LedgerError> {
        self.live_session(session)?;
        self.works.return_tasks(work, session, tasks);
        self.revisions.work += 1;
        self.evict_ended_works();
        Ok(Reply::Applied)
    }

    /// Returns the record and the progress of a work.
    pub(crate) fn work_status(&self, work: &WorkName) -> Option<(Record, WorkStatus)> {
        let work = self.works.get(work)?;
        let missing = match work.waiting() {
            0 => None,
            _ => self.missing_resources(work.spec()),
        };
        let status = WorkStatus {
            blocked: missing.map(|_| Refusal::NeverFits),
            missing,
            outcomes: work.outcomes(),
            phase: work.phase(),
        };
        Some((work.record.clone(), status))
    }

    /// Writes a record. A resend of the same operation gets the stored reply and writes nothing.
    pub(crate) fn write_record(
        &mut self,
        index: LogIndex,
        write: RecordWrite,
        changes: &mut Changes,
    ) -> Reply {
        if let Some(reply) = self.records.stored_reply(&write) {
            return reply.clone();
        }
        let operation = write.operation;
        let reply = self.write_new_record(index, write, changes);
        self.records.store_reply(operation, &reply);
        reply
    }

    /// Returns the resources that the fleet lacks for a work, or `None` if the work fits once enough
    /// workers are idle.
    fn missing_resources(&self, spec: &WorkSpec) -> Option<Resources> {
        let needed = match spec.policy {
            Policy::Gang => spec.tasks,
            Policy::Batch | Policy::Interactive | Policy::Service => 1,
        };
        let limit = self.records.limit(&spec.team).unwrap_or(u32::MAX);
        let capacity = match needed {
            1 => u32::from(self.shortfall(&spec.demand) == Resources::NONE),
            _ => self
                .session_with_most_capacity(&spec.demand)
                .map_or(0, |(_, capacity)| capacity),
        };
        match (limit < needed, capacity < needed) {
            (false, false) => None,
            (true, false) => Some(Resources::NONE),
            (_, true) if needed == 1 => Some(self.shortfall(&spec.demand)),
            (_, true) => Some(total_demand(&spec.demand, needed - capacity)),
        }
    }

    /// Returns the resources that the best fitting usable worker lacks for one task.
    fn shortfall(&self, demand: &Resources) -> Resources {
        let capacities = self
            .workers
            .keys()
            .filter_map(|worker| self.usable_capacity(worker));
        capacities
            .map(|capacity| demand.saturating_sub(capacity))
            .min_by_key(|shortfall| (nonzero_count(shortfall), *shortfall))
            .unwrap_or(*demand)
    }

    /// Returns the live session whose workers have the capacity for the largest number of tasks of a
    /// size, and that number.
    pub(crate) fn session_with_most_capacity(&self, demand: &Resources) -> Option<(SessionId, u32)> {
        let capacity = |session: &Session| {
            let capacity = session
                .owned_workers
                .iter()
                .map(|worker| self.task_capacity(worker, demand));
            capacity.fold(0, u32::saturating_add)
        };
        self.live_sessions()
            .map(|(id, session)| (id, capacity(session)))
            .max_by_key(|(id, capacity)| (*capacity, std::cmp::Reverse(*id)))
    }

    fn task_capacity(&self, worker: &WorkerName, demand: &Resources) -> u32 {
        self.usable_capacity(worker)
            .map_or(0, |capacity| fitting_tasks(capacity, demand))
    }

    fn delete_record(&mut self, kind: Kind, name: SmolStr, author: &SmolStr, changes: &mut Changes) -> Reply {
        let Some(record) = self.records.delete(kind, &name, author) else {
            return Reply::Applied;
        };
        self.bump_revision(kind);
        if kind == Kind::Work {
            self.works.cancel(&WorkName(name), changes);
            self.evict_ended_works();
        } else {
            changes.broadcast(Change::RecordDeleted { kind, name });
        }
        Reply::Written {
            version: record.version,
        }
    }

    fn bump_revision(&mut self, kind: Kind) {
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
        self.bump_revision(kind);
        if kind == Kind::Work {
            self.works.create(index, stored);
        } else {
            changes.broadcast(Change::RecordWritten(Box::new(stored)));
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

/// Returns the number of tasks of a size that fit into an amount.
pub(crate) fn fitting_tasks(amount: &Resources, demand: &Resources) -> u32 {
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

/// Returns the resources that `count` tasks of a size need together.
pub(crate) fn total_demand(size: &Resources, count: u32) -> Resources {
    Resources {
        accelerators: size.accelerators.saturating_mul(count),
        connections: size.connections.saturating_mul(count),
        memory_bytes: size.memory_bytes.saturating_mul(count.into()),
        processors_millis: size.processors_millis.saturating_mul(count),
        slots: size.slots.saturating_mul(count),
    }
}

/// Returns the number of resources whose amount is not zero.
fn nonzero_count(amount: &Resources) -> usize {
    let is_some = [
        amount.accelerators > 0,
        amount.connections > 0,
        amount.memory_bytes > 0,
        amount.processors_millis > 0,
        amount.slots > 0,
    ];
    is_some.into_iter().filter(|is_some| *is_some).count()
}
