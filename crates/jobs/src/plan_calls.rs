//! Handles calls to the leader.

use {
    crate::{
        CallId, CellCall, CellResponse, ColdStart, Configuration, EntryReport, JobAction, JobCall,
        JobCommand, JobResponse, JobSpec, LogEvent, Planner, Queue, Schedule, Submission, Wave,
        calls::parse_job_id,
    },
    fuchsiatack_model::{TeamName, WorkerName},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Maximum number of tasks in one occurrence of a job.
const MAX_TASKS: u32 = 20_000;
/// Maximum number of occurrences of a job.
const MAX_OCCURRENCES: u32 = 100_000;
/// Maximum estimated duration of a task and maximum interval of a schedule in milliseconds, a year. Sums and
/// products of such times stay in range.
const MAX_DURATION_MS: u64 = 31_536_000_000;
/// Latest start of a schedule in milliseconds since the Unix epoch, in the year 9999.
const MAX_START_UNIX_MS: u64 = 253_402_300_799_000;

impl Planner {
    pub(crate) fn handle_call(&mut self, id: CallId, call: CellCall) {
        match call {
            CellCall::Advise(_) | CellCall::CallWorker { .. } => {
                let reason = SmolStr::new_static("the planner does not relay calls");
                self.respond(id, CellResponse::Failed(reason));
            }
            CellCall::Configure(configuration) => self.configure(id, configuration, BTreeMap::new()),
            CellCall::Entry(report) => self.handle_entry_report(id, &report),
            CellCall::Heartbeat(report) => {
                self.handle_heartbeat(&report, 0);
                self.respond(id, CellResponse::Done);
            }
            CellCall::Job(call) => {
                let response = self.handle_job_call(call);
                self.respond(id, CellResponse::Job(response));
            }
            CellCall::Leave(worker) => self.handle_leave(id, &worker),
            CellCall::ReadConfiguration => {
                let configuration = self.store.configuration.as_ref();
                let response = configuration.map_or(CellResponse::NotFound, |configuration| {
                    CellResponse::Configuration(configuration.document.clone())
                });
                self.respond(id, response);
            }
            CellCall::ReadWave(wave) => {
                let response = self.wave_state(wave);
                self.respond(id, response);
            }
            CellCall::StartWave(wave) => self.start_wave(id, wave),
            CellCall::EvacuateDataCenter {
                data_center,
                ordered_by,
            } => self.evacuate_data_center(id, data_center, ordered_by),
            CellCall::RestoreDataCenter(data_center) => self.restore_data_center(id, data_center),
            CellCall::ColdHeartbeat {
                cold_remaining_ms,
                report,
            } => {
                self.handle_heartbeat(&report, cold_remaining_ms);
                self.respond(id, CellResponse::Done);
            }
            CellCall::ConfigureColdStarts {
                cold_starts,
                configuration,
            } => self.configure(id, configuration, cold_starts),
        }
    }

    fn configure(
        &mut self,
        id: CallId,
        configuration: Box<Configuration>,
        cold_starts: BTreeMap<SmolStr, ColdStart>,
    ) {
        let present = self.store.configuration.as_ref().map(|present| present.version);
        let version = configuration.version;
        let is_newer = present.is_none_or(|present| version > present);
        self.log(
            LogEvent::new(if is_newer {
                "configuration stored"
            } else {
                "configuration ignored: version not newer"
            })
            .with("version", version)
            .with("present", present.unwrap_or_default())
            .with("queues", configuration.queues.len())
            .with("teams", configuration.teams.len())
            .with("cold_services", cold_starts.len()),
        );
        if is_newer {
            self.propose(match cold_starts.is_empty() {
                true => JobCommand::Configure(configuration),
                false => JobCommand::ConfigureColdStarts {
                    cold_starts,
                    configuration,
                },
            });
            self.index_queues();
            self.fail_spent_jobs();
            self.needs_placement = true;
        }
        self.respond(id, CellResponse::Done);
    }

    fn handle_entry_report(&mut self, id: CallId, report: &EntryReport) {
        match report.stopping {
            true => self.advice_senders.remove(report.address),
            false
                if self
                    .advice_senders
                    .announce(self.now_ms, report.address, &report.name) =>
            {
                self.log(LogEvent::new("daemon registered").with("daemon", &report.name));
            }
            false => {}
        }
        let response = CellResponse::Announced {
            configured: self.store.configuration.is_some(),
            members: self.members.clone(),
        };
        self.respond(id, response);
    }

    fn handle_job_call(&mut self, call: JobCall) -> JobResponse {
        let Some(configuration) = self.store.configuration.clone() else {
            return JobResponse::NotConfigured;
        };
        let Some((queue, rest)) = configuration.route(&call.host, &call.path) else {
            return JobResponse::UnknownQueue;
        };
        let team = call.key.as_deref().and_then(|key| configuration.team_of_key(key));
        if team.is_none() && !queue.is_open {
            return JobResponse::UnknownKey;
        }
        let team = team.map(|team| team.name.clone());
        match (call.action, parse_job_id(rest)) {
            (JobAction::Read, None) if rest.is_empty() => {
                JobResponse::Pending(self.store.pending(&queue.name))
            }
            (JobAction::Submit(spec), Some(job)) => self.submit(job, queue, team, *spec),
            (JobAction::Read, Some(job)) => match self.find_job(job, queue, team.as_ref()) {
                Some(job) => JobResponse::State(job.state()),
                None => JobResponse::NoSuchJob,
            },
            (JobAction::Cancel, Some(job)) => match self.find_job(job, queue, team.as_ref()).is_some() {
                true => self.cancel(job),
                false => {
                    self.cancel_unknown(job, queue, team.as_ref());
                    JobResponse::NoSuchJob
                }
            },
            (JobAction::Submit(_), None) => JobResponse::Invalid("the path names no job".into()),
            (JobAction::Cancel | JobAction::Read, None) => JobResponse::NoSuchJob,
        }
    }

    fn find_job(&self, job: crate::JobId, queue: &Queue, team: Option<&TeamName>) -> Option<&crate::Job> {
        let is_visible = |job: &&crate::Job| concerns(job, queue, team) && !job.is_placeholder();
        self.store.jobs.get(&job).filter(is_visible)
    }

    fn submit(
        &mut self,
        job: crate::JobId,
        queue: &Queue,
        team: Option<TeamName>,
        spec: JobSpec,
    ) -> JobResponse {
        let was_cancelled = match self.store.jobs.get(&job) {
            None => false,
            Some(present) if present.is_placeholder() => concerns(present, queue, team.as_ref()),
            Some(_) => {
                self.log(LogEvent::new("job already submitted").job(job));
                return JobResponse::Accepted;
            }
        };
        if let Some(reason) = rejection_reason(&spec) {
            self.log(
                LogEvent::new("job rejected as invalid")
                    .job(job)
                    .with("reason", &reason),
            );
            return JobResponse::Invalid(reason);
        }
        let submission = Submission {
            accepted_unix_ms: self.now_unix_ms,
            job,
            queue: queue.name.clone(),
            spec,
            team,
        };
        if self.store.jobs.contains_key(&job) {
            self.remove_jobs(vec![job]);
        }
        if was_cancelled {
            self.log(LogEvent::new("job submitted after its cancel").job(job));
            self.propose_cancelled(submission);
            return JobResponse::Accepted;
        }
        self.log(
            LogEvent::new("job accepted")
                .job(job)
                .with("queue", &queue.name)
                .with("team", submission.team.as_ref().map_or("", TeamName::as_str))
                .with("steps", submission.spec.steps.len())
                .with(
                    "tasks",
                    submission.spec.steps.iter().map(|step| step.tasks).sum::<u32>(),
                )
                .with(
                    "configuration",
                    self.store
                        .configuration
                        .as_ref()
                        .map_or(0, |present| present.version),
                ),
        );
        self.propose(JobCommand::Submit(Box::new(submission)));
        self.begin_job(job);
        JobResponse::Accepted
    }

    /// Handles a request to cancel a job that the caller cannot see. If there is no job with this
    /// identifier, a placeholder is stored, so that a submission of the job that arrives later and that the
    /// caller may cancel does not start it. `present_queue` and `present_team` in the log are those of a job
    /// with this identifier.
    fn cancel_unknown(&mut self, id: crate::JobId, queue: &Queue, team: Option<&TeamName>) {
        let present = self.store.jobs.get(&id);
        let present_team = present.and_then(|job| job.team.as_ref());
        let event = LogEvent::new("cancel of an unknown job")
            .job(id)
            .with("queue", &queue.name)
            .with("team", team.map_or("", TeamName::as_str))
            .with("present_queue", present.map_or("", |job| job.queue.as_str()))
            .with("present_team", present_team.map_or("", TeamName::as_str));
        let placeholder_team = match present {
            None => team.cloned(),
            // The placeholder of another team is replaced by one that concerns all teams.
            Some(job) if job.is_placeholder() && job.queue == queue.name && !concerns(job, queue, team) => {
                None
            }
            Some(_) => return self.log(event),
        };
        let is_replaced = present.is_some();
        self.log(event);
        if is_replaced {
            self.remove_jobs(vec![id]);
        }
        self.propose_cancelled(Submission {
            accepted_unix_ms: self.now_unix_ms,
            job: id,
            queue: queue.name.clone(),
            spec: JobSpec::placeholder(),
            team: placeholder_team,
        });
    }

    /// Stores a job that is cancelled from the beginning.
    fn propose_cancelled(&mut self, submission: Submission) {
        let job = submission.job;
        self.propose(JobCommand::Submit(Box::new(submission)));
        self.propose(JobCommand::Cancel {
            job,
            unix_ms: self.now_unix_ms,
        });
    }

    fn cancel(&mut self, id: crate::JobId) -> JobResponse {
        let has_ended = self.store.jobs.get(&id).is_some_and(|job| job.ended.is_some());
        let runs: Vec<_> = self.runs_of(id).collect();
        let confirmed = self.runs_of(id).filter(|task| self.is_confirmed(*task)).count();
        self.log(
            LogEvent::new("job cancelled")
                .job(id)
                .with("had_ended", has_ended)
                .with("runs", runs.len())
                .with("confirmed_runs", confirmed),
        );
        if !has_ended {
            self.propose(JobCommand::Cancel {
                job: id,
                unix_ms: self.now_unix_ms,
            });
            self.close_job(id);
        }
        // A job that completed with the first end of a gang may still have runs.
        for task in runs {
            self.stop_run(task);
        }
        JobResponse::Cancelled
    }

    fn handle_leave(&mut self, id: CallId, worker: &WorkerName) {
        let now_ms = self.now_ms;
        let mut event = LogEvent::new("worker left").with("worker", worker);
        if let Some(view) = self.workers.get_mut(worker) {
            view.record_leave(now_ms);
            event = event
                .with("runs", view.runs.len())
                .with("known_ms", now_ms - view.incarnation_known_ms);
        }
        let entry = self.store.workers.get(worker);
        event = event.with("draining", entry.is_some_and(|entry| entry.draining));
        self.log(event);
        self.respond(id, CellResponse::Done);
    }

    fn wave_state(&self, wave: u64) -> CellResponse {
        match self.store.waves.get(&wave) {
            None => CellResponse::NotFound,
            Some(entry) => CellResponse::Wave {
                completed: entry
                    .wave
                    .machines
                    .iter()
                    .all(|machine| entry.ordered.contains(machine)),
            },
        }
    }

    fn start_wave(&mut self, id: CallId, wave: Wave) {
        if !self.store.waves.contains_key(&wave.id) {
            self.log(
                LogEvent::new("wave stored")
                    .with("wave", wave.id)
                    .with("machines", wave.machines.len()),
            );
            self.propose(JobCommand::StartWave(wave));
        }
        self.respond(id, CellResponse::Done);
    }
}

/// Returns whether a call on a queue with a key of `team` may concern a job. Any caller may read and cancel
/// the jobs of an open queue, and a job without a team was submitted or cancelled while its queue was open.
fn concerns(job: &crate::Job, queue: &Queue, team: Option<&TeamName>) -> bool {
    let is_permitted = queue.is_open || job.team.is_none() || job.team.as_ref() == team;
    job.queue == queue.name && is_permitted
}

fn is_in_range(schedule: Schedule) -> bool {
    schedule.start_unix_ms <= MAX_START_UNIX_MS && schedule.interval_ms <= MAX_DURATION_MS
}

/// Returns why a job is invalid, or `None` if it can be accepted.
fn rejection_reason(spec: &JobSpec) -> Option<SmolStr> {
    let tasks = spec
        .steps
        .iter()
        .try_fold(0_u32, |sum, step| sum.checked_add(step.tasks));
    let occurrences = spec.schedule.map_or(1, |schedule| schedule.occurrences);
    let refers_back = || {
        (0..)
            .zip(&spec.steps)
            .all(|(number, step)| step.depends_on.iter().all(|earlier| *earlier < number))
    };
    let reason = match tasks {
        _ if spec.steps.is_empty() => "the job has no steps",
        _ if spec.steps.iter().any(|step| step.tasks == 0) => "a step has no tasks",
        None => "the job has too many tasks",
        Some(tasks) if tasks > MAX_TASKS => "the job has too many tasks",
        _ if occurrences == 0 || occurrences > MAX_OCCURRENCES => "the number of repetitions is out of range",
        _ if spec.steps.iter().any(|step| step.estimated_ms > MAX_DURATION_MS) => {
            "an estimated duration is out of range"
        }
        _ if spec.schedule.is_some_and(|schedule| !is_in_range(schedule)) => "the schedule is out of range",
        _ if !refers_back() => "a step depends on a step that does not precede it",
        _ => return None,
    };
    Some(SmolStr::new_static(reason))
}
