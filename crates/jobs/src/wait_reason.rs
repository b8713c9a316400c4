//! Why a step waits.

/// Why the last attempt to place a step left tasks waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// No attempt was made yet.
    NotTried,
    /// The limit of the step's team does not allow more tasks.
    TeamLimit,
    /// The step's queue is not in the configuration.
    NoQueue,
    /// Members of the step's gang still run.
    GangEnding,
    /// No worker has enough free capacity. If the step needs advice: no worker that may run it and has
    /// a ticket, and no worker without advice.
    NoCapacity,
    /// Workers are reserved for the step, and runs on them have not ended yet.
    AwaitsRoom,
    /// Workers with room have too many start orders without a result.
    AwaitsStartResults,
    /// A response of the advice service is awaited.
    AwaitsAdvice,
    /// All daemons that could send an advice request for the step are busy.
    NoAdviceSender,
    /// The pause between two advice requests for the step has not passed.
    AdvicePause,
    /// All workers that could run the step are in evacuated data centres.
    Evacuated,
}

impl WaitReason {
    /// Returns the text of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotTried => "not tried",
            Self::TeamLimit => "limit of the team",
            Self::NoQueue => "queue not configured",
            Self::GangEnding => "gang members still run",
            Self::NoCapacity => "no capacity",
            Self::AwaitsRoom => "reserved room in use",
            Self::AwaitsStartResults => "awaits results of start orders",
            Self::AwaitsAdvice => "awaits advice",
            Self::NoAdviceSender => "no daemon free for an advice request",
            Self::AdvicePause => "pause between advice requests",
            Self::Evacuated => "evacuated",
        }
    }
}
