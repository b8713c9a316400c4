//! Records and their versions. A version is never used twice for the same name, even after the
//! record was deleted, so that a writer cannot mistake a new record for the one that it has read.

use {
    crate::{OperationId, RecordAction, RecordWrite, Reply, WriteConflict},
    fuchsiatack_derives::message,
    fuchsiatack_model::TeamName,
    fuchsiatack_records::{Kind, Record, Spec},
    smol_str::SmolStr,
    std::collections::{BTreeMap, VecDeque},
};

/// Weight of a team without a share record.
const DEFAULT_WEIGHT_MILLIS: u32 = 1_000;

/// Largest number of operation identifiers kept. At 13,000 changes a day they cover more than a day.
const MAX_OPERATIONS: usize = 20_000;

/// Largest number of tombstones, i.e. of deleted names whose last version is stored individually.
const MAX_TOMBSTONES: usize = 20_000;

/// Kind and name of a record.
type RecordKey = (Kind, SmolStr);

/// A record with the author of its last write.
#[message]
struct StoredRecord {
    author: SmolStr,
    record: Record,
}

/// Last version of a deleted record and the author of the deletion.
#[message]
struct Tombstone {
    author: SmolStr,
    version: u64,
}

/// All records, tombstones of deleted records, and the results of recent writes.
#[derive(Default)]
#[message]
pub(crate) struct RecordStore {
    /// Deleted names with their last version, oldest deletion first. Entries of names that were
    /// created again are skipped on eviction.
    deletion_order: VecDeque<(RecordKey, u64)>,
    /// Highest version among the evicted tombstones of each kind. New records start above it.
    version_floors: BTreeMap<Kind, u64>,
    limits: BTreeMap<TeamName, u32>,
    operation_order: VecDeque<OperationId>,
    operations: BTreeMap<OperationId, Reply>,
    records: BTreeMap<RecordKey, StoredRecord>,
    shares: BTreeMap<TeamName, u32>,
    tombstones: BTreeMap<RecordKey, Tombstone>,
}

impl RecordStore {
    /// Returns all records sorted by kind and name.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|stored| &stored.record)
    }

    /// Returns the conflict of a write, or `None` if the write is based on the current version.
    pub(crate) fn conflict(&self, action: &RecordAction) -> Option<WriteConflict> {
        let (key, version) = match action {
            RecordAction::Delete { kind, name, version } => ((*kind, name.clone()), *version),
            RecordAction::Put(record) => ((record.kind(), record.name.clone()), record.version),
        };
        let is_delete = matches!(action, RecordAction::Delete { .. });
        match self.records.get(&key) {
            Some(stored) if stored.record.version == version => None,
            Some(stored) => Some(WriteConflict {
                author: stored.author.clone(),
                version: stored.record.version,
            }),
            None if version == 0 && !is_delete => None,
            None => Some(WriteConflict {
                author: self
                    .tombstones
                    .get(&key)
                    .map_or_else(SmolStr::default, |tombstone| tombstone.author.clone()),
                version: 0,
            }),
        }
    }

    /// Deletes a record and returns it, or `None` if it does not exist.
    pub(crate) fn delete(&mut self, kind: Kind, name: &SmolStr, author: &SmolStr) -> Option<Record> {
        let key = (kind, name.clone());
        let stored = self.records.remove(&key)?;
        let version = stored.record.version;
        self.deletion_order.push_back((key.clone(), version));
        self.tombstones.insert(
            key,
            Tombstone {
                author: author.clone(),
                version,
            },
        );
        self.evict_tombstones();
        self.rebuild_index(kind);
        Some(stored.record)
    }

    /// Returns the current version of a record; `None` if it does not exist.
    pub(crate) fn get(&self, kind: Kind, name: &SmolStr) -> Option<&Record> {
        self.records
            .get(&(kind, name.clone()))
            .map(|stored| &stored.record)
    }

    /// Returns the limit of a team, the lowest of its limit records; `None` for an unlimited team.
    pub(crate) fn limit(&self, team: &TeamName) -> Option<u32> {
        self.limits.get(team).copied()
    }

    /// Returns the limited teams with their limits.
    pub(crate) fn limits(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        self.limits.iter().map(|(team, limit)| (team, *limit))
    }

    /// Returns all records of a kind sorted by name.
    pub(crate) fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        self.records
            .range((kind, SmolStr::default())..)
            .take_while(move |(key, _)| key.0 == kind)
            .map(|(_, stored)| &stored.record)
    }

    /// Stores a record with the next version of its name and returns the stored record.
    pub(crate) fn put(&mut self, mut record: Record, author: &SmolStr) -> &Record {
        let kind = record.kind();
        let key = (kind, record.name.clone());
        record.version = self.last_version(&key) + 1;
        self.tombstones.remove(&key);
        let stored = StoredRecord {
            author: author.clone(),
            record,
        };
        self.records.insert(key.clone(), stored);
        self.rebuild_index(kind);
        &self.records[&key].record
    }

    /// Stores the result of a write for resends and evicts the oldest result beyond the limit.
    pub(crate) fn store_reply(&mut self, operation: OperationId, reply: &Reply) {
        self.operations.insert(operation, reply.clone());
        self.operation_order.push_back(operation);
        if self.operation_order.len() > MAX_OPERATIONS
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
    }

    /// Returns the result of an earlier write with the same operation identifier, if it is kept.
    pub(crate) fn stored_reply(&self, write: &RecordWrite) -> Option<&Reply> {
        self.operations.get(&write.operation)
    }

    /// Returns the weight of a team in thousandths: the lowest of its share records.
    pub(crate) fn weight_millis(&self, team: &TeamName) -> u32 {
        self.shares.get(team).copied().unwrap_or(DEFAULT_WEIGHT_MILLIS)
    }

    fn evict_tombstones(&mut self) {
        while self.deletion_order.len() > MAX_TOMBSTONES
            && let Some((key, version)) = self.deletion_order.pop_front()
        {
            let is_current = self
                .tombstones
                .get(&key)
                .is_some_and(|last| last.version == version);
            if is_current {
                self.tombstones.remove(&key);
                let floor = self.version_floors.entry(key.0).or_default();
                *floor = version.max(*floor);
            }
        }
    }

    fn rebuild_index(&mut self, kind: Kind) {
        if !matches!(kind, Kind::Limit | Kind::Share) {
            return;
        }
        let mut limits = BTreeMap::new();
        let mut shares = BTreeMap::new();
        for record in self.of_kind(kind) {
            match &record.spec {
                Spec::Limit(limit) => insert_lowest(&mut limits, &limit.team, limit.max_running),
                Spec::Share(share) => insert_lowest(&mut shares, &share.team, share.weight_millis),
                _ => {}
            }
        }
        match kind {
            Kind::Limit => self.limits = limits,
            _ => self.shares = shares,
        }
    }

    fn last_version(&self, key: &RecordKey) -> u64 {
        match (self.records.get(key), self.tombstones.get(key)) {
            (Some(stored), _) => stored.record.version,
            (None, Some(tombstone)) => tombstone.version,
            (None, None) => self.version_floors.get(&key.0).copied().unwrap_or(0),
        }
    }
}

fn insert_lowest(values: &mut BTreeMap<TeamName, u32>, team: &TeamName, value: u32) {
    let lowest = values.entry(team.clone()).or_insert(value);
    *lowest = value.min(*lowest);
}
