//! Read part of the runtime: calls that are served after a leadership confirmation.

use {
    crate::{
        leadership::ReportedDemand,
        pending_calls::{PendingCall, failed_response},
        runtime::Runtime,
    },
    fuchsiatack_ledger::Renewal,
    fuchsiatack_model::{LogIndex, SessionId},
    fuchsiatack_wire::{Request, Response},
};

/// Minimum time in milliseconds between two plans, so that many renewals share a plan.
const MINIMUM_PLAN_INTERVAL_MS: u64 = 20;

impl Runtime {
    pub(crate) fn respond_to_read(&mut self, read: PendingCall) {
        let index = self.node.applied();
        let response = match read.request {
            Request::Follow { session, .. } => self.follow(read.caller, session, index),
            Request::Query(query) => Response::Queried {
                index,
                reply: Box::new(self.ledger.query(&query)),
            },
            Request::Renew(renewal) => self.renew(&renewal, index),
            _ => failed_response("the store does not handle calls of this kind"),
        };
        self.responses.push((read.responder, response));
    }

    pub(crate) fn follow(
        &mut self,
        caller: fuchsiatack_wire::PeerCaller,
        session: SessionId,
        index: LogIndex,
    ) -> Response {
        let now_ms = self.now_ms();
        match self.followers.add(now_ms, caller, session, index, &self.ledger) {
            true => Response::Following,
            false => failed_response("the queue of the follower's connection is full"),
        }
    }

    pub(crate) fn renew(&mut self, renewal: &Renewal, index: LogIndex) -> Response {
        if self.followers.take_dropped(renewal.session) {
            return failed_response("the follower's queue was full; it must follow again");
        }
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            return self.not_leader();
        };
        let Some(allocator) = &mut leadership.allocator else {
            return failed_response("the store is configured without an allocator");
        };
        let mut response = allocator.handle_renewal(now_ms, renewal, &self.ledger);
        response.commit_index = index;
        let demand = ReportedDemand::from_renewal(renewal);
        if leadership.demand.get(&renewal.session) != Some(&demand) {
            leadership.demand.insert(renewal.session, demand);
            leadership.plan_due_ms = leadership.last_plan_ms + MINIMUM_PLAN_INTERVAL_MS;
        }
        self.plan();
        self.followers.push_index(now_ms, renewal.session, index);
        Response::Renewed(response)
    }
}
