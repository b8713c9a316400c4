//! Text identifiers. Each is a `SmolStr`, so short ones are stored inline.

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
                /// Copies `text` into a name.
                pub fn new(text: impl AsRef<str>) -> Self {
                    Self(SmolStr::new(text))
                }

                /// Returns the text of the name.
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
    /// Name of a data centre.
    DataCenter,
    /// Name of a team key record. It is not the key's secret.
    KeyName,
    /// Name of a queue.
    QueueName,
    /// Name of a rack, unique in its data centre.
    RackName,
    /// Identifier that a caller chooses for a request, unique in its team.
    RequestId,
    /// Name of a team.
    TeamName,
    /// Name of a record of queued work.
    WorkName,
    /// Name of a worker, unique in the cell.
    WorkerName,
}
