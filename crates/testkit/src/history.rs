//! Logs of workers, callers and the test, in the form the checker reads.

use {
    crate::{CallerEvent, Control, ControlEvent, WorkerEvent, WorkerEventKind, read_json_log},
    fuchsiatack_model::{Resources, TaskId, TeamName, WorkTask, WorkerName},
    smol_str::SmolStr,
    std::{collections::HashMap, io, path::Path},
};

/// Everything that happened in a test.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Attempts of callers.
    pub callers: Vec<CallerEvent>,
    /// Actions of the test.
    pub controls: Vec<ControlEvent>,
    /// Events on workers, in any order between workers; of one worker in their order.
    pub workers: Vec<WorkerEvent>,
}

impl History {
    /// Adds the log of one worker.
    pub fn read_worker(&mut self, log: &Path) -> io::Result<()> {
        self.workers.extend(read_json_log::<WorkerEvent>(log)?);
        Ok(())
    }

    /// Adds the log of the load generator.
    pub fn read_callers(&mut self, log: &Path) -> io::Result<()> {
        self.callers.extend(read_json_log::<CallerEvent>(log)?);
        Ok(())
    }

    /// Pairs starts and ends. A task without end runs until its worker starts again or was killed,
    /// or until the end of the history.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let mut open: HashMap<(&WorkerName, TaskId), usize> = HashMap::new();
        let mut runs: Vec<Run> = Vec::new();
        let mut steps: Vec<Step> = self.workers.iter().map(Step::Worker).collect();
        steps.extend(self.controls.iter().map(Step::Control));
        // Stable: events of one worker at one microsecond keep their order.
        steps.sort_by_key(Step::at_us);
        for step in steps {
            match step {
                Step::Control(event) => {
                    if let Control::WorkerKilled { worker } = &event.control {
                        end_all(&mut open, &mut runs, worker, event.at_us);
                    }
                }
                Step::Worker(event) => match (event.event, event.task) {
                    (WorkerEventKind::Up | WorkerEventKind::Down, _) => {
                        end_all(&mut open, &mut runs, &event.worker, event.at_us);
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

enum Step<'a> {
    Control(&'a ControlEvent),
    Worker(&'a WorkerEvent),
}

impl Step<'_> {
    fn at_us(&self) -> u64 {
        match self {
            Self::Control(event) => event.at_us,
            Self::Worker(event) => event.at_us,
        }
    }
}

fn end_all(
    open: &mut HashMap<(&WorkerName, TaskId), usize>,
    runs: &mut [Run],
    worker: &WorkerName,
    at_us: u64,
) {
    open.retain(|(other, _), index| {
        let is_over = *other == worker;
        if is_over {
            runs[*index].end_us = at_us;
        }
        !is_over
    });
}

/// One run of a task on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) demand: Resources,
    /// How it ended; absent if its worker was killed or it goes on.
    pub(crate) end: Option<WorkerEventKind>,
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
