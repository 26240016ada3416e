//! Credits of a shared limit under frames that are lost, doubled, late and out of order, pauses of borrowers,
//! and homes that are replaced.

use std::time::Duration;

use fireflywheel::{clock, credit, record};
use smol_str::format_smolstr;

const BORROWERS: usize = 4;
const LIMIT: u32 = 10;
const STEPS: usize = 600;
const SEEDS: u64 = 300;
/// Frames under way at most; beyond that the oldest is lost.
const UNDER_WAY: usize = 6;
/// Bytes from which one run draws its steps.
const BYTES: u64 = 16 * 1024;

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

struct Holder {
    borrower: credit::Borrower,
    number: u64,
    /// Its clock's origin against the others'.
    origin: u64,
    /// What it held when it checked, and until when it is paused before it uses that.
    paused: Option<(u32, u64)>,
}

/// Rules that can be left out, to show that each matters.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    All,
    /// A new home lends at once.
    QuietHome,
    /// The borrower counts the lease from the answer.
    CountFromNeed,
    /// The margin is left out.
    Margin,
}

struct World {
    now: u64,
    rule: Rule,
    options: credit::Options,
    home: credit::Lender,
    holders: Vec<Holder>,
    frames: Vec<Frame>,
}

impl World {
    fn new(rule: Rule) -> Self {
        let mut options = credit::Options::default();
        let start = clock::Instant(0);
        if rule == Rule::Margin {
            options.margin = Duration::ZERO;
        }
        let holder = |place: u64| Holder {
            borrower: credit::Borrower::new(),
            number: 1,
            origin: 77_777 * place,
            paused: None,
        };
        Self {
            now: 0,
            rule,
            options,
            home: credit::Lender::new(start, LIMIT, options),
            holders: (0..BORROWERS as u64).map(holder).collect(),
            frames: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let place = u.choose_index(BORROWERS)?;
        match u.int_in_range(0..=199)? {
            0..=39 => self.now += u.int_in_range(1..=400)?,
            40..=79 => self.ask(place, u.int_in_range(1..=LIMIT)?),
            80..=179 => self.deliver(u)?,
            180..=189 => {
                let pause = u.int_in_range(1..=999)?;
                self.pause(place, pause);
            }
            190 => self.replace_home(),
            191 => {
                let holder = &mut self.holders[place];
                holder.borrower = credit::Borrower::new();
                holder.paused = None;
                holder.number += 1;
            }
            192..=194 => drop(self.frames.pop()),
            _ => self.use_credit(place),
        }
        let lost = self.frames.len().saturating_sub(UNDER_WAY);
        self.frames.drain(..lost);
        self.wake();
        Ok(())
    }

    fn local(&self, place: usize) -> clock::Instant {
        clock::Instant(self.now + self.holders[place].origin)
    }

    fn ask(&mut self, place: usize, hold: u32) {
        let now = self.local(place);
        let holder = &mut self.holders[place];
        if holder.paused.is_none() {
            let need = holder.borrower.request_credits(now, hold);
            self.frames.push(Frame::Need(place, holder.number, need));
        }
    }

    /// Delivers any frame, and perhaps keeps a copy that comes again.
    fn deliver(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        if self.frames.is_empty() {
            return Ok(());
        }
        let place = u.choose_index(self.frames.len())?;
        let frame = match u.ratio(1, 5)? {
            true => match &self.frames[place] {
                Frame::Need(place, number, need) => Frame::Need(*place, *number, *need),
                Frame::Lend(place, number, lend) => Frame::Lend(*place, *number, *lend),
            },
            false => self.frames.swap_remove(place),
        };
        match frame {
            Frame::Need(place, number, need) => {
                let by = incarnation(place, number);
                let answer = self.home.handle_need(clock::Instant(self.now), &by, need);
                self.frames
                    .extend(answer.map(|lend| Frame::Lend(place, number, lend)));
            }
            Frame::Lend(place, number, lend) => self.lend(place, number, lend),
        }
        Ok(())
    }

    fn lend(&mut self, place: usize, number: u64, mut lend: credit::Lend) {
        let now = self.local(place);
        let holder = &mut self.holders[place];
        if holder.paused.is_some() || holder.number != number {
            return;
        }
        if self.rule == Rule::CountFromNeed {
            let late = now.after(self.options.lease);
            lend.lease = late.since(clock::Instant(holder.origin));
            let mut counted = credit::Borrower::new();
            let _ = (0..lend.number)
                .map(|_| counted.request_credits(clock::Instant(holder.origin), LIMIT))
                .count();
            counted.handle_lend(lend);
            holder.borrower = counted;
            return;
        }
        holder.borrower.handle_lend(lend);
    }

    fn pause(&mut self, place: usize, pause: u64) {
        let held = self.holders[place].borrower.held(self.local(place));
        let holder = &mut self.holders[place];
        if holder.paused.is_none() {
            holder.paused = Some((held, self.now + pause));
        }
    }

    fn wake(&mut self) {
        for holder in &mut self.holders {
            holder.paused = holder.paused.filter(|(_, until)| *until > self.now);
        }
    }

    fn use_credit(&mut self, place: usize) {
        let now = self.local(place);
        let holder = &mut self.holders[place];
        if holder.paused.is_some() {
            return;
        }
        if holder.borrower.in_use() > 0 {
            holder.borrower.release();
        } else {
            let _ = holder.borrower.try_acquire(now);
        }
    }

    fn replace_home(&mut self) {
        let mut start = clock::Instant(self.now);
        if self.rule == Rule::QuietHome {
            start = clock::Instant(0);
        }
        self.home = credit::Lender::new(start, LIMIT, self.options);
    }

    /// What all believe they hold, those who are paused after their check included.
    fn held(&self) -> u32 {
        let held = |(place, holder): (usize, &Holder)| match holder.paused {
            Some((held, _)) => held,
            None => holder.borrower.held(self.local(place)),
        };
        self.holders.iter().enumerate().map(held).sum()
    }
}

/// Runs one seed; whether the limit held throughout, and the most that was held.
fn run(seed: u64, rule: Rule) -> (bool, u32) {
    let mut most = 0;
    arbtest::arbtest(|u| {
        let mut world = World::new(rule);
        for _ in 0..STEPS {
            if u.is_empty() {
                break;
            }
            world.step(u)?;
            most = most.max(world.held());
        }
        Ok(())
    })
    .seed(seed << 32 | BYTES)
    .run();
    (most <= LIMIT, most)
}

/// Frames about credits come late, twice or never, processes pause, and homes are replaced. If two borrowers
/// then counted on the same credit, more requests would be in flight than the operators allow.
#[test]
fn limit_holds_in_any_order() {
    let mut most = 0;
    for seed in 0..SEEDS {
        let (holds, held) = run(seed, Rule::All);
        assert!(holds, "seed {seed}: {held} held of {LIMIT}");
        most = most.max(held);
    }
    assert_eq!(most, LIMIT, "the runs never came near the limit");
}

macro_rules! rules {
    ($($name:ident: $rule:expr;)*) => {
        $(#[test]
        fn $name() {
            let broken = (0..SEEDS).filter(|seed| !run(*seed, $rule).0).count();
            println!("{broken} of {SEEDS} runs break");
            assert!(broken > 0, "the rule makes no difference");
        })*
    };
}

rules! {
    new_home_must_wait: Rule::QuietHome;
    lease_must_count_from_the_need: Rule::CountFromNeed;
    margin_must_cover_pauses: Rule::Margin;
}

/// One instance asks for all there is and keeps it, so that callers at the others are refused though their
/// tenant is below its limit. The home lends in proportion once others ask.
#[test]
fn first_to_ask_does_not_keep_all() {
    let mut world = World::new(Rule::All);
    world.now = 10_000;
    let mut lent = [0; 2];
    for round in 0..6 {
        for (place, lent) in lent
            .iter_mut()
            .enumerate()
            .take(if round == 0 { 1 } else { 2 })
        {
            let now = world.local(place);
            let need = world.holders[place].borrower.request_credits(now, LIMIT);
            let by = incarnation(place, 1);
            let lend = world
                .home
                .handle_need(clock::Instant(world.now), &by, need)
                .expect("a new need");
            assert!(world.holders[place].borrower.handle_lend(lend));
            *lent = lend.hold;
        }
        world.now += 1_000;
    }
    assert_eq!(lent, [LIMIT / 2, LIMIT / 2]);
}

/// The home dies. What it lent stays in use until its lease ends; the new home must not take it away before it
/// can lend itself.
#[test]
fn replaced_home_takes_nothing_away() {
    let mut world = World::new(Rule::All);
    world.now = 10_000;
    let by = incarnation(0, 1);
    let now = world.local(0);
    let need = world.holders[0].borrower.request_credits(now, 4);
    let lend = world
        .home
        .handle_need(clock::Instant(world.now), &by, need)
        .expect("a new need");
    assert!(world.holders[0].borrower.handle_lend(lend));
    world.now += 1_000;
    world.replace_home();
    let now = world.local(0);
    let need = world.holders[0].borrower.request_credits(now, 4);
    assert_eq!(
        world.home.handle_need(clock::Instant(world.now), &by, need),
        None
    );
    assert_eq!(world.holders[0].borrower.held(world.local(0)), 4);
    world.now += 4_000;
    assert_eq!(world.holders[0].borrower.held(world.local(0)), 0);
    let now = world.local(0);
    let need = world.holders[0].borrower.request_credits(now, 4);
    let lend = world
        .home
        .handle_need(clock::Instant(world.now), &by, need)
        .expect("a new need");
    assert_eq!(lend.hold, 4);
}
