//! Events of workers, callers and the test, as input of the history checker.

use {
    crate::{CallerEvent, Control, ControlEvent, WorkerEvent, WorkerEventKind, read_json_log},
    fuchsiatack_model::{Resources, TaskId, TeamName, WorkTask, WorkerName},
    smol_str::SmolStr,
    std::{collections::HashMap, io, path::Path},
};

/// Recorded events of one test.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Attempts of callers, in any order.
    pub callers: Vec<CallerEvent>,
    /// Actions of the test, in any order.
    pub controls: Vec<ControlEvent>,
    /// Events of workers. Those of one worker are in the order of its log.
    pub workers: Vec<WorkerEvent>,
}

impl History {
    /// Adds the event log of one worker.
    pub fn read_worker(&mut self, log: &Path) -> io::Result<()> {
        self.workers.extend(read_json_log::<WorkerEvent>(log)?);
        Ok(())
    }

    /// Adds the event log of the load generator.
    pub fn read_callers(&mut self, log: &Path) -> io::Result<()> {
        self.callers.extend(read_json_log::<CallerEvent>(log)?);
        Ok(())
    }

    /// Pairs starts and ends. A task without an end runs until its worker starts again, ends or is
    /// killed, or until the end of the history.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let mut open: HashMap<(&WorkerName, TaskId), usize> = HashMap::new();
        let mut runs: Vec<Run> = Vec::new();
        let mut timeline: Vec<TimelineEvent> = self.workers.iter().map(TimelineEvent::Worker).collect();
        timeline.extend(self.controls.iter().map(TimelineEvent::Control));
        // The stable sort keeps the order of events of one worker in the same microsecond.
        timeline.sort_by_key(TimelineEvent::at_us);
        for event in timeline {
            match event {
                TimelineEvent::Control(event) => {
                    if let Control::WorkerKilled { worker } = &event.control {
                        end_runs_of(&mut open, &mut runs, worker, event.at_us);
                    }
                }
                TimelineEvent::Worker(event) => match (event.event, event.task) {
                    (WorkerEventKind::Up | WorkerEventKind::Down, _) => {
                        end_runs_of(&mut open, &mut runs, &event.worker, event.at_us);
                    }
                    (WorkerEventKind::Started, Some(task)) => {
                        open.insert((&event.worker, task), runs.len());
                        runs.push(Run::started(event, task));
                    }
                    (kind, Some(task)) if kind.is_end() => {
                        if let Some(index) = open.remove(&(&event.worker, task)) {
                            runs[index].end_us = event.at_us;
                            runs[index].end = Some(kind);
                        }
                    }
                    _ => {}
                },
            }
        }
        runs
    }
}

enum TimelineEvent<'a> {
    Control(&'a ControlEvent),
    Worker(&'a WorkerEvent),
}

impl TimelineEvent<'_> {
    fn at_us(&self) -> u64 {
        match self {
            Self::Control(event) => event.at_us,
            Self::Worker(event) => event.at_us,
        }
    }
}

fn end_runs_of(
    open: &mut HashMap<(&WorkerName, TaskId), usize>,
    runs: &mut [Run],
    worker: &WorkerName,
    at_us: u64,
) {
    open.retain(|(other, _), index| {
        let is_ended = *other == worker;
        if is_ended {
            runs[*index].end_us = at_us;
        }
        !is_ended
    });
}

/// One run of a task on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) demand: Resources,
    /// Kind of its end; absent if its worker ended first or the run continues.
    pub(crate) end: Option<WorkerEventKind>,
    /// `u64::MAX` if the run continues beyond the history.
    pub(crate) end_us: u64,
    pub(crate) request: Option<SmolStr>,
    pub(crate) start_us: u64,
    pub(crate) task: TaskId,
    pub(crate) team: TeamName,
    pub(crate) work: Option<WorkTask>,
    pub(crate) worker: WorkerName,
}

impl Run {
    fn started(event: &WorkerEvent, task: TaskId) -> Self {
        Self {
            demand: event.demand.unwrap_or_default(),
            end: None,
            end_us: u64::MAX,
            request: event.request.clone(),
            start_us: event.at_us,
            task,
            team: event.team.clone().unwrap_or_default(),
            work: event.work.clone(),
            worker: event.worker.clone(),
        }
    }
}
