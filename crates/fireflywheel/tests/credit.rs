//! Tests of the credits of a shared limit under lost, duplicate, late and reordered frames, pauses of borrowers, and
//! replacement of the lender.

use std::time::Duration;

use fireflywheel::{clock, credit, record};
use smol_str::format_smolstr;

const BORROWERS: usize = 4;
const LIMIT: u32 = 10;
const STEPS: usize = 600;
const SEEDS: u64 = 300;
/// The largest number of frames in transit; beyond it, the oldest frame is lost.
const MAX_IN_TRANSIT: usize = 6;
/// The number of random bytes from which one run draws its steps.
const INPUT_BYTES: u64 = 16 * 1024;

fn incarnation(borrower: usize, number: u64) -> record::Incarnation {
    record::Incarnation {
        instance: format_smolstr!("a{borrower}"),
        number,
    }
}

enum Frame {
    Need(usize, u64, credit::Need),
    Lend(usize, u64, credit::Lend),
}

struct Instance {
    borrower: credit::Borrower,
    /// The incarnation number of the instance.
    number: u64,
    /// The offset of the instance's clock from the simulated time, in milliseconds.
    clock_offset: u64,
    /// While the instance is paused between its check and the use: the credits that it held at the check, and the
    /// time at which the pause ends.
    paused: Option<(u32, u64)>,
}

/// The rule that a run leaves out, to show that the rule is necessary.
#[derive(Clone, Copy, PartialEq)]
enum OmittedRule {
    None,
    /// A new lender lends at once.
    LenderSilence,
    /// The borrower counts the lease from the answer instead of the need.
    LeaseFromNeed,
    /// The lender adds no margin to the lease.
    Margin,
}

struct Simulation {
    now: u64,
    omitted_rule: OmittedRule,
    options: credit::Options,
    lender: credit::Lender,
    instances: Vec<Instance>,
    frames: Vec<Frame>,
}

impl Simulation {
    fn new(omitted_rule: OmittedRule) -> Self {
        let mut options = credit::Options::default();
        let start = clock::Instant(0);
        if omitted_rule == OmittedRule::Margin {
            options.margin = Duration::ZERO;
        }
        let instance = |index: u64| Instance {
            borrower: credit::Borrower::new(),
            number: 1,
            clock_offset: 77_777 * index,
            paused: None,
        };
        Self {
            now: 0,
            omitted_rule,
            options,
            lender: credit::Lender::new(start, LIMIT, options),
            instances: (0..BORROWERS as u64).map(instance).collect(),
            frames: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let index = u.choose_index(BORROWERS)?;
        match u.int_in_range(0..=199)? {
            0..=39 => self.now += u.int_in_range(1..=400)?,
            40..=79 => self.send_need(index, u.int_in_range(1..=LIMIT)?),
            80..=179 => self.deliver(u)?,
            180..=189 => {
                let pause = u.int_in_range(1..=999)?;
                self.pause(index, pause);
            }
            190 => self.replace_lender(),
            191 => {
                let instance = &mut self.instances[index];
                instance.borrower = credit::Borrower::new();
                instance.paused = None;
                instance.number += 1;
            }
            192..=194 => drop(self.frames.pop()),
            _ => self.use_credit(index),
        }
        let lost = self.frames.len().saturating_sub(MAX_IN_TRANSIT);
        self.frames.drain(..lost);
        self.end_pauses();
        Ok(())
    }

    fn local_time(&self, index: usize) -> clock::Instant {
        clock::Instant(self.now + self.instances[index].clock_offset)
    }

    fn send_need(&mut self, index: usize, hold: u32) {
        let now = self.local_time(index);
        let instance = &mut self.instances[index];
        if instance.paused.is_none() {
            let need = instance.borrower.request_credits(now, hold);
            self.frames.push(Frame::Need(index, instance.number, need));
        }
    }

    /// Delivers a random frame, which sometimes stays in transit and is delivered again.
    fn deliver(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        if self.frames.is_empty() {
            return Ok(());
        }
        let index = u.choose_index(self.frames.len())?;
        let frame = match u.ratio(1, 5)? {
            true => match &self.frames[index] {
                Frame::Need(index, number, need) => Frame::Need(*index, *number, *need),
                Frame::Lend(index, number, lend) => Frame::Lend(*index, *number, *lend),
            },
            false => self.frames.swap_remove(index),
        };
        match frame {
            Frame::Need(index, number, need) => {
                let by = incarnation(index, number);
                let answer = self.lender.handle_need(clock::Instant(self.now), &by, need);
                self.frames
                    .extend(answer.map(|lend| Frame::Lend(index, number, lend)));
            }
            Frame::Lend(index, number, lend) => self.deliver_lend(index, number, lend),
        }
        Ok(())
    }

    fn deliver_lend(&mut self, index: usize, number: u64, mut lend: credit::Lend) {
        let now = self.local_time(index);
        let instance = &mut self.instances[index];
        if instance.paused.is_some() || instance.number != number {
            return;
        }
        if self.omitted_rule == OmittedRule::LeaseFromNeed {
            let late = now.after(self.options.lease);
            lend.lease = late.since(clock::Instant(instance.clock_offset));
            let mut counted = credit::Borrower::new();
            let _ = (0..lend.number)
                .map(|_| counted.request_credits(clock::Instant(instance.clock_offset), LIMIT))
                .count();
            counted.handle_lend(lend);
            instance.borrower = counted;
            return;
        }
        instance.borrower.handle_lend(lend);
    }

    fn pause(&mut self, index: usize, pause: u64) {
        let held = self.instances[index].borrower.held(self.local_time(index));
        let instance = &mut self.instances[index];
        if instance.paused.is_none() {
            instance.paused = Some((held, self.now + pause));
        }
    }

    fn end_pauses(&mut self) {
        for instance in &mut self.instances {
            instance.paused = instance.paused.filter(|(_, until)| *until > self.now);
        }
    }

    fn use_credit(&mut self, index: usize) {
        let now = self.local_time(index);
        let instance = &mut self.instances[index];
        if instance.paused.is_some() {
            return;
        }
        if instance.borrower.in_use() > 0 {
            instance.borrower.release();
        } else {
            let _ = instance.borrower.try_acquire(now);
        }
    }

    fn replace_lender(&mut self) {
        let mut start = clock::Instant(self.now);
        if self.omitted_rule == OmittedRule::LenderSilence {
            start = clock::Instant(0);
        }
        self.lender = credit::Lender::new(start, LIMIT, self.options);
    }

    /// Returns the number of credits that all borrowers believe they hold, including those paused after their check.
    fn held(&self) -> u32 {
        let held = |(index, instance): (usize, &Instance)| match instance.paused {
            Some((held, _)) => held,
            None => instance.borrower.held(self.local_time(index)),
        };
        self.instances.iter().enumerate().map(held).sum()
    }
}

/// Runs one seed. Returns whether the limit held throughout, and the largest number of credits held.
fn run(seed: u64, omitted_rule: OmittedRule) -> (bool, u32) {
    let mut max_held = 0;
    arbtest::arbtest(|u| {
        let mut simulation = Simulation::new(omitted_rule);
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            simulation.step(u)?;
            max_held = max_held.max(simulation.held());
        }
        Ok(())
    })
    .seed(seed << 32 | INPUT_BYTES)
    .run();
    (max_held <= LIMIT, max_held)
}

/// Credit frames are late, duplicated or lost, processes pause, and lenders are replaced. If two borrowers then used
/// the same credit, more requests would be in flight than operators allow.
#[test]
fn limit_holds_under_any_order_of_frames() {
    let mut max_held = 0;
    for seed in 0..SEEDS {
        let (holds, held) = run(seed, OmittedRule::None);
        assert!(holds, "seed {seed}: {held} credits held, limit {LIMIT}");
        max_held = max_held.max(held);
    }
    assert_eq!(max_held, LIMIT, "no run reached the limit");
}

macro_rules! omitted_rules {
    ($($name:ident: $omitted_rule:expr;)*) => {
        $(#[test]
        fn $name() {
            let exceeding = (0..SEEDS).filter(|seed| !run(*seed, $omitted_rule).0).count();
            println!("{exceeding} of {SEEDS} runs exceed the limit");
            assert!(exceeding > 0, "no run exceeds the limit without the rule");
        })*
    };
}

omitted_rules! {
    new_lender_must_wait: OmittedRule::LenderSilence;
    lease_must_start_at_the_need: OmittedRule::LeaseFromNeed;
    margin_must_cover_pauses: OmittedRule::Margin;
}

/// One instance requests all credits. If it kept them, callers at the other instances would be refused although their
/// tenant is below its limit. The lender must divide the credits in proportion once others ask.
#[test]
fn first_borrower_does_not_keep_all_credits() {
    let mut simulation = Simulation::new(OmittedRule::None);
    simulation.now = 10_000;
    let mut lent = [0; 2];
    for round in 0..6 {
        for (index, lent) in lent
            .iter_mut()
            .enumerate()
            .take(if round == 0 { 1 } else { 2 })
        {
            let now = simulation.local_time(index);
            let need = simulation.instances[index]
                .borrower
                .request_credits(now, LIMIT);
            let by = incarnation(index, 1);
            let lend = simulation
                .lender
                .handle_need(clock::Instant(simulation.now), &by, need)
                .expect("a new need");
            assert!(simulation.instances[index].borrower.handle_lend(lend));
            *lent = lend.hold;
        }
        simulation.now += 1_000;
    }
    assert_eq!(lent, [LIMIT / 2, LIMIT / 2]);
}

/// The lender fails. Its credits stay in use until their lease ends; the new lender must not revoke them before it can
/// lend itself.
#[test]
fn new_lender_does_not_revoke_credits() {
    let mut simulation = Simulation::new(OmittedRule::None);
    simulation.now = 10_000;
    let by = incarnation(0, 1);
    let now = simulation.local_time(0);
    let need = simulation.instances[0].borrower.request_credits(now, 4);
    let lend = simulation
        .lender
        .handle_need(clock::Instant(simulation.now), &by, need)
        .expect("a new need");
    assert!(simulation.instances[0].borrower.handle_lend(lend));
    simulation.now += 1_000;
    simulation.replace_lender();
    let now = simulation.local_time(0);
    let need = simulation.instances[0].borrower.request_credits(now, 4);
    assert_eq!(
        simulation
            .lender
            .handle_need(clock::Instant(simulation.now), &by, need),
        None
    );
    assert_eq!(
        simulation.instances[0]
            .borrower
            .held(simulation.local_time(0)),
        4
    );
    simulation.now += 4_000;
    assert_eq!(
        simulation.instances[0]
            .borrower
            .held(simulation.local_time(0)),
        0
    );
    let now = simulation.local_time(0);
    let need = simulation.instances[0].borrower.request_credits(now, 4);
    let lend = simulation
        .lender
        .handle_need(clock::Instant(simulation.now), &by, need)
        .expect("a new need");
    assert_eq!(lend.hold, 4);
}
