//! Log events about the member list and the leader's contact to its voters.

use {
    crate::runtime::Runtime,
    fuchsiatack_consensus::{Member, MemberChange, MemberId, MemberRole, Role},
    fuchsiatack_jobs::LogEvent,
    std::net::SocketAddr,
};

/// Contact of a leader to the voters of its member list.
pub(crate) struct QuorumContact {
    pub(crate) in_contact: usize,
    /// Names of the voters without contact, separated by commas.
    pub(crate) out_of_contact: String,
    pub(crate) quorum: usize,
    pub(crate) voters: usize,
}

impl QuorumContact {
    fn add_to(&self, event: LogEvent) -> LogEvent {
        event
            .with("voters", self.voters)
            .with("in_contact", self.in_contact)
            .with("quorum", self.quorum)
            .with("out_of_contact", &self.out_of_contact)
    }
}

impl Runtime {
    fn voters(&self) -> impl Iterator<Item = &Member> {
        let members = self.node.members().iter();
        members.filter(|member| member.role == MemberRole::Voter)
    }

    /// Returns the voters that this leader has contact to at `now_ms`.
    pub(crate) fn voters_in_contact(&self, now_ms: u64) -> impl Iterator<Item = &Member> {
        self.voters()
            .filter(move |voter| self.node.is_in_contact(voter.id, now_ms))
    }

    /// Returns the peer addresses of the members that have responded to this leader.
    pub(crate) fn responsive_members(&self) -> impl Iterator<Item = SocketAddr> {
        let now_ms = self.now_ms();
        let members = self.node.members().iter();
        members
            .filter(move |member| self.failure.is_none() && self.node.is_responsive(member.id, now_ms))
            .map(|member| member.address)
    }

    /// Returns the contact to the voters at `now_ms`, if this member leads.
    pub(crate) fn quorum_contact(&self, now_ms: u64) -> QuorumContact {
        let voters = self.voters().count();
        let out_of_contact: Vec<_> = self
            .voters()
            .filter(|voter| !self.node.is_in_contact(voter.id, now_ms))
            .map(|voter| voter.name.as_str())
            .collect();
        QuorumContact {
            in_contact: voters - out_of_contact.len(),
            out_of_contact: out_of_contact.join(","),
            quorum: voters / 2 + 1,
            voters,
        }
    }

    /// Passes the time to the consensus node and logs if a leader steps down, which it does without
    /// contact to a quorum.
    pub(crate) fn tick_node(&mut self, now_ms: u64) {
        let contact = (self.node.role() == Role::Leader).then(|| self.quorum_contact(now_ms));
        let term = self.node.term();
        self.node.tick(now_ms);
        if let Some(contact) = contact.filter(|_| self.node.role() != Role::Leader) {
            let event = LogEvent::new("leader lost contact to the quorum").with("term", term.0);
            self.log(contact.add_to(event));
        }
    }

    /// Returns the log event of a change, with the name that the member has before it.
    pub(crate) fn member_change_event(&self, change: &MemberChange) -> LogEvent {
        let event = LogEvent::new("member list changed");
        let listed_name = |id: MemberId| {
            let member = self.node.members().iter().find(|member| member.id == id);
            member.map(|member| member.name.clone()).unwrap_or_default()
        };
        match change {
            MemberChange::Add { id, name, .. } => described(event, "add", name, *id),
            MemberChange::Promote(id) => described(event, "promote", &listed_name(*id), *id),
            MemberChange::Remove(id) => described(event, "remove", &listed_name(*id), *id),
        }
    }

    /// Logs a change that was appended, with the voters after it.
    pub(crate) fn log_member_change(&self, event: LogEvent) {
        let contact = self.quorum_contact(self.now_ms());
        let event = event.with("members", self.node.members().len());
        self.log(contact.add_to(event));
    }

    /// Queues a log event. Does nothing without the job planner's settings, which have the queue.
    pub(crate) fn log(&self, event: LogEvent) {
        if let Some(jobs) = &self.settings.jobs {
            // The receiver ends only with the process.
            let _ = jobs.log_events.send(event);
        }
    }
}

fn described(event: LogEvent, change: &str, name: &str, id: MemberId) -> LogEvent {
    event
        .with("change", change)
        .with("member", name)
        .with("identity", format!("{:016x}", id.0))
}
