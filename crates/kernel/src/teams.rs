//! Teams, and events about them.

use {
    crate::{
        Decision, Kernel,
        task::TaskKey,
        team::{Team, TeamKey},
    },
    fuchsiatack_model::{Refusal, TeamName},
    slotmap::SlotMap,
    std::{
        collections::BTreeMap,
        ops::{Index, IndexMut},
    },
};

/// All teams by key and by name.
#[derive(Default)]
pub(crate) struct Teams {
    arena: SlotMap<TeamKey, Team>,
    by_name: BTreeMap<TeamName, TeamKey>,
}

impl Teams {
    pub(crate) fn key(&self, name: &TeamName) -> Option<TeamKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the key of a team. An unknown team is added without a record.
    pub(crate) fn key_or_insert(&mut self, name: &TeamName) -> TeamKey {
        if let Some(key) = self.key(name) {
            return key;
        }
        let key = self.arena.insert(Team::new(name.clone()));
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Returns the teams in order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Team> {
        self.by_name.values().map(|key| &self.arena[*key])
    }

    /// Removes the team if nothing refers to it any more.
    pub(crate) fn remove_unused(&mut self, key: TeamKey) {
        match self.arena.get(key) {
            Some(team) if team.is_unused() => {
                self.by_name.remove(&team.name);
                self.arena.remove(key);
            }
            _ => {}
        }
    }
}

impl Index<TeamKey> for Teams {
    type Output = Team;

    fn index(&self, key: TeamKey) -> &Team {
        &self.arena[key]
    }
}

impl IndexMut<TeamKey> for Teams {
    fn index_mut(&mut self, key: TeamKey) -> &mut Team {
        &mut self.arena[key]
    }
}

impl Kernel {
    pub(crate) fn team_set(&mut self, name: TeamName, limited: bool, max_waiting: u32, weight_millis: u32) {
        let key = self.teams.key_or_insert(&name);
        let team = &mut self.teams[key];
        team.limited = limited;
        team.max_waiting = max_waiting;
        team.has_record = true;
        team.weight_millis = weight_millis;
        self.team_changed(key);
    }

    pub(crate) fn team_removed(&mut self, name: &TeamName, decisions: &mut Vec<Decision>) {
        let Some(key) = self.teams.key(name) else { return };
        self.teams[key].has_record = false;
        for task in self.waiting_tasks(key) {
            self.drop_waiting(task, Refusal::Cancelled, decisions);
        }
        self.teams.remove_unused(key);
    }

    pub(crate) fn fleet_usage(&mut self, name: &TeamName, running: u32) {
        let Some(key) = self.teams.key(name) else { return };
        let team = &mut self.teams[key];
        team.fleet_running = running;
        team.local_running_at_report = team.running;
        self.team_changed(key);
    }

    pub(crate) fn tokens_returned(&mut self, name: &TeamName, tokens: u32, decisions: &mut Vec<Decision>) {
        let Some(key) = self.teams.key(name) else { return };
        self.teams[key].tokens.confirm_return(tokens);
        self.tokens_changed(key, decisions);
    }

    pub(crate) fn tokens_set(&mut self, name: TeamName, tokens: u32, decisions: &mut Vec<Decision>) {
        let key = self.teams.key_or_insert(&name);
        self.teams[key].tokens.set_held(tokens);
        self.tokens_changed(key, decisions);
    }

    pub(crate) fn token_target_set(&mut self, name: &TeamName, target: u32, decisions: &mut Vec<Decision>) {
        let Some(key) = self.teams.key(name) else { return };
        self.teams[key].tokens.set_target(target);
        self.tokens_changed(key, decisions);
    }

    /// Returns the tokens that the leader asked for, then lets the team use the rest.
    pub(crate) fn tokens_changed(&mut self, key: TeamKey, decisions: &mut Vec<Decision>) {
        let team = &mut self.teams[key];
        let used = team.used_tokens();
        let tokens = team.tokens.return_surplus(used);
        if tokens > 0 {
            decisions.push(Decision::ReturnTokens {
                team: team.name.clone(),
                tokens,
            });
        }
        self.team_changed(key);
    }

    /// Updates the team's place in the order of teams after its share or tokens have changed.
    pub(crate) fn team_changed(&mut self, key: TeamKey) {
        let team = &mut self.teams[key];
        self.waiting.lower_rank(key, team);
        if team.parked && team.startable() > 0 {
            self.waiting.unpark(key, team);
        }
    }

    /// Returns the first task of each waiting request or gang of a team.
    pub(crate) fn waiting_tasks(&self, key: TeamKey) -> Vec<TaskKey> {
        self.teams[key]
            .lanes
            .iter()
            .flat_map(|(_, lane)| self.waiting.lanes[*lane].tasks.values().copied())
            .collect()
    }
}
