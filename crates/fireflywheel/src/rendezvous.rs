//! Rendezvous hashing: assigns each key to a member, with the same result for all that know the same
//! members.
//!
//! When a member joins or leaves, only the keys assigned to that member move.

use std::cmp::Reverse;

use xxhash_rust::xxh3;

/// Returns the weight of `member` for `key`; the highest weight wins.
#[must_use]
pub fn weight(key: &str, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Returns the member that wins `key`; among equal weights the first by name wins.
#[must_use]
pub fn select<'a, I>(key: &str, members: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let seed = xxh3::xxh3_64(key.as_bytes());
    members
        .into_iter()
        .min_by_key(|member| (Reverse(weight_with_seed(seed, member)), *member))
}

/// Returns the first `n` members for `key` by descending weight.
#[must_use]
pub fn ranked<'a, I>(key: &str, members: I, n: usize) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let seed = xxh3::xxh3_64(key.as_bytes());
    let mut weighted: Vec<_> = members
        .into_iter()
        .map(|member| (Reverse(weight_with_seed(seed, member)), member))
        .collect();
    if n < weighted.len() {
        weighted.select_nth_unstable(n);
        weighted.truncate(n);
    }
    weighted.sort_unstable();
    weighted.into_iter().map(|(_, member)| member).collect()
}

fn weight_with_seed(seed: u64, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), seed)
}
