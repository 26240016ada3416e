//! Tests of whether a path to a server counts as lost.

use fireflywheel::clock::Instant;
use fireflywheel::fleet::reach::{Reach, holds_for_group};

use crate::cases;

/// What an instance observes of a path, with the time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Observed {
    Opened,
    Failed(u64),
    Detour(u64),
}

use Observed::{Detour, Failed, Opened};

fn assert_lost(observed: &[Observed], expected: bool) {
    let mut reach = Reach::default();
    for observation in observed {
        match *observation {
            Opened => reach.record_success(),
            Failed(at) => reach.record_failure(Instant(at)),
            Detour(at) => reach.record_detour(Instant(at)),
        };
    }
    assert_eq!(reach.is_lost(), expected, "{observed:?}");
}

fn assert_probes(interval: u64, expected: usize) {
    let mut reach = Reach::default();
    reach.record_failure(Instant(1000));
    reach.record_detour(Instant(1000));
    let probes = (0..20).filter(|number| reach.try_probe(Instant(1000 + number * interval)));
    assert_eq!(probes.count(), expected);
}

cases! {
    /// Guards against an instance that takes a server that is down for a lost path.
    server_down_is_no_lost_path => assert_lost(&[Failed(0), Failed(500), Failed(1000)], false);
    /// Guards against an instance that takes a server that has paused, and answers again, for a lost path.
    server_that_paused_is_no_lost_path => assert_lost(&[Failed(0), Detour(1500)], false);
    /// Guards against an instance that goes on trying a path that others have.
    failure_beside_a_detour_is_a_lost_path => assert_lost(&[Failed(400), Detour(105)], true);
    /// The same in the other order.
    detour_after_a_failure_is_a_lost_path => assert_lost(&[Failed(0), Detour(5)], true);
    /// Guards against a slow connection that counts as lost, since a tunnel was faster.
    slow_connection_is_no_lost_path => assert_lost(&[Detour(105), Opened], false);
    /// Guards against switching back on a single connection that opens.
    one_success_does_not_restore => assert_lost(&[Failed(0), Detour(5), Opened], true);
    /// Guards against a path that stays lost after the partition.
    two_successes_restore => assert_lost(&[Failed(0), Detour(5), Opened, Opened], false);
    /// Guards against switching back while connections still fail in between.
    failure_between_successes_does_not_restore
        => assert_lost(&[Failed(0), Detour(5), Opened, Failed(500), Opened], true);
    /// Guards against a probe with each request.
    probes_are_spaced => assert_probes(100, 3);
    /// Guards against a group that counts as out of reach when most of its servers are reached.
    few_servers_are_not_the_group => assert!(!holds_for_group(2, 12));
    /// Half of a group's servers stand for the group.
    half_of_the_servers_are_the_group => assert!(holds_for_group(2, 4));
    /// Guards against an empty group that counts as out of reach.
    empty_group_is_reached => assert!(!holds_for_group(0, 0));
}
