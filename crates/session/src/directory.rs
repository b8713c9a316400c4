//! Local copy of the cell's records, daemons and workers, kept current by the leader's pushes.

use {
    fuchsiatack_ledger::{Change, DaemonInfo, WorkerEntry},
    fuchsiatack_model::{LogIndex, SessionId, TeamName, WorkerName},
    fuchsiatack_records::{KeyDigest, KeySpec, Kind, Record, Spec},
    smol_str::SmolStr,
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Records, sessions, tokens and workers as of log index `applied`.
#[derive(Debug, Default)]
pub struct Directory {
    applied: LogIndex,
    daemons: BTreeMap<SessionId, DaemonInfo>,
    /// Key records by digest, each with its name.
    keys: HashMap<[u8; 32], (SmolStr, KeySpec)>,
    records: BTreeMap<(Kind, SmolStr), Record>,
    /// Tokens that this daemon's session holds, by team; zero entries are removed.
    tokens: BTreeMap<TeamName, u32>,
    workers: HashMap<WorkerName, WorkerEntry>,
}

impl Directory {
    /// Returns the log index up to which changes are applied.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the daemons that have a live session.
    pub fn daemons(&self) -> &BTreeMap<SessionId, DaemonInfo> {
        &self.daemons
    }

    /// Returns the record of a kind and name; `None` if it does not exist or is of kind `work`.
    pub fn record(&self, kind: Kind, name: &str) -> Option<&Record> {
        self.records.get(&(kind, SmolStr::new(name)))
    }

    /// Returns all records of a kind, sorted by name.
    pub fn records(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        self.records
            .range((kind, SmolStr::default())..)
            .take_while(move |((record_kind, _), _)| *record_kind == kind)
            .map(|(_, record)| record)
    }

    /// Returns the team that the key with this secret belongs to.
    ///
    /// The map is searched by digest, so its timing reveals nothing about the secret.
    pub fn team_of_key(&self, secret: &str) -> Option<&TeamName> {
        let digest = KeyDigest::of(secret);
        match self.keys.get(&digest.0) {
            Some((_, key)) if key.digest.matches(&digest) => Some(&key.team),
            _ => None,
        }
    }

    /// Returns a worker with its owner.
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerEntry> {
        self.workers.get(name)
    }

    /// Returns all workers in no particular order.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.workers.values()
    }

    /// Applies changes and sets the applied index to `index` unless it is higher already.
    pub(crate) fn apply(&mut self, changes: &[Change], index: LogIndex) {
        for change in changes {
            self.apply_change(change);
        }
        self.applied = self.applied.max(index);
    }

    /// Returns the changes that turn this directory into the one that `full` describes: the
    /// removal of everything that `full` lacks, then `full` itself.
    pub(crate) fn changes_to(&self, full: Vec<Change>) -> Vec<Change> {
        let mut daemons = HashSet::new();
        let mut records = HashSet::new();
        let mut teams = HashSet::new();
        let mut workers = HashSet::new();
        for change in &full {
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
        let teams_without_tokens = self.tokens.keys().filter(|team| !teams.contains(*team));
        let mut changes: Vec<_> = left
            .map(|session| Change::DaemonLeft { session: *session })
            .collect();
        changes.extend(deleted.map(|(kind, name)| Change::RecordDeleted {
            kind: *kind,
            name: name.clone(),
        }));
        changes.extend(teams_without_tokens.map(|team| Change::TokensSet {
            team: team.clone(),
            tokens: 0,
        }));
        let removed = self.workers.keys().filter(|worker| !workers.contains(*worker));
        changes.extend(removed.map(|worker| Change::WorkerRemoved {
            worker: worker.clone(),
        }));
        changes.extend(full);
        changes
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::DaemonJoined { daemon, session } => {
                self.daemons.insert(*session, daemon.clone());
            }
            Change::DaemonLeft { session } => {
                self.daemons.remove(session);
            }
            Change::RecordDeleted { kind, name } => {
                let deleted = self.records.remove(&(*kind, name.clone()));
                self.remove_key(deleted);
            }
            Change::RecordWritten(record) => {
                let replaced = self
                    .records
                    .insert((record.kind(), record.name.clone()), (**record).clone());
                self.remove_key(replaced);
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

    /// Removes the digest of a key record that was deleted or replaced, unless another key record
    /// now has the same digest.
    fn remove_key(&mut self, record: Option<Record>) {
        match record {
            Some(Record {
                name,
                spec: Spec::Key(key),
                ..
            }) if self
                .keys
                .get(&key.digest.0)
                .is_some_and(|(key_name, _)| *key_name == name) =>
            {
                self.keys.remove(&key.digest.0);
            }
            _ => {}
        }
    }
}
