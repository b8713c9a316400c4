//! Calls that have no response yet.

use {
    fuchsiatack_consensus::Term,
    fuchsiatack_ledger::Reply,
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::{PeerCaller, Request, Response},
    smol_str::SmolStr,
    std::collections::BTreeMap,
    tokio::sync::oneshot,
};

/// A response with the channel on which it is sent.
pub(crate) type OutgoingResponse = (oneshot::Sender<Response>, Response);

/// A call with the channel on which its response is sent.
pub(crate) struct PendingCall {
    pub(crate) caller: PeerCaller,
    pub(crate) responder: oneshot::Sender<Response>,
    pub(crate) request: Request,
}

/// A proposal whose response is sent once its entry is applied.
struct PendingProposal {
    responder: oneshot::Sender<Response>,
    term: Term,
}

/// Calls that wait for a leadership confirmation or for the commit of an entry.
#[derive(Default)]
pub(crate) struct PendingCalls {
    last_token: u64,
    /// Reads received since the last confirmation was requested. Reads are calls that are served from
    /// the ledger after a leadership confirmation.
    new_reads: Vec<PendingCall>,
    proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Reads that wait for a confirmation, by its token.
    reads: BTreeMap<u64, Vec<PendingCall>>,
}

impl PendingCalls {
    pub(crate) fn add_proposal(&mut self, index: LogIndex, term: Term, responder: oneshot::Sender<Response>) {
        self.proposals.insert(index, PendingProposal { responder, term });
    }

    pub(crate) fn add_read(&mut self, read: PendingCall) {
        self.new_reads.push(read);
    }

    /// Removes the proposal at an applied index and returns its response; `None` if no caller of this
    /// member waits for the entry at that index.
    pub(crate) fn complete_proposal(
        &mut self,
        index: LogIndex,
        term: Term,
        reply: Reply,
    ) -> Option<OutgoingResponse> {
        let proposal = self.proposals.remove(&index)?;
        let response = match proposal.term == term {
            true => Response::Proposed { index, reply },
            false => failed_response("another leader replaced the command"),
        };
        Some((proposal.responder, response))
    }

    /// Removes and returns the reads that waited for a confirmation.
    pub(crate) fn take_confirmed(&mut self, token: u64) -> Vec<PendingCall> {
        self.reads.remove(&token).unwrap_or_default()
    }

    /// Returns whether a read other than a renewal waits for a confirmation to be requested.
    pub(crate) fn has_urgent_reads(&self) -> bool {
        let is_urgent = |read: &PendingCall| !matches!(read.request, Request::Renew(_));
        self.new_reads.iter().any(is_urgent)
    }

    /// Returns whether all calls have a response.
    pub(crate) fn is_empty(&self) -> bool {
        self.new_reads.is_empty() && self.proposals.is_empty() && self.reads.is_empty()
    }

    /// Assigns the new reads a token for a shared confirmation, or returns `None` without new reads.
    pub(crate) fn next_token(&mut self) -> Option<u64> {
        if self.new_reads.is_empty() {
            return None;
        }
        self.last_token += 1;
        let reads = std::mem::take(&mut self.new_reads);
        self.reads.insert(self.last_token, reads);
        Some(self.last_token)
    }

    /// Ends all calls after leadership was lost. Reads had no effect and get the response
    /// `not_leader`. Proposals may still be committed, so their response reports a failure.
    pub(crate) fn fail_all(&mut self, not_leader: &Response) {
        let confirming = std::mem::take(&mut self.reads).into_values().flatten();
        for read in confirming.chain(self.new_reads.drain(..)) {
            let _ = read.responder.send(not_leader.clone());
        }
        for proposal in std::mem::take(&mut self.proposals).into_values() {
            let _ = proposal.responder.send(failed_response(
                "leadership was lost before the command was applied",
            ));
        }
    }
}

/// Returns the response to a call that failed or whose effect is unknown.
pub(crate) fn failed_response(message: &str) -> Response {
    Response::Failed {
        message: SmolStr::new(message),
    }
}
