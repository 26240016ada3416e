//! Calls of a whole fleet to a store that is away.

use std::time::Duration;

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::backoff::Backoff;

use crate::cases;

const MOST: Duration = Duration::from_millis(1000);
const FLEET: usize = 136;
const READERS: usize = 4;
/// A refusal comes back this long after its call.
const ANSWER: Duration = Duration::from_millis(5);
/// How long a read waits for news, and beyond that for its answer.
const USUAL_WAIT: Duration = Duration::from_millis(1500);
const CALL_LIMIT: Duration = Duration::from_millis(1000);
const OUTAGE: Duration = Duration::from_secs(8);
/// Calls of one outage that the whole fleet may make, by the aim that was set for it.
const ALLOWED: usize = 4000;

/// One instance with several readers that each want to call whenever they may.
#[derive(Default)]
struct Caller {
    backoff: Backoff,
    /// When calls that are on their way are refused.
    refused: Vec<Instant>,
    calls: usize,
}

impl Caller {
    fn step(&mut self, now: Instant, draw: f64) {
        let due = self.refused.iter().filter(|at| **at <= now).count();
        self.refused.retain(|at| *at > now);
        for _ in 0..due {
            self.backoff.record_failure(now, MOST, draw);
        }
        while self.refused.len() < READERS && self.backoff.claim(now, MOST, draw).is_zero() {
            self.refused.push(now.after(ANSWER));
            self.calls += 1;
        }
    }
}

/// How long after its return a store that was silent is read at the latest, by a reader whose reads usually wait.
fn latest_read(draws: &[f64], silence: u64) -> u64 {
    let mut backoff = Backoff::default();
    let mut now = Instant(0);
    for draw in draws.iter().cycle() {
        now = now.after(backoff.claim(now, MOST, *draw));
        if now.0 >= silence {
            break;
        }
        // Nothing comes back until the call's own limit.
        now = now.after(backoff.wait(USUAL_WAIT) + CALL_LIMIT);
        backoff.record_failure(now, MOST, *draw);
    }
    now.0.saturating_sub(silence)
}

cases! {
    /// The store answers nothing for some seconds, then takes a configuration at once. Instances still had the old one 2.3 s
    /// and 3 s later: a read had waited for news at the silent store, or for its limit, before a whole pause began.
    silent_store => {
        arbtest(|u| {
            let draws: Vec<f64> = (0..16)
                .map(|_| Ok(f64::from(u.arbitrary::<u16>()?) / 65536.0))
                .collect::<Result<_, arbitrary::Error>>()?;
            // The first read may have begun before the silence, and waits as usual.
            let silence = u.int_in_range(4000..=20_000)?;
            let late = latest_read(&draws, silence);
            let allowed = MOST.max(CALL_LIMIT).as_millis() as u64;
            assert!(late <= allowed, "{late} ms");
            Ok(())
        });
    };


    /// The store refuses everybody for some seconds. With readers that each try again a few times a second, a fleet
    /// made 65,000 calls in such an outage, which cost it a third of what the day was worth.
    outage_seen_by_a_fleet => {
        arbtest(|u| {
            let mut callers: Vec<Caller> = std::iter::repeat_with(Caller::default).take(FLEET).collect();
            let draws: Vec<f64> = (0..64)
                .map(|_| Ok(f64::from(u.arbitrary::<u16>()?) / 65536.0))
                .collect::<Result<_, arbitrary::Error>>()?;
            for ms in 0..OUTAGE.as_millis() as u64 {
                for (place, caller) in callers.iter_mut().enumerate() {
                    caller.step(Instant(ms), draws[(place + ms as usize) % draws.len()]);
                }
            }
            let calls: usize = callers.iter().map(|caller| caller.calls).sum();
            assert!(calls <= ALLOWED, "{calls} calls");
            Ok(())
        })
        .budget_ms(500);
    };

    /// An instance tries again soon enough after the store is back: a change that is accepted then must be obeyed.
    next_try_is_never_far => {
        arbtest(|u| {
            let mut backoff = Backoff::default();
            let mut now = Instant(1000);
            for _ in 0..u.int_in_range(1..=2000)? {
                let draw = f64::from(u.arbitrary::<u16>()?) / 65536.0;
                backoff.record_failure(now, MOST, draw);
                let left = backoff.claim(now, MOST, draw);
                assert!(left <= MOST, "{left:?}");
                now = now.after(left);
            }
            Ok(())
        });
    };

    /// While the store fails, one reader at a time tries; once it has succeeded, all may go on.
    one_at_a_time => {
        let mut backoff = Backoff::default();
        assert!(backoff.claim(Instant(0), MOST, 0.5).is_zero());
        backoff.record_failure(Instant(0), MOST, 0.5);
        let left = backoff.claim(Instant(0), MOST, 0.5);
        let later = Instant(0).after(left);
        assert!(!left.is_zero());
        assert!(backoff.claim(later, MOST, 0.5).is_zero());
        assert!(!backoff.claim(later, MOST, 0.5).is_zero());
        assert!(backoff.record_success());
        assert!(backoff.claim(later, MOST, 0.5).is_zero());
        assert!(!backoff.record_success());
    };
}
