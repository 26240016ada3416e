//! Tests of the request queue, the time estimates and the retry budget.

use std::time::Duration;

use fireflywheel::{clock, estimate, queue, request, retry_budget};
use slotmap::SlotMap;
use smol_str::{SmolStr, format_smolstr};

const SECOND: Duration = Duration::from_secs(1);

struct Fixture {
    keys: SlotMap<request::Key, (SmolStr, u64)>,
    queue: queue::Queue,
}

impl Fixture {
    fn new(limit: usize) -> Self {
        Self {
            keys: SlotMap::with_key(),
            queue: queue::Queue::new(limit),
        }
    }

    fn push(
        &mut self,
        tenant: &str,
        share: u32,
        deadline: u64,
    ) -> Result<request::Key, queue::Full> {
        let key = self.keys.insert((SmolStr::new(tenant), deadline));
        let entry = queue::Entry {
            key,
            tenant: SmolStr::new(tenant),
            share,
            deadline: clock::Instant(deadline),
        };
        self.queue.push(entry).map(|()| key)
    }

    fn pop(&mut self) -> Option<(SmolStr, u64)> {
        let next = self.queue.peek();
        let key = self.queue.pop();
        assert_eq!(next, key);
        self.keys.remove(key?)
    }

    fn pop_tenants(&mut self, count: usize) -> Vec<SmolStr> {
        (0..count)
            .filter_map(|_| self.pop())
            .map(|(tenant, _)| tenant)
            .collect()
    }
}

#[test]
fn earliest_deadline_goes_first_within_a_tenant() {
    let mut fixture = Fixture::new(10);
    for deadline in [50, 10, 30, 20, 40] {
        fixture.push("guide", 1, deadline).unwrap();
    }
    assert_eq!(fixture.queue.earliest_deadline(), Some(clock::Instant(10)));
    let order: Vec<_> = std::iter::from_fn(|| fixture.pop())
        .map(|(_, deadline)| deadline)
        .collect();
    assert_eq!(order, [10, 20, 30, 40, 50]);
}

/// One tenant sends a burst with early deadlines. Another tenant's single request with a later deadline
/// must not wait behind all of it, and must be served in time as its share allows.
#[test]
fn burst_of_one_tenant_does_not_take_the_others_share() {
    let mut fixture = Fixture::new(1000);
    for deadline in 0..500 {
        fixture.push("burst", 1, deadline).unwrap();
    }
    fixture.pop_tenants(10);
    fixture.push("calm", 1, 10_000).unwrap();
    assert!(fixture.pop_tenants(2).contains(&SmolStr::new("calm")));
    for deadline in 0..100 {
        fixture.push("calm", 3, 20_000 + deadline).unwrap();
    }
    let calm = fixture
        .pop_tenants(100)
        .iter()
        .filter(|tenant| *tenant == "calm")
        .count();
    assert!(
        (74..=76).contains(&calm),
        "{calm} of 100 turns at a share of 3 to 1"
    );
}

/// A tenant returns after a long idle time. If it had accumulated turns for that time, it would delay the
/// others for as long.
#[test]
fn idle_tenant_accumulates_no_turns() {
    let mut fixture = Fixture::new(1000);
    for deadline in 0..300 {
        fixture.push("steady", 1, deadline).unwrap();
    }
    fixture.pop_tenants(200);
    for deadline in 0..100 {
        fixture.push("back", 1, deadline).unwrap();
    }
    let back = fixture
        .pop_tenants(20)
        .iter()
        .filter(|tenant| *tenant == "back")
        .count();
    assert!((9..=11).contains(&back), "{back} of 20 turns");
}

/// More requests arrive than may wait. The last ones must be refused at once, and those that wait must stay
/// queued.
#[test]
fn full_queue_rejects_new_requests() {
    let mut fixture = Fixture::new(2);
    let first = fixture.push("guide", 1, 1).unwrap();
    fixture.push("guide", 1, 2).unwrap();
    assert_eq!(fixture.push("crew", 1, 0), Err(queue::Full));
    assert!(fixture.queue.remove(first));
    assert!(!fixture.queue.remove(first));
    fixture.push("crew", 1, 0).unwrap();
    assert_eq!(fixture.queue.len(), 2);
}

/// After any sequence of pushes, pops, removals and expiries, the queue holds exactly what a plain list
/// would hold, and counts the earlier deadlines correctly. A request that is lost here would never be
/// answered.
#[test]
fn queue_never_loses_a_request() {
    const BYTES: u64 = 8 * 1024;
    for seed in 0..50 {
        let mut fixture = Fixture::new(40);
        let mut expected: Vec<(u64, request::Key)> = Vec::new();
        arbtest::arbtest(|u| {
            while !u.is_empty() {
                let deadline = u.int_in_range(0..=5000)?;
                match u.int_in_range(0..=9)? {
                    0..=5 => {
                        let tenant = format_smolstr!("t{}", u.int_in_range(0..=4)?);
                        let pushed = fixture.push(&tenant, u.int_in_range(0..=9)?, deadline);
                        assert_eq!(pushed.is_err(), expected.len() == 40);
                        expected.extend(pushed.ok().map(|key| (deadline, key)));
                    }
                    6 | 7 => {
                        let popped = fixture.queue.pop();
                        assert_eq!(popped.is_none(), expected.is_empty());
                        expected.retain(|(_, key)| Some(*key) != popped);
                    }
                    8 if !expected.is_empty() => {
                        let (_, key) = expected.swap_remove(u.choose_index(expected.len())?);
                        assert!(fixture.queue.remove(key));
                    }
                    _ => {
                        let now = clock::Instant(deadline / 4);
                        let gone = fixture.queue.take_expired(now).len();
                        let before = expected.len();
                        expected.retain(|(deadline, _)| *deadline > now.0);
                        assert_eq!(gone, before - expected.len());
                    }
                }
                let ahead = expected
                    .iter()
                    .filter(|(other, _)| *other < deadline)
                    .count();
                assert_eq!(fixture.queue.count_ahead(clock::Instant(deadline)), ahead);
                assert_eq!(fixture.queue.len(), expected.len());
            }
            Ok(())
        })
        .seed(seed << 32 | BYTES)
        .run();
        while let Some(key) = fixture.queue.pop() {
            expected.retain(|(_, other)| *other != key);
        }
        assert!(
            expected.is_empty(),
            "{} requests lost with seed {seed}",
            expected.len()
        );
    }
}

/// A single request hangs for minutes. If its time counted in full, all later requests would be refused as
/// too late although the model answers as fast as before.
#[test]
fn single_outlier_hardly_raises_estimate() {
    let mut estimate = estimate::Estimate::new(SECOND);
    for _ in 0..50 {
        estimate.observe(SECOND);
    }
    let before = estimate.completion_time(8, 4);
    estimate.observe(600 * SECOND);
    assert!(
        estimate.completion_time(8, 4) < before * 6 / 5,
        "{:?}",
        estimate.completion_time(8, 4)
    );
}

/// A model becomes ten times slower permanently. Requests that can't be answered in time must be refused
/// soon, not after hundreds were late.
#[test]
fn estimate_follows_lasting_change() {
    let mut estimate = estimate::Estimate::new(SECOND);
    for _ in 0..50 {
        estimate.observe(SECOND);
    }
    let samples_until_slow = (0..100).position(|_| {
        estimate.observe(10 * SECOND);
        estimate.mean() > 8 * SECOND
    });
    assert!(
        samples_until_slow.is_some_and(|samples| samples < 40),
        "{samples_until_slow:?}"
    );
    for _ in 0..100 {
        estimate.observe(SECOND);
    }
    assert!(estimate.mean() < 2 * SECOND);
}

/// Service times vary widely. The upper bound must stay within twice the mean, so that few requests are
/// refused that would be answered in time.
#[test]
fn upper_bound_of_scattered_times_stays_within_twice_the_mean() {
    const SAMPLES: u64 = 2000;
    let mut estimate = estimate::Estimate::new(SECOND);
    let mut mean = Duration::ZERO;
    for sample in 0..SAMPLES {
        let millis = 100 + sample * 7919 % 1900;
        estimate.observe(Duration::from_millis(millis));
        mean += Duration::from_millis(millis) / u32::try_from(SAMPLES).unwrap();
    }
    assert!(estimate.upper_bound() <= 2 * estimate.mean());
    assert!(estimate.mean() < mean * 13 / 10 && estimate.mean() > mean * 7 / 10);
    let turns = estimate.queue_wait(7, 4).abs_diff(estimate.mean() * 2);
    assert!(turns < Duration::from_micros(1));
    assert_eq!(estimate.queue_wait(0, 0), estimate.mean());
    assert!(
        estimate.queue_wait(usize::MAX, 1) > Duration::from_secs(1 << 40),
        "the wait overflowed"
    );
}

/// A backend server fails every request. Retrying each of them would double the load on the other servers
/// at that moment. The budget limits retries to a small ratio of the requests.
#[test]
fn retries_are_limited_to_a_ratio_of_requests() {
    let options = retry_budget::Options::default();
    let mut budget = retry_budget::Budget::new(clock::Instant(0), options);
    budget.set_instances(clock::Instant(0), 16);
    let mut retries = 0;
    for request in 0..10_000 {
        let now = clock::Instant(request);
        budget.record_request(now);
        retries += u32::from(budget.try_retry(now));
    }
    assert!((1000..=1030).contains(&retries), "{retries} retries");
}

/// Few requests arrive. A retry or two must still be possible, but the floor that allows them must not add
/// up over a large fleet.
#[test]
fn retry_floor_is_shared_by_the_fleet() {
    let retries = |instances: usize| -> usize {
        let retries_of_one = |_| {
            let mut budget =
                retry_budget::Budget::new(clock::Instant(0), retry_budget::Options::default());
            budget.set_instances(clock::Instant(0), instances);
            (0..60_000)
                .filter(|now| budget.try_retry(clock::Instant(*now)))
                .count()
        };
        (0..instances).map(retries_of_one).sum()
    };
    let saved_up = |instances: usize| retry_budget::Options::default().burst as usize * instances;
    for instances in [1, 16, 256] {
        let from_floor = retries(instances) - saved_up(instances);
        assert!(
            (700..=960).contains(&from_floor),
            "{from_floor} retries per minute with {instances} instances"
        );
    }
}
