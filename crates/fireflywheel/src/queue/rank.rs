//! A multiset of numbers that counts the numbers below a bound without iterating over them.

use std::collections::BTreeMap;

/// The number of bits in one digit.
const DIGIT_BITS: u32 = 4;
/// The number of digits that are kept; a larger number counts as [`MAX_NUMBER`].
const DIGITS: u32 = 10;
/// The largest number that is kept exactly.
const MAX_NUMBER: u64 = (1 << (DIGIT_BITS * DIGITS)) - 1;

/// A multiset of numbers, stored as a digit trie: for each prefix of digits, the number of members that share it.
///
/// Adding, removing and counting take a number of map operations that depends only on the number of digits.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    levels: [BTreeMap<u64, usize>; DIGITS as usize],
}

impl Rank {
    /// Adds a number.
    pub fn add(&mut self, number: u64) {
        let number = number.min(MAX_NUMBER);
        for (level, counts) in self.levels.iter_mut().enumerate() {
            *counts.entry(prefix(number, level)).or_default() += 1;
        }
    }

    /// Removes a number that was added before.
    pub fn remove(&mut self, number: u64) {
        let number = number.min(MAX_NUMBER);
        for (level, counts) in self.levels.iter_mut().enumerate() {
            let prefix = prefix(number, level);
            let count = counts.get_mut(&prefix).expect("the number was added");
            *count -= 1;
            if *count == 0 {
                counts.remove(&prefix);
            }
        }
    }

    /// Returns how many numbers are less than `bound`.
    #[must_use]
    pub fn count_below(&self, bound: u64) -> usize {
        let bound = bound.min(MAX_NUMBER);
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

/// Returns the number without its lowest `level` digits.
fn prefix(number: u64, level: usize) -> u64 {
    number >> (DIGIT_BITS * level as u32)
}
