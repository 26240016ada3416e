//! What waits, for how long, and what is tried again: the queue, the estimates and the retry budget.

use std::time::Duration;

use fireflywheel::{clock, estimate, queue, request, retry_budget};
use slotmap::SlotMap;
use smol_str::{SmolStr, format_smolstr};

const SECOND: Duration = Duration::from_secs(1);

struct Desk {
    keys: SlotMap<request::Key, (SmolStr, u64)>,
    queue: queue::Queue,
}

impl Desk {
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
    let mut desk = Desk::new(10);
    for deadline in [50, 10, 30, 20, 40] {
        desk.push("guide", 1, deadline).unwrap();
    }
    assert_eq!(desk.queue.earliest_deadline(), Some(clock::Instant(10)));
    let order: Vec<_> = std::iter::from_fn(|| desk.pop())
        .map(|(_, deadline)| deadline)
        .collect();
    assert_eq!(order, [10, 20, 30, 40, 50]);
}

/// One tenant sends a burst with near deadlines. Another, with a single request that can wait a little longer,
/// must not wait behind all of it, and gets in time what its share gives.
#[test]
fn burst_of_one_tenant_does_not_take_the_others_share() {
    let mut desk = Desk::new(1000);
    for deadline in 0..500 {
        desk.push("burst", 1, deadline).unwrap();
    }
    desk.pop_tenants(10);
    desk.push("calm", 1, 10_000).unwrap();
    assert!(desk.pop_tenants(2).contains(&SmolStr::new("calm")));
    for deadline in 0..100 {
        desk.push("calm", 3, 20_000 + deadline).unwrap();
    }
    let calm = desk
        .pop_tenants(100)
        .iter()
        .filter(|tenant| *tenant == "calm")
        .count();
    assert!(
        (74..=76).contains(&calm),
        "{calm} of 100 at a share of 3 to 1"
    );
}

/// A tenant that was idle for long comes back. It must not be owed turns for that time, or it would hold up
/// the others for as long.
#[test]
fn idle_time_earns_no_turns() {
    let mut desk = Desk::new(1000);
    for deadline in 0..300 {
        desk.push("steady", 1, deadline).unwrap();
    }
    desk.pop_tenants(200);
    for deadline in 0..100 {
        desk.push("back", 1, deadline).unwrap();
    }
    let back = desk
        .pop_tenants(20)
        .iter()
        .filter(|tenant| *tenant == "back")
        .count();
    assert!((9..=11).contains(&back), "{back} of 20");
}

/// More requests come than may wait. The last ones must hear so at once, and those that wait stay.
#[test]
fn full_queue_refuses() {
    let mut desk = Desk::new(2);
    let first = desk.push("guide", 1, 1).unwrap();
    desk.push("guide", 1, 2).unwrap();
    assert_eq!(desk.push("crew", 1, 0), Err(queue::Full));
    assert!(desk.queue.remove(first));
    assert!(!desk.queue.remove(first));
    desk.push("crew", 1, 0).unwrap();
    assert_eq!(desk.queue.len(), 2);
}

/// Any pushes, pops, removals and expiries leave the queue with exactly what a plain list would hold, and the
/// count of what goes ahead right. A request that got lost here would never be answered.
#[test]
fn queue_never_loses_a_request() {
    const BYTES: u64 = 8 * 1024;
    for seed in 0..50 {
        let mut desk = Desk::new(40);
        let mut plain: Vec<(u64, request::Key)> = Vec::new();
        arbtest::arbtest(|u| {
            while !u.is_empty() {
                let deadline = u.int_in_range(0..=5000)?;
                match u.int_in_range(0..=9)? {
                    0..=5 => {
                        let tenant = format_smolstr!("t{}", u.int_in_range(0..=4)?);
                        let pushed = desk.push(&tenant, u.int_in_range(0..=9)?, deadline);
                        assert_eq!(pushed.is_err(), plain.len() == 40);
                        plain.extend(pushed.ok().map(|key| (deadline, key)));
                    }
                    6 | 7 => {
                        let popped = desk.queue.pop();
                        assert_eq!(popped.is_none(), plain.is_empty());
                        plain.retain(|(_, key)| Some(*key) != popped);
                    }
                    8 if !plain.is_empty() => {
                        let (_, key) = plain.swap_remove(u.choose_index(plain.len())?);
                        assert!(desk.queue.remove(key));
                    }
                    _ => {
                        let now = clock::Instant(deadline / 4);
                        let gone = desk.queue.take_expired(now).len();
                        let before = plain.len();
                        plain.retain(|(deadline, _)| *deadline > now.0);
                        assert_eq!(gone, before - plain.len());
                    }
                }
                let ahead = plain.iter().filter(|(other, _)| *other < deadline).count();
                assert_eq!(desk.queue.ahead_of(clock::Instant(deadline)), ahead);
                assert_eq!(desk.queue.len(), plain.len());
            }
            Ok(())
        })
        .seed(seed << 32 | BYTES)
        .run();
        while let Some(key) = desk.queue.pop() {
            plain.retain(|(_, other)| *other != key);
        }
        assert!(plain.is_empty(), "{} lost with seed {seed}", plain.len());
    }
}

/// A single request hangs for minutes. Were that taken at its word, all after it would be refused as too late
/// though the model answers as fast as ever.
#[test]
fn one_odd_sample_refuses_nobody() {
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

/// A model becomes ten times slower for good. Requests that can't be in time must be refused soon, not after
/// hundreds were late.
#[test]
fn lasting_change_is_followed() {
    let mut estimate = estimate::Estimate::new(SECOND);
    for _ in 0..50 {
        estimate.observe(SECOND);
    }
    let slow = (0..100).position(|_| {
        estimate.observe(10 * SECOND);
        estimate.mean() > 8 * SECOND
    });
    assert!(slow.is_some_and(|samples| samples < 40), "{slow:?}");
    for _ in 0..100 {
        estimate.observe(SECOND);
    }
    assert!(estimate.mean() < 2 * SECOND);
}

/// Service times scatter widely. The estimate of the time that one is seldom above stays within twice the mean,
/// and few that would be in time are refused.
#[test]
fn scattered_times_cause_few_needless_refusals() {
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
        "no overflow"
    );
}

/// A backend server fails everything. Each failed request tried again would double the load on the others just
/// then; the budget keeps retries to a small share.
#[test]
fn retries_are_a_share_of_requests() {
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

/// Few requests come. A retry or two must still be possible, but the floor that allows it must not add up over
/// a large fleet.
#[test]
fn floor_is_shared_by_the_fleet() {
    let retries = |instances: usize| -> usize {
        let one = |_| {
            let mut budget =
                retry_budget::Budget::new(clock::Instant(0), retry_budget::Options::default());
            budget.set_instances(clock::Instant(0), instances);
            (0..60_000)
                .filter(|now| budget.try_retry(clock::Instant(*now)))
                .count()
        };
        (0..instances).map(one).sum()
    };
    let saved = |instances: usize| retry_budget::Options::default().burst as usize * instances;
    for instances in [1, 16, 256] {
        let beyond = retries(instances) - saved(instances);
        assert!(
            (700..=960).contains(&beyond),
            "{beyond} a minute at {instances} instances"
        );
    }
}
