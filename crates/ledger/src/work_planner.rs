//! Assignment of waiting tasks to sessions.

use {
    crate::{Command, Ledger, apply_work::times, demand::Demand, work_store::Work},
    fuchsiatack_model::{LogIndex, Policy, Resources, SessionId, TeamName, WorkName},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Tasks of a batch in one portion.
const MAX_PORTION: u32 = 32;

/// Portions in one plan.
const MAX_PORTIONS: usize = 64;

/// Works of one team that are looked at in one plan. A work that does not fit anywhere
/// holds back only works behind this number.
const MAX_TEAM_WORKS: usize = 16;

/// Waiting tasks of a team at a session above which it gets no more, unless it runs as many.
const MAX_BACKLOG: u32 = 16;

/// Time for which an assignment is counted although the ledger or the session's report does
/// not show it yet. It covers two renewals.
const PENDING_MS: u64 = 1_000;

/// Tasks that were proposed for a session.
struct Assignment {
    demand: Resources,
    session: SessionId,
    tasks: Vec<u32>,
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
    pending: VecDeque<Assignment>,
    /// Tasks in `pending`, by work.
    pending_tasks: BTreeMap<WorkName, BTreeSet<u32>>,
}

impl WorkPlanner {
    /// Adds assignments of waiting tasks while there is free capacity.
    pub(crate) fn plan(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand, out: &mut Vec<Command>) {
        self.forget_pending(now_ms);
        let mut candidates = candidates(ledger, demand);
        if candidates.is_empty() {
            return;
        }
        let mut free = self.free(demand);
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
        for (_, name) in candidate.works.iter().take(MAX_TEAM_WORKS) {
            let work = ledger.works.get(name)?;
            let assigned = self.pending_tasks.get(name).map_or(0, BTreeSet::len) as u32;
            let waiting = work.waiting().saturating_sub(assigned);
            let is_gang = work.spec().policy == Policy::Gang;
            let least = if is_gang { waiting } else { 1 };
            if waiting == 0 {
                continue;
            }
            let Some((session, fits)) = roomiest(free, demand, candidate.team, &work.spec().demand) else {
                continue;
            };
            if fits < least {
                continue;
            }
            let count = if is_gang {
                waiting
            } else {
                waiting.min(fits).min(MAX_PORTION)
            };
            let tasks = self.next_tasks(work, name, count);
            if let Some(free) = free.get_mut(&session) {
                *free = free.minus(&scaled(&work.spec().demand, count));
            }
            return Some(self.propose(now_ms, work, name, session, tasks));
        }
        None
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
        self.pending.push_back(Assignment {
            demand: scaled(&work.spec().demand, count as u32),
            session,
            tasks: tasks.clone(),
            until_ms: now_ms + PENDING_MS,
            work: name.clone(),
        });
        let command = Command::AssignTasks {
            session,
            tasks,
            work: name.clone(),
        };
        (command, count)
    }

    fn forget_pending(&mut self, now_ms: u64) {
        while self.pending.front().is_some_and(|first| first.until_ms <= now_ms)
            && let Some(assignment) = self.pending.pop_front()
            && let Some(tasks) = self.pending_tasks.get_mut(&assignment.work)
        {
            for number in &assignment.tasks {
                tasks.remove(number);
            }
            if tasks.is_empty() {
                self.pending_tasks.remove(&assignment.work);
            }
        }
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

/// Returns the session where most tasks of a size fit, and how many.
fn roomiest(
    free: &BTreeMap<SessionId, Resources>,
    demand: &Demand,
    team: &TeamName,
    size: &Resources,
) -> Option<(SessionId, u32)> {
    let has_backlog = |session: SessionId| {
        let usage = demand.usage(team, session);
        usage.waiting >= usage.running.max(MAX_BACKLOG)
    };
    free.iter()
        .filter(|(session, _)| !has_backlog(**session))
        .map(|(session, free)| (*session, times(free, size)))
        .filter(|(_, fits)| *fits > 0)
        .max_by_key(|(session, fits)| (*fits, std::cmp::Reverse(*session)))
}

fn scaled(size: &Resources, count: u32) -> Resources {
    Resources {
        accelerators: size.accelerators.saturating_mul(count),
        connections: size.connections.saturating_mul(count),
        memory_bytes: size.memory_bytes.saturating_mul(count.into()),
        processors_millis: size.processors_millis.saturating_mul(count),
        slots: size.slots.saturating_mul(count),
    }
}
