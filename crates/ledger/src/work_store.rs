//! Queued work and the state of its tasks.

use {
    crate::{Change, LedgerError, changes::Changes},
    fuchsiatack_derives::message,
    fuchsiatack_model::{
        LogIndex, Policy, SessionId, TaskOutcome, TeamName, WorkName, WorkPhase, WorkSpec, WorkTask,
    },
    fuchsiatack_records::{Record, Spec},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Works that have ended and whose outcomes are kept.
const MAX_ENDED_WORKS: usize = 10_000;

/// Works of one team that have not ended.
const MAX_TEAM_WORKS: u32 = 1_000;

/// State of one task.
#[message]
enum TaskState {
    /// Given to a session.
    Assigned {
        /// Former owner of the worker that runs the task. While it is live it relays the call,
        /// so it may learn the outcome.
        relay: Option<SessionId>,
        /// Whether a fenced worker of the session reported it as running.
        running: bool,
        /// Session that holds it.
        session: SessionId,
    },
    /// It ended.
    Ended(TaskOutcome),
    /// No session holds it.
    Waiting,
}

/// A work with its tasks.
#[message]
pub(crate) struct Work {
    cancelled: bool,
    /// Log index of its creation, which gives the order among works of a team.
    pub(crate) created: LogIndex,
    ended: u32,
    /// The record, of kind `work`.
    pub(crate) record: Record,
    tasks: Vec<TaskState>,
    waiting: u32,
}

impl Work {
    /// Returns the outcome of each task that has ended.
    pub(crate) fn outcomes(&self) -> Vec<Option<TaskOutcome>> {
        let outcome = |task: &TaskState| match task {
            TaskState::Ended(outcome) => Some(*outcome),
            TaskState::Assigned { .. } | TaskState::Waiting => None,
        };
        self.tasks.iter().map(outcome).collect()
    }

    /// Returns the stage of the work.
    pub(crate) fn phase(&self) -> WorkPhase {
        match self {
            _ if self.cancelled => WorkPhase::Cancelled,
            _ if self.has_ended() => WorkPhase::Finished,
            _ if self.waiting + self.ended == self.task_count() => WorkPhase::Waiting,
            _ => WorkPhase::Running,
        }
    }

    /// Returns what the work asks for.
    pub(crate) fn spec(&self) -> &WorkSpec {
        match &self.record.spec {
            Spec::Work(spec) => spec,
            _ => unreachable!("the store only holds records of kind work"),
        }
    }

    /// Returns the number of waiting tasks.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns whether a task is waiting.
    pub(crate) fn is_waiting(&self, number: u32) -> bool {
        self.tasks.get(number as usize) == Some(&TaskState::Waiting)
    }

    /// Returns the numbers of the first `count` waiting tasks.
    pub(crate) fn waiting_tasks(&self, count: u32) -> Vec<u32> {
        let is_waiting = |(_, task): &(u32, &TaskState)| **task == TaskState::Waiting;
        (0..)
            .zip(&self.tasks)
            .filter(is_waiting)
            .map(|(number, _)| number)
            .take(count as usize)
            .collect()
    }

    fn has_ended(&self) -> bool {
        self.ended == self.task_count()
    }

    fn task_count(&self) -> u32 {
        self.tasks.len() as u32
    }
}

/// Tasks of one session, by work.
type HeldTasks = BTreeMap<WorkName, BTreeSet<u32>>;

/// All works.
#[derive(Default)]
#[message]
pub(crate) struct WorkStore {
    /// Works that have ended, oldest first. One that was created again is skipped.
    ended: VecDeque<(LogIndex, WorkName)>,
    held: BTreeMap<SessionId, HeldTasks>,
    open_works: BTreeMap<TeamName, u32>,
    /// Works with waiting tasks, by team and creation.
    waiting: BTreeMap<TeamName, BTreeSet<(LogIndex, WorkName)>>,
    works: BTreeMap<WorkName, Work>,
}

impl WorkStore {
    /// Returns why a work can not be created.
    pub(crate) fn admit(&self, work: &WorkName, team: &TeamName) -> Result<(), LedgerError> {
        match self.works.get(work) {
            Some(work) if !work.has_ended() => Err(LedgerError::WorkBusy {
                work: work.record.name.clone(),
            }),
            _ if self
                .open_works
                .get(team)
                .is_some_and(|open| *open >= MAX_TEAM_WORKS) =>
            {
                Err(LedgerError::WorkQueueFull { team: team.0.clone() })
            }
            _ => Ok(()),
        }
    }

    /// Gives waiting tasks to a session. Returns the change for it if there were any.
    pub(crate) fn assign(&mut self, name: &WorkName, session: SessionId, tasks: &[u32]) -> Option<Change> {
        let work = self.works.get(name)?;
        let numbers: BTreeSet<u32> = tasks
            .iter()
            .copied()
            .filter(|number| work.is_waiting(*number))
            .collect();
        let is_partial = numbers.len() < tasks.len();
        if numbers.is_empty() || (is_partial && work.spec().policy == Policy::Gang) {
            return None;
        }
        let spec = Box::new(work.spec().clone());
        for number in &numbers {
            let state = TaskState::Assigned {
                relay: None,
                running: false,
                session,
            };
            self.set(name, *number, state);
        }
        Some(Change::TasksAssigned {
            running: false,
            spec,
            tasks: numbers.into_iter().collect(),
            work: name.clone(),
        })
    }

    /// Cancels a work: its waiting tasks end, the holders of others are told.
    pub(crate) fn cancel(&mut self, name: &WorkName, changes: &mut Changes) {
        let Some(work) = self.works.get_mut(name) else {
            return;
        };
        if work.has_ended() {
            return;
        }
        work.cancelled = true;
        let mut holders = BTreeSet::new();
        for task in &work.tasks {
            if let TaskState::Assigned { relay, session, .. } = task {
                holders.insert(*session);
                holders.extend(*relay);
            }
        }
        for number in work.waiting_tasks(u32::MAX) {
            self.set(name, number, TaskState::Ended(TaskOutcome::Cancelled));
        }
        for session in holders {
            changes.session(session, Change::WorkCancelled { work: name.clone() });
        }
    }

    /// Creates a work with all tasks waiting.
    pub(crate) fn create(&mut self, index: LogIndex, record: Record) {
        let Spec::Work(spec) = &record.spec else { return };
        let name = WorkName(record.name.clone());
        let tasks = spec.tasks;
        let team = spec.team.clone();
        let work = Work {
            cancelled: false,
            created: index,
            ended: 0,
            record,
            tasks: vec![TaskState::Waiting; tasks as usize],
            waiting: tasks,
        };
        self.works.insert(name.clone(), work);
        if tasks == 0 {
            self.ended.push_back((index, name));
            return;
        }
        *self.open_works.entry(team.clone()).or_default() += 1;
        self.waiting.entry(team).or_default().insert((index, name));
    }

    /// Ends or gives back the tasks of a session once none of them can be running.
    pub(crate) fn end_session(&mut self, session: SessionId) {
        for (name, numbers) in self.held.remove(&session).unwrap_or_default() {
            let Some(work) = self.works.get(&name) else {
                continue;
            };
            let state = match (work.spec().idempotent, work.cancelled) {
                (true, true) => TaskState::Ended(TaskOutcome::Cancelled),
                (true, false) => TaskState::Waiting,
                (false, _) => TaskState::Ended(TaskOutcome::Unknown),
            };
            for number in numbers {
                self.set(&name, number, state.clone());
            }
        }
    }

    /// Ends a task that the session holds or relays. Returns whether it did.
    pub(crate) fn finish(&mut self, task: &WorkTask, session: SessionId, outcome: TaskOutcome) -> bool {
        let is_held = matches!(
            self.task(task),
            Some(TaskState::Assigned { relay, session: holder, .. })
                if *holder == session || *relay == Some(session)
        );
        if is_held {
            self.set(&task.work, task.number, TaskState::Ended(outcome));
        }
        is_held
    }

    /// Returns a work.
    pub(crate) fn get(&self, work: &WorkName) -> Option<&Work> {
        self.works.get(work)
    }

    /// Takes back tasks that the session holds.
    pub(crate) fn give_back(&mut self, name: &WorkName, session: SessionId, tasks: &[u32]) {
        let Some(work) = self.works.get(name) else { return };
        let state = match work.cancelled {
            true => TaskState::Ended(TaskOutcome::Cancelled),
            false => TaskState::Waiting,
        };
        for number in tasks {
            let task = WorkTask {
                number: *number,
                work: name.clone(),
            };
            if self.holder(&task) == Some(session) {
                self.set(name, *number, state.clone());
            }
        }
    }

    /// Gives tasks that a fenced worker runs to its new owner.
    ///
    /// Only tasks that wait or that the former owner held can be running there.
    pub(crate) fn move_running(
        &mut self,
        tasks: &[WorkTask],
        former: Option<SessionId>,
        owner: SessionId,
        changes: &mut Changes,
    ) {
        let mut moved: HeldTasks = BTreeMap::new();
        for task in tasks {
            let relay = match self.task(task) {
                Some(TaskState::Assigned { session, .. }) if *session == owner => continue,
                Some(TaskState::Assigned { relay, session, .. }) if Some(*session) == former => {
                    relay.or(former)
                }
                Some(TaskState::Waiting) => None,
                _ => continue,
            };
            let state = TaskState::Assigned {
                relay,
                running: true,
                session: owner,
            };
            self.set(&task.work, task.number, state);
            moved.entry(task.work.clone()).or_default().insert(task.number);
        }
        for (name, numbers) in moved {
            self.send_held(&name, numbers, true, |change| changes.session(owner, change));
        }
    }

    /// Removes the oldest ended work beyond the number that is kept.
    pub(crate) fn pop_surplus(&mut self) -> Option<WorkName> {
        while self.ended.len() > MAX_ENDED_WORKS
            && let Some((created, name)) = self.ended.pop_front()
        {
            if self.works.get(&name).is_some_and(|work| work.created == created) {
                self.works.remove(&name);
                return Some(name);
            }
        }
        None
    }

    /// Returns the changes that describe the tasks of a session.
    pub(crate) fn session_changes(&self, session: SessionId) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, numbers) in self.held.get(&session).into_iter().flatten() {
            let Some(work) = self.works.get(name) else {
                continue;
            };
            let is_running = |number: &u32| {
                matches!(
                    work.tasks[*number as usize],
                    TaskState::Assigned { running: true, .. }
                )
            };
            let (running, idle): (BTreeSet<u32>, BTreeSet<u32>) = numbers.iter().partition(|n| is_running(n));
            self.send_held(name, idle, false, |change| changes.push(change));
            self.send_held(name, running, true, |change| changes.push(change));
        }
        changes
    }

    /// Returns the teams with waiting tasks and their works in order of creation.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (&TeamName, &BTreeSet<(LogIndex, WorkName)>)> {
        self.waiting.iter()
    }

    fn holder(&self, task: &WorkTask) -> Option<SessionId> {
        match self.task(task) {
            Some(TaskState::Assigned { session, .. }) => Some(*session),
            _ => None,
        }
    }

    fn send_held(
        &self,
        name: &WorkName,
        numbers: BTreeSet<u32>,
        running: bool,
        mut send: impl FnMut(Change),
    ) {
        let Some(work) = self.works.get(name) else { return };
        if numbers.is_empty() {
            return;
        }
        send(Change::TasksAssigned {
            running,
            spec: Box::new(work.spec().clone()),
            tasks: numbers.into_iter().collect(),
            work: name.clone(),
        });
        if work.cancelled {
            send(Change::WorkCancelled { work: name.clone() });
        }
    }

    /// Sets the state of a task and keeps all indexes in step. The task must exist.
    fn set(&mut self, name: &WorkName, number: u32, state: TaskState) {
        let Some(work) = self.works.get_mut(name) else {
            return;
        };
        let team = work.spec().team.clone();
        let created = work.created;
        let had_waiting = work.waiting > 0;
        match &state {
            TaskState::Assigned { session, .. } => {
                let held = self.held.entry(*session).or_default();
                held.entry(name.clone()).or_default().insert(number);
            }
            TaskState::Ended(_) => work.ended += 1,
            TaskState::Waiting => work.waiting += 1,
        }
        let old = std::mem::replace(&mut work.tasks[number as usize], state);
        match &old {
            TaskState::Ended(_) => work.ended -= 1,
            TaskState::Waiting => work.waiting -= 1,
            TaskState::Assigned { .. } => {}
        }
        let has_ended = work.has_ended();
        let has_waiting = work.waiting > 0;
        if let TaskState::Assigned { session, .. } = old {
            self.unhold(session, name, number);
        }
        if had_waiting != has_waiting {
            self.index_waiting(&team, (created, name.clone()), has_waiting);
        }
        if has_ended {
            self.ended.push_back((created, name.clone()));
            self.close_work(&team);
        }
    }

    fn close_work(&mut self, team: &TeamName) {
        if let Some(open) = self.open_works.get_mut(team) {
            *open -= 1;
            if *open == 0 {
                self.open_works.remove(team);
            }
        }
    }

    fn index_waiting(&mut self, team: &TeamName, key: (LogIndex, WorkName), has_waiting: bool) {
        let works = self.waiting.entry(team.clone()).or_default();
        match has_waiting {
            true => works.insert(key),
            false => works.remove(&key),
        };
        if works.is_empty() {
            self.waiting.remove(team);
        }
    }

    fn task(&self, task: &WorkTask) -> Option<&TaskState> {
        self.works.get(&task.work)?.tasks.get(task.number as usize)
    }

    fn unhold(&mut self, session: SessionId, name: &WorkName, number: u32) {
        let Some(works) = self.held.get_mut(&session) else {
            return;
        };
        if let Some(numbers) = works.get_mut(name) {
            numbers.remove(&number);
            if numbers.is_empty() {
                works.remove(name);
            }
        }
        if works.is_empty() {
            self.held.remove(&session);
        }
    }
}
