//! Assignment of waiting tasks of queued works to sessions. Teams are served in the order of their
//! running tasks divided by their share weight.

use {
    crate::{
        Command, Ledger,
        apply_work::{fitting_tasks, total_demand},
        demand::Demand,
        work_store::Work,
    },
    fuchsiatack_model::{LogIndex, Policy, Resources, SessionId, TeamName, WorkName},
    std::collections::{BTreeMap, BTreeSet},
};

/// Largest number of tasks in one assignment, except for a gang.
const MAX_ASSIGNMENT_TASKS: u32 = 32;

/// Largest number of assignments in one plan.
const MAX_ASSIGNMENTS_PER_PLAN: usize = 64;

/// Largest number of works of one team that are tried for each assignment. A work that fits nowhere
/// therefore blocks only the works beyond this number.
const MAX_SCANNED_WORKS: usize = 4;

/// A session with this many waiting tasks of a team gets no more of them, unless more are running.
const MAX_BACKLOG_TASKS: u32 = 16;

/// Time after which an assignment is proposed again if it has not been applied.
const RETRY_MS: u64 = 1_000;

/// Longest time for which a session is reserved for a gang, so that other gangs get a turn.
const RESERVATION_MS: u64 = 30_000;

/// Proposed assignment of tasks to a session.
struct Assignment {
    /// Log index at which the assignment was found applied; `None` before that.
    applied: Option<LogIndex>,
    /// Resources that all tasks need together.
    demand: Resources,
    session: SessionId,
    tasks: Vec<u32>,
    /// Time after which the tasks may be proposed again.
    until_ms: u64,
    work: WorkName,
}

/// A session that gets no other work until a gang fits there. Without a reservation, batch work
/// would use all resources that become free, and the gang would never start.
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
    /// Returns the running tasks divided by the share weight. The lowest rank is served first.
    fn rank(&self) -> u64 {
        self.running * 1_000_000 / self.weight
    }
}

/// Plans assignments of tasks.
#[derive(Default)]
pub(crate) struct WorkPlanner {
    /// Whether the last plan reached its limit of assignments.
    is_incomplete: bool,
    /// Assignments that are not yet applied, or not yet included in the session's report of free
    /// resources.
    pending: Vec<Assignment>,
    /// Tasks of `pending` assignments that are not yet applied, by work.
    pending_tasks: BTreeMap<WorkName, BTreeSet<u32>>,
    reservation: Option<Reservation>,
    /// Revisions of the ledger's work and of the demand, and `Demand::capacity_revision`, at the last
    /// plan.
    seen_revisions: Option<(u64, u64, u64)>,
}

impl WorkPlanner {
    /// Adds assignments of waiting tasks to `commands` as long as they fit into the free resources.
    pub(crate) fn plan(
        &mut self,
        now_ms: u64,
        ledger: &Ledger,
        demand: &Demand,
        commands: &mut Vec<Command>,
    ) {
        let revisions = Some((ledger.revisions.work, demand.revision, demand.capacity_revision));
        if self.seen_revisions == revisions && self.pending.is_empty() && !self.is_incomplete {
            return;
        }
        self.seen_revisions = revisions;
        self.update_pending(now_ms, ledger, demand);
        self.update_reservation(now_ms, ledger, demand);
        let mut candidates = candidates(ledger, demand);
        let mut free = self.free_resources(demand);
        self.is_incomplete = false;
        for _ in 0..MAX_ASSIGNMENTS_PER_PLAN {
            let next = (0..candidates.len()).min_by_key(|index| candidates[*index].rank());
            let Some(next) = next else { return };
            let candidate = &mut candidates[next];
            match self.assign_first_fit(now_ms, ledger, demand, candidate, &mut free) {
                Some((command, count)) => {
                    candidate.running += count;
                    commands.push(command);
                }
                None => {
                    candidates.swap_remove(next);
                }
            }
        }
        self.is_incomplete = true;
    }

    /// Assigns tasks of the team's first work that fits into a session.
    fn assign_first_fit(
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
            let (min_tasks, max_tasks) = if is_gang {
                (waiting, waiting)
            } else {
                (1, MAX_ASSIGNMENT_TASKS)
            };
            if waiting == 0 {
                continue;
            }
            match self.session_with_most_room(free, &sessions, name, size) {
                Some((session, fits)) if fits >= min_tasks => {
                    let count = waiting.min(fits).min(max_tasks);
                    let tasks = self.next_tasks(work, name, count);
                    if let Some(free) = free.get_mut(&session) {
                        *free = free.saturating_sub(&total_demand(size, count));
                    }
                    self.reservation.take_if(|reservation| reservation.work == *name);
                    return Some(self.propose(now_ms, work, name, session, tasks));
                }
                _ if is_gang => self.reserve(now_ms, ledger, name, size, waiting),
                _ => {}
            }
        }
        None
    }

    /// Reserves the session with the most capacity for a gang, if the gang fits there once the
    /// workers are idle and there is no other reservation.
    fn reserve(&mut self, now_ms: u64, ledger: &Ledger, work: &WorkName, size: &Resources, tasks: u32) {
        if self.reservation.is_some() {
            return;
        }
        if let Some((session, capacity)) = ledger.session_with_most_capacity(size)
            && capacity >= tasks
        {
            self.reservation = Some(Reservation {
                session,
                until_ms: now_ms + RESERVATION_MS,
                work: work.clone(),
            });
        }
    }

    /// Returns the session with room for the largest number of tasks of a size, and that number.
    /// A session that is reserved for another work is left out.
    fn session_with_most_room(
        &self,
        free: &BTreeMap<SessionId, Resources>,
        sessions: &[SessionId],
        work: &WorkName,
        size: &Resources,
    ) -> Option<(SessionId, u32)> {
        let is_reserved = |session: SessionId| {
            let reservation = self.reservation.as_ref();
            reservation.is_some_and(|reservation| reservation.session == session && reservation.work != *work)
        };
        sessions
            .iter()
            .filter(|session| free[*session].covers(size) && !is_reserved(**session))
            .map(|session| (*session, fitting_tasks(&free[session], size)))
            .max_by_key(|(session, fits)| (*fits, std::cmp::Reverse(*session)))
    }

    /// Drops assignments that the session's report includes, and those that have timed out.
    fn update_pending(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand) {
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
                remove_pending_tasks(pending_tasks, assignment);
            }
            let report = demand.report(assignment.session).map(|report| report.applied);
            let is_open = match assignment.applied {
                None => now_ms < assignment.until_ms,
                Some(applied) => report.is_some_and(|report| report < applied),
            };
            if !is_open && assignment.applied.is_none() {
                remove_pending_tasks(pending_tasks, assignment);
            }
            is_open
        });
    }

    fn update_reservation(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand) {
        let is_open = |reservation: &Reservation| {
            let is_waiting = ledger
                .works
                .get(&reservation.work)
                .is_some_and(|work| work.waiting() > 0);
            let report = demand.report(reservation.session);
            is_waiting && now_ms < reservation.until_ms && report.is_some_and(|report| !report.stopping)
        };
        self.reservation = self.reservation.take().filter(is_open);
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
            demand: total_demand(&work.spec().demand, count as u32),
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

    fn free_resources(&self, demand: &Demand) -> BTreeMap<SessionId, Resources> {
        let mut free: BTreeMap<SessionId, Resources> = demand
            .sessions()
            .filter(|(_, report)| !report.stopping)
            .map(|(session, report)| (session, report.free))
            .collect();
        for assignment in &self.pending {
            if let Some(free) = free.get_mut(&assignment.session) {
                *free = free.saturating_sub(&assignment.demand);
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

fn remove_pending_tasks(pending_tasks: &mut BTreeMap<WorkName, BTreeSet<u32>>, assignment: &Assignment) {
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

/// Returns the sessions that do not have a backlog of waiting tasks of the team.
fn sessions_without_backlog(
    free: &BTreeMap<SessionId, Resources>,
    demand: &Demand,
    team: &TeamName,
) -> Vec<SessionId> {
    let has_backlog = |session: SessionId| {
        let usage = demand.usage(team, session);
        usage.waiting >= usage.running.max(MAX_BACKLOG_TASKS)
    };
    let sessions = free.keys().copied();
    sessions.filter(|session| !has_backlog(*session)).collect()
}
