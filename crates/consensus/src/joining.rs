//! Member list of a cell whose members join by request.

use {
    crate::{Member, MemberChange, MemberId, MemberRole},
    fuchsiatack_derives::value,
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Time in milliseconds for which a request counts. Daemons repeat it until they are members, so an
/// older one is from a daemon that stopped or lost its disk again.
const REQUEST_LIFETIME_MS: u64 = 3_000;
/// Maximum number of voters. Learners beyond it are promoted only in place of a silent voter.
const MAX_VOTERS: usize = 9;
/// Time in milliseconds without a message after which a voter is silent. Restarts of a process are
/// shorter. A machine that is replaced stops counting when its successor is to count.
const VOTER_SILENCE_MS: u64 = 3_000;
/// Time in milliseconds without a message after which a learner is silent.
const LEARNER_SILENCE_MS: u64 = 10_000;
/// Time in milliseconds without a message after which two silent voters are removed from an odd number.
/// Longer than machines are usually down, because their votes may be needed when they return.
const PAIR_SILENCE_MS: u64 = 60_000;
/// Time in milliseconds without a message after which a voter may be gone. It is longer than the
/// interval of heartbeats, and close to the longest election timeout.
const DOUBTFUL_SILENCE_MS: u64 = 500;
/// Fewest voters that the removal of silent ones leaves.
const MIN_VOTERS: usize = 3;
/// Fewest voters that the removal of two silent ones leaves.
const MIN_VOTERS_AFTER_PAIR: usize = 5;

/// Request of a daemon to be a member. It replaces any other identity with the same name.
#[value]
pub struct JoinRequest {
    /// Address at which other members connect to it.
    pub address: SocketAddr,
    /// Identity from its data folder.
    pub id: MemberId,
    /// Name, which stays the same when its disk is replaced.
    pub name: SmolStr,
}

impl JoinRequest {
    fn change(&self) -> MemberChange {
        MemberChange::Add {
            address: self.address,
            id: self.id,
            name: self.name.clone(),
        }
    }

    fn matches(&self, member: &Member) -> bool {
        member.id == self.id && member.address == self.address && member.name == self.name
    }
}

/// What the leader knows about a member at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct MemberContact {
    /// Whether the member has nearly the whole log; see `Node::is_caught_up`. True for the leader.
    pub is_caught_up: bool,
    /// Milliseconds since the member's last message, or since the leader's election or the member's
    /// addition if there was none. 0 for the leader.
    pub silent_ms: u64,
}

/// Requests to join that a leader has received. A leader starts without any.
#[derive(Debug, Default)]
pub struct JoinRequests {
    /// Latest request and its time by name.
    requests: BTreeMap<SmolStr, (JoinRequest, u64)>,
}

impl JoinRequests {
    /// Stores a request. An earlier one with the same name is from an identity whose disk was lost.
    pub fn insert(&mut self, now_ms: u64, request: JoinRequest) {
        self.requests.insert(request.name.clone(), (request, now_ms));
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.requests.clear();
    }

    /// Returns the next change of the member list that the leader has to propose, given what it knows
    /// about each member.
    pub fn next_change(
        &mut self,
        now_ms: u64,
        members: &[Member],
        contact: impl Fn(MemberId) -> MemberContact,
    ) -> Option<MemberChange> {
        self.requests
            .retain(|_, (_, requested_ms)| now_ms < *requested_ms + REQUEST_LIFETIME_MS);
        let requests: Vec<_> = self.requests.values().map(|(request, _)| request).collect();
        next_joining_change(&requests, members, contact)
    }
}

/// Returns the next change of the member list. `requests` has at most one identity per name.
///
/// A new identity is added as a learner. It stops its requests once it has the member list, so all
/// further changes follow from the list: a learner that has caught up first removes the member of the
/// same name that it replaces, and then becomes a voter.
///
/// A machine at a new address is a new name, so the one that it replaces is known only by its silence. A
/// silent voter is removed once the list has an even number of voters, which is the case when its
/// successor is promoted. A removed member that was only unreachable asks to join again.
pub fn next_joining_change(
    requests: &[&JoinRequest],
    members: &[Member],
    contact: impl Fn(MemberId) -> MemberContact,
) -> Option<MemberChange> {
    let list = MemberList { contact, members };
    list.addition(requests)
        .or_else(|| list.removal_of_replaced())
        .or_else(|| list.promotion())
        .or_else(|| list.removal_of_silent_voter())
        .or_else(|| list.removal_of_silent_learner())
}

struct MemberList<'a, Contact> {
    contact: Contact,
    members: &'a [Member],
}

impl<Contact: Fn(MemberId) -> MemberContact> MemberList<'_, Contact> {
    fn addition(&self, requests: &[&JoinRequest]) -> Option<MemberChange> {
        let is_listed = |request: &JoinRequest| self.members.iter().any(|member| request.matches(member));
        let missing = requests.iter().find(|request| !is_listed(request));
        missing.map(|request| request.change())
    }

    /// Removes a member that a learner of the same name replaces. The removal comes before the
    /// promotion because the replaced member's disk is lost: if it stayed in a cell of three voters, the
    /// quorum of four voters would need all other members.
    fn removal_of_replaced(&self) -> Option<MemberChange> {
        let replaced = self.caught_up_learners().find_map(|learner| {
            let mut replaced = self.replaced_by(learner);
            replaced.find(|member| !self.is_caught_up(member))
        });
        replaced.map(|member| MemberChange::Remove(member.id))
    }

    /// Promotes a learner that has caught up.
    ///
    /// While a voter of an even number may be gone, no learner is promoted in a larger cell: its removal
    /// comes first, since a single voter is not removed from the odd number that would follow.
    fn promotion(&self) -> Option<MemberChange> {
        let voters = self.voters().count();
        let has_silent = |after_ms| self.silent(MemberRole::Voter, after_ms).next().is_some();
        let awaits_removal =
            voters > MIN_VOTERS_AFTER_PAIR && voters.is_multiple_of(2) && has_silent(DOUBTFUL_SILENCE_MS);
        let has_room = voters < MAX_VOTERS || (voters == MAX_VOTERS && has_silent(VOTER_SILENCE_MS));
        let has_room = has_room && !awaits_removal;
        let learner = self
            .caught_up_learners()
            .find(|learner| has_room && self.replaced_by(learner).next().is_none());
        learner.map(|learner| MemberChange::Promote(learner.id))
    }

    /// Removes the voter that has been silent for the longest time, if no running majority loses its
    /// quorum by that.
    ///
    /// With an even number of voters, the removal makes the quorum smaller by one. Half of the voters
    /// then is a quorum, and a majority that includes the removed one has at least as many of the
    /// others. With an odd number, the quorum stays the same, so two are removed one after the other,
    /// and only after a longer time: if both return while others are lost, a majority of the machines
    /// may lack a quorum until they are members again.
    fn removal_of_silent_voter(&self) -> Option<MemberChange> {
        let voters = self.voters().count();
        let has_pair = self.silent(MemberRole::Voter, PAIR_SILENCE_MS).count() >= 2;
        let is_removable = match voters % 2 {
            0 => voters > MIN_VOTERS,
            _ => has_pair && voters >= MIN_VOTERS_AFTER_PAIR + 2,
        };
        let silent = self.silent(MemberRole::Voter, VOTER_SILENCE_MS);
        let longest = silent.max_by_key(|member| (self.contact)(member.id).silent_ms);
        longest
            .filter(|_| is_removable)
            .map(|member| MemberChange::Remove(member.id))
    }

    /// Removes a learner to which the leader would otherwise send messages for good.
    fn removal_of_silent_learner(&self) -> Option<MemberChange> {
        let learner = self.silent(MemberRole::Learner, LEARNER_SILENCE_MS).next();
        learner.map(|member| MemberChange::Remove(member.id))
    }

    fn silent(&self, role: MemberRole, after_ms: u64) -> impl Iterator<Item = &Member> {
        let members = self.members.iter().filter(move |member| member.role == role);
        members.filter(move |member| (self.contact)(member.id).silent_ms >= after_ms)
    }

    fn replaced_by(&self, learner: &Member) -> impl Iterator<Item = &Member> {
        let members = self.members.iter();
        members.filter(move |member| member.id != learner.id && member.name == learner.name)
    }

    fn caught_up_learners(&self) -> impl Iterator<Item = &Member> {
        let is_learner = |member: &&Member| member.role == MemberRole::Learner;
        let learners = self.members.iter().filter(is_learner);
        learners.filter(|member| self.is_caught_up(member))
    }

    fn is_caught_up(&self, member: &Member) -> bool {
        (self.contact)(member.id).is_caught_up
    }

    fn voters(&self) -> impl Iterator<Item = &Member> {
        let members = self.members.iter();
        members.filter(|member| member.role == MemberRole::Voter)
    }
}
