//! Journal of non-idempotent requests with its limits on entries, body sizes and age.

use {
    crate::{JournalEntry, JournalKey, LedgerError, Reply, StoredResponse},
    fuchsiatack_derives::message,
    fuchsiatack_model::{SessionId, TeamName},
    std::collections::{BTreeMap, BTreeSet},
};

/// Largest response body that is stored, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Largest sum of all stored response bodies, in bytes.
const MAX_TOTAL_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Largest number of journal entries of one team.
const MAX_TEAM_ENTRIES: u32 = 10_000;

/// Time for which an entry is kept after its request has ended.
const RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Journal of all teams.
#[derive(Default)]
#[message]
pub(crate) struct JournalStore {
    /// Unfinished entries whose session ended after the last `expire`.
    abandoned: BTreeSet<JournalKey>,
    /// Sum of the stored bodies in bytes.
    body_bytes: u64,
    /// Entries with a stored body, numbered in the order in which they finished.
    body_order: BTreeMap<u64, JournalKey>,
    /// Number of each entry in `body_order`.
    body_numbers: BTreeMap<JournalKey, u64>,
    /// Ended entries by end time in milliseconds since the Unix epoch.
    ended: BTreeSet<(u64, JournalKey)>,
    entries: BTreeMap<JournalKey, JournalEntry>,
    next_body_number: u64,
    /// Unfinished entries of sessions that have not ended.
    started: BTreeMap<SessionId, BTreeSet<JournalKey>>,
    team_entries: BTreeMap<TeamName, u32>,
}

impl JournalStore {
    /// Removes the start that the session made at `unix_ms`.
    pub(crate) fn abort(&mut self, key: &JournalKey, session: SessionId, unix_ms: u64) -> Reply {
        let is_same_start = matches!(
            self.entries.get(key),
            Some(JournalEntry::Started { unix_ms: started, .. }) if *started == unix_ms
        );
        if !is_same_start || !self.is_started_by(key, session) {
            return not_found(key);
        }
        self.remove_start(key, session);
        self.remove(key);
        Reply::Applied
    }

    /// Marks the unfinished entries of an ended session as abandoned. They stay `Started`.
    pub(crate) fn end_session(&mut self, session: SessionId) {
        let keys = self.started.remove(&session).unwrap_or_default();
        self.abandoned.extend(keys);
    }

    /// Returns the time before which ended entries may be removed at `now_unix_ms`, or `None` if
    /// there is nothing to expire.
    pub(crate) fn expiry(&self, now_unix_ms: u64) -> Option<u64> {
        let before_unix_ms = now_unix_ms.checked_sub(RETENTION_MS)?;
        let is_expired = |(ended_unix_ms, _): &(u64, JournalKey)| *ended_unix_ms < before_unix_ms;
        let is_due = !self.abandoned.is_empty() || self.ended.first().is_some_and(is_expired);
        is_due.then_some(before_unix_ms)
    }

    /// Removes entries that ended before a time.
    ///
    /// The ledger has no clock. The end time of an abandoned entry is therefore the time of the
    /// next expiry, which is `before_unix_ms` plus the retention time.
    pub(crate) fn expire(&mut self, before_unix_ms: u64) {
        let now_unix_ms = before_unix_ms.saturating_add(RETENTION_MS);
        let abandoned = std::mem::take(&mut self.abandoned);
        self.ended
            .extend(abandoned.into_iter().map(|key| (now_unix_ms, key)));
        while let Some((unix_ms, key)) = self.ended.pop_first() {
            if unix_ms >= before_unix_ms {
                self.ended.insert((unix_ms, key));
                break;
            }
            self.remove(&key);
        }
    }

    /// Stores the response to a request that the session started. A resend of the stored response
    /// is accepted.
    pub(crate) fn finish(
        &mut self,
        key: JournalKey,
        session: SessionId,
        mut response: StoredResponse,
    ) -> Reply {
        if response.body.len() > MAX_BODY_BYTES {
            response.body = Vec::new();
            response.truncated = true;
        }
        let body_hash = match self.entries.get(&key) {
            Some(JournalEntry::Started {
                body_hash,
                session: starter,
                ..
            }) if *starter == session => *body_hash,
            Some(JournalEntry::Finished { response: stored, .. }) if *stored == response => {
                return Reply::Applied;
            }
            _ => return not_found(&key),
        };
        self.remove_start(&key, session);
        self.add_body(&key, response.body.len() as u64);
        self.ended.insert((response.unix_ms, key.clone()));
        self.entries
            .insert(key, JournalEntry::Finished { response, body_hash });
        self.evict_oldest_bodies();
        Reply::Applied
    }

    /// Returns the entry of a request; `None` if it never started or has expired.
    pub(crate) fn get(&self, key: &JournalKey) -> Option<&JournalEntry> {
        self.entries.get(key)
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> u64 {
        self.entries.len() as u64
    }

    /// Starts a request unless it has an entry.
    pub(crate) fn start(
        &mut self,
        key: JournalKey,
        session: SessionId,
        body_hash: u64,
        unix_ms: u64,
    ) -> Reply {
        if let Some(entry) = self.entries.get(&key) {
            return Reply::JournalKnown(Box::new(entry.clone()));
        }
        let entries = self.team_entries.get(&key.team).copied().unwrap_or(0);
        if entries >= MAX_TEAM_ENTRIES {
            return Reply::Refused(LedgerError::JournalFull { team: key.team.0 });
        }
        self.team_entries.insert(key.team.clone(), entries + 1);
        self.started.entry(session).or_default().insert(key.clone());
        let entry = JournalEntry::Started {
            body_hash,
            session,
            unix_ms,
        };
        self.entries.insert(key, entry);
        Reply::JournalStarted
    }

    fn evict_oldest_bodies(&mut self) {
        while self.body_bytes > MAX_TOTAL_BODY_BYTES
            && let Some((_, key)) = self.body_order.pop_first()
        {
            self.body_numbers.remove(&key);
            if let Some(JournalEntry::Finished { response, .. }) = self.entries.get_mut(&key) {
                self.body_bytes -= response.body.len() as u64;
                response.body = Vec::new();
                response.truncated = true;
            }
        }
    }

    fn remove_start(&mut self, key: &JournalKey, session: SessionId) {
        if let Some(keys) = self.started.get_mut(&session) {
            keys.remove(key);
            if keys.is_empty() {
                self.started.remove(&session);
            }
        }
    }

    fn is_started_by(&self, key: &JournalKey, session: SessionId) -> bool {
        self.started.get(&session).is_some_and(|keys| keys.contains(key))
    }

    fn add_body(&mut self, key: &JournalKey, bytes: u64) {
        if bytes > 0 {
            self.body_order.insert(self.next_body_number, key.clone());
            self.body_numbers.insert(key.clone(), self.next_body_number);
            self.next_body_number += 1;
            self.body_bytes += bytes;
        }
    }

    fn remove(&mut self, key: &JournalKey) {
        let removed = self.entries.remove(key);
        if let Some(JournalEntry::Finished { response, .. }) = removed
            && let Some(number) = self.body_numbers.remove(key)
        {
            self.body_bytes -= response.body.len() as u64;
            self.body_order.remove(&number);
        }
        if let Some(entries) = self.team_entries.get_mut(&key.team) {
            *entries -= 1;
            if *entries == 0 {
                self.team_entries.remove(&key.team);
            }
        }
    }
}

fn not_found(key: &JournalKey) -> Reply {
    Reply::Refused(LedgerError::NotFound {
        kind: "started request".into(),
        name: key.request.0.clone(),
    })
}
