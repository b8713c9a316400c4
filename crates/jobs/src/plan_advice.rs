//! Questions to the advice service.

use {
    crate::{
        AdvicePolicy, AdviceRequest, AdviceResponse, Effect, LogEvent, Planner, StepId, placement::Candidate,
    },
    fuchsiatack_model::WorkerName,
    std::net::SocketAddr,
};

/// Most workers in one question.
const MAX_ASKED: usize = 100;
/// Fewest workers in a question, if there are so many. A second question costs far more time than
/// more workers in the first.
const MIN_ASKED: usize = 30;
/// Fewest asked workers from which an answer counts for the share of good ones.
const MIN_SAMPLE: usize = 8;
/// Time before the end of a ticket from which it is not used, in milliseconds. It covers the way
/// of the answer, the commit of the start and the way of the order.
const TICKET_MARGIN_MS: u64 = 250;
/// Share of good workers that is assumed of a queue without answers, in thousandths.
const ASSUMED_GOOD_THOUSANDTHS: u64 = 400;
/// Tasks of a step that are expected to share one worker.
const TASKS_PER_WORKER: u64 = 2;
/// Weight of a new answer in the share of good workers: one part in this many.
const SHARE_WINDOW: u64 = 8;
/// Workers in a question beyond the expected need, in percent of it.
const SPARE_PERCENT: u64 = 130;
/// Pause after an attempt to ask, in milliseconds. Looking for workers to ask about is the most
/// expensive part of a turn in a full cell.
const ASK_PAUSE_MS: u64 = 60;
/// Time beyond the expected answer after which a question counts as lost, in milliseconds.
const QUESTION_LIMIT_MS: u64 = 6_000;

impl Planner {
    /// Takes the answer of the advice service.
    pub(crate) fn advised(&mut self, by: Option<SocketAddr>, reply: Option<AdviceResponse>, step: StepId) {
        let now_ms = self.now_ms;
        self.dirty = true;
        self.advisers.answered(now_ms, by, reply.is_some());
        let policy = self.queue_of(step.job).and_then(|queue| queue.advice.clone());
        let queue = self.book.jobs.get(&step.job).map(|job| job.queue.clone());
        let Some(view) = self.steps.get_mut(&step) else {
            return;
        };
        view.held_until_ms = 0;
        view.advice.ask_due_ms = 0;
        let asked = std::mem::take(&mut view.advice.open_workers);
        let sent_ms = view.advice.open_since_ms.take().unwrap_or(now_ms);
        let Some(reply) = reply else {
            let note = LogEvent::new("advice failed").job(step.job).with("step", step);
            return self.note(note.with("waited_ms", now_ms.saturating_sub(sent_ms)));
        };
        let valid_ms = reply
            .valid_ms
            .or(policy.map(|policy| policy.valid_ms))
            .unwrap_or(0);
        let valid_until_ms = now_ms + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        let good = reply.eligible.len();
        for worker in &asked {
            view.advice.good.remove(worker);
            view.advice.asked.insert(worker.clone());
        }
        for (worker, ticket) in reply.eligible {
            view.advice.good.insert(worker, (ticket, valid_until_ms));
        }
        self.note(
            LogEvent::new("advice received")
                .job(step.job)
                .with("step", step)
                .with("asked", asked.len())
                .with("good", good)
                .with("waited_ms", now_ms.saturating_sub(sent_ms)),
        );
        if let Some(queue) = queue.filter(|_| asked.len() >= MIN_SAMPLE) {
            let share = good as u64 * 1_000 / asked.len() as u64;
            let mean = self.good_shares.entry(queue).or_insert(share);
            *mean = (*mean * (SHARE_WINDOW - 1) + share) / SHARE_WINDOW;
        }
    }

    /// Returns whether a question about a step may be sent now.
    pub(crate) fn may_ask(&self, step: StepId) -> bool {
        let advice = self.steps.get(&step).map(|view| &view.advice);
        advice.is_some_and(|advice| advice.open_since_ms.is_none() && self.now_ms >= advice.ask_due_ms)
    }

    /// Asks which workers may run a step. Only workers with room are named, the best first. Those
    /// that are known to be good come before those that were never asked about.
    pub(crate) fn ask_advice(
        &mut self,
        step: StepId,
        policy: &AdvicePolicy,
        tasks: usize,
        candidates: &[Candidate<WorkerName>],
    ) {
        let now_ms = self.now_ms;
        let Some(view) = self.steps.get_mut(&step) else {
            return;
        };
        view.advice.ask_due_ms = now_ms + ASK_PAUSE_MS;
        if view.advice.open_since_ms.is_some() || candidates.is_empty() {
            return;
        }
        let known: Vec<_> = candidates
            .iter()
            .map(|candidate| &candidate.key)
            .filter(|worker| view.advice.good.contains_key(*worker))
            .cloned()
            .collect();
        let is_unasked = |worker: &&WorkerName| !view.advice.asked.contains(*worker);
        let mut fresh: Vec<_> = candidates
            .iter()
            .map(|candidate| &candidate.key)
            .filter(is_unasked)
            .cloned()
            .collect();
        let needed = (tasks as u64).div_ceil(TASKS_PER_WORKER);
        let missing = needed.saturating_sub(known.len() as u64);
        let share = self.good_share(step).max(50);
        let wanted = (missing * 1_000 * SPARE_PERCENT / 100).div_ceil(share) as usize;
        let wanted = match missing {
            0 if !known.is_empty() => 0,
            _ => wanted.max(MIN_ASKED),
        };
        fresh.truncate(wanted);
        let workers: Vec<_> = known.into_iter().chain(fresh).take(MAX_ASKED).collect();
        if workers.is_empty() {
            return;
        }
        let Some(by) = self.advisers.choose(self.now_ms, policy.answer_ms(workers.len())) else {
            return;
        };
        if let Some(view) = self.steps.get_mut(&step) {
            view.advice.open_since_ms = Some(self.now_ms);
            view.advice.open_workers = workers.clone();
        }
        self.output.immediate.push(Effect::Advise {
            by,
            request: AdviceRequest { step, workers },
        });
    }

    fn good_share(&self, step: StepId) -> u64 {
        let queue = self.book.jobs.get(&step.job).map(|job| &job.queue);
        let share = queue.and_then(|queue| self.good_shares.get(queue));
        share.copied().unwrap_or(ASSUMED_GOOD_THOUSANDTHS)
    }

    /// Closes questions whose answer never came.
    pub(crate) fn expire_questions(&mut self) {
        let now_ms = self.now_ms;
        let is_lost = |since_ms: u64| now_ms > since_ms + QUESTION_LIMIT_MS;
        for view in self.steps.values_mut() {
            if view.advice.open_since_ms.is_some_and(is_lost) {
                view.advice.open_since_ms = None;
                view.advice.open_workers.clear();
            }
        }
    }
}
