//! Calls that wait for an answer.

use {
    fuchsiatack_consensus::Term,
    fuchsiatack_ledger::Reply,
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::{PeerCaller, Request, Response},
    smol_str::SmolStr,
    std::collections::BTreeMap,
    tokio::sync::oneshot,
};

/// A response that is ready to be sent.
pub(crate) type Answer = (oneshot::Sender<Response>, Response);

/// A call that is answered after a leadership confirmation.
pub(crate) struct WaitingRead {
    pub(crate) caller: PeerCaller,
    pub(crate) reply: oneshot::Sender<Response>,
    pub(crate) request: Request,
}

/// A proposal that is answered once its entry is applied.
struct WaitingProposal {
    reply: oneshot::Sender<Response>,
    term: Term,
}

/// Calls that wait.
#[derive(Default)]
pub(crate) struct Calls {
    last_token: u64,
    /// Calls that came since the last confirmation was asked for.
    new_reads: Vec<WaitingRead>,
    proposals: BTreeMap<LogIndex, WaitingProposal>,
    reads: BTreeMap<u64, Vec<WaitingRead>>,
}

impl Calls {
    pub(crate) fn add_proposal(&mut self, index: LogIndex, term: Term, reply: oneshot::Sender<Response>) {
        self.proposals.insert(index, WaitingProposal { reply, term });
    }

    pub(crate) fn add_read(&mut self, read: WaitingRead) {
        self.new_reads.push(read);
    }

    /// Returns the answer to the proposal at an applied index.
    pub(crate) fn applied(&mut self, index: LogIndex, term: Term, reply: Reply) -> Option<Answer> {
        let proposal = self.proposals.remove(&index)?;
        let response = match proposal.term == term {
            true => Response::Proposed { index, reply },
            false => failed("another leader replaced the command"),
        };
        Some((proposal.reply, response))
    }

    /// Takes the reads that a confirmation answers.
    pub(crate) fn confirmed(&mut self, token: u64) -> Vec<WaitingRead> {
        self.reads.remove(&token).unwrap_or_default()
    }

    /// Returns whether a call other than a renewal waits for a confirmation to be asked for.
    pub(crate) fn has_urgent_reads(&self) -> bool {
        let is_urgent = |read: &WaitingRead| !matches!(read.request, Request::Renew(_));
        self.new_reads.iter().any(is_urgent)
    }

    /// Returns whether no call waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.new_reads.is_empty() && self.proposals.is_empty() && self.reads.is_empty()
    }

    /// Gives the new reads a token for a shared confirmation.
    pub(crate) fn next_token(&mut self) -> Option<u64> {
        if self.new_reads.is_empty() {
            return None;
        }
        self.last_token += 1;
        let reads = std::mem::take(&mut self.new_reads);
        self.reads.insert(self.last_token, reads);
        Some(self.last_token)
    }

    /// Answers everything after leadership was lost. Reads had no effect; proposals may still be
    /// committed.
    pub(crate) fn lost_leadership(&mut self, not_leader: &Response) {
        let waiting = std::mem::take(&mut self.reads).into_values().flatten();
        for read in waiting.chain(self.new_reads.drain(..)) {
            let _ = read.reply.send(not_leader.clone());
        }
        for proposal in std::mem::take(&mut self.proposals).into_values() {
            let _ = proposal
                .reply
                .send(failed("leadership was lost before the command was applied"));
        }
    }
}

/// Returns the answer to a call whose effect is not known.
pub(crate) fn failed(message: &str) -> Response {
    Response::Failed {
        message: SmolStr::new(message),
    }
}
