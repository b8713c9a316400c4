//! Tokens of one team at this daemon.

/// Pool of start permissions. All numbers count tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenPool {
    /// Tokens that the ledger says this daemon holds.
    held: u32,
    /// Tokens given back whose return is not yet known to be taken off `held`.
    returning: u32,
    /// Pool size that the leader asked for, until it is reached.
    target: Option<u32>,
}

impl TokenPool {
    /// Tokens that may be used, used ones included.
    pub(crate) fn usable(&self) -> u32 {
        self.held.saturating_sub(self.returning)
    }

    /// Takes over the ledger's number. It may or may not include returns that are under way,
    /// so these stay unusable until `returned`.
    pub(crate) fn set_held(&mut self, tokens: u32) {
        self.held = tokens;
    }

    /// Notes that the ledger has applied a return.
    pub(crate) fn confirm_return(&mut self, tokens: u32) {
        self.returning = self.returning.saturating_sub(tokens);
    }

    /// Takes off tokens that moved to another daemon together with a worker.
    pub(crate) fn remove_moved(&mut self, tokens: u32) {
        self.held = self.held.saturating_sub(tokens);
        self.returning = self.returning.min(self.held);
    }

    /// Remembers the pool size that the leader wants.
    pub(crate) fn set_target(&mut self, target: u32) {
        self.target = Some(target);
    }

    /// Gives back what is above the target and not in use; returns the number.
    pub(crate) fn return_surplus(&mut self, used: u32) -> u32 {
        let Some(target) = self.target else { return 0 };
        let usable = self.usable();
        let surplus = usable.saturating_sub(target.max(used));
        self.returning += surplus;
        if usable - surplus <= target {
            self.target = None;
        }
        surplus
    }
}
