//! Queued works and the state of their tasks.

use {
    crate::{Change, LedgerError, changes::Changes},
    fuchsiatack_derives::message,
    fuchsiatack_model::{
        LogIndex, Policy, SessionId, TaskOutcome, TeamName, WorkName, WorkPhase, WorkSpec, WorkTask,
    },
    fuchsiatack_records::{Record, Spec},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Largest number of ended works whose outcomes are kept.
const MAX_ENDED_WORKS: usize = 10_000;

/// Largest number of works of one team that have not ended.
const MAX_TEAM_WORKS: u32 = 1_000;

/// State of one task.
#[message]
enum TaskState {
    /// The task is assigned to a session.
    Assigned {
        /// Former owner of the worker that runs the task. While that session is live it relays the
        /// call, so it may receive the outcome.
        relay: Option<SessionId>,
        /// Whether the task was found running when the session fenced its worker.
        running: bool,
        /// Session that holds the task.
        session: SessionId,
    },
    /// The task has ended.
    Ended(TaskOutcome),
    /// The task is not assigned.
    Waiting,
}

/// A work and its tasks.
#[message]
pub(crate) struct Work {
    cancelled: bool,
    /// Log index of the creation. Works of a team are assigned in this order.
    pub(crate) created: LogIndex,
    /// Number of ended tasks.
    ended: u32,
    /// Record of kind `work` that created the work.
    pub(crate) record: Record,
    tasks: Vec<TaskState>,
    /// Number of waiting tasks.
    waiting: u32,
}

impl Work {
    /// Returns the outcome of each task; `None` for a task that has not ended.
    pub(crate) fn outcomes(&self) -> Vec<Option<TaskOutcome>> {
        let outcome = |task: &TaskState| match task {
            TaskState::Ended(outcome) => Some(*outcome),
            TaskState::Assigned { .. } | TaskState::Waiting => None,
        };
        self.tasks.iter().map(outcome).collect()
    }

    /// Returns the phase of the work.
    pub(crate) fn phase(&self) -> WorkPhase {
        match self {
            _ if self.cancelled => WorkPhase::Cancelled,
            _ if self.has_ended() => WorkPhase::Finished,
            _ if self.waiting + self.ended == self.task_count() => WorkPhase::Waiting,
            _ => WorkPhase::Running,
        }
    }

    /// Returns the specification of the work.
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

    /// Returns the numbers of up to `count` waiting tasks, lowest first.
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
    /// Ended works, oldest end first. Entries of works that were created again are skipped.
    ended: VecDeque<(LogIndex, WorkName)>,
    /// Tasks that each session holds.
    held: BTreeMap<SessionId, HeldTasks>,
    /// Number of works of each team that have not ended.
    open_works: BTreeMap<TeamName, u32>,
    /// Works with waiting tasks, by team and in the order of creation.
    waiting: BTreeMap<TeamName, BTreeSet<(LogIndex, WorkName)>>,
    works: BTreeMap<WorkName, Work>,
}

impl WorkStore {
    /// Returns an error if a work of this name and team cannot be created.
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

    /// Assigns waiting tasks to a session. Returns the change for the session, or `None` if no task
    /// was assigned. A gang is assigned only if all of `tasks` are waiting.
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
            self.set_task_state(name, *number, state);
        }
        Some(Change::TasksAssigned {
            running: false,
            spec,
            tasks: numbers.into_iter().collect(),
            work: name.clone(),
        })
    }

    /// Cancels a work. Waiting tasks end; sessions that hold or relay other tasks are notified.
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
            self.set_task_state(name, number, TaskState::Ended(TaskOutcome::Cancelled));
        }
        for session in holders {
            changes.send_to(session, Change::WorkCancelled { work: name.clone() });
        }
    }

    /// Creates a work whose tasks are all waiting. A work without tasks has ended at once.
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

    /// Ends the tasks of a session or makes them wait again. None of them may be running any more.
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
                self.set_task_state(&name, number, state.clone());
            }
        }
    }

    /// Ends a task that the session holds or relays. Returns false if the session does neither.
    pub(crate) fn finish(&mut self, task: &WorkTask, session: SessionId, outcome: TaskOutcome) -> bool {
        let is_held = matches!(
            self.task(task),
            Some(TaskState::Assigned { relay, session: holder, .. })
                if *holder == session || *relay == Some(session)
        );
        if is_held {
            self.set_task_state(&task.work, task.number, TaskState::Ended(outcome));
        }
        is_held
    }

    /// Returns a work; `None` if it does not exist.
    pub(crate) fn get(&self, work: &WorkName) -> Option<&Work> {
        self.works.get(work)
    }

    /// Makes tasks that the session holds wait again, or ends them if the work is cancelled.
    pub(crate) fn return_tasks(&mut self, name: &WorkName, session: SessionId, tasks: &[u32]) {
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
                self.set_task_state(name, *number, state.clone());
            }
        }
    }

    /// Assigns tasks that run on a fenced worker to its new owner.
    ///
    /// Only tasks that are waiting or held by the former owner can be running there.
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
            self.set_task_state(&task.work, task.number, state);
            moved.entry(task.work.clone()).or_default().insert(task.number);
        }
        for (name, numbers) in moved {
            self.send_held(&name, numbers, true, |change| changes.send_to(owner, change));
        }
    }

    /// Removes the oldest ended work if there are more than the limit. Returns its name.
    pub(crate) fn evict_oldest_ended(&mut self) -> Option<WorkName> {
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

    /// Returns the changes that describe all tasks held by a session.
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

    /// Returns the teams with waiting tasks, each with its works in the order of creation.
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

    /// Sets the state of a task and updates all indexes. The task must exist.
    fn set_task_state(&mut self, name: &WorkName, number: u32, state: TaskState) {
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
            self.remove_held(session, name, number);
        }
        if had_waiting != has_waiting {
            self.update_waiting_index(&team, (created, name.clone()), has_waiting);
        }
        if has_ended {
            self.ended.push_back((created, name.clone()));
            self.decrement_open_works(&team);
        }
    }

    fn decrement_open_works(&mut self, team: &TeamName) {
        if let Some(open) = self.open_works.get_mut(team) {
            *open -= 1;
            if *open == 0 {
                self.open_works.remove(team);
            }
        }
    }

    fn update_waiting_index(&mut self, team: &TeamName, key: (LogIndex, WorkName), has_waiting: bool) {
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

    fn remove_held(&mut self, session: SessionId, name: &WorkName, number: u32) {
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
