//! What is limited stays within its rate, and isn't refused below it.

use arbtest::arbtest;
use fireflywheel::clock::Instant;
use fireflywheel::fleet::rate::Limiter;

use crate::cases;

fn taken(limit: &mut Limiter, times: impl Iterator<Item = u64>) -> usize {
    times.filter(|at| limit.try_acquire(Instant(*at))).count()
}

fn flood() {
    let mut limit = Limiter::new(100);
    // Ten seconds, with 100 in each millisecond.
    let times = (5_000..15_000).flat_map(|at| [at; 100]);
    let taken = taken(&mut limit, times);
    assert!((1_000..=1_101).contains(&taken), "{taken}");
}

fn start() {
    let mut limit = Limiter::new(100);
    assert_eq!(taken(&mut limit, [0; 50].into_iter()), 50);
}

fn within() {
    let mut limit = Limiter::new(100);
    let taken = taken(&mut limit, (5_000..15_000).step_by(10));
    assert_eq!(taken, 1_000);
}

/// In no second more than twice what is allowed: what was saved up, and what comes in it.
fn any_times() {
    arbtest(|u| {
        let per_second = u.int_in_range(1..=5_000_u32)?;
        let mut limit = Limiter::new(per_second);
        let (mut now, mut taken) = (2_000, Vec::new());
        for _ in 0..300 {
            now += u.int_in_range(0..=20_u64)?;
            if limit.try_acquire(Instant(now)) {
                taken.push(now);
            }
        }
        for end in &taken {
            let within = taken
                .iter()
                .filter(|at| **at <= *end && *end - **at < 1_000);
            assert!(within.count() <= 2 * per_second as usize + 1);
        }
        Ok(())
    });
}

cases! {
    /// A backend server fails everything, and each request writes ten lines. The log would fill the disk of whoever
    /// keeps it, and its writing would take the processor from requests.
    storm => flood();
    /// A process writes some lines in its first millisecond.
    first_lines => start();
    /// A load within the rate loses no line.
    calm => within();
    /// Any times.
    any => any_times();
}
