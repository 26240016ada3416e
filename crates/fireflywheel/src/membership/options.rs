//! Settings of membership.

use std::time::Duration;

/// Settings of [`super::Membership`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time between two pings of one member.
    pub ping_interval: Duration,
    /// Silence after which a pinged member is suspected.
    pub suspect_timeout: Duration,
    /// Time that a suspected member has to refute it before it counts as dead.
    pub dead_timeout: Duration,
    /// Links kept to other members, about half of them opened from here. With no more others than this,
    /// each is linked to each.
    pub fanout: usize,
    /// Times that a change is passed on from here.
    pub retransmissions: u32,
    /// Time between two comparisons of the list with a neighbour's.
    pub sync_interval: Duration,
    /// Time between two attempts to reach one that is dead or only listed.
    pub probe_interval: Duration,
    /// Time for which a dead member is remembered.
    pub dead_retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_secs(1),
            suspect_timeout: Duration::from_secs(3),
            dead_timeout: Duration::from_secs(4),
            fanout: 16,
            retransmissions: 16,
            sync_interval: Duration::from_secs(10),
            probe_interval: Duration::from_secs(5),
            dead_retention: Duration::from_secs(60 * 60),
        }
    }
}
