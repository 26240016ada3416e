//! Stand-ins for the cases of the second review: store, workers, links, clients, and the processes of a small deployment.
//!
//! Everything listens on loopback addresses. Only the standard library is used.

pub mod deployment;
pub mod engine;
pub mod http;
pub mod link;
pub mod record;
pub mod store;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A small generator of pseudo-random numbers (SplitMix64).
#[derive(Clone, Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    pub fn below(&mut self, count: u64) -> u64 {
        self.next() % count
    }
}

/// Waits until a condition holds. Returns false if it doesn't within the time.
pub fn wait_until<F>(limit: Duration, mut condition: F) -> bool
where
    F: FnMut() -> bool,
{
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Finds the text of a JSON field `"name":"text"` in a flat document.
pub fn json_text<'a>(document: &'a str, name: &str) -> Option<&'a str> {
    let start = document.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let rest = &document[start..];
    Some(&rest[..rest.find('"')?])
}

/// Finds the number of a JSON field `"name":123`.
pub fn json_number(document: &str, name: &str) -> Option<u64> {
    let start = document.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &document[start..];
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}
