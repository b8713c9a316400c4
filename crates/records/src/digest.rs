//! Digests of team keys.

use fuchsiatack_derives::message;

/// BLAKE3 digest of a key's secret. The secret itself is never stored or logged.
#[derive(Eq)]
#[message]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a secret.
    pub fn of(secret: &str) -> Self {
        Self(*blake3::hash(secret.as_bytes()).as_bytes())
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        bool::from(subtle::ConstantTimeEq::ct_eq(&self.0[..], &other.0[..]))
    }
}
