//! Waiting tasks, in the order in which teams are served.

use {
    crate::{
        task::TaskKey,
        team::{POLICY_COUNT, Team, TeamKey},
        teams::Teams,
    },
    fuchsiatack_model::{Policy, Resources},
    slotmap::{SlotMap, new_key_type},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

new_key_type! {
    /// Key of a group in its slot map.
    pub(crate) struct GroupKey;
    /// Key of a lane in its slot map.
    pub(crate) struct LaneKey;
}

/// Number of ready lanes up to which they are compared one by one. With more lanes it is cheaper
/// to walk the order of teams, since a team with one of the lanes comes early in it.
const COMPARED_LANES: usize = 16;

/// Policy, demand of each task and number of tasks that start together.
pub(crate) type Class = (Policy, Resources, u32);

/// Share of a team and number of its last start. Teams with lower ranks are served first; the
/// second part makes teams of equal share take turns.
pub(crate) type Rank = (u64, u64);

/// Queue of the requests of one team and class, in order of arrival.
pub(crate) struct Lane {
    pub(crate) group: GroupKey,
    /// Whether the lane is skipped, since its team lacks free tokens or leaves them to a gang.
    pub(crate) parked: bool,
    /// Position in `Group::lanes`.
    position: usize,
    /// First task of each request by number of arrival.
    pub(crate) tasks: BTreeMap<u64, TaskKey>,
    pub(crate) team: TeamKey,
}

/// Equivalence class of waiting requests: the lanes of all teams for one class. If one of the
/// requests finds no worker, none does.
pub(crate) struct Group {
    /// Whether its tasks were reported as blocked, since they do not fit on the present workers.
    pub(crate) blocked: bool,
    pub(crate) demand: Resources,
    lanes: Vec<LaneKey>,
    pub(crate) policy: Policy,
    /// Number of tasks that start together.
    pub(crate) size: u32,
    /// Number of lanes that are not parked.
    unparked: usize,
}

/// All waiting tasks. Placement is tried only for groups in `ready`. A group becomes ready when it
/// gets its first lane that is not parked, when one of its lanes is unparked, or when a worker
/// offers enough resources for it.
#[derive(Default)]
pub(crate) struct WaitingTasks {
    by_class: HashMap<Class, GroupKey>,
    pub(crate) groups: SlotMap<GroupKey, Group>,
    pub(crate) lanes: SlotMap<LaneKey, Lane>,
    ready: BTreeSet<(Policy, GroupKey)>,
    /// For each policy, the teams that have lanes which are not parked. A stored rank may be lower
    /// than the team's present one; it is raised when the team is next in turn.
    team_orders: [BTreeSet<(Rank, TeamKey)>; POLICY_COUNT],
}

impl WaitingTasks {
    /// Returns the team's lane for a class, which is created if it does not exist.
    pub(crate) fn lane(&mut self, key: TeamKey, team: &mut Team, class: Class) -> LaneKey {
        let (policy, demand, size) = class;
        let group = *self.by_class.entry(class).or_insert_with(|| {
            self.groups.insert(Group {
                blocked: false,
                demand,
                lanes: Vec::new(),
                unparked: 0,
                policy,
                size,
            })
        });
        if let Some((_, lane)) = team.lanes.iter().find(|(other, _)| *other == group) {
            return *lane;
        }
        let entry = &mut self.groups[group];
        let lane = self.lanes.insert(Lane {
            group,
            parked: false,
            position: entry.lanes.len(),
            tasks: BTreeMap::new(),
            team: key,
        });
        entry.lanes.push(lane);
        entry.unparked += 1;
        let is_first_unparked = entry.unparked == 1;
        team.lanes.push((group, lane));
        let rank = team.rank();
        self.set_rank(key, team, policy, Some(rank));
        if is_first_unparked {
            self.mark_ready(group);
        }
        lane
    }

    /// Adds a request to a lane.
    pub(crate) fn push(&mut self, lane: LaneKey, sequence: u64, task: TaskKey) {
        self.lanes[lane].tasks.insert(sequence, task);
        self.mark_gang_ready(self.lanes[lane].group);
    }

    /// Removes a request from its lane, and the lane if it becomes empty.
    pub(crate) fn remove(&mut self, lane: LaneKey, sequence: u64, team: &mut Team) {
        let entry = &mut self.lanes[lane];
        entry.tasks.remove(&sequence);
        let group = entry.group;
        match entry.tasks.is_empty() {
            true => self.remove_lane(lane, team),
            false => self.mark_gang_ready(group),
        }
    }

    /// Skips a lane until `unpark`, since its team lacks free tokens or leaves them to a gang.
    pub(crate) fn park(&mut self, lane: LaneKey, team: &mut Team) {
        let entry = &mut self.lanes[lane];
        let (group, key) = (entry.group, entry.team);
        entry.parked = true;
        team.parked = true;
        self.groups[group].unparked -= 1;
        self.remove_from_order_if_unused(key, team, self.groups[group].policy);
    }

    /// Returns the team's parked lanes to the order and marks their groups as ready.
    pub(crate) fn unpark(&mut self, key: TeamKey, team: &mut Team) {
        team.parked = false;
        let rank = team.rank();
        for position in 0..team.lanes.len() {
            let (group, lane) = team.lanes[position];
            if std::mem::take(&mut self.lanes[lane].parked) {
                self.groups[group].unparked += 1;
                self.set_rank(key, team, self.groups[group].policy, Some(rank));
                self.mark_ready(group);
            }
        }
    }

    /// Updates the order of teams if the team's rank has become lower. A higher rank takes effect
    /// when the team is next in turn.
    pub(crate) fn lower_rank(&mut self, key: TeamKey, team: &mut Team) {
        let rank = team.rank();
        for (order, stored) in self.team_orders.iter_mut().zip(&mut team.ranks) {
            if let Some(old) = stored.filter(|old| rank < *old) {
                order.remove(&(old, key));
                order.insert((rank, key));
                *stored = Some(rank);
            }
        }
    }

    /// Removes the groups from `ready` whose demand does not fit, without a search of their lanes.
    /// Gangs stay, since a gang that does not fit asks for a reservation when its placement is
    /// tried.
    pub(crate) fn retain_fitting(&mut self, fits: impl Fn(&Resources) -> bool) {
        let groups = &self.groups;
        self.ready
            .retain(|(_, key)| groups[*key].size > 1 || fits(&groups[*key].demand));
    }

    /// Returns the policy of a lane's tasks.
    pub(crate) fn policy(&self, lane: LaneKey) -> Policy {
        self.groups[self.lanes[lane].group].policy
    }

    /// Marks a group as ready, so that its placement is tried.
    pub(crate) fn mark_ready(&mut self, group: GroupKey) {
        self.ready.insert((self.groups[group].policy, group));
    }

    /// Marks the groups of single tasks as ready whose demand the offer covers. Gangs are tried in
    /// intervals instead, since the cost of a try grows with the size of the gang.
    pub(crate) fn mark_covered_ready(&mut self, offer: &Resources) {
        for (key, group) in &self.groups {
            if group.size == 1 && offer.covers(&group.demand) {
                self.ready.insert((group.policy, key));
            }
        }
    }

    /// Marks all groups of gangs as ready.
    pub(crate) fn mark_gangs_ready(&mut self) {
        for (key, group) in &self.groups {
            if group.size > 1 {
                self.ready.insert((group.policy, key));
            }
        }
    }

    /// Resets `blocked` of all groups after the fleet has grown.
    pub(crate) fn clear_blocked(&mut self) {
        for group in self.groups.values_mut() {
            group.blocked = false;
        }
    }

    /// Removes a group from `ready` until it is marked as ready again.
    pub(crate) fn mark_idle(&mut self, group: GroupKey) {
        if let Some(entry) = self.groups.get(group) {
            self.ready.remove(&(entry.policy, group));
        }
    }

    /// Returns the lane to serve next: that of the first policy in precedence, then of the team
    /// with the lowest rank, then with the oldest request.
    pub(crate) fn next_lane(&mut self, teams: &mut Teams) -> Option<LaneKey> {
        while let Some((policy, _)) = self.ready.first().copied() {
            let lane = match self.ready_lanes(policy) {
                ..=COMPARED_LANES => self.compare_lanes(policy, teams),
                _ => self.walk_teams(policy, teams),
            };
            if lane.is_some() {
                return lane;
            }
            self.ready.retain(|(other, _)| *other != policy);
        }
        None
    }

    fn ready_groups(&self, policy: Policy) -> impl Iterator<Item = &Group> {
        self.ready
            .iter()
            .take_while(move |(other, _)| *other == policy)
            .map(|(_, group)| &self.groups[*group])
    }

    fn ready_lanes(&self, policy: Policy) -> usize {
        self.ready_groups(policy).map(|group| group.lanes.len()).sum()
    }

    fn compare_lanes(&self, policy: Policy, teams: &Teams) -> Option<LaneKey> {
        self.ready_groups(policy)
            .flat_map(|group| &group.lanes)
            .filter(|lane| !self.lanes[**lane].parked)
            .min_by_key(|lane| {
                (
                    teams[self.lanes[**lane].team].rank(),
                    self.oldest_sequence(**lane),
                )
            })
            .copied()
    }

    fn walk_teams(&mut self, policy: Policy, teams: &mut Teams) -> Option<LaneKey> {
        loop {
            let raised = match self.first_team(policy, teams) {
                Ok(lane) => return lane,
                Err(team) => team,
            };
            let rank = teams[raised].rank();
            self.set_rank(raised, &mut teams[raised], policy, Some(rank));
        }
    }

    /// Returns the lane of the first team in order that has one in a ready group. The error is a
    /// team whose stored rank must be raised before the order is known.
    fn first_team(&self, policy: Policy, teams: &Teams) -> Result<Option<LaneKey>, TeamKey> {
        for (rank, key) in &self.team_orders[policy as usize] {
            let team = &teams[*key];
            let lane = team
                .lanes
                .iter()
                .filter(|(group, _)| self.ready.contains(&(policy, *group)))
                .filter(|(_, lane)| !self.lanes[*lane].parked)
                .min_by_key(|(_, lane)| self.oldest_sequence(*lane));
            match lane {
                Some(_) if team.rank() != *rank => return Err(*key),
                Some((_, lane)) => return Ok(Some(*lane)),
                None => {}
            }
        }
        Ok(None)
    }

    /// Returns the number of arrival of the oldest request of a lane.
    fn oldest_sequence(&self, lane: LaneKey) -> Option<u64> {
        self.lanes[lane].tasks.keys().next().copied()
    }

    /// Marks a group of gangs as ready. This happens whenever a gang arrives or becomes the first
    /// of its lane, since it asks for a reservation only when its placement is tried.
    fn mark_gang_ready(&mut self, group: GroupKey) {
        if self.groups[group].size > 1 {
            self.mark_ready(group);
        }
    }

    fn set_rank(&mut self, key: TeamKey, team: &mut Team, policy: Policy, rank: Option<Rank>) {
        let order = &mut self.team_orders[policy as usize];
        let stored = &mut team.ranks[policy as usize];
        if *stored == rank {
            return;
        }
        if let Some(old) = stored {
            order.remove(&(*old, key));
        }
        if let Some(new) = rank {
            order.insert((new, key));
        }
        *stored = rank;
    }

    /// Removes a team from the order of a policy if all its lanes there are parked or gone.
    fn remove_from_order_if_unused(&mut self, key: TeamKey, team: &mut Team, policy: Policy) {
        let is_unparked =
            |group: GroupKey, lane: LaneKey| self.groups[group].policy == policy && !self.lanes[lane].parked;
        if !team.lanes.iter().any(|(group, lane)| is_unparked(*group, *lane)) {
            self.set_rank(key, team, policy, None);
        }
    }

    fn remove_lane(&mut self, lane: LaneKey, team: &mut Team) {
        team.lanes.retain(|(_, other)| *other != lane);
        let Some(removed) = self.lanes.remove(lane) else {
            return;
        };
        let group = &mut self.groups[removed.group];
        let policy = group.policy;
        group.unparked -= usize::from(!removed.parked);
        group.lanes.swap_remove(removed.position);
        if let Some(moved) = group.lanes.get(removed.position) {
            self.lanes[*moved].position = removed.position;
        }
        if group.lanes.is_empty() {
            self.remove_group(removed.group);
        }
        self.remove_from_order_if_unused(removed.team, team, policy);
    }

    fn remove_group(&mut self, key: GroupKey) {
        if let Some(group) = self.groups.remove(key) {
            self.by_class.remove(&(group.policy, group.demand, group.size));
            self.ready.remove(&(group.policy, key));
        }
    }
}
