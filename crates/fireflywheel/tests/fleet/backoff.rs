//! Tests of the calls that a whole fleet makes to an unavailable store.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::backoff::Backoff;

use crate::cases;

const MAX_DELAY: Duration = Duration::from_millis(1000);
const INSTANCES: usize = 136;
const READERS_PER_INSTANCE: usize = 4;
/// The time from a call to its refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(5);
/// The time that a read waits for a change at the store, followed by the time-out of the call.
const USUAL_WAIT: Duration = Duration::from_millis(1500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const OUTAGE: Duration = Duration::from_secs(8);
/// The maximum number of calls that the whole fleet may make during one outage. It is the target that was set
/// for the fleet.
const MAX_CALLS: usize = 4000;

/// One instance with several readers that each call whenever they may.
#[derive(Default)]
struct Caller {
    backoff: Backoff,
    /// The times at which the calls in flight are refused.
    refused: Vec<Instant>,
    calls: usize,
}

impl Caller {
    fn step(&mut self, now: Instant, draw: f64) {
        let refused = self.refused.iter().filter(|at| **at <= now).count();
        self.refused.retain(|at| *at > now);
        for _ in 0..refused {
            self.backoff.record_failure(now, MAX_DELAY, draw);
        }
        while self.refused.len() < READERS_PER_INSTANCE
            && self.backoff.reserve_call(now, MAX_DELAY, draw).is_zero()
        {
            self.refused.push(now.after(REFUSAL_TIME));
            self.calls += 1;
        }
    }
}

/// Returns how long after the recovery of a silent store its next read starts at the latest, for a reader
/// whose reads usually wait. `outage_ms` is the duration of the outage in milliseconds.
fn next_read_after_recovery(draws: &[f64], outage_ms: u64) -> u64 {
    let mut backoff = Backoff::default();
    let mut now = Instant(0);
    for draw in draws.iter().cycle() {
        now = now.after(backoff.reserve_call(now, MAX_DELAY, *draw));
        if now.0 >= outage_ms {
            break;
        }
        // The silent store answers nothing until the call's time-out.
        now = now.after(backoff.long_poll_wait(USUAL_WAIT) + CALL_TIMEOUT);
        backoff.record_failure(now, MAX_DELAY, *draw);
    }
    now.0.saturating_sub(outage_ms)
}

cases! {
    /// The store answers nothing for some seconds, then accepts a configuration as soon as it recovers.
    /// Instances still had the old one 2.3 s and 3 s later: a read had waited for a change at the silent
    /// store, or for its time-out, before a full delay began.
    silent_store_is_read_soon_after_recovery => {
        arbtest(|u| {
            let draws: Vec<f64> = (0..16)
                .map(|_| Ok(f64::from(u.arbitrary::<u16>()?) / 65536.0))
                .collect::<Result<_, arbitrary::Error>>()?;
            // The first read may have begun before the outage, and waits as usual.
            let outage_ms = u.int_in_range(4000..=20_000)?;
            let delay = next_read_after_recovery(&draws, outage_ms);
            let max_delay = MAX_DELAY.max(CALL_TIMEOUT).as_millis() as u64;
            assert!(delay <= max_delay, "{delay} ms");
            Ok(())
        });
    };

    /// The store refuses all calls for some seconds. With readers that each retry a few times per second, a
    /// fleet made 65,000 calls in such an outage, which cost a third of that day's total value.
    calls_of_fleet_are_bounded_during_outage => {
        arbtest(|u| {
            let mut callers: Vec<Caller> = std::iter::repeat_with(Caller::default).take(INSTANCES).collect();
            let draws: Vec<f64> = (0..64)
                .map(|_| Ok(f64::from(u.arbitrary::<u16>()?) / 65536.0))
                .collect::<Result<_, arbitrary::Error>>()?;
            for ms in 0..OUTAGE.as_millis() as u64 {
                for (index, caller) in callers.iter_mut().enumerate() {
                    caller.step(Instant(ms), draws[(index + ms as usize) % draws.len()]);
                }
            }
            let calls: usize = callers.iter().map(|caller| caller.calls).sum();
            assert!(calls <= MAX_CALLS, "{calls} calls");
            Ok(())
        })
        .budget_ms(500);
    };

    /// An instance retries soon enough after the store has recovered, since a change accepted then must be
    /// applied in time.
    delay_never_exceeds_maximum => {
        arbtest(|u| {
            let mut backoff = Backoff::default();
            let mut now = Instant(1000);
            for _ in 0..u.int_in_range(1..=2000)? {
                let draw = f64::from(u.arbitrary::<u16>()?) / 65536.0;
                backoff.record_failure(now, MAX_DELAY, draw);
                let remaining = backoff.reserve_call(now, MAX_DELAY, draw);
                assert!(remaining <= MAX_DELAY, "{remaining:?}");
                now = now.after(remaining);
            }
            Ok(())
        });
    };

    /// While the store fails, one reader at a time retries. Once a call succeeds, all may continue.
    one_caller_retries_at_a_time => {
        let mut backoff = Backoff::default();
        assert!(backoff.reserve_call(Instant(0), MAX_DELAY, 0.5).is_zero());
        backoff.record_failure(Instant(0), MAX_DELAY, 0.5);
        let remaining = backoff.reserve_call(Instant(0), MAX_DELAY, 0.5);
        let later = Instant(0).after(remaining);
        assert!(!remaining.is_zero());
        assert!(backoff.reserve_call(later, MAX_DELAY, 0.5).is_zero());
        assert!(!backoff.reserve_call(later, MAX_DELAY, 0.5).is_zero());
        assert!(backoff.record_success());
        assert!(backoff.reserve_call(later, MAX_DELAY, 0.5).is_zero());
        assert!(!backoff.record_success());
    };
}
