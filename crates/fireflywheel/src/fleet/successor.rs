//! The choice of the instance to which a steward hands its lease over.
//!
//! A steward hands the lease over when it is being stopped, when it can't send orders to engines that others
//! reach, when the store refuses its calls but not those of others, and when it is much weaker than another
//! instance. In the third case its reads of the store grow old, and all instances would read the store themselves at
//! the same moment; with hundreds of instances that takes longer than the deadline for applying a configuration.

use std::time::Duration;

/// The ratio of processor shares from which on another instance is much stronger than the steward.
const MUCH_STRONGER_RATIO: f64 = 2.0;
/// The age from which on a steward's reads are old, as a share of the deadline for applying changes. Other
/// instances may rely on them for somewhat longer, which leaves a successor time to send them its own.
const OLD_READS_RATIO: f64 = 0.5;
/// The age of the steward's reads, as a share of that deadline, from which on any instance with fresh reads
/// is accepted as successor: the steward's reads are then no longer valid for others.
const LAST_RESORT_RATIO: f64 = 0.75;
/// The age up to which a successor's reads are fresh, as a share of that deadline. An instance that starts
/// each read right after the previous one has fresh reads at any moment.
const FRESH_READS_RATIO: f64 = 0.5;

/// An instance that has a link to the steward.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// The instance's share of a processor.
    pub cpu_share: f64,
    /// The instance is being stopped.
    pub leaving: bool,
    /// The age of the instance's own reads of the store.
    pub read_age: Duration,
    /// Whether the instance doesn't reach the engines of a group.
    pub is_partitioned: bool,
    /// How long the instance would wait before it sends orders.
    pub order_delay: Duration,
}

/// The steward itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Steward {
    /// The steward's share of a processor.
    pub cpu_share: f64,
    /// The steward's calls to the store fail.
    pub store_fails: bool,
    /// The age of the steward's reads of the store.
    pub read_age: Duration,
    /// Whether the steward is partitioned from the engines of a group, which it can then send no orders.
    pub is_partitioned: bool,
}

/// The successor of a steward that is being stopped: the strongest instance that stays and can send orders at once, or else
/// the one that can send them first. Returns its index in `peers`.
#[must_use]
pub fn for_stopping(peers: &[Peer]) -> Option<usize> {
    let ready = strongest(peers, |peer| !peer.is_partitioned);
    ready
        .or_else(|| first_to_order(peers))
        .or_else(|| strongest_of_all(peers))
}

/// The successor of a steward that stays, if it should hand the lease over. Changes must be applied within
/// `deadline`. Returns an index in `peers`.
#[must_use]
pub fn for_running(own: Steward, peers: &[Peer], deadline: Duration) -> Option<usize> {
    // An instance that does not read the store itself may be unable to reach it, and would hand the lease
    // back.
    let is_fresh = |peer: &Peer| peer.read_age <= deadline.mul_f64(FRESH_READS_RATIO);
    if own.is_partitioned && !own.store_fails {
        // The store answers an instance that is partitioned from engines only, so it answers others as well.
        return strongest(peers, |peer| !peer.is_partitioned);
    }
    if own.store_fails {
        let is_old = own.read_age >= deadline.mul_f64(OLD_READS_RATIO);
        // A strong instance may be reading at this moment. A weak one is only better than no steward at
        // all.
        let is_last_resort = own.read_age >= deadline.mul_f64(LAST_RESORT_RATIO);
        return strongest(peers, |peer| {
            is_old
                && is_fresh(peer)
                && (own.is_partitioned || !peer.is_partitioned)
                && (is_last_resort || !is_share_much_larger(own.cpu_share, peer.cpu_share))
        });
    }
    strongest(peers, |peer| {
        is_fresh(peer) && is_much_stronger(own, peer) && !peer.is_partitioned
    })
}

/// Whether standbys should read the store themselves. Their reads show which of them the store answers,
/// since the steward may have to hand the lease over to one of them.
#[must_use]
pub fn needs_standby_reads(own: Steward, peers: &[Peer]) -> bool {
    let mut staying = peers.iter().filter(|peer| !peer.leaving);
    own.store_fails || staying.any(|peer| is_much_stronger(own, peer))
}

fn is_much_stronger(own: Steward, peer: &Peer) -> bool {
    is_share_much_larger(peer.cpu_share, own.cpu_share)
}

fn is_share_much_larger(share: f64, other: f64) -> bool {
    share >= other * MUCH_STRONGER_RATIO
}

/// The strongest suitable instance that stays and need not wait before it sends orders.
fn strongest<F>(peers: &[Peer], is_suitable: F) -> Option<usize>
where
    F: Fn(&Peer) -> bool,
{
    let ready = staying(peers).filter(|(_, peer)| peer.order_delay.is_zero());
    ready
        .filter(|(_, peer)| is_suitable(peer))
        .max_by(|(_, a), (_, b)| a.cpu_share.total_cmp(&b.cpu_share))
        .map(|(index, _)| index)
}

/// The instance that stays, isn't partitioned and waits least before it sends orders.
fn first_to_order(peers: &[Peer]) -> Option<usize> {
    staying(peers)
        .filter(|(_, peer)| !peer.is_partitioned)
        .min_by_key(|(_, peer)| peer.order_delay)
        .map(|(index, _)| index)
}

fn strongest_of_all(peers: &[Peer]) -> Option<usize> {
    staying(peers)
        .max_by(|(_, a), (_, b)| a.cpu_share.total_cmp(&b.cpu_share))
        .map(|(index, _)| index)
}

fn staying(peers: &[Peer]) -> impl Iterator<Item = (usize, &Peer)> {
    peers.iter().enumerate().filter(|(_, peer)| !peer.leaving)
}
