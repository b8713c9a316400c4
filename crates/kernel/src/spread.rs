//! Counts of running service tasks by team, data centre and rack.

use {
    crate::team::TeamKey,
    fuchsiatack_model::{DataCenter, RackName},
    std::collections::HashMap,
};

/// Running service tasks by team and place. A place is a data centre or a rack; places are
/// numbered in the order in which they become known.
#[derive(Default)]
pub(crate) struct Spread {
    counts: HashMap<(TeamKey, u32), u32>,
    places: HashMap<(DataCenter, RackName), u32>,
}

impl Spread {
    /// Returns the number of a rack, or of the whole data centre if `rack` is empty.
    pub(crate) fn place_number(&mut self, data_center: &DataCenter, rack: &RackName) -> u32 {
        let next = self.places.len() as u32;
        *self
            .places
            .entry((data_center.clone(), rack.clone()))
            .or_insert(next)
    }

    /// Returns the numbers of the team's service tasks that run in a data centre and in a rack.
    pub(crate) fn running(&self, team: TeamKey, data_center: u32, rack: u32) -> (u32, u32) {
        let count = |place| self.counts.get(&(team, place)).copied().unwrap_or(0);
        (count(data_center), count(rack))
    }

    /// Adds a task that started.
    pub(crate) fn add(&mut self, team: TeamKey, data_center: u32, rack: u32) {
        for place in [data_center, rack] {
            *self.counts.entry((team, place)).or_insert(0) += 1;
        }
    }

    /// Subtracts a task that ended.
    pub(crate) fn subtract(&mut self, team: TeamKey, data_center: u32, rack: u32) {
        for place in [data_center, rack] {
            if let Some(count) = self.counts.get_mut(&(team, place)) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&(team, place));
                }
            }
        }
    }
}
