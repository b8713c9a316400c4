//! The planner of a member that leads.
//!
//! Commands of one turn share a log entry. Effects wait until the entry is applied and the leader's
//! lease holds, so that nothing is shown or ordered that a later leader might not know.

use {
    crate::{
        JobsSettings,
        calls::{Answer, failed},
        clock::{steady_ms, unix_ms},
    },
    fuchsiatack_consensus::Term,
    fuchsiatack_jobs::{
        CallId, CellCall, CellResponse, Effect, JobCommand, JobEvent, JobStore, LogEvent, Planner,
    },
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::Response,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
    },
    tokio::sync::oneshot,
};

/// Time of one placement from which it is logged, in milliseconds. Answers wait for it.
const LONG_TURN_MS: u64 = 40;

pub(crate) struct JobsRole {
    last_call: u64,
    planner: Planner,
    replies: HashMap<CallId, oneshot::Sender<Response>>,
    settings: JobsSettings,
    /// Effects, each with the index that must be applied first.
    waiting: VecDeque<(LogIndex, Effect)>,
}

impl JobsRole {
    pub(crate) fn new(settings: &JobsSettings, book: &JobStore, term: Term, now_ms: u64) -> Self {
        let planner = Planner::new(settings.planner.clone(), book.clone(), term.0, now_ms, unix_ms());
        Self {
            last_call: 0,
            planner,
            replies: HashMap::new(),
            settings: settings.clone(),
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn called(&mut self, now_ms: u64, call: CellCall, reply: oneshot::Sender<Response>) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.replies.insert(id, reply);
        self.handle(now_ms, JobEvent::Called { call, id });
    }

    pub(crate) fn handle(&mut self, now_ms: u64, event: JobEvent) {
        self.planner.handle(now_ms, unix_ms(), event);
    }

    pub(crate) fn set_members(&mut self, members: Vec<SocketAddr>) {
        self.planner.set_members(members);
    }

    /// Ends a turn: returns its commands, and the effects that wait for their commit.
    pub(crate) fn take_commands(&mut self) -> (Vec<JobCommand>, Vec<Effect>) {
        let begin_ms = steady_ms();
        let output = self.planner.take_output();
        self.note_long_turn(steady_ms() - begin_ms);
        for note in output.log_events {
            let _ = self.settings.notes.send(note);
        }
        for effect in output.immediate {
            let _ = self.settings.effects.send(effect);
        }
        (output.commands, output.after_commit)
    }

    /// Tells on-call engineers that placement uses up the processor.
    fn note_long_turn(&self, took_ms: u64) {
        if took_ms >= LONG_TURN_MS {
            let note = LogEvent::new("placement took long")
                .with("took_ms", took_ms)
                .with("waiting_steps", self.planner.waiting_steps());
            let _ = self.settings.notes.send(note);
        }
    }

    /// Queues effects until an index is applied.
    pub(crate) fn wait_for(&mut self, index: LogIndex, effects: Vec<Effect>) {
        self.waiting
            .extend(effects.into_iter().map(|effect| (index, effect)));
    }

    /// Carries out the effects up to an applied index, and returns the answers to calls.
    pub(crate) fn release(&mut self, applied: LogIndex) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some((index, _)) = self.waiting.front()
            && *index <= applied
        {
            match self.waiting.pop_front() {
                Some((_, Effect::Respond { response: answer, id })) => {
                    answers.extend(self.answer(id, answer))
                }
                Some((_, effect)) => {
                    let _ = self.settings.effects.send(effect);
                }
                None => break,
            }
        }
        answers
    }

    /// Answers everything after leadership was lost. Whether the calls take effect is not known.
    pub(crate) fn lost_leadership(self) {
        for reply in self.replies.into_values() {
            let _ = reply.send(failed("leadership was lost before the call was answered"));
        }
    }

    fn answer(&mut self, id: CallId, answer: CellResponse) -> Option<Answer> {
        let reply = self.replies.remove(&id)?;
        Some((reply, Response::Cell(Box::new(answer))))
    }
}
