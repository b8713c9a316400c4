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
}

impl Faults {
    /// Names of the faults in the order of their bits.
    pub const NAMES: [&str; 10] = [
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
        }
    }
}
