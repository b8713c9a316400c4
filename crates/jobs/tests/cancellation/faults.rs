//! Faults of the simulation, each of which can be switched on by itself.

/// Faults that may happen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    pub crashes: bool,
    pub partitions: bool,
    pub leaves: bool,
    pub leader_changes: bool,
    /// Orders without effect, and orders with effect whose response is lost.
    pub lost_orders: bool,
    /// Orders without response that are carried out 2 to 12 s later.
    pub late_orders: bool,
    /// Orders in flight to a worker that ends reach its next incarnation.
    pub orders_to_restarted: bool,
    /// A leader elected again receives the results of orders of its earlier term.
    pub regained_leadership: bool,
    /// Responses to clients are lost.
    pub lost_responses: bool,
    /// Submissions are repeated or handled seconds late, also after a cancel.
    pub delayed_submissions: bool,
    /// Orders to a worker that is cut off are delivered up to 1.5 s after the cut ends.
    pub held_orders: bool,
    /// Workers that only the leader cannot reach; their heartbeats arrive through other members.
    pub leader_cuts: bool,
    /// A leader is paused and handles its events in another order, or sends its committed orders after it
    /// was replaced.
    pub leader_pauses: bool,
    /// Heartbeats arrive late and out of order, and leaves are repeated late.
    pub late_heartbeats: bool,
    /// Workers change their address while runs are on them.
    pub address_changes: bool,
    /// Workers count the lease of a late start from its arrival.
    pub fresh_leases: bool,
    /// Ended jobs are removed after 16 s, submitted again under their identifier, and cancelled.
    pub resubmissions: bool,
    /// Faults come in bursts with calm periods between them.
    pub bursts: bool,
    /// The leader's wall clock steps by up to 600 s in either direction.
    pub clock_steps: bool,
}

impl Faults {
    /// Names of the faults in the order of their bits.
    pub const NAMES: [&str; 19] = [
        "crashes",
        "partitions",
        "leaves",
        "leader_changes",
        "lost_orders",
        "late_orders",
        "orders_to_restarted",
        "regained_leadership",
        "lost_responses",
        "delayed_submissions",
        "held_orders",
        "leader_cuts",
        "leader_pauses",
        "late_heartbeats",
        "address_changes",
        "fresh_leases",
        "resubmissions",
        "bursts",
        "clock_steps",
    ];

    pub fn from_bits(bits: u32) -> Self {
        let has = |bit: u32| bits >> bit & 1 == 1;
        Self {
            crashes: has(0),
            partitions: has(1),
            leaves: has(2),
            leader_changes: has(3),
            lost_orders: has(4),
            late_orders: has(5),
            orders_to_restarted: has(6),
            regained_leadership: has(7),
            lost_responses: has(8),
            delayed_submissions: has(9),
            held_orders: has(10),
            leader_cuts: has(11),
            leader_pauses: has(12),
            late_heartbeats: has(13),
            address_changes: has(14),
            fresh_leases: has(15),
            resubmissions: has(16),
            bursts: has(17),
            clock_steps: has(18),
        }
    }
}
