//! Confirmed reads of the runtime.

use {
    crate::{
        leadership::ReportedDemand,
        pending_calls::{PendingRead, failed_response},
        runtime::Runtime,
    },
    fuchsiatack_ledger::Renewal,
    fuchsiatack_model::{LogIndex, SessionId},
    fuchsiatack_wire::{Request, Response},
};

/// Shortest time between two plans in milliseconds, so that many renewals share one.
const MINIMUM_PLAN_INTERVAL_MS: u64 = 20;

impl Runtime {
    pub(crate) fn respond_to_read(&mut self, read: PendingRead) {
        let index = self.node.applied();
        let response = match read.request {
            Request::Follow { session, .. } => self.follow(read.caller, session, index),
            Request::Query(query) => Response::Queried {
                index,
                reply: Box::new(self.ledger.query(&query)),
            },
            Request::Renew(renewal) => self.renew(&renewal, index),
            _ => failed_response("the store does not answer such calls"),
        };
        self.responses.push((read.reply, response));
    }

    pub(crate) fn follow(
        &mut self,
        caller: fuchsiatack_wire::Caller,
        session: SessionId,
        index: LogIndex,
    ) -> Response {
        let now_ms = self.now_ms();
        match self.followers.add(now_ms, caller, session, index, &self.ledger) {
            true => Response::Following,
            false => failed_response("the connection's queue is full"),
        }
    }

    pub(crate) fn renew(&mut self, renewal: &Renewal, index: LogIndex) -> Response {
        if self.followers.take_dropped(renewal.session) {
            return failed_response("the follower did not keep up and must follow again");
        }
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            return self.not_leader();
        };
        let Some(allocator) = &mut leadership.allocator else {
            return failed_response("the store runs no allocator");
        };
        let mut advice = allocator.renewed(now_ms, renewal, &self.ledger);
        advice.commit = index;
        let demand = ReportedDemand::from_renewal(renewal);
        if leadership.demand.get(&renewal.session) != Some(&demand) {
            leadership.demand.insert(renewal.session, demand);
            leadership.plan_due_ms = leadership.last_plan_ms + MINIMUM_PLAN_INTERVAL_MS;
        }
        self.plan();
        self.followers.push_index(now_ms, renewal.session, index);
        Response::Renewed(advice)
    }
}
