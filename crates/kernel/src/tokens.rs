//! Tokens of one team at this daemon.

/// Pool of start permissions. All numbers count tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenPool {
    /// Tokens that the ledger says this daemon holds.
    held: u32,
    /// Tokens given back that the ledger has not yet taken off `held`.
    returning: u32,
    /// Pool size that the leader asked for, until it is reached.
    target: Option<u32>,
}

impl TokenPool {
    /// Tokens that may be used, used ones included.
    pub(crate) fn usable(&self) -> u32 {
        self.held.saturating_sub(self.returning)
    }

    /// Takes over the ledger's number. A decrease confirms tokens on their way back, so a
    /// grant that was committed before a return does not make the returned tokens usable.
    pub(crate) fn set(&mut self, tokens: u32) {
        let decrease = self.held.saturating_sub(tokens);
        self.returning = self.returning.saturating_sub(decrease);
        self.held = tokens;
    }

    /// Takes off tokens that moved to another daemon together with a worker.
    pub(crate) fn moved(&mut self, tokens: u32) {
        self.held = self.held.saturating_sub(tokens);
        self.returning = self.returning.min(self.held);
    }

    /// Remembers the pool size that the leader wants.
    pub(crate) fn advise(&mut self, target: u32) {
        self.target = Some(target);
    }

    /// Gives back what is above the target and not in use; returns the number.
    pub(crate) fn give_back(&mut self, used: u32) -> u32 {
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
