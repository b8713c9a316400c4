//! Member list, quorums and replication progress of a node.

use {
    crate::{
        ChangeError, Entry, Member, MemberChange, MemberId, MemberRole, Node, NotLeader, Payload, Role,
        progress::Progress,
    },
    fuchsiatack_model::LogIndex,
};

impl Node {
    pub(crate) fn members_after(&self, change: MemberChange) -> Result<Vec<Member>, ChangeError> {
        let mut members = self.members.clone();
        let position = |id: MemberId| {
            self.members
                .binary_search_by_key(&id, |member| member.id)
                .map_err(|_| ChangeError::Unknown(id))
        };
        match change {
            MemberChange::Add { address, id, name } => match position(id) {
                Ok(found) => {
                    members[found].address = address;
                    members[found].name = name;
                }
                Err(_) => members.push(Member {
                    address,
                    id,
                    name,
                    role: MemberRole::Learner,
                }),
            },
            MemberChange::Promote(id) => {
                let found = position(id)?;
                if !self.is_caught_up(id) {
                    return Err(ChangeError::NotCaughtUp(id));
                }
                members[found].role = MemberRole::Voter;
            }
            MemberChange::Remove(id) => {
                members.remove(position(id)?);
            }
        }
        members.sort_unstable_by_key(|member| member.id);
        match members.iter().any(|member| member.role == MemberRole::Voter) {
            true => Ok(members),
            false => Err(ChangeError::NoVoter),
        }
    }

    pub(crate) fn set_members(&mut self, members: Vec<Member>, index: LogIndex) {
        self.members = members;
        self.members_index = index;
        if self.role == Role::Leader {
            self.update_progress();
        }
    }

    pub(crate) fn update_progress(&mut self) {
        let own = self.settings.id;
        let (last, now_ms) = (self.log.last(), self.now_ms);
        let members = &self.members;
        self.progress
            .retain(|id, _| members.iter().any(|member| member.id == *id));
        for member in members.iter().filter(|member| member.id != own) {
            self.progress
                .entry(member.id)
                .or_insert_with(|| Progress::new(last, now_ms));
        }
    }

    pub(crate) fn reload_members(&mut self) {
        let latest = self.log.latest_members(self.log.last()).cloned();
        let (members, index) = match (latest.as_deref(), &self.snapshot) {
            (
                Some(Entry {
                    index,
                    payload: Payload::Members(members),
                    ..
                }),
                _,
            ) => (members.clone(), *index),
            (_, Some(snapshot)) => (snapshot.members.clone(), snapshot.index),
            (_, None) => (Vec::new(), LogIndex(0)),
        };
        self.set_members(members, index);
    }

    pub(crate) fn members_at(&self, index: LogIndex) -> Vec<Member> {
        let latest = self.log.latest_members(index).map(|entry| &entry.payload);
        match (latest, &self.snapshot) {
            (Some(Payload::Members(members)), _) => members.clone(),
            (_, Some(snapshot)) => snapshot.members.clone(),
            (_, None) => Vec::new(),
        }
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.members
            .iter()
            .filter(|member| member.role == MemberRole::Voter)
            .map(|member| member.id)
    }

    pub(crate) fn is_voter(&self, id: MemberId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    pub(crate) fn is_quorum(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let total = self.voters().count();
        let agreeing = self.voters().filter(|voter| agrees(*voter)).count();
        agreeing > total / 2
    }

    pub(crate) fn has_quorum_contact(&self) -> bool {
        self.is_quorum(|member| self.is_in_contact(member, self.now_ms))
    }

    pub(crate) fn require_leader(&self) -> Result<(), NotLeader> {
        match self.role {
            Role::Leader => Ok(()),
            _ => Err(NotLeader { leader: self.leader }),
        }
    }
}
