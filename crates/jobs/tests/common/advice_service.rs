//! The advice service for tests: handles one request at a time for each daemon.

use {
    fuchsiatack_jobs::{AdviceError, AdviceRequest, AdviceResponse},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
    },
};

/// Number of waiting requests of one daemon from which further ones are rejected.
const MAX_WAITING: usize = 32;

struct Waiting {
    request: AdviceRequest,
    received_ms: u64,
    /// Time of the response.
    due_ms: u64,
}

/// A response of the service, with the request.
pub struct ServiceResponse {
    pub request: AdviceRequest,
    pub result: Result<AdviceResponse, AdviceError>,
}

#[derive(Default)]
pub struct AdviceService {
    /// Longest time from a request to its response.
    pub longest_wait_ms: u64,
    queues: BTreeMap<Option<SocketAddr>, VecDeque<Waiting>>,
    pub rejected: usize,
    rejections: Vec<(Option<SocketAddr>, AdviceRequest)>,
}

impl AdviceService {
    pub fn request(&mut self, now_ms: u64, by: Option<SocketAddr>, request: AdviceRequest, response_ms: u64) {
        let queue = self.queues.entry(by).or_default();
        if queue.len() >= MAX_WAITING {
            self.rejected += 1;
            self.rejections.push((by, request));
            return;
        }
        let begin_ms = queue.back().map_or(now_ms, |last| last.due_ms.max(now_ms));
        queue.push_back(Waiting {
            request,
            received_ms: now_ms,
            due_ms: begin_ms + response_ms,
        });
    }

    /// Returns the responses that are due, each with the daemon that sent the request. Every worker is
    /// eligible.
    pub fn take_responses(&mut self, now_ms: u64) -> Vec<(Option<SocketAddr>, ServiceResponse)> {
        let rejections = std::mem::take(&mut self.rejections).into_iter();
        let mut responses: Vec<_> = rejections
            .map(|(by, request)| {
                let result = Err(AdviceError::Overloaded);
                (by, ServiceResponse { request, result })
            })
            .collect();
        for (by, queue) in &mut self.queues {
            while let Some(waiting) = queue.pop_front_if(|waiting| waiting.due_ms <= now_ms) {
                self.longest_wait_ms = self.longest_wait_ms.max(now_ms - waiting.received_ms);
                let eligible = waiting.request.workers.iter();
                let response = AdviceResponse {
                    eligible: eligible.map(|worker| (worker.clone(), "ticket".into())).collect(),
                    unreadable_rows: 0,
                    valid_ms: None,
                };
                let (request, result) = (waiting.request, Ok(response));
                responses.push((*by, ServiceResponse { request, result }));
            }
        }
        responses
    }

    /// Returns the number of daemons with a request that has no response yet.
    pub fn busy_senders(&self) -> usize {
        self.queues.values().filter(|queue| !queue.is_empty()).count()
    }
}
