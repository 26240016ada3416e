//! Options of membership.

use std::time::Duration;

/// Options of [`super::Membership`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time between two pings of a member.
    pub ping_interval: Duration,
    /// Time without contact after which a pinged member is suspected.
    pub suspect_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion before it is declared dead.
    pub dead_timeout: Duration,
    /// Number of links kept to other members, about half of them opened by this instance. If there are no
    /// more other members than this, all members are linked with each other.
    pub fanout: usize,
    /// Number of times that this instance gossips a change.
    pub retransmissions: u32,
    /// Time between two comparisons of member lists with a neighbour.
    pub sync_interval: Duration,
    /// Time between two attempts to reach a member that is dead or only listed.
    pub probe_interval: Duration,
    /// Time for which a dead member is kept.
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
