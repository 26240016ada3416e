//! Counts numbers below a bound without walking over them.

use std::collections::BTreeMap;

/// Bits of one digit.
const DIGIT_BITS: u32 = 4;
/// Digits of a number; larger numbers count as the largest.
const DIGITS: u32 = 10;
const LARGEST: u64 = (1 << (DIGIT_BITS * DIGITS)) - 1;

/// A multiset of numbers: for each digit, how many numbers share the digits down to it.
///
/// Adding, taking out and counting take a number of steps that depends on the digits only.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    levels: [BTreeMap<u64, usize>; DIGITS as usize],
}

impl Rank {
    /// Adds a number.
    pub fn add(&mut self, number: u64) {
        let number = number.min(LARGEST);
        for (level, counts) in self.levels.iter_mut().enumerate() {
            *counts.entry(prefix(number, level)).or_default() += 1;
        }
    }

    /// Takes a number out that was added before.
    pub fn remove(&mut self, number: u64) {
        let number = number.min(LARGEST);
        for (level, counts) in self.levels.iter_mut().enumerate() {
            let prefix = prefix(number, level);
            let count = counts.get_mut(&prefix).expect("the number was added");
            *count -= 1;
            if *count == 0 {
                counts.remove(&prefix);
            }
        }
    }

    /// How many numbers are less than `bound`.
    #[must_use]
    pub fn count_below(&self, bound: u64) -> usize {
        let bound = bound.min(LARGEST);
        let mut below = 0;
        for (level, counts) in self.levels.iter().enumerate() {
            let end = prefix(bound, level);
            let start = end >> DIGIT_BITS << DIGIT_BITS;
            below += counts
                .range(start..end)
                .map(|(_, count)| count)
                .sum::<usize>();
        }
        below
    }
}

/// The number without its lowest `level` digits.
fn prefix(number: u64, level: usize) -> u64 {
    number >> (DIGIT_BITS * level as u32)
}
