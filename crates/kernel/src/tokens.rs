//! Token pool of one team at this daemon.

/// Tokens of one team at this daemon. Each running task of a limited team uses one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenPool {
    /// Tokens that this daemon holds according to the ledger.
    held: u32,
    /// Returned tokens that `held` may still include, since the ledger has not confirmed the
    /// return.
    returning: u32,
    /// Pool size that the leader asked for; `None` once it is reached.
    target: Option<u32>,
}

impl TokenPool {
    /// Returns the number of tokens that may be used, those in use included.
    pub(crate) fn usable(&self) -> u32 {
        self.held.saturating_sub(self.returning)
    }

    /// Sets the number of tokens to the ledger's. It may or may not include returns that are
    /// under way, so these stay unusable until `confirm_return`.
    pub(crate) fn set_held(&mut self, tokens: u32) {
        self.held = tokens;
    }

    /// Handles the ledger's confirmation that it has applied a return.
    pub(crate) fn confirm_return(&mut self, tokens: u32) {
        self.returning = self.returning.saturating_sub(tokens);
    }

    /// Subtracts tokens that moved to another daemon together with a worker.
    pub(crate) fn remove_moved(&mut self, tokens: u32) {
        self.held = self.held.saturating_sub(tokens);
        self.returning = self.returning.min(self.held);
    }

    /// Sets the pool size that the leader asked for.
    pub(crate) fn set_target(&mut self, target: u32) {
        self.target = Some(target);
    }

    /// Marks the unused tokens above the target as being returned, and returns their number.
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
