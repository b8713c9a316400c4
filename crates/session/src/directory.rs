//! The follower's copy of records, daemons and workers.

use {
    fuchsiatack_ledger::{Change, DaemonInfo, WorkerEntry},
    fuchsiatack_model::{LogIndex, SessionId, TeamName, WorkerName},
    fuchsiatack_records::{KeyDigest, KeySpec, Kind, Record, Spec},
    smol_str::SmolStr,
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// What a daemon knows of the cell, up to `applied`.
#[derive(Debug, Default)]
pub struct Directory {
    applied: LogIndex,
    daemons: BTreeMap<SessionId, DaemonInfo>,
    keys: HashMap<[u8; 32], (SmolStr, KeySpec)>,
    records: BTreeMap<(Kind, SmolStr), Record>,
    tokens: BTreeMap<TeamName, u32>,
    workers: HashMap<WorkerName, WorkerEntry>,
}

impl Directory {
    /// Index up to which changes are applied.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Daemons with a session.
    pub fn daemons(&self) -> &BTreeMap<SessionId, DaemonInfo> {
        &self.daemons
    }

    /// The record of a kind and name.
    pub fn record(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.records.get(&(kind, SmolStr::new(name)))
    }

    /// All records of a kind, by name.
    pub fn records(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        self.records
            .range((kind, SmolStr::default())..)
            .take_while(move |((of, _), _)| *of == kind)
            .map(|(_, record)| record)
    }

    /// Team that a key's secret stands for.
    ///
    /// The map is searched by digest, so its timing tells nothing of the secret.
    pub fn team_of_key(&self, secret: &str) -> Option<&TeamName> {
        let digest = KeyDigest::of(secret);
        match self.keys.get(&digest.0) {
            Some((_, key)) if key.digest.matches(&digest) => Some(&key.team),
            _ => None,
        }
    }

    /// Worker with its owner.
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerEntry> {
        self.workers.get(name)
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.workers.values()
    }

    /// Applies changes up to `index`.
    pub(crate) fn apply(&mut self, changes: &[Change], index: LogIndex) {
        for change in changes {
            self.apply_one(change);
        }
        self.applied = self.applied.max(index);
    }

    /// Turns a whole directory into the changes that lead to it from the present one.
    pub(crate) fn changes_to(&self, whole: Vec<Change>) -> Vec<Change> {
        let mut daemons = HashSet::new();
        let mut records = HashSet::new();
        let mut teams = HashSet::new();
        let mut workers = HashSet::new();
        for change in &whole {
            match change {
                Change::DaemonJoined { session, .. } => drop(daemons.insert(*session)),
                Change::RecordWritten(record) => drop(records.insert((record.kind(), record.name.clone()))),
                Change::TokensSet { team, .. } => drop(teams.insert(team.clone())),
                Change::WorkerChanged(entry) => drop(workers.insert(entry.announcement.name.clone())),
                _ => {}
            }
        }
        let left = self.daemons.keys().filter(|session| !daemons.contains(session));
        let deleted = self.records.keys().filter(|key| !records.contains(*key));
        let emptied = self.tokens.keys().filter(|team| !teams.contains(*team));
        let mut changes: Vec<_> = left
            .map(|session| Change::DaemonLeft { session: *session })
            .collect();
        changes.extend(deleted.map(|(kind, name)| Change::RecordDeleted {
            kind: *kind,
            name: name.clone(),
        }));
        changes.extend(emptied.map(|team| Change::TokensSet {
            team: team.clone(),
            tokens: 0,
        }));
        let forgotten = self.workers.keys().filter(|worker| !workers.contains(*worker));
        changes.extend(forgotten.map(|worker| Change::WorkerRemoved {
            worker: worker.clone(),
        }));
        changes.extend(whole);
        changes
    }

    fn apply_one(&mut self, change: &Change) {
        match change {
            Change::DaemonJoined { daemon, session } => {
                self.daemons.insert(*session, daemon.clone());
            }
            Change::DaemonLeft { session } => {
                self.daemons.remove(session);
            }
            Change::RecordDeleted { kind, name } => {
                let deleted = self.records.remove(&(*kind, name.clone()));
                self.forget_key(deleted);
            }
            Change::RecordWritten(record) => {
                let replaced = self
                    .records
                    .insert((record.kind(), record.name.clone()), (**record).clone());
                self.forget_key(replaced);
                if let Spec::Key(key) = &record.spec {
                    self.keys.insert(key.digest.0, (record.name.clone(), key.clone()));
                }
            }
            Change::TokensSet { team, tokens: 0 } => {
                self.tokens.remove(team);
            }
            Change::TokensSet { team, tokens } => {
                self.tokens.insert(team.clone(), *tokens);
            }
            Change::WorkerChanged(entry) => {
                self.workers
                    .insert(entry.announcement.name.clone(), (**entry).clone());
            }
            Change::WorkerRemoved { worker } => {
                self.workers.remove(worker);
            }
            Change::TasksAssigned { .. } | Change::WorkCancelled { .. } | Change::WorkerDetached { .. } => {}
        }
    }

    fn forget_key(&mut self, record: Option<Record>) {
        match record {
            Some(Record {
                name,
                spec: Spec::Key(key),
                ..
            }) if self
                .keys
                .get(&key.digest.0)
                .is_some_and(|(holder, _)| *holder == name) =>
            {
                self.keys.remove(&key.digest.0);
            }
            _ => {}
        }
    }
}
