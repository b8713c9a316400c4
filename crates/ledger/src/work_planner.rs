//! Assignment of waiting tasks to sessions.

use {
    crate::{
        Command, Ledger,
        apply_work::{scaled, times},
        demand::Demand,
        work_store::Work,
    },
    fuchsiatack_model::{LogIndex, Policy, Resources, SessionId, TeamName, WorkName},
    std::collections::{BTreeMap, BTreeSet},
};

/// Tasks of a batch in one portion.
const MAX_PORTION: u32 = 32;

/// Portions in one plan.
const MAX_PORTIONS: usize = 64;

/// Works of one team that are looked at in one plan. A work that does not fit anywhere
/// holds back only works behind this number.
const MAX_SCANNED_WORKS: usize = 4;

/// Waiting tasks of a team at a session above which it gets no more, unless it runs as many.
const MAX_BACKLOG: u32 = 16;

/// Time after which an assignment that was not applied is proposed again.
const RETRY_MS: u64 = 1_000;

/// Time for which a session is kept free for a gang before another gang may have its turn.
const RESERVATION_MS: u64 = 30_000;

/// Tasks that were proposed for a session.
struct Assignment {
    /// Index at which the ledger showed it, once it did.
    applied: Option<LogIndex>,
    demand: Resources,
    session: SessionId,
    tasks: Vec<u32>,
    until_ms: u64,
    work: WorkName,
}

/// A session that gets no other work until a gang fits there. Without it, batch work takes
/// what becomes free and the gang waits for ever.
struct Reservation {
    session: SessionId,
    until_ms: u64,
    work: WorkName,
}

/// A team with waiting tasks.
struct Candidate<'a> {
    running: u64,
    team: &'a TeamName,
    weight: u64,
    works: &'a BTreeSet<(LogIndex, WorkName)>,
}

impl Candidate<'_> {
    /// Running tasks divided by share weight; the lowest is served first.
    fn rank(&self) -> u64 {
        self.running * 1_000_000 / self.weight
    }
}

/// Plans assignments of tasks.
#[derive(Default)]
pub(crate) struct WorkPlanner {
    /// Whether the last plan was cut short.
    is_cut: bool,
    /// Assignments that the ledger or the session's report does not show yet.
    pending: Vec<Assignment>,
    /// Tasks in `pending` that the ledger shows as waiting, by work.
    pending_tasks: BTreeMap<WorkName, BTreeSet<u32>>,
    reserved: Option<Reservation>,
    seen: Option<(u64, u64, u64)>,
}

impl WorkPlanner {
    /// Adds assignments of waiting tasks while there is free capacity.
    pub(crate) fn plan(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand, out: &mut Vec<Command>) {
        let seen = Some((ledger.revisions.work, demand.revision, demand.capacity_revision));
        if self.seen == seen && self.pending.is_empty() && !self.is_cut {
            return;
        }
        self.seen = seen;
        self.settle_pending(now_ms, ledger, demand);
        self.settle_reservation(now_ms, ledger, demand);
        let mut candidates = candidates(ledger, demand);
        let mut free = self.free(demand);
        self.is_cut = false;
        for _ in 0..MAX_PORTIONS {
            let next = (0..candidates.len()).min_by_key(|index| candidates[*index].rank());
            let Some(next) = next else { return };
            let candidate = &mut candidates[next];
            match self.place(now_ms, ledger, demand, candidate, &mut free) {
                Some((command, count)) => {
                    candidate.running += count;
                    out.push(command);
                }
                None => {
                    candidates.swap_remove(next);
                }
            }
        }
        self.is_cut = true;
    }

    /// Assigns a portion of the first work of a team that fits somewhere.
    fn place(
        &mut self,
        now_ms: u64,
        ledger: &Ledger,
        demand: &Demand,
        candidate: &Candidate<'_>,
        free: &mut BTreeMap<SessionId, Resources>,
    ) -> Option<(Command, u64)> {
        let sessions = sessions_without_backlog(free, demand, candidate.team);
        for (_, name) in candidate.works.iter().take(MAX_SCANNED_WORKS) {
            let work = ledger.works.get(name)?;
            let size = &work.spec().demand;
            let pending = self.pending_tasks.get(name).map_or(0, BTreeSet::len) as u32;
            let waiting = work.waiting().saturating_sub(pending);
            let is_gang = work.spec().policy == Policy::Gang;
            let (least, most) = if is_gang {
                (waiting, waiting)
            } else {
                (1, MAX_PORTION)
            };
            if waiting == 0 {
                continue;
            }
            match self.roomiest(free, &sessions, name, size) {
                Some((session, fits)) if fits >= least => {
                    let count = waiting.min(fits).min(most);
                    let tasks = self.next_tasks(work, name, count);
                    if let Some(free) = free.get_mut(&session) {
                        *free = free.minus(&scaled(size, count));
                    }
                    self.reserved.take_if(|kept| kept.work == *name);
                    return Some(self.propose(now_ms, work, name, session, tasks));
                }
                _ if is_gang => self.reserve(now_ms, ledger, name, size, waiting),
                _ => {}
            }
        }
        None
    }

    /// Keeps the session with the largest workers free for a gang that it can hold.
    fn reserve(&mut self, now_ms: u64, ledger: &Ledger, work: &WorkName, size: &Resources, tasks: u32) {
        if self.reserved.is_some() {
            return;
        }
        if let Some((session, places)) = ledger.largest_owner(size)
            && places >= tasks
        {
            self.reserved = Some(Reservation {
                session,
                until_ms: now_ms + RESERVATION_MS,
                work: work.clone(),
            });
        }
    }

    /// Returns the session where most tasks of a size fit, and how many.
    fn roomiest(
        &self,
        free: &BTreeMap<SessionId, Resources>,
        sessions: &[SessionId],
        work: &WorkName,
        size: &Resources,
    ) -> Option<(SessionId, u32)> {
        let is_kept = |session: SessionId| {
            let kept = self.reserved.as_ref();
            kept.is_some_and(|kept| kept.session == session && kept.work != *work)
        };
        sessions
            .iter()
            .filter(|session| free[*session].covers(size) && !is_kept(**session))
            .map(|session| (*session, times(&free[session], size)))
            .max_by_key(|(session, fits)| (*fits, std::cmp::Reverse(*session)))
    }

    /// Drops assignments that the session's report shows, and those to be proposed again.
    fn settle_pending(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand) {
        let Self {
            pending,
            pending_tasks,
            ..
        } = self;
        pending.retain_mut(|assignment| {
            let is_waiting = |work: &Work| work.is_waiting(assignment.tasks[0]);
            let is_applied = !ledger.works.get(&assignment.work).is_some_and(is_waiting);
            if is_applied && assignment.applied.is_none() {
                assignment.applied = Some(ledger.applied);
                forget_tasks(pending_tasks, assignment);
            }
            let report = demand.report(assignment.session).map(|report| report.applied);
            let is_open = match assignment.applied {
                None => now_ms < assignment.until_ms,
                Some(applied) => report.is_some_and(|report| report < applied),
            };
            if !is_open && assignment.applied.is_none() {
                forget_tasks(pending_tasks, assignment);
            }
            is_open
        });
    }

    fn settle_reservation(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand) {
        let is_open = |kept: &Reservation| {
            let is_waiting = ledger
                .works
                .get(&kept.work)
                .is_some_and(|work| work.waiting() > 0);
            let report = demand.report(kept.session);
            is_waiting && now_ms < kept.until_ms && report.is_some_and(|report| !report.stopping)
        };
        self.reserved = self.reserved.take().filter(is_open);
    }

    fn propose(
        &mut self,
        now_ms: u64,
        work: &Work,
        name: &WorkName,
        session: SessionId,
        tasks: Vec<u32>,
    ) -> (Command, u64) {
        let count = tasks.len() as u64;
        self.pending_tasks.entry(name.clone()).or_default().extend(&tasks);
        self.pending.push(Assignment {
            applied: None,
            demand: scaled(&work.spec().demand, count as u32),
            session,
            tasks: tasks.clone(),
            until_ms: now_ms + RETRY_MS,
            work: name.clone(),
        });
        let command = Command::AssignTasks {
            session,
            tasks,
            work: name.clone(),
        };
        (command, count)
    }

    fn free(&self, demand: &Demand) -> BTreeMap<SessionId, Resources> {
        let mut free: BTreeMap<SessionId, Resources> = demand
            .sessions()
            .filter(|(_, report)| !report.stopping)
            .map(|(session, report)| (session, report.free))
            .collect();
        for assignment in &self.pending {
            if let Some(free) = free.get_mut(&assignment.session) {
                *free = free.minus(&assignment.demand);
            }
        }
        free
    }

    fn next_tasks(&self, work: &Work, name: &WorkName, count: u32) -> Vec<u32> {
        let pending = self.pending_tasks.get(name);
        let is_pending = |number: &u32| pending.is_some_and(|tasks| tasks.contains(number));
        let assigned = pending.map_or(0, BTreeSet::len) as u32;
        work.waiting_tasks(count.saturating_add(assigned))
            .into_iter()
            .filter(|number| !is_pending(number))
            .take(count as usize)
            .collect()
    }
}

fn candidates<'a>(ledger: &'a Ledger, demand: &Demand) -> Vec<Candidate<'a>> {
    ledger
        .works
        .waiting()
        .map(|(team, works)| Candidate {
            running: u64::from(demand.total(team).running),
            team,
            weight: u64::from(ledger.records.weight_millis(team).max(1)),
            works,
        })
        .collect()
}

fn forget_tasks(pending_tasks: &mut BTreeMap<WorkName, BTreeSet<u32>>, assignment: &Assignment) {
    let Some(tasks) = pending_tasks.get_mut(&assignment.work) else {
        return;
    };
    for number in &assignment.tasks {
        tasks.remove(number);
    }
    if tasks.is_empty() {
        pending_tasks.remove(&assignment.work);
    }
}

/// Returns the sessions where the team does not already have many waiting tasks.
fn sessions_without_backlog(
    free: &BTreeMap<SessionId, Resources>,
    demand: &Demand,
    team: &TeamName,
) -> Vec<SessionId> {
    let has_backlog = |session: SessionId| {
        let usage = demand.usage(team, session);
        usage.waiting >= usage.running.max(MAX_BACKLOG)
    };
    let sessions = free.keys().copied();
    sessions.filter(|session| !has_backlog(*session)).collect()
}
