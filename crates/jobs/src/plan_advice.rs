//! Sends requests to the advice service and handles its responses.

use {
    crate::{
        AdviceError, AdvicePolicy, AdviceRequest, AdviceResponse, Effect, LogEvent, Planner, StepId,
        StepSpec, WaitReason, advice_senders::RequestLoad, placement::Candidate, plan_advice_room::room_now,
        request_size::workers_with_room, step_view::SentRequest,
    },
    fuchsiatack_model::WorkerName,
    std::net::SocketAddr,
};

/// Maximum number of workers in one request.
pub(crate) const MAX_WORKERS_PER_REQUEST: usize = 100;
/// Minimum number of workers in a request, if there are as many candidates. A second request costs
/// far more time than more workers in the first.
pub(crate) const MIN_WORKERS_PER_REQUEST: usize = 30;
/// Minimum number of requested workers for a response to count towards the share of eligible ones.
const MIN_SAMPLE: usize = 8;
/// Time before the expiry of a ticket from which it is not used, in milliseconds. It covers the
/// delivery of the response, the commit of the start and the delivery of the order.
pub(crate) const TICKET_MARGIN_MS: u64 = 250;
/// Assumed share of eligible workers for a queue without responses so far, in thousandths.
const DEFAULT_ELIGIBLE_THOUSANDTHS: u64 = 400;
/// Maximum number of tasks of one step that are expected on the same worker.
const MAX_TASKS_PER_WORKER: u64 = 2;
/// Inverse weight of a new response in the mean share of eligible workers.
const SHARE_WINDOW: u64 = 8;
/// Number of workers in a request, in percent of the expected need.
const REQUESTED_PERCENT: u64 = 130;
/// Number of workers in a request for a gang, in percent of the expected need. Its members need room at
/// the same time.
const REQUESTED_FOR_GANG_PERCENT: u64 = 200;
/// Pause after an attempt to send a request, in milliseconds. The search for candidates is the most
/// expensive part of a planning pass in a full cell.
const REQUEST_PAUSE_MS: u64 = 60;
/// Time after which a request without a response counts as lost, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 6_000;

impl Planner {
    /// Handles the result of an advice request.
    pub(crate) fn handle_advice_response(
        &mut self,
        by: Option<SocketAddr>,
        response: Result<AdviceResponse, AdviceError>,
        step: StepId,
    ) {
        let now_ms = self.now_ms;
        self.needs_placement = true;
        self.advice_senders.request_ended(now_ms, by, response.is_ok());
        let sender = self.advice_senders.name(by).cloned().unwrap_or_default();
        let policy = self.queue_of(step.job).and_then(|queue| queue.advice.clone());
        let queue = self.store.jobs.get(&step.job).map(|job| job.queue.clone());
        let job = self.store.jobs.get(&step.job);
        let is_gang = job
            .and_then(|job| job.step(step.step))
            .is_some_and(|spec| spec.gang);
        let Some(view) = self.steps.get_mut(&step) else {
            return;
        };
        view.paused_until_ms = 0;
        view.advice.request_due_ms = 0;
        let request = view.advice.take_request(by);
        let sent_ms = request.as_ref().map_or(now_ms, |request| request.sent_ms);
        let requested = request.map_or(Vec::new(), |request| request.workers);
        let response = match response {
            Ok(response) => response,
            Err(error) => {
                let event = LogEvent::new("advice request failed")
                    .job(step.job)
                    .with("step", step)
                    .with("asked", requested.len())
                    .with("by", sender)
                    .with("reason", error.as_str())
                    .with("waited_ms", now_ms.saturating_sub(sent_ms));
                return self.log(event);
            }
        };
        let valid_ms = response
            .valid_ms
            .or(policy.map(|policy| policy.valid_ms))
            .unwrap_or(0);
        let valid_until_ms = now_ms.saturating_add(valid_ms.saturating_sub(TICKET_MARGIN_MS));
        let unreadable = response.unreadable_rows;
        let workers = &self.workers;
        let eligible: Vec<_> = response
            .eligible
            .into_iter()
            .filter(|(worker, _)| workers.contains_key(worker))
            .collect();
        let eligible_workers = eligible.len();
        // A gang learns by its first requests which workers may run it; it has no room for a start yet.
        let is_renewal = requested
            .iter()
            .any(|worker| view.advice.eligible.contains_key(worker));
        view.advice.responded_ms = Some(now_ms);
        view.advice.unused_calls += 1;
        view.advice.is_start_expected |= eligible_workers > 0 && (is_renewal || !is_gang);
        for worker in &requested {
            view.advice.eligible.remove(worker);
            view.advice.evaluated.insert(worker.clone());
        }
        for (worker, ticket) in eligible {
            view.advice.eligible.insert(worker, (ticket, valid_until_ms));
        }
        self.log(
            LogEvent::new("advice received")
                .job(step.job)
                .with("step", step)
                .with("asked", requested.len())
                .with("good", eligible_workers)
                .with("unreadable", unreadable)
                .with("waited_ms", now_ms.saturating_sub(sent_ms)),
        );
        if let Some(queue) = queue.filter(|_| requested.len() >= MIN_SAMPLE) {
            let share = eligible_workers as u64 * 1_000 / requested.len() as u64;
            let mean = self.eligible_shares.entry(queue).or_insert(share);
            *mean = (*mean * (SHARE_WINDOW - 1) + share) / SHARE_WINDOW;
        }
    }

    /// Returns why no advice request for a step may be sent now, or `None` if one may be sent.
    pub(crate) fn advice_pause(&self, step: StepId, policy: &AdvicePolicy) -> Option<WaitReason> {
        let advice = &self.steps.get(&step)?.advice;
        let load = self.request_load(step, policy, MIN_WORKERS_PER_REQUEST);
        match advice.requests.is_empty() {
            false => Some(WaitReason::AwaitsAdvice),
            true if self.now_ms < advice.request_due_ms => Some(WaitReason::AdvicePause),
            true if self.advice_senders.find(self.now_ms, load).is_none() => Some(WaitReason::NoAdviceSender),
            true if !load.is_urgent && self.is_left_to_other(step, load) => Some(WaitReason::NoAdviceSender),
            true => None,
        }
    }

    /// Returns whether all free daemons are left to a step whose turn it is.
    fn is_left_to_other(&self, step: StepId, load: RequestLoad) -> bool {
        match self.daemons_left_free(step) {
            0 => false,
            left => self.advice_senders.free_for(self.now_ms, load) <= left,
        }
    }

    pub(crate) fn request_load(&self, step: StepId, policy: &AdvicePolicy, workers: usize) -> RequestLoad {
        RequestLoad {
            is_urgent: self.is_urgent(step),
            response_ms: policy.response_ms(workers),
        }
    }

    /// Requests advice on which of the candidates may run a step. `candidates` are sorted, the best
    /// first. In the request, workers that were found eligible before come first, then those without
    /// a response. Returns what the step waits for then.
    pub(crate) fn request_advice(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        policy: &AdvicePolicy,
        tasks: usize,
        candidates: &[Candidate<WorkerName>],
    ) -> WaitReason {
        let now_ms = self.now_ms;
        let is_urgent = self.is_urgent(step);
        let share = self.eligible_share(step).max(50);
        let Some(view) = self.steps.get_mut(&step) else {
            return WaitReason::NoCapacity;
        };
        view.advice.request_due_ms = now_ms + REQUEST_PAUSE_MS;
        if !view.advice.requests.is_empty() {
            return WaitReason::AwaitsAdvice;
        }
        if candidates.is_empty() {
            return WaitReason::NoCapacity;
        }
        let mut known: Vec<_> = candidates
            .iter()
            .map(|candidate| &candidate.key)
            .filter(|worker| view.advice.eligible.contains_key(*worker))
            .cloned()
            .collect();
        let is_unevaluated = |worker: &&WorkerName| !view.advice.evaluated.contains(*worker);
        let mut unevaluated: Vec<_> = candidates
            .iter()
            .map(|candidate| &candidate.key)
            .filter(is_unevaluated)
            .cloned()
            .collect();
        let per_worker = if is_urgent {
            tasks_per_worker(spec, candidates)
        } else {
            1
        };
        let needed = (tasks as u64).div_ceil(per_worker);
        if !is_urgent {
            // A retry of one task names few of the workers that may run its step.
            known.truncate((needed * REQUESTED_PERCENT).div_ceil(100) as usize);
        }
        let missing = needed.saturating_sub(known.len() as u64);
        let limit = MAX_WORKERS_PER_REQUEST.saturating_sub(known.len());
        let by_room = (!is_urgent).then(|| {
            let reserved = spec.reserved();
            let most = spec
                .max_per_worker
                .map_or(usize::MAX, |most| most.max(1) as usize);
            let room = candidates
                .iter()
                .filter(|candidate| !view.advice.evaluated.contains(&candidate.key))
                .map(|candidate| room_now(candidate, &reserved, 0).clamp(1, most));
            workers_with_room(missing as usize, room, share, policy, limit)
        });
        let percent = if spec.gang {
            REQUESTED_FOR_GANG_PERCENT
        } else {
            REQUESTED_PERCENT
        };
        let wanted = (missing * 1_000 * percent / 100).div_ceil(share) as usize;
        let wanted = match missing {
            0 if !known.is_empty() => 0,
            _ => by_room.unwrap_or(wanted).max(MIN_WORKERS_PER_REQUEST),
        };
        unevaluated.truncate(wanted);
        let workers: Vec<_> = known
            .into_iter()
            .chain(unevaluated)
            .take(MAX_WORKERS_PER_REQUEST)
            .collect();
        if workers.is_empty() {
            return WaitReason::NoCapacity;
        }
        self.send_advice_request(step, policy, workers)
    }

    /// Sends a request for advice on some workers. Returns what the step waits for then.
    pub(crate) fn send_advice_request(
        &mut self,
        step: StepId,
        policy: &AdvicePolicy,
        workers: Vec<WorkerName>,
    ) -> WaitReason {
        match self.send_advice_requests(step, policy, workers, true) {
            0 => WaitReason::NoAdviceSender,
            _ => WaitReason::AwaitsAdvice,
        }
    }

    /// Sends requests for advice on some workers through several daemons at once, if one request cannot name
    /// all of them. If `all_or_none`, nothing is sent unless there is a daemon for each request: the tickets
    /// of a gang are of use together only. Returns the number of requests.
    pub(crate) fn send_advice_requests(
        &mut self,
        step: StepId,
        policy: &AdvicePolicy,
        workers: Vec<WorkerName>,
        all_or_none: bool,
    ) -> usize {
        let now_ms = self.now_ms;
        let parts = workers.len().div_ceil(MAX_WORKERS_PER_REQUEST).max(1);
        let size = workers.len().div_ceil(parts);
        let load = self.request_load(step, policy, size);
        let senders = self
            .advice_senders
            .choose_several(now_ms, load, parts, all_or_none);
        let requests: Vec<_> = senders.into_iter().zip(workers.chunks(size.max(1))).collect();
        let Some(view) = self.steps.get_mut(&step) else {
            return 0;
        };
        view.advice.daemons_needed = if requests.is_empty() { parts } else { 0 };
        for (by, workers) in &requests {
            view.advice.sender_wait_since_ms = None;
            let known = workers
                .iter()
                .filter(|worker| view.advice.eligible.contains_key(*worker));
            self.lapsed_tickets += known.count() as u64;
            view.advice.requests.push(SentRequest {
                by: *by,
                sent_ms: now_ms,
                workers: workers.to_vec(),
            });
            let workers = workers.to_vec();
            self.output.immediate.push(Effect::Advise {
                by: *by,
                request: AdviceRequest { step, workers },
            });
        }
        let sent = requests.len();
        if sent > 0 {
            self.end_overdue_turn(step);
        }
        sent
    }

    pub(crate) fn eligible_share(&self, step: StepId) -> u64 {
        let queue = self.store.jobs.get(&step.job).map(|job| &job.queue);
        let share = queue.and_then(|queue| self.eligible_shares.get(queue));
        share.copied().unwrap_or(DEFAULT_ELIGIBLE_THOUSANDTHS)
    }

    /// Drops requests that have had no response for `RESPONSE_TIMEOUT_MS`.
    pub(crate) fn expire_advice_requests(&mut self) {
        let now_ms = self.now_ms;
        for view in self.steps.values_mut() {
            let requests = &mut view.advice.requests;
            requests.retain(|request| now_ms <= request.sent_ms + RESPONSE_TIMEOUT_MS);
        }
    }
}

/// Returns the expected number of a step's tasks on the same worker.
fn tasks_per_worker(spec: &StepSpec, candidates: &[Candidate<WorkerName>]) -> u64 {
    let demand = spec.reserved();
    let two = demand.saturating_add(&demand);
    let is_alone =
        spec.max_per_worker == Some(1) || !candidates.iter().any(|candidate| candidate.capacity.covers(&two));
    if is_alone { 1 } else { MAX_TASKS_PER_WORKER }
}
