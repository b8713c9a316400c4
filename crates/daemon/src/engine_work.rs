//! Runs the tasks of queued works that the ledger assigns to this session.

use {
    crate::{
        engine::{Engine, RETRY_AFTER_MS},
        engine_message::EngineMessage,
        job::{Job, JobClass, JobSubmission, ReplyTo},
        run_response::RunResponse,
        work_tasks::AdoptedEnd,
    },
    fuchsiatack_kernel::Event,
    fuchsiatack_ledger::Command,
    fuchsiatack_model::{
        Outcome, Policy, Refusal, RequestId, TaskClass, TaskId, TaskOutcome, WorkName, WorkSpec, WorkTask,
        WorkerName,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Limit for one attempt to commit the end of a task.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time that the former owner of a worker has to commit the end of a task whose call it relays.
const RELAY_GRACE: Duration = Duration::from_secs(2);
/// Pause before a service task is restarted, so that a task that ends at once does not cause a tight loop.
const SERVICE_RESTART_DELAY: Duration = Duration::from_secs(1);

impl Engine {
    pub(crate) fn on_tasks_assigned(&mut self, spec: WorkSpec, tasks: Vec<u32>, work: WorkName) {
        let spec = Arc::new(spec);
        let new_tasks = self.work_tasks.assign(&spec, &work, tasks);
        match spec.policy {
            // All tasks of a gang start at once.
            Policy::Gang if !new_tasks.is_empty() => self.submit_work(&spec, new_tasks),
            _ => new_tasks
                .into_iter()
                .for_each(|task| self.submit_work(&spec, vec![task])),
        }
    }

    fn submit_work(&mut self, spec: &Arc<WorkSpec>, tasks: Vec<WorkTask>) {
        let submission = self.work_jobs(spec, tasks);
        self.shared
            .engine
            .send(EngineMessage::Submit(Box::new(submission)));
    }

    fn work_jobs(&mut self, spec: &Arc<WorkSpec>, tasks: Vec<WorkTask>) -> JobSubmission {
        let class = JobClass {
            deadline: None,
            may_forward: false,
            queue: None,
            session: self.session,
            task_class: TaskClass {
                demand: spec.demand,
                idempotent: spec.idempotent,
                policy: spec.policy,
            },
            team: spec.team.clone(),
        };
        let jobs = tasks
            .into_iter()
            .map(|task| {
                let job_id = self.shared.engine.next_job_id();
                self.work_tasks.set_submitted(task.clone(), spec.clone(), job_id);
                Job {
                    body: spec.body.as_bytes().to_vec().into(),
                    content_type: None,
                    may_have_run: false,
                    request: RequestId::new(format!("{}/{}", task.work, task.number)),
                    reply: ReplyTo::Work(task),
                    job_id,
                    trace_parent: None,
                }
            })
            .collect();
        JobSubmission { class, jobs }
    }

    pub(crate) fn on_work_cancelled(&mut self, work: &WorkName) {
        self.work_tasks.set_cancelled(work);
        for job_id in self.work_tasks.job_ids(work) {
            self.shared.engine.send(EngineMessage::Cancel(job_id));
        }
        for (task, worker) in self.work_tasks.adopted(work) {
            self.stop_on_worker(task, &worker);
        }
    }

    /// Commits the end of a task, or restarts the task of a service.
    pub(crate) fn on_work_ended(&mut self, task: WorkTask, response: &RunResponse) {
        let (Some(spec), Some(session)) = (self.work_tasks.spec(&task), self.session) else {
            return;
        };
        let is_cancelled = self.work_tasks.is_cancelled(&task);
        let is_relayed = matches!(response.outcome, Outcome::Done | Outcome::Failed);
        if self.work_tasks.is_reassigned(&task) && (!is_relayed || spec.policy == Policy::Service) {
            // The worker's new owner reports the end of the task.
            return self.work_tasks.remove(&task);
        }
        let outcome = match (response.outcome, response.refusal) {
            (Outcome::Done | Outcome::Failed, _) if spec.policy == Policy::Service && !is_cancelled => {
                return self.restart_service(spec, task);
            }
            (Outcome::NotRun, _) if is_cancelled => TaskOutcome::Cancelled,
            (Outcome::Unknown, _) if is_cancelled => TaskOutcome::Cancelled,
            (Outcome::Done, _) => TaskOutcome::Done,
            (Outcome::Failed, _) => TaskOutcome::Failed,
            (Outcome::NotRun, Some(Refusal::Cancelled)) => TaskOutcome::Cancelled,
            (Outcome::NotRun, _) => {
                let command = Command::ReturnTasks {
                    session,
                    tasks: vec![task.number],
                    work: task.work.clone(),
                };
                return self.commit_end(task, command);
            }
            (Outcome::Unknown, _) => TaskOutcome::Unknown,
        };
        let command = Command::FinishTask {
            outcome,
            session,
            task: task.clone(),
        };
        self.commit_end(task, command);
    }

    fn restart_service(&mut self, spec: Arc<WorkSpec>, task: WorkTask) {
        let submission = self.work_jobs(&spec, vec![task]);
        let engine = self.shared.engine.clone();
        tokio::spawn(async move {
            sleep(SERVICE_RESTART_DELAY).await;
            engine.send(EngineMessage::Submit(Box::new(submission)));
        });
    }

    /// Proposes the end of a task until it is committed or the session has ended.
    fn commit_end(&mut self, task: WorkTask, command: Command) {
        self.commit_end_after(Duration::ZERO, task, command);
    }

    fn commit_end_after(&mut self, delay: Duration, task: WorkTask, command: Command) {
        let Some(session) = self.session else {
            return;
        };
        self.work_tasks.set_ending(&task);
        let shared = self.shared.clone();
        let uncommitted_end = shared.uncommitted_ends.enter();
        tokio::spawn(async move {
            let _uncommitted_end = uncommitted_end;
            sleep(delay).await;
            while shared.session.id() == Some(session) {
                match shared
                    .session
                    .cell()
                    .propose(command.clone(), true, PROPOSE_TIMEOUT)
                    .await
                {
                    Ok(committed) => {
                        let index = committed.index;
                        return shared.engine.send(EngineMessage::WorkSettled { index, task });
                    }
                    Err(_) => sleep(RETRY_DELAY).await,
                }
            }
        });
    }

    /// Ends adopted tasks that a worker no longer runs. Idempotent tasks are returned to the ledger;
    /// the outcome of others is unknown. The former owner may still relay the call and know the
    /// outcome, so this end is proposed after `RELAY_GRACE` and has no effect if the former owner's
    /// came first.
    pub(crate) fn end_adopted(&mut self, worker: &WorkerName, running: &[TaskId]) {
        let Some(session) = self.session else {
            return;
        };
        for AdoptedEnd { spec, task } in self.work_tasks.end_adopted(worker, running) {
            let outcome = match self.work_tasks.is_cancelled(&task) {
                true => TaskOutcome::Cancelled,
                false => TaskOutcome::Unknown,
            };
            let command = match spec.idempotent && outcome == TaskOutcome::Unknown {
                true => Command::ReturnTasks {
                    session,
                    tasks: vec![task.number],
                    work: task.work.clone(),
                },
                false => Command::FinishTask {
                    outcome,
                    session,
                    task: task.clone(),
                },
            };
            self.commit_end_after(RELAY_GRACE, task, command);
        }
    }

    /// Marks the tasks that run on a worker as reassigned to the worker's new owner.
    pub(crate) fn mark_work_reassigned(&mut self, worker: &WorkerName) {
        for task in self.jobs.on_worker(worker) {
            if let Some(ReplyTo::Work(work)) = self.jobs.get(task).map(|entry| &entry.job.reply) {
                self.work_tasks.set_reassigned(work);
            }
        }
    }

    /// Returns waiting tasks of queued works to the ledger in a planned stop.
    pub(crate) fn return_waiting_work(&mut self) {
        let waiting = self
            .jobs
            .tasks_where(|entry| entry.is_waiting() && matches!(entry.job.reply, ReplyTo::Work(_)));
        for task in waiting {
            self.enqueue(Event::Cancel { task });
            self.finish(task, RunResponse::not_run(Refusal::Stopping, RETRY_AFTER_MS));
        }
    }
}
