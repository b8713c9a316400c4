//! Schema versions.

use fuchsiatack_derives::key;

/// Form in which a record is written or read.
#[key]
pub enum Schema {
    /// The older form.
    V1,
    /// The present form.
    V2,
}
