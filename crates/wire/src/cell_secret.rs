//! Secret shared by all daemons of a cell, with key derivation and message authentication.

use std::fmt::{Debug, Formatter, Result};

/// Length of a message authentication tag in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Secret of the cell, or a key derived from it. Peers that do not hold it are rejected.
#[derive(Clone)]
pub struct CellSecret([u8; 32]);

impl CellSecret {
    /// Derives the secret from the text of a secret file. Leading and trailing white space is
    /// ignored.
    pub fn new(text: &str) -> Self {
        Self(blake3::derive_key(
            "fuchsiatack cell secret",
            text.trim().as_bytes(),
        ))
    }

    /// Derives a key for one purpose from this secret and `parts`, such as random challenges.
    pub(crate) fn derive(&self, purpose: &str, parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(purpose.as_bytes());
        for part in parts {
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Computes the authentication tag of a message and its sequence number.
    pub(crate) fn tag(&self, sequence: u64, message: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&sequence.to_be_bytes());
        hasher.update(message);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Returns whether a tag is valid, in constant time.
    pub(crate) fn verify(&self, sequence: u64, message: &[u8], tag: &[u8]) -> bool {
        bool::from(subtle::ConstantTimeEq::ct_eq(
            &self.tag(sequence, message)[..],
            tag,
        ))
    }
}

impl Debug for CellSecret {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str("CellSecret(..)")
    }
}
