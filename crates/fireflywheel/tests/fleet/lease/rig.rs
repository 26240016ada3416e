//! The record of the lease, and instances that read and write it.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::lease::{Lease, Options, Reading, Record};

pub const ADDRESS: &str = "10.0.0.1:1";
pub const TERM: Duration = Duration::from_secs(3);

/// The platform's record, which is only replaced at its end.
#[derive(Clone, Default)]
pub struct Log {
    pub era: Era,
    offset: u64,
    pub record: Option<(u64, Record)>,
}

impl Log {
    pub fn read(&self) -> Reading {
        Reading {
            record: self.record.clone(),
            end: self.end(),
        }
    }

    pub fn end(&self) -> Position {
        Position {
            era: self.era,
            offset: self.offset,
        }
    }

    /// The store knows offsets only: one that was given out in an earlier era may fit again.
    pub fn write(&mut self, at: Position, record: Record) -> Option<Position> {
        if at.offset != self.offset {
            return None;
        }
        let place = self.end();
        self.record = Some((at.offset, record));
        self.offset += 1;
        Some(place)
    }

    /// Comes back from an older copy.
    pub fn restore(&mut self, copy: &Self) {
        *self = Self {
            era: Era(self.era.0 + 1),
            ..copy.clone()
        };
    }
}

pub fn lease(name: &str, fenced: bool) -> Lease {
    restarted(name, 1, ADDRESS).with_fenced(fenced)
}

pub fn at(millis: u64) -> Instant {
    Instant(millis)
}

/// Lets an instance do what is due at a moment: write, or read if there is nothing to write.
pub fn act(lease: &mut Lease, log: &mut Log, now: u64) {
    match lease.proposal(at(now)) {
        Some((end, record)) => {
            let written = log.write(end, record.clone());
            lease.enter_era(at(now), log.era);
            match written {
                Some(place) => lease.accepted(at(now), place, &record),
                None => lease.refused(end),
            }
        }
        None => lease.observe(at(now), log.read()),
    }
}

pub fn held(name: &str, fenced: bool, log: &mut Log, now: u64) -> Lease {
    let mut lease = lease(name, fenced);
    lease.observe(at(now), log.read());
    act(&mut lease, log, now);
    assert!(lease.fencing(at(now)).is_some(), "{name} should hold it");
    lease
}

pub fn restarted(name: &str, incarnation: u64, address: &str) -> Lease {
    Lease::new(Options::new(TERM), name.into(), incarnation, address.into())
}
