//! Text identifiers. Each wraps a `SmolStr`, which stores short texts without a heap allocation.

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        borrow::Borrow,
        fmt::{Display, Formatter, Result},
    },
};

macro_rules! text_name {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
            #[serde(transparent)]
            pub struct $name(pub SmolStr);

            impl $name {
                /// Creates a name from `text` without validating it.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self(SmolStr::new(text))
                }

                /// Returns the name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl Display for $name {
                fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
                    formatter.write_str(&self.0)
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self::new(text)
                }
            }
        )*
    };
}

text_name! {
    /// Name of a daemon, unique in the cell.
    DaemonName,
    /// Name of a data centre, unique in the cell.
    DataCenter,
    /// Name of a `key` record. It does not contain the secret of the key.
    KeyName,
    /// Name of a `queue` record, unique in the cell.
    QueueName,
    /// Name of a rack, unique in its data centre.
    RackName,
    /// Identifier of a request, chosen by the caller and unique in its team.
    RequestId,
    /// Name of a team, unique in the cell.
    TeamName,
    /// Name of a `work` record.
    WorkName,
    /// Name of a worker, unique in the cell.
    WorkerName,
}
