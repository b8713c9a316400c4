//! Waiting tasks in fair order.

use {
    crate::{task::TaskKey, team::TeamKey},
    fuchsiatack_model::{Policy, Resources},
    slotmap::{SlotMap, new_key_type},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

new_key_type! {
    /// Address of a group in its arena.
    pub(crate) struct GroupKey;
    /// Address of a lane in its arena.
    pub(crate) struct LaneKey;
}

/// Policy, demand and number of tasks that start together.
pub(crate) type Class = (Policy, Resources, u32);

/// Requests of one team with equal policy, demand and size, in order of arrival.
pub(crate) struct Lane {
    pub(crate) group: GroupKey,
    /// Waits for tokens, so it is not in its group's order.
    pub(crate) parked: bool,
    rank: (u64, u64),
    pub(crate) tasks: BTreeMap<u64, TaskKey>,
    pub(crate) team: TeamKey,
}

/// Lanes of all teams with equal policy, demand and size. If one of them finds no worker, none does.
pub(crate) struct Group {
    /// Whether its waiting tasks were reported as larger than any worker.
    pub(crate) blocked: bool,
    pub(crate) demand: Resources,
    lanes: u32,
    order: BTreeSet<(u64, u64, LaneKey)>,
    pub(crate) policy: Policy,
    /// Tasks that start together.
    pub(crate) size: u32,
}

/// Waiting work. A group is looked at only while it is in `ready`, which it enters when it
/// gets its first lane or when a worker offers enough for it.
#[derive(Default)]
pub(crate) struct Waiting {
    by_class: HashMap<Class, GroupKey>,
    pub(crate) groups: SlotMap<GroupKey, Group>,
    pub(crate) lanes: SlotMap<LaneKey, Lane>,
    ready: BTreeSet<(Policy, GroupKey)>,
}

impl Waiting {
    /// Returns the team's lane for a class; it is created if there is none.
    pub(crate) fn lane(
        &mut self,
        team: TeamKey,
        team_lanes: &mut Vec<(GroupKey, LaneKey)>,
        class: Class,
    ) -> LaneKey {
        let (policy, demand, size) = class;
        let group = *self.by_class.entry(class).or_insert_with(|| {
            self.groups.insert(Group {
                blocked: false,
                demand,
                lanes: 0,
                order: BTreeSet::new(),
                policy,
                size,
            })
        });
        if let Some((_, lane)) = team_lanes.iter().find(|(other, _)| *other == group) {
            return *lane;
        }
        self.groups[group].lanes += 1;
        let lane = self.lanes.insert(Lane {
            group,
            parked: false,
            rank: (0, 0),
            tasks: BTreeMap::new(),
            team,
        });
        team_lanes.push((group, lane));
        lane
    }

    /// Adds a task to a lane of a team with the given share.
    pub(crate) fn push(&mut self, lane: LaneKey, sequence: u64, task: TaskKey, share: u64) {
        let group = self.lanes[lane].group;
        let first_in_group = self.groups[group].order.is_empty();
        self.lanes[lane].tasks.insert(sequence, task);
        self.rank(lane, share);
        if first_in_group {
            self.wake(group);
        }
    }

    /// Takes a task out of its lane. Returns whether the lane is gone with it.
    pub(crate) fn take(&mut self, lane: LaneKey, sequence: u64, share: u64) -> bool {
        self.lanes[lane].tasks.remove(&sequence);
        if !self.lanes[lane].tasks.is_empty() {
            self.rank(lane, share);
            return false;
        }
        self.unrank(lane);
        let group = self.lanes[lane].group;
        self.lanes.remove(lane);
        self.groups[group].lanes -= 1;
        if self.groups[group].lanes == 0 {
            self.remove_group(group);
        }
        true
    }

    /// Moves a lane to its place for a share.
    pub(crate) fn rank(&mut self, lane: LaneKey, share: u64) {
        let entry = &mut self.lanes[lane];
        let Some(head) = entry.tasks.keys().next() else {
            return;
        };
        let rank = (share, *head);
        let order = &mut self.groups[entry.group].order;
        order.remove(&(entry.rank.0, entry.rank.1, lane));
        entry.rank = rank;
        if !entry.parked {
            order.insert((rank.0, rank.1, lane));
        }
    }

    /// Takes a lane out of the order until `unpark`.
    pub(crate) fn park(&mut self, lane: LaneKey) {
        self.unrank(lane);
        self.lanes[lane].parked = true;
    }

    /// Puts a parked lane back and has its group looked at.
    pub(crate) fn unpark(&mut self, lane: LaneKey, share: u64) {
        if !self.lanes[lane].parked {
            return;
        }
        self.lanes[lane].parked = false;
        self.rank(lane, share);
        self.wake(self.lanes[lane].group);
    }

    /// Returns the policy of a lane's tasks.
    pub(crate) fn policy(&self, lane: LaneKey) -> Policy {
        self.groups[self.lanes[lane].group].policy
    }

    /// Has a group looked at.
    pub(crate) fn wake(&mut self, group: GroupKey) {
        self.ready.insert((self.groups[group].policy, group));
    }

    /// Has every group looked at whose demand the offer covers. Gangs are left out: they are
    /// looked at in intervals, since each look costs as much as the gang is large.
    pub(crate) fn wake_covered(&mut self, offer: &Resources) {
        for (key, group) in &self.groups {
            if group.size == 1 && offer.covers(&group.demand) {
                self.ready.insert((group.policy, key));
            }
        }
    }

    /// Has every gang looked at.
    pub(crate) fn wake_gangs(&mut self) {
        for (key, group) in &self.groups {
            if group.size > 1 {
                self.ready.insert((group.policy, key));
            }
        }
    }

    /// Has all groups judged anew whether they fit, after the fleet has grown.
    pub(crate) fn unblock(&mut self) {
        for group in self.groups.values_mut() {
            group.blocked = false;
        }
    }

    /// Stops looking at a group until it is woken.
    pub(crate) fn rest(&mut self, group: GroupKey) {
        if let Some(entry) = self.groups.get(group) {
            self.ready.remove(&(entry.policy, group));
        }
    }

    /// Returns the lane to serve next: lowest policy, then lowest share, then oldest.
    pub(crate) fn next(&mut self) -> Option<LaneKey> {
        while let Some(&(policy, first)) = self.ready.first() {
            let best = self
                .ready
                .iter()
                .take_while(|(other, _)| *other == policy)
                .filter_map(|(_, group)| self.groups[*group].order.first())
                .min()
                .map(|(_, _, lane)| *lane);
            if best.is_some() {
                return best;
            }
            self.ready.remove(&(policy, first));
        }
        None
    }

    fn remove_group(&mut self, key: GroupKey) {
        if let Some(group) = self.groups.remove(key) {
            self.by_class.remove(&(group.policy, group.demand, group.size));
            self.ready.remove(&(group.policy, key));
        }
    }

    fn unrank(&mut self, lane: LaneKey) {
        let entry = &self.lanes[lane];
        let order = &mut self.groups[entry.group].order;
        order.remove(&(entry.rank.0, entry.rank.1, lane));
    }
}
