//! Failures after which the member takes part in nothing.

use {crate::runtime::Runtime, fuchsiatack_jobs::LogEvent};

impl Runtime {
    pub(crate) fn log_failure(&self, cause: &str) {
        self.log(
            LogEvent::new("store member failed")
                .with("cause", cause)
                .with("role", format!("{:?}", self.node.role()).to_lowercase())
                .with("term", self.node.term().0)
                .with("last", self.node.last().0),
        );
    }
}
