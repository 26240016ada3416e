//! Which backend server a router chooses, above all where many routers see the same late reports.

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
    /// A router that has known its servers for long.
    fn new(number: u64) -> Self {
        let mut table = routing::Table::new(routing::Options::default());
        let start = clock::Instant(0);
        let join = |place: usize| {
            let domain = format_smolstr!("fd{}", place % 4);
            table.add_server(start, format_smolstr!("10.0.0.{place}:80"), domain, SLOTS)
        };
        let keys = (0..SERVERS).map(join).collect();
        Self {
            table,
            keys,
            now: clock::Instant(60_000),
            seed: number << 32,
        }
    }

    fn with_reports(mut self, running: [u32; SERVERS], age: Duration) -> Self {
        for (place, running) in running.into_iter().enumerate() {
            self.report(place, running, age);
        }
        self
    }

    fn report(&mut self, place: usize, running: u32, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).expect("a short age");
        let report = routing::Report {
            running,
            waiting: 0,
            slots: SLOTS,
            at: clock::Instant(self.now.0 - age_ms),
        };
        self.table.record_report(self.keys[place], report);
    }

    fn choose(&mut self, prefix: Option<u64>) -> Option<usize> {
        self.seed += 1;
        let key = self.table.choose(self.now, &self.keys, prefix, self.seed)?;
        self.keys.iter().position(|other| *other == key)
    }

    fn send(&mut self, prefix: Option<u64>) -> Option<usize> {
        let place = self.choose(prefix)?;
        self.table.request_started(self.now, self.keys[place]);
        Some(place)
    }

    fn fail(&mut self, place: usize) {
        self.table.request_started(self.now, self.keys[place]);
        self.table.request_ended(self.now, self.keys[place], true);
    }
}

/// How many of the routers choose the server in the first place.
fn choosing_first<F>(router: F) -> u64
where
    F: Fn(u64) -> Router,
{
    let chosen = |number: &u64| router(*number).choose(None) == Some(0);
    (0..ROUTERS).filter(chosen).count() as u64
}

const ONE_IDLE: [u32; SERVERS] = [0, 8, 8, 8, 8, 8, 8, 8, 8, 8];

/// A server was idle when the last report was written, and all routers read it at the same moment. If each
/// sent it the next request, it would be overloaded and its callers late until the next report.
#[test]
fn routers_do_not_herd_on_an_idle_server() {
    let chosen =
        choosing_first(|number| Router::new(number).with_reports(ONE_IDLE, Duration::ZERO));
    assert!(chosen > 0, "an idle server is worth more than the others");
    assert!(chosen * 10 < ROUTERS * 3, "{chosen} of {ROUTERS}");
}

/// The reports stop, as when their sender hangs. What a router sent since must count, or the one that was
/// idle last would get everything.
#[test]
fn own_requests_count_beside_a_stale_report() {
    let mut router = Router::new(1).with_reports(ONE_IDLE, Duration::ZERO);
    router.now = router.now.after(Duration::from_secs(3));
    let sent = (0..40).filter(|_| router.send(None) == Some(0)).count();
    assert!(sent <= 8, "{sent} of 40");
}

/// A report lags behind what this router sent. What it already tells of the router's own requests must not be
/// counted twice, and what it can't tell yet must not be left out.
#[test]
fn report_is_set_against_own_requests_of_its_time() {
    let mut router = Router::new(1);
    let key = router.keys[0];
    for _ in 0..4 {
        router.table.request_started(router.now, key);
    }
    router.now = router.now.after(Duration::from_secs(1));
    let told = router.now;
    router.now = router.now.after(Duration::from_millis(500));
    for _ in 0..3 {
        router.table.request_started(router.now, key);
    }
    router.report(0, 6, router.now.since(told));
    let server = router.table.get(key).expect("it is known");
    let fresh = router.table.load(told, server);
    assert!(
        (fresh - 9.0).abs() < 0.01,
        "4 and 2 of others then, 3 since: {fresh}"
    );
}

/// A server joins or comes back while all are busy. Taken as idle, it would get the next request of every
/// router at once.
#[test]
fn joined_server_is_not_stormed() {
    let busy = [8; SERVERS];
    let with_new = |number| {
        let mut router = Router::new(number).with_reports(busy, Duration::ZERO);
        router.table.remove_server(router.keys[0]);
        let address = SmolStr::new("10.0.9.9:80");
        router.keys[0] = router
            .table
            .add_server(router.now, address, SmolStr::new("fd0"), SLOTS);
        router.report(0, 0, Duration::ZERO);
        router
    };
    let at_once = choosing_first(with_new);
    let after = |wait| {
        choosing_first(|number| {
            let mut router = with_new(number);
            router.now = router.now.after(Duration::from_secs(wait));
            for place in 0..SERVERS {
                router.report(place, if place == 0 { 0 } else { 8 }, Duration::ZERO);
            }
            router
        })
    };
    let (halfway, later) = (after(2), after(6));
    assert_eq!(at_once, 0);
    assert!(
        halfway > 0 && halfway * 2 < later * 3 / 2,
        "{halfway}, then {later}"
    );
}

/// A server says that it leaves, or fails what it is sent. Whatever still went there would be cut or refused.
#[test]
fn leaving_and_failing_servers_get_nothing() {
    let mut router = Router::new(1).with_reports(ONE_IDLE, Duration::ZERO);
    router.table.set_leaving(router.keys[0], true);
    router.fail(1);
    for prefix in 0..500 {
        assert!(router.choose(Some(prefix)).is_some_and(|place| place > 1));
        assert!(router.choose(None).is_some_and(|place| place > 1));
    }
    for place in 2..SERVERS {
        router.fail(place);
    }
    assert_eq!(router.choose(None), None);
    router.now = router.now.after(Duration::from_millis(200));
    assert!(router.choose(None).is_some_and(|place| place > 0));
}

/// A server fails again and again. It must be tried less and less often, but what was in progress when it
/// first failed must count as one failure.
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
    let mut waits = Vec::new();
    for _ in 0..8 {
        let failed = router.now;
        while router.choose(None).is_none() {
            router.now = router.now.after(Duration::from_millis(100));
        }
        waits.push(router.now.since(failed).as_millis());
        router.fail(0);
    }
    assert_eq!(waits, [200, 400, 800, 1600, 3200, 6400, 10_000, 10_000]);
}

/// All servers are full by the last reports, and then none comes any more. Requests wait rather than pile up
/// on a server, but not for ever on the word of a report that has long passed.
#[test]
fn slots_limit_until_reports_are_stale() {
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
    assert_eq!(router.choose(None), None, "own requests are certain");
}

/// Requests that begin alike are faster where the beginning is cached. All routers must agree on where that
/// is, and a popular beginning must not overload it.
#[test]
fn prefix_goes_to_one_server_within_bounds() {
    for prefix in 0..50 {
        let homes = (0..20).map(|number| Router::new(number).choose(Some(prefix)));
        assert_eq!(homes.collect::<BTreeSet<_>>().len(), 1);
    }
    let homes: BTreeSet<_> = (0..200)
        .map(|prefix| Router::new(1).choose(Some(prefix)))
        .collect();
    assert_eq!(homes.len(), SERVERS, "prefixes spread over all");
    let mut router = Router::new(1);
    let mut sent = [0; SERVERS];
    for _ in 0..60 {
        sent[router.send(Some(7)).expect("there is room")] += 1;
    }
    let most = sent.into_iter().max().unwrap_or(0);
    assert!((6..=10).contains(&most), "{sent:?}");
}

/// Cache events come late and with gaps. A wrong one may cost time, never an answer; after a gap older ones
/// say nothing.
#[test]
fn cache_events_are_hints() {
    const PREFIX: u64 = 7;
    let mut router = Router::new(1);
    let home = router.choose(Some(PREFIX)).expect("there is room");
    let other = (home + 1) % SERVERS;
    let key = router.keys[other];
    router.table.record_cache_event(key, 10, PREFIX, true);
    assert_eq!(router.choose(Some(PREFIX)), Some(other));
    router.table.record_cache_event(key, 9, PREFIX, false);
    assert_eq!(
        router.choose(Some(PREFIX)),
        Some(other),
        "a late event is ignored"
    );
    router.table.record_cache_event(key, 12, PREFIX + 1, true);
    assert_eq!(router.choose(Some(PREFIX)), Some(home), "after a gap");
    router.table.record_cache_event(key, 13, PREFIX, true);
    router.table.record_cache_event(key, 14, PREFIX, false);
    assert_eq!(router.choose(Some(PREFIX)), Some(home), "dropped");
    router.table.record_cache_event(key, 15, PREFIX, true);
    router.table.clear_cache(key);
    assert_eq!(router.choose(Some(PREFIX)), Some(home), "restarted");
    router.table.record_cache_event(key, 1, PREFIX, true);
    for _ in 0..4 {
        router.table.request_started(router.now, key);
    }
    assert_ne!(router.choose(Some(PREFIX)), Some(other), "too busy");
}

/// A member goes. Only what it was home of may move, or every change would empty the caches of all.
#[test]
fn rendezvous_moves_only_what_it_must() {
    let names: Vec<_> = (0..20).map(|place| format!("a{place}")).collect();
    let all = || names.iter().map(String::as_str);
    for key in 0..500 {
        let key = key.to_string();
        let ranked = rendezvous::ranked(&key, all(), 20);
        let heaviest = all().max_by_key(|name| rendezvous::weight(&key, name));
        assert_eq!(rendezvous::first(&key, all()), heaviest);
        assert_eq!(rendezvous::first(&key, all()), Some(ranked[0]));
        assert_eq!(rendezvous::ranked(&key, all(), 3), ranked[..3]);
        let without = |gone: &'static str| all().filter(move |name| *name != gone);
        let home = rendezvous::first(&key, without("a3"));
        assert_eq!(
            home,
            Some(if ranked[0] == "a3" {
                ranked[1]
            } else {
                ranked[0]
            })
        );
    }
    assert_eq!(rendezvous::first("key", []), None);
}
