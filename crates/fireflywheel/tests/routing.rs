//! Tests of the choice of backend servers, above all when many routers see the same stale reports.

use std::{collections::BTreeSet, time::Duration};

use fireflywheel::{clock, rendezvous, routing, server};
use smol_str::{SmolStr, format_smolstr};

const SLOTS: u32 = 16;
const SERVERS: usize = 10;
const ROUTERS: u64 = 200;

struct Router {
    table: routing::Table,
    keys: Vec<server::Key>,
    now: clock::Instant,
    seed: u64,
}

impl Router {
    /// Creates a router whose servers have completed their slow start.
    fn new(index: u64) -> Self {
        let mut table = routing::Table::new(routing::Options::default());
        let start = clock::Instant(0);
        let add_server = |index: usize| {
            let domain = format_smolstr!("fd{}", index % 4);
            table.add_server(start, format_smolstr!("10.0.0.{index}:80"), domain, SLOTS)
        };
        let keys = (0..SERVERS).map(add_server).collect();
        Self {
            table,
            keys,
            now: clock::Instant(60_000),
            seed: index << 32,
        }
    }

    fn with_reports(mut self, running: [u32; SERVERS], age: Duration) -> Self {
        for (index, running) in running.into_iter().enumerate() {
            self.report(index, running, age);
        }
        self
    }

    fn report(&mut self, index: usize, running: u32, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).expect("the age fits in 64 bits");
        let report = routing::Report {
            running,
            waiting: 0,
            slots: SLOTS,
            at: clock::Instant(self.now.0 - age_ms),
        };
        self.table.record_report(self.keys[index], report);
    }

    fn choose(&mut self, prefix: Option<u64>) -> Option<usize> {
        self.seed += 1;
        let key = self.table.choose(self.now, &self.keys, prefix, self.seed)?;
        self.keys.iter().position(|other| *other == key)
    }

    fn send(&mut self, prefix: Option<u64>) -> Option<usize> {
        let index = self.choose(prefix)?;
        self.table.request_started(self.now, self.keys[index]);
        Some(index)
    }

    fn fail(&mut self, index: usize) {
        self.table.request_started(self.now, self.keys[index]);
        self.table.request_ended(self.now, self.keys[index], true);
    }
}

/// Returns how many routers choose the first server.
fn routers_choosing_first<F>(router: F) -> u64
where
    F: Fn(u64) -> Router,
{
    let chooses_first = |index: &u64| router(*index).choose(None) == Some(0);
    (0..ROUTERS).filter(chooses_first).count() as u64
}

const FIRST_IDLE: [u32; SERVERS] = [0, 8, 8, 8, 8, 8, 8, 8, 8, 8];

/// All routers read at the same moment a report in which one server is idle. If each of them sent it the next
/// request, the server would be overloaded and its callers late until the next report.
#[test]
fn routers_do_not_herd_on_an_idle_server() {
    let chosen =
        routers_choosing_first(|index| Router::new(index).with_reports(FIRST_IDLE, Duration::ZERO));
    assert!(chosen > 0, "no router chose the idle server");
    assert!(
        chosen * 10 < ROUTERS * 3,
        "{chosen} of {ROUTERS} routers chose the idle server"
    );
}

/// Reports stop, for example because their sender hangs. Unless a router counts the requests that it sent since the
/// last report, the server that was idle then gets all of them.
#[test]
fn own_requests_count_despite_a_stale_report() {
    let mut router = Router::new(1).with_reports(FIRST_IDLE, Duration::ZERO);
    router.now = router.now.after(Duration::from_secs(3));
    let sent = (0..40).filter(|_| router.send(None) == Some(0)).count();
    assert!(
        sent <= 8,
        "the server that was idle last got {sent} of 40 requests"
    );
}

/// A report lags behind the requests that this router sent. The router's own requests that the report includes must
/// not be counted twice, and those sent after the report must not be left out.
#[test]
fn report_is_compared_with_own_requests_at_its_time() {
    let mut router = Router::new(1);
    let key = router.keys[0];
    for _ in 0..4 {
        router.table.request_started(router.now, key);
    }
    router.now = router.now.after(Duration::from_secs(1));
    let reported_at = router.now;
    router.now = router.now.after(Duration::from_millis(500));
    for _ in 0..3 {
        router.table.request_started(router.now, key);
    }
    router.report(0, 6, router.now.since(reported_at));
    let server = router.table.get(key).expect("the server was added");
    let load = router.table.load(reported_at, server);
    assert!(
        (load - 9.0).abs() < 0.01,
        "expected 4 own and 2 external requests in the report and 3 own ones since: {load}"
    );
}

/// A server joins or comes back while all others are busy. Treated as idle, without a slow start, it would get the next
/// request of every router at once.
#[test]
fn joining_server_gets_a_slow_start() {
    let busy = [8; SERVERS];
    let with_joined_server = |index| {
        let mut router = Router::new(index).with_reports(busy, Duration::ZERO);
        router.table.remove_server(router.keys[0]);
        let address = SmolStr::new("10.0.9.9:80");
        router.keys[0] = router
            .table
            .add_server(router.now, address, SmolStr::new("fd0"), SLOTS);
        router.report(0, 0, Duration::ZERO);
        router
    };
    let at_once = routers_choosing_first(with_joined_server);
    let after = |wait| {
        routers_choosing_first(|router_index| {
            let mut router = with_joined_server(router_index);
            router.now = router.now.after(Duration::from_secs(wait));
            for index in 0..SERVERS {
                router.report(index, if index == 0 { 0 } else { 8 }, Duration::ZERO);
            }
            router
        })
    };
    let (halfway, later) = (after(2), after(6));
    assert_eq!(at_once, 0);
    assert!(
        halfway > 0 && halfway * 2 < later * 3 / 2,
        "{halfway} routers chose the server after 2 s, {later} after 6 s"
    );
}

/// A server announces that it is leaving, or fails requests. Any further request to it would be cut off or refused.
#[test]
fn leaving_and_failing_servers_get_no_requests() {
    let mut router = Router::new(1).with_reports(FIRST_IDLE, Duration::ZERO);
    router.table.set_leaving(router.keys[0], true);
    router.fail(1);
    for prefix in 0..500 {
        assert!(router.choose(Some(prefix)).is_some_and(|index| index > 1));
        assert!(router.choose(None).is_some_and(|index| index > 1));
    }
    for index in 2..SERVERS {
        router.fail(index);
    }
    assert_eq!(router.choose(None), None);
    router.now = router.now.after(Duration::from_millis(200));
    assert!(router.choose(None).is_some_and(|index| index > 0));
}

/// A server that keeps failing must be tried less and less often, but all requests that were in progress when it first
/// failed must count as one failure.
#[test]
fn backoff_doubles_per_failure_not_per_request() {
    let mut router = Router::new(1);
    router.keys.truncate(1);
    for _ in 0..8 {
        router.table.request_started(router.now, router.keys[0]);
    }
    for _ in 0..8 {
        router.table.request_ended(router.now, router.keys[0], true);
    }
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        let failed_at = router.now;
        while router.choose(None).is_none() {
            router.now = router.now.after(Duration::from_millis(100));
        }
        backoffs.push(router.now.since(failed_at).as_millis());
        router.fail(0);
    }
    assert_eq!(backoffs, [200, 400, 800, 1600, 3200, 6400, 10_000, 10_000]);
}

/// The last reports say that all servers are full, and then the reports stop. Requests must wait instead of
/// piling up on a server, but a report that has expired must not keep them waiting for ever.
#[test]
fn reported_slots_limit_requests_until_reports_expire() {
    let full = [SLOTS; SERVERS];
    let mut router = Router::new(1).with_reports(full, Duration::ZERO);
    assert_eq!(router.choose(None), None);
    router.now = router.now.after(Duration::from_secs(12));
    assert!(router.choose(None).is_some());
    for key in router.keys.clone() {
        for _ in 0..SLOTS {
            router.table.request_started(router.now, key);
        }
    }
    assert_eq!(router.choose(None), None, "own requests fill all slots");
}

/// Requests with the same prefix are faster on a server that has the prefix in its cache. All routers must choose the
/// same server for it, and a popular prefix must not overload that server.
#[test]
fn prefix_goes_to_one_server_within_its_load_bound() {
    for prefix in 0..50 {
        let targets = (0..20).map(|index| Router::new(index).choose(Some(prefix)));
        assert_eq!(targets.collect::<BTreeSet<_>>().len(), 1);
    }
    let targets: BTreeSet<_> = (0..200)
        .map(|prefix| Router::new(1).choose(Some(prefix)))
        .collect();
    assert_eq!(targets.len(), SERVERS, "some servers got no prefix");
    let mut router = Router::new(1);
    let mut sent = [0; SERVERS];
    for _ in 0..60 {
        sent[router.send(Some(7)).expect("there is room")] += 1;
    }
    let max_sent = sent.into_iter().max().unwrap_or(0);
    assert!(
        (6..=10).contains(&max_sent),
        "requests per server: {sent:?}"
    );
}

/// Cache events arrive late and with gaps. A wrong one may cost time, but never an answer. After a gap, the earlier
/// events are no longer valid.
#[test]
fn cache_events_are_hints() {
    const PREFIX: u64 = 7;
    let mut router = Router::new(1);
    let target = router.choose(Some(PREFIX)).expect("there is room");
    let other = (target + 1) % SERVERS;
    let key = router.keys[other];
    router.table.record_cache_event(key, 10, PREFIX, true);
    assert_eq!(router.choose(Some(PREFIX)), Some(other));
    router.table.record_cache_event(key, 9, PREFIX, false);
    assert_eq!(
        router.choose(Some(PREFIX)),
        Some(other),
        "a late event was not ignored"
    );
    router.table.record_cache_event(key, 12, PREFIX + 1, true);
    assert_eq!(
        router.choose(Some(PREFIX)),
        Some(target),
        "events before a gap were still used"
    );
    router.table.record_cache_event(key, 13, PREFIX, true);
    router.table.record_cache_event(key, 14, PREFIX, false);
    assert_eq!(
        router.choose(Some(PREFIX)),
        Some(target),
        "the prefix was removed from the cache"
    );
    router.table.record_cache_event(key, 15, PREFIX, true);
    router.table.clear_cache(key);
    assert_eq!(
        router.choose(Some(PREFIX)),
        Some(target),
        "the cache was cleared by a restart"
    );
    router.table.record_cache_event(key, 1, PREFIX, true);
    for _ in 0..4 {
        router.table.request_started(router.now, key);
    }
    assert_ne!(
        router.choose(Some(PREFIX)),
        Some(other),
        "the server with the prefix exceeds the load bound"
    );
}

/// When a member leaves, only the keys assigned to it may move. Otherwise every change of membership would empty the
/// caches of all members.
#[test]
fn rendezvous_moves_only_keys_of_the_removed_member() {
    let names: Vec<_> = (0..20).map(|index| format!("a{index}")).collect();
    let all = || names.iter().map(String::as_str);
    for key in 0..500 {
        let key = key.to_string();
        let ranked = rendezvous::ranked(&key, all(), 20);
        let highest_weight = all().max_by_key(|name| rendezvous::weight(&key, name));
        assert_eq!(rendezvous::select(&key, all()), highest_weight);
        assert_eq!(rendezvous::select(&key, all()), Some(ranked[0]));
        assert_eq!(rendezvous::ranked(&key, all(), 3), ranked[..3]);
        let without = |removed: &'static str| all().filter(move |name| *name != removed);
        let target = rendezvous::select(&key, without("a3"));
        assert_eq!(
            target,
            Some(if ranked[0] == "a3" {
                ranked[1]
            } else {
                ranked[0]
            })
        );
    }
    assert_eq!(rendezvous::select("key", []), None);
}
