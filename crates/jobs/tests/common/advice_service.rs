//! The advice service for tests: handles one request at a time for each daemon.

use {
    fuchsiatack_jobs::{AdviceError, AdviceRequest, AdviceResponse, StepId},
    fuchsiatack_model::WorkerName,
    std::{
        collections::{BTreeMap, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
    },
};

/// Number of waiting requests of one daemon from which further ones are rejected.
const MAX_WAITING: usize = 32;

struct Waiting {
    number: u64,
    request: AdviceRequest,
    received_ms: u64,
    /// Time of the response.
    due_ms: u64,
}

/// A response of the service, with the request.
pub struct ServiceResponse {
    /// Number of the request.
    pub number: u64,
    pub request: AdviceRequest,
    pub result: Result<AdviceResponse, AdviceError>,
}

#[derive(Default)]
pub struct AdviceService {
    /// Share of the workers that may not run a step, in percent.
    ineligible_percent: u64,
    /// Longest time from a request to its response.
    pub longest_wait_ms: u64,
    numbers: u64,
    queues: BTreeMap<Option<SocketAddr>, VecDeque<Waiting>>,
    pub rejected: usize,
    rejections: Vec<(Option<SocketAddr>, AdviceRequest)>,
}

impl AdviceService {
    /// Creates a service that allows only some workers for a step.
    pub fn with_ineligible(percent: u64) -> Self {
        Self {
            ineligible_percent: percent,
            ..Self::default()
        }
    }

    pub fn request(&mut self, now_ms: u64, by: Option<SocketAddr>, request: AdviceRequest, response_ms: u64) {
        let queue = self.queues.entry(by).or_default();
        if queue.len() >= MAX_WAITING {
            self.rejected += 1;
            self.rejections.push((by, request));
            return;
        }
        let begin_ms = queue.back().map_or(now_ms, |last| last.due_ms.max(now_ms));
        self.numbers += 1;
        queue.push_back(Waiting {
            number: self.numbers,
            request,
            received_ms: now_ms,
            due_ms: begin_ms + response_ms,
        });
    }

    /// Returns the responses that are due, each with the daemon that sent the request.
    pub fn take_responses(&mut self, now_ms: u64) -> Vec<(Option<SocketAddr>, ServiceResponse)> {
        let rejections = std::mem::take(&mut self.rejections).into_iter();
        let mut responses: Vec<_> = rejections
            .map(|(by, request)| {
                let result = Err(AdviceError::Overloaded);
                let number = 0;
                (
                    by,
                    ServiceResponse {
                        number,
                        request,
                        result,
                    },
                )
            })
            .collect();
        for (by, queue) in &mut self.queues {
            while let Some(waiting) = queue.pop_front_if(|waiting| waiting.due_ms <= now_ms) {
                self.longest_wait_ms = self.longest_wait_ms.max(now_ms - waiting.received_ms);
                let step = waiting.request.step;
                let eligible = waiting.request.workers.iter();
                let eligible = eligible.filter(|worker| hash(step, worker) % 100 >= self.ineligible_percent);
                let response = AdviceResponse {
                    eligible: eligible.map(|worker| (worker.clone(), "ticket".into())).collect(),
                    unreadable_rows: 0,
                    valid_ms: None,
                };
                let response = ServiceResponse {
                    number: waiting.number,
                    request: waiting.request,
                    result: Ok(response),
                };
                responses.push((*by, response));
            }
        }
        responses
    }

    /// Returns the number of daemons with a request that has no response yet.
    pub fn busy_senders(&self) -> usize {
        self.queues.values().filter(|queue| !queue.is_empty()).count()
    }
}

/// Returns a number that decides whether a worker may run a step.
fn hash(step: StepId, worker: &WorkerName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (step.job.0, step.step, worker.as_str()).hash(&mut hasher);
    hasher.finish()
}
