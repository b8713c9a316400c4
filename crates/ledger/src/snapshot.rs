//! Stored forms of the ledger in snapshots.

use {
    crate::Ledger,
    fuchsiatack_jobs::JobStoreExtension,
    serde::{Deserialize, Serialize},
};

/// Forms of a snapshot. The encoding depends on the order of variants. The first two are encoded like
/// `Option<Ledger>`, the form of earlier builds.
#[derive(Deserialize, Serialize)]
enum StoredLedger<L, E> {
    Empty,
    Plain(L),
    Extended { extension: E, ledger: L },
}

impl Ledger {
    /// Encodes the ledger for a snapshot. No encoding is empty like that of the initial snapshot. While the
    /// state has no part that earlier builds do not know, they can decode it.
    pub fn encode_snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        let extension = &self.jobs.extension;
        postcard::to_stdvec(&match extension.is_empty() {
            true => StoredLedger::Plain(self),
            false => StoredLedger::Extended {
                extension,
                ledger: self,
            },
        })
    }

    /// Decodes a snapshot of this or an earlier build. Fails if it is damaged or of an unknown form.
    pub fn decode_snapshot(data: &[u8]) -> Result<Self, postcard::Error> {
        let stored: StoredLedger<Self, JobStoreExtension> = postcard::from_bytes(data)?;
        Ok(match stored {
            StoredLedger::Empty => Self::default(),
            StoredLedger::Plain(ledger) => ledger,
            StoredLedger::Extended {
                extension,
                mut ledger,
            } => {
                ledger.jobs.extension = extension;
                ledger
            }
        })
    }
}
