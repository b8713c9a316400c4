//! Orders of operators to empty data centres, and the part of the job state that holds them.

use {
    crate::ColdStart, fuchsiatack_derives::message, fuchsiatack_model::DataCenter, smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// An order that nothing more is started in a data centre.
#[message]
pub struct Evacuation {
    /// Name of the operator who gave the order; `None` if it is not known.
    pub ordered_by: Option<SmolStr>,
    /// Time of the order in milliseconds since the Unix epoch, by the leader's clock.
    pub ordered_unix_ms: u64,
}

/// The part of the job state that the first form of snapshots lacks. A snapshot has the later form, which
/// earlier builds cannot decode, only while this part is not empty.
#[derive(Default)]
#[message]
pub struct JobStoreExtension {
    /// Services of the configuration whose workers start cold.
    pub cold_starts: BTreeMap<SmolStr, ColdStart>,
    /// Data centres in which nothing is started.
    pub evacuations: BTreeMap<DataCenter, Evacuation>,
}

impl JobStoreExtension {
    /// Returns whether the first form of snapshots holds the whole state.
    pub fn is_empty(&self) -> bool {
        self.cold_starts.is_empty() && self.evacuations.is_empty()
    }
}
