//! Confirmed reads of the runtime.

use {
    crate::{
        calls::{WaitingRead, failed},
        leadership::Demand,
        runtime::Runtime,
    },
    fuchsiatack_ledger::Renewal,
    fuchsiatack_model::{LogIndex, SessionId},
    fuchsiatack_wire::{Request, Response},
};

/// Shortest time between two plans in milliseconds, so that many renewals share one.
const MINIMUM_PLAN_INTERVAL_MS: u64 = 20;

impl Runtime {
    pub(crate) fn answer(&mut self, read: WaitingRead) {
        let index = self.node.applied();
        let response = match read.request {
            Request::Follow { session, .. } => self.follow(read.caller, session, index),
            Request::Query(query) => Response::Queried {
                index,
                reply: Box::new(self.ledger.query(&query)),
            },
            Request::Renew(renewal) => self.renew(&renewal, index),
            _ => failed("the store does not answer such calls"),
        };
        self.answers.push((read.reply, response));
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
            false => failed("the connection's queue is full"),
        }
    }

    pub(crate) fn renew(&mut self, renewal: &Renewal, index: LogIndex) -> Response {
        if self.followers.take_dropped(renewal.session) {
            return failed("the follower did not keep up and must follow again");
        }
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            return self.not_leader();
        };
        let Some(allocator) = &mut leadership.allocator else {
            return failed("the store runs no allocator");
        };
        let mut advice = allocator.handle_renewal(now_ms, renewal, &self.ledger);
        advice.commit_index = index;
        let demand = Demand::of(renewal);
        if leadership.demand.get(&renewal.session) != Some(&demand) {
            leadership.demand.insert(renewal.session, demand);
            leadership.plan_due_ms = leadership.planned_ms + MINIMUM_PLAN_INTERVAL_MS;
        }
        self.plan();
        self.followers.push_index(now_ms, renewal.session, index);
        Response::Renewed(advice)
    }
}
