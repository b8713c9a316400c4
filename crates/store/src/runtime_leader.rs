//! Leader part of the runtime: job planning, allocation and membership changes.

use {
    crate::{
        Membership, clock::unix_ms, jobs_role::JobsRole, leadership::Leadership, membership, runtime::Runtime,
    },
    fuchsiatack_consensus::{MemberChange, Role},
    fuchsiatack_ledger::{Allocator, Command, Query, QueryReply},
    fuchsiatack_records::Kind,
    std::collections::HashMap,
};

/// Interval in milliseconds between removals of expired journal entries.
const EXPIRY_INTERVAL_MS: u64 = 60_000;
/// Interval in milliseconds between reconciliations of the member list.
const MEMBERS_INTERVAL_MS: u64 = 100;
/// Maximum number of voters that operators' records lead to. Learners beyond it are not promoted.
const MAX_VOTERS: usize = 9;
/// Interval in milliseconds between plans of the allocator.
const PLAN_INTERVAL_MS: u64 = 100;

impl Runtime {
    /// Starts the job planner once every entry of earlier leaders is applied, and proposes its
    /// commands of this turn.
    pub(crate) fn propose_jobs(&mut self) {
        let Some(settings) = &self.settings.jobs else {
            return;
        };
        if self.jobs.is_none()
            && self.node.is_established_leader()
            && self.node.applied() == self.node.commit()
        {
            let now_ms = self.now_ms();
            let jobs = JobsRole::new(
                settings,
                self.ledger.jobs(),
                self.node.term(),
                self.node.applied(),
                now_ms,
            );
            self.jobs = Some(jobs);
            self.update_planner_members();
        }
        let Some(jobs) = &mut self.jobs else {
            return;
        };
        let (commands, effects) = jobs.take_commands();
        if !commands.is_empty() {
            self.propose(Command::Jobs(commands), None);
        }
        let index = self.node.last();
        if let Some(jobs) = &mut self.jobs {
            jobs.defer_effects(index, effects);
        }
    }

    /// Runs the job planner's effects whose entries are applied, if the lease is valid.
    pub(crate) fn run_effects(&mut self) {
        let now_ms = self.now_ms();
        let holds_lease = self
            .node
            .lease_until_ms()
            .is_some_and(|until_ms| now_ms < until_ms);
        let applied = self.node.applied();
        if let Some(jobs) = self.jobs.as_mut().filter(|_| holds_lease) {
            self.responses.extend(jobs.run_effects(applied));
        }
    }

    /// Starts or ends the leader's work after a change of role or term.
    pub(crate) fn update_leadership(&mut self) {
        let led = self.leadership.as_ref().map(|leadership| leadership.term);
        let leads = (self.node.role() == Role::Leader).then(|| self.node.term());
        // Calls may have been accepted in a leadership that began and ended within one turn.
        let has_orphaned_calls = leads.is_none() && !self.calls.is_empty();
        if led == leads && !has_orphaned_calls {
            return;
        }
        if led.is_some() || has_orphaned_calls {
            self.end_leadership();
        }
        if let Some(term) = leads {
            let now_ms = self.now_ms();
            let allocator = self.settings.allocator.clone();
            self.leadership = Some(Leadership {
                allocator: allocator.map(|settings| Allocator::new(settings, now_ms)),
                demand: HashMap::new(),
                confirmation_due_ms: now_ms,
                expiry_due_ms: now_ms,
                member_check_due_ms: now_ms,
                plan_due_ms: now_ms,
                plan_after: self.node.last(),
                last_plan_ms: 0,
                term,
            });
        }
    }

    pub(crate) fn end_leadership(&mut self) {
        self.leadership = None;
        self.join_requests.clear();
        if let Some(jobs) = self.jobs.take() {
            jobs.fail_all();
        }
        self.followers.clear();
        let not_leader = self.not_leader();
        self.calls.fail_all(&not_leader);
    }

    /// Proposes the allocator's commands if a plan is due and those of the last plan are applied.
    pub(crate) fn plan(&mut self) {
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if self.stop_due_ms.is_some() {
            return;
        }
        if now_ms < leadership.plan_due_ms || self.node.applied() < leadership.plan_after {
            return;
        }
        leadership.plan_due_ms = now_ms + PLAN_INTERVAL_MS;
        leadership.last_plan_ms = now_ms;
        let Some(allocator) = &mut leadership.allocator else {
            return;
        };
        let mut commands = allocator.plan(now_ms, &self.ledger);
        if now_ms >= leadership.expiry_due_ms {
            leadership.expiry_due_ms = now_ms + EXPIRY_INTERVAL_MS;
            commands.extend(self.ledger.journal_expiry(unix_ms()));
        }
        if commands.is_empty() {
            return;
        }
        for command in commands {
            self.propose(command, None);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.plan_after = self.node.last();
        }
    }

    /// Passes the member addresses to the job planner, which reports them to daemons on request.
    fn update_planner_members(&mut self) {
        let addresses = self.node.members().iter().map(|member| member.address).collect();
        if let Some(jobs) = &mut self.jobs {
            jobs.set_members(addresses);
        }
    }

    /// Proposes the next change that brings the member list closer to the desired members. A change
    /// that is rejected, because an earlier one is not committed yet, is retried at the next check.
    pub(crate) fn change_members(&mut self) {
        let now_ms = self.now_ms();
        match &mut self.leadership {
            Some(leadership) if now_ms >= leadership.member_check_due_ms => {
                leadership.member_check_due_ms = now_ms + MEMBERS_INTERVAL_MS;
            }
            _ => return,
        }
        self.update_planner_members();
        let change = match self.settings.membership {
            Membership::Joining { .. } => {
                let contact = |member| self.node.contact(member);
                self.join_requests
                    .next_change(now_ms, self.node.members(), contact)
            }
            Membership::Records => self.next_recorded_change(),
        };
        let Some(change) = change else {
            return;
        };
        let event = self.member_change_event(&change);
        if self.node.propose_members(change).is_ok() {
            self.peers.set_addresses(self.node.members());
            self.log_member_change(event);
        }
    }

    /// Returns the next change that brings the member list closer to the operators' records.
    fn next_recorded_change(&self) -> Option<MemberChange> {
        let desired = match self.ledger.query(&Query::Records(Kind::StoreMember)) {
            QueryReply::Records(records) => membership::from_records(&records),
            _ => Vec::new(),
        };
        let is_caught_up = |member| self.node.is_caught_up(member);
        membership::next_change(&desired, self.node.members(), MAX_VOTERS, is_caught_up)
    }
}
