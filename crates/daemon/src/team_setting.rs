//! Settings of a team that the kernel needs, derived from its records.

use {
    fuchsiatack_kernel::{Event, KernelSettings},
    fuchsiatack_model::TeamName,
    fuchsiatack_records::{Kind, Spec},
    fuchsiatack_session::Directory,
    std::collections::BTreeMap,
};

/// Weight of a team without a `share` record, in thousandths.
const DEFAULT_WEIGHT_MILLIS: u32 = 1_000;

/// Weight of a team, and whether a limit record exists for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TeamSetting {
    pub(crate) limited: bool,
    pub(crate) weight_millis: u32,
}

impl Default for TeamSetting {
    fn default() -> Self {
        Self {
            limited: false,
            weight_millis: DEFAULT_WEIGHT_MILLIS,
        }
    }
}

impl TeamSetting {
    /// Returns the settings of all teams in the directory. A team without a `team` record is included
    /// if a share, limit, key or queue names it.
    pub(crate) fn all(directory: &Directory) -> BTreeMap<TeamName, Self> {
        let mut teams: BTreeMap<TeamName, Self> = BTreeMap::new();
        for kind in [Kind::Key, Kind::Limit, Kind::Queue, Kind::Share, Kind::Team] {
            for record in directory.records(kind) {
                match &record.spec {
                    Spec::Key(key) => drop(teams.entry(key.team.clone()).or_default()),
                    Spec::Limit(limit) => teams.entry(limit.team.clone()).or_default().limited = true,
                    Spec::Queue(queue) => {
                        if let Some(team) = &queue.team {
                            teams.entry(team.clone()).or_default();
                        }
                    }
                    Spec::Share(share) => {
                        teams.entry(share.team.clone()).or_default().weight_millis = share.weight_millis;
                    }
                    _ => drop(teams.entry(TeamName::new(&record.name)).or_default()),
                }
            }
        }
        teams
    }

    /// Returns the event that passes the setting on to the kernel.
    pub(crate) fn to_event(&self, team: &TeamName) -> Event {
        Event::TeamSet {
            limited: self.limited,
            max_waiting: KernelSettings::default().max_waiting_per_team,
            team: team.clone(),
            weight_millis: self.weight_millis,
        }
    }
}
