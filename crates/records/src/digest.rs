//! Digests of the secrets of team keys.

use fuchsiatack_derives::message;

/// BLAKE3 digest of a key's secret, stored in its place. The secret is never stored or logged.
#[derive(Eq)]
#[message]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a secret.
    pub fn of(secret: &str) -> Self {
        Self(*blake3::hash(secret.as_bytes()).as_bytes())
    }

    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(*hash.as_bytes()))
    }

    /// Returns the digest as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Returns whether both digests are equal, compared in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        bool::from(subtle::ConstantTimeEq::ct_eq(&self.0[..], &other.0[..]))
    }
}
