//! Checks of the rule on cancelled jobs, from the workers' state and the responses that clients received.

use {
    super::{CANCEL_MS, CONTACT_MS, Cell, STOP_MS},
    fuchsiatack_jobs::{RunId, TaskKey},
    fuchsiatack_model::WorkerName,
};

impl Cell {
    /// Checks what a worker was told to start against what the clients sent.
    pub(super) fn check_start(
        &mut self,
        run: RunId,
        checkpoint: &str,
        payload: &str,
        is_late: bool,
        sent_ms: u64,
        term: u64,
    ) {
        let job = run.task.step.job;
        if payload != self.specs[&job].payload {
            self.violations
                .push(format!("(b) {run} starts with the payload {payload}"));
        }
        if !checkpoint.is_empty() && !is_checkpoint_of(checkpoint, run, self.is_gang(run.task)) {
            self.violations
                .push(format!("(c) {run} starts from {checkpoint}"));
        }
        let acknowledged_ms = self.acknowledged_cancels.get(&job).copied();
        if let Some(acknowledged_ms) = acknowledged_ms
            && !is_late
            && term == self.term
            && sent_ms > acknowledged_ms + CANCEL_MS
        {
            let now_ms = self.now_ms;
            self.violations.push(format!(
                "(d) {run} starts at {now_ms}, cancelled at {acknowledged_ms}"
            ));
        }
    }

    fn is_gang(&self, task: TaskKey) -> bool {
        self.specs[&task.step.job].steps[task.step.step as usize].gang
    }

    /// Checks that the runs of cancelled jobs end in time if no disruption is near.
    pub(super) fn check_runs(&mut self) {
        let now_ms = self.now_ms;
        let calm_ms = match self.last_disruption_ms {
            0 => 0,
            disruption_ms => disruption_ms + CONTACT_MS + CANCEL_MS,
        };
        for (name, worker) in &self.workers {
            for (task, run) in &worker.running {
                let Some(acknowledged_ms) = self.acknowledged_cancels.get(&task.step.job) else {
                    continue;
                };
                let late_ms = if run.is_late {
                    run.started_ms + CONTACT_MS
                } else {
                    0
                };
                let limit_ms = (acknowledged_ms + CANCEL_MS).max(calm_ms).max(late_ms) + STOP_MS;
                if now_ms <= limit_ms {
                    continue;
                }
                let id = RunId {
                    number: run.number,
                    task: *task,
                };
                if !self.overruns.contains_key(&id) {
                    let (started_ms, is_late) = (run.started_ms, run.is_late);
                    self.violations.push(format!(
                        "(e) {id} runs on {name} at {now_ms}, cancelled at {acknowledged_ms}, started at \
                         {started_ms} (late: {is_late}), last disruption at {}",
                        self.last_disruption_ms
                    ));
                }
                self.overruns.insert(id, now_ms - limit_ms);
            }
        }
    }

    /// Checks that a run of a cancelled job does not begin after the limit, whenever its order was sent,
    /// unless the worker, its link or the leader was disrupted.
    pub(super) fn check_arrival(&mut self, name: &WorkerName, run: RunId, is_late: bool, term: u64) {
        let now_ms = self.now_ms;
        let worker = &self.workers[name];
        let disrupted_ms = worker.cut_off_until_ms().max(self.leader_disrupted_ms);
        let is_disrupted = disrupted_ms > 0 && now_ms <= disrupted_ms + CONTACT_MS;
        if is_late || is_disrupted || term != self.term {
            return;
        }
        let acknowledged_ms = self.acknowledged_cancels.get(&run.task.step.job).copied();
        if let Some(acknowledged_ms) = acknowledged_ms
            && now_ms > acknowledged_ms + CANCEL_MS
        {
            self.violations.push(format!(
                "(d) {run} begins on {name} at {now_ms}, cancelled at {acknowledged_ms}"
            ));
        }
    }
}

fn is_checkpoint_of(checkpoint: &str, run: RunId, is_gang: bool) -> bool {
    let Some((task, rest)) = checkpoint.split_once('#') else {
        return false;
    };
    let number = rest
        .split_once('@')
        .and_then(|(number, _)| number.parse::<u32>().ok());
    let is_task = match is_gang {
        true => task
            .rsplit_once('.')
            .is_some_and(|(step, _)| step == run.task.step.to_string()),
        false => task == run.task.to_string(),
    };
    is_task && number.is_some_and(|number| number < run.number)
}
