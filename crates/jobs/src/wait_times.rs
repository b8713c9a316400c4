//! How the wait of a step divides.

use {
    crate::WaitReason,
    fuchsiatack_derives::value,
    std::{
        collections::BTreeMap,
        fmt::{Display, Formatter, Result},
    },
};

/// Time that a step has spent waiting, by reason.
#[derive(Default)]
#[value]
pub struct WaitTimes {
    by_reason_ms: BTreeMap<WaitReason, u64>,
}

impl WaitTimes {
    /// Adds time that was spent waiting for one reason, in milliseconds.
    pub fn add(&mut self, reason: WaitReason, waited_ms: u64) {
        if waited_ms > 0 {
            *self.by_reason_ms.entry(reason).or_default() += waited_ms;
        }
    }

    /// Returns the time for each reason in milliseconds.
    pub fn iter(&self) -> impl Iterator<Item = (WaitReason, u64)> {
        self.by_reason_ms.iter().map(|(reason, ms)| (*reason, *ms))
    }
}

impl Display for WaitTimes {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        for (position, (reason, waited_ms)) in self.iter().enumerate() {
            let separator = if position > 0 { ", " } else { "" };
            write!(formatter, "{separator}{} {waited_ms} ms", reason.as_str())?;
        }
        Ok(())
    }
}
