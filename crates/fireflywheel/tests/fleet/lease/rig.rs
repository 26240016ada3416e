//! A simulated log of the lease's record, and instances that read and write it.

use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::era::{Era, Position};
use fireflywheel::fleet::lease::{Attachment, Lease, Options, Reading, Record};

pub const ADDRESS: &str = "10.0.0.1:1";
pub const TERM: Duration = Duration::from_secs(3);

/// The platform's log, to which a record is written only at its end.
#[derive(Clone, Default)]
pub struct Log {
    pub era: Era,
    offset: u64,
    pub record: Option<(u64, Record)>,
}

impl Log {
    pub fn read(&self) -> Reading {
        Reading {
            attachment: Attachment::default(),
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

    /// Writes a record at the end. The store compares offsets only, so an offset of an earlier era may
    /// match.
    pub fn write(&mut self, at: Position, record: Record) -> Option<Position> {
        if at.offset != self.offset {
            return None;
        }
        let position = self.end();
        self.record = Some((at.offset, record));
        self.offset += 1;
        Some(position)
    }

    /// Restores an older copy, in a new era.
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

/// Performs the action that is due: writes the proposal, or reads if there is none.
pub fn act(lease: &mut Lease, log: &mut Log, now: u64) {
    match lease.proposal(at(now)) {
        Some((end, record)) => {
            let position = log.write(end, record.clone());
            lease.enter_era(at(now), log.era);
            match position {
                Some(position) => lease.record_accepted(at(now), position, &record),
                None => lease.record_conflict(end),
            }
        }
        None => lease.record_reading(at(now), log.read()),
    }
}

pub fn held(name: &str, fenced: bool, log: &mut Log, now: u64) -> Lease {
    let mut lease = lease(name, fenced);
    lease.record_reading(at(now), log.read());
    act(&mut lease, log, now);
    assert!(
        lease.fencing(at(now)).is_some(),
        "{name} should hold the lease"
    );
    lease
}

pub fn restarted(name: &str, incarnation: u64, address: &str) -> Lease {
    Lease::new(Options::new(TERM), name.into(), incarnation, address.into())
}
