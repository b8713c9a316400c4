//! Records with their versions.

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

/// Operation identifiers that are remembered. At 13,000 changes a day, more than a day.
const MAX_OPERATIONS: usize = 20_000;

/// Deleted names whose last version is remembered one by one.
const MAX_TOMBSTONES: usize = 20_000;

/// Identity of a record.
type RecordKey = (Kind, SmolStr);

/// A record with the author of its last write.
#[message]
struct StoredRecord {
    author: SmolStr,
    record: Record,
}

/// Last version of a deleted record.
#[message]
struct Tombstone {
    author: SmolStr,
    version: u64,
}

/// All records, the versions of deleted ones, and the results of recent writes.
#[derive(Default)]
#[message]
pub(crate) struct RecordStore {
    /// Deleted names, oldest first. A name that was created again is skipped when it is reached.
    deleted: VecDeque<(RecordKey, u64)>,
    /// For each kind, the highest version of a deleted record that is no longer remembered.
    floors: BTreeMap<Kind, u64>,
    limits: BTreeMap<TeamName, u32>,
    operation_order: VecDeque<OperationId>,
    operations: BTreeMap<OperationId, Reply>,
    records: BTreeMap<RecordKey, StoredRecord>,
    shares: BTreeMap<TeamName, u32>,
    tombstones: BTreeMap<RecordKey, Tombstone>,
}

impl RecordStore {
    /// Returns all records, by kind and name.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Record> {
        self.records.values().map(|stored| &stored.record)
    }

    /// Returns why a write can not be made, or `None` if its version is the one in force.
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

    /// Withdraws a record. Returns it if there was one.
    pub(crate) fn delete(&mut self, kind: Kind, name: &SmolStr, author: &SmolStr) -> Option<Record> {
        let key = (kind, name.clone());
        let stored = self.records.remove(&key)?;
        let version = stored.record.version;
        self.deleted.push_back((key.clone(), version));
        self.tombstones.insert(
            key,
            Tombstone {
                author: author.clone(),
                version,
            },
        );
        self.forget_tombstones();
        self.index(kind);
        Some(stored.record)
    }

    /// Returns a record.
    pub(crate) fn get(&self, kind: Kind, name: &SmolStr) -> Option<&Record> {
        self.records
            .get(&(kind, name.clone()))
            .map(|stored| &stored.record)
    }

    /// Returns the upper limit of a team: the lowest of its limit records.
    pub(crate) fn limit(&self, team: &TeamName) -> Option<u32> {
        self.limits.get(team).copied()
    }

    /// Returns the limited teams.
    pub(crate) fn limits(&self) -> impl Iterator<Item = (&TeamName, u32)> {
        self.limits.iter().map(|(team, limit)| (team, *limit))
    }

    /// Returns all records of a kind, by name.
    pub(crate) fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        self.records
            .range((kind, SmolStr::default())..)
            .take_while(move |(key, _)| key.0 == kind)
            .map(|(_, stored)| &stored.record)
    }

    /// Stores a record under its next version and returns it as stored.
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
        self.index(kind);
        &self.records[&key].record
    }

    /// Remembers the result of a write.
    pub(crate) fn remember(&mut self, write: OperationId, reply: &Reply) {
        self.operations.insert(write, reply.clone());
        self.operation_order.push_back(write);
        if self.operation_order.len() > MAX_OPERATIONS
            && let Some(oldest) = self.operation_order.pop_front()
        {
            self.operations.remove(&oldest);
        }
    }

    /// Returns the result of an earlier write with the same operation.
    pub(crate) fn remembered(&self, write: &RecordWrite) -> Option<&Reply> {
        self.operations.get(&write.operation)
    }

    /// Returns the weight of a team in thousandths: the lowest of its share records.
    pub(crate) fn weight_millis(&self, team: &TeamName) -> u32 {
        self.shares.get(team).copied().unwrap_or(DEFAULT_WEIGHT_MILLIS)
    }

    fn forget_tombstones(&mut self) {
        while self.deleted.len() > MAX_TOMBSTONES
            && let Some((key, version)) = self.deleted.pop_front()
        {
            let is_current = self
                .tombstones
                .get(&key)
                .is_some_and(|last| last.version == version);
            if is_current {
                self.tombstones.remove(&key);
                let floor = self.floors.entry(key.0).or_default();
                *floor = version.max(*floor);
            }
        }
    }

    fn index(&mut self, kind: Kind) {
        if !matches!(kind, Kind::Limit | Kind::Share) {
            return;
        }
        let mut limits = BTreeMap::new();
        let mut shares = BTreeMap::new();
        for record in self.of_kind(kind) {
            match &record.spec {
                Spec::Limit(limit) => keep_lowest(&mut limits, &limit.team, limit.max_running),
                Spec::Share(share) => keep_lowest(&mut shares, &share.team, share.weight_millis),
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
            (None, None) => self.floors.get(&key.0).copied().unwrap_or(0),
        }
    }
}

fn keep_lowest(values: &mut BTreeMap<TeamName, u32>, team: &TeamName, value: u32) {
    let lowest = values.entry(team.clone()).or_insert(value);
    *lowest = value.min(*lowest);
}
