//! Checkpoints of the ledger, and how an instance starts from one, from the log or from a peer.

use super::*;

/// A log of arbitrary entries, most of which mean something, with checkpoints in between.
fn arbitrary_log(seed: u64, steps: usize) -> Log {
    let mut bytes = vec![0; steps * 24];
    rngs::StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut u = Unstructured::new(&bytes);
    let mut log = Log::new();
    for _ in 0..steps {
        step(&mut log, &mut u).unwrap();
    }
    log
}

fn step(log: &mut Log, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let instance = *u.choose(&["a", "b"])?;
    let placements = ["s/m@1", "s/n@1", "t/n@1", "s/m@1:t", "t/m@1", "s/f@1"];
    let placement = order(0, u.choose(&placements)?);
    let group = placement.group.clone();
    let newest = log.ledger.steward(&group).unwrap().clone();
    let (epoch, number) = (newest.epoch, newest.number + 1);
    let next = record::Order {
        epoch,
        number,
        ..placement.clone()
    };
    let key = ["k", "l", "ключ"][u.choose_index(3)?];
    log.time_ms += u.int_in_range(0..=600_000)?;
    let _ = match u.int_in_range(0..=11)? {
        0 => log.steward(instance, &group, epoch + 1),
        1..=2 => log.grant(&newest.by.instance, &next),
        3 => log.withdraw(&newest.by.instance, &next),
        4..=5 => match log.state(&placement) {
            Some(
                right::State::Loading { epoch, number } | right::State::Unloading { epoch, number },
            ) => {
                let open = record::Order {
                    epoch,
                    number,
                    ..placement
                };
                log.close(
                    &newest.by.instance,
                    &open,
                    newest.epoch,
                    u.arbitrary()?,
                    u.arbitrary()?,
                )
            }
            _ => Ok(()),
        },
        6 => log.acknowledge(instance, epoch.saturating_sub(1), &[]),
        7 => log.gone(&newest.by.instance, epoch, "s", log.ledger.next()),
        8 => log.claim(instance, key),
        9 => {
            let outcome = claim::Outcome::Answered {
                status: 200,
                content_type: SmolStr::new("text/plain"),
                body: Some("gebucht \"ü\"\n".repeat(u.int_in_range(1..=500)?)),
            };
            log.settle(instance, key, outcome)
        }
        10 => log.publish(log.ledger.version(), &format!("{DOCUMENT}# {key}\n")),
        _ => {
            for part in log.ledger.checkpoint() {
                let _ = log.say(instance, Entry::Checkpoint(part));
            }
            Ok(())
        }
    };
    Ok(())
}

/// An instance that starts from a checkpoint must judge as all others do. A difference in a single field
/// would show later, as two instances that both hold the one right to load.
#[test]
fn a_checkpoint_and_the_tail_give_the_same_ledger() {
    for seed in 0..60 {
        let log = arbitrary_log(seed, 60);
        let mut ledger = ledger::Ledger::new();
        for stored in &log.stored {
            let parts = ledger.checkpoint();
            let mut restored = ledger::Ledger::restore(&parts).unwrap();
            assert_eq!(restored, ledger, "seed {seed}");
            assert_eq!(restored.checkpoint(), parts, "seed {seed}");
            assert_eq!(restored.fold(stored), ledger.fold(stored), "seed {seed}");
            assert_eq!(restored, ledger, "seed {seed}");
        }
        assert_eq!(ledger, log.ledger, "seed {seed}");
    }
}

/// A ledger of more than one part.
fn large() -> ledger::Ledger {
    let mut log = Log::new();
    let note = format!("# {}\n", "ä\"\\".repeat(150));
    let text = format!("{DOCUMENT}{}", note.repeat(900));
    log.publish(1, &text).unwrap();
    log.ledger
}

#[test]
fn a_checkpoint_has_parts_that_the_log_takes() {
    let ledger = large();
    let mut parts = ledger.checkpoint();
    assert!(parts.len() > 1);
    for part in &parts {
        assert!(part.text.len() <= checkpoint::MAX_PART_BYTES);
        let rule = record::RULES_VERSION;
        let entries = vec![Entry::Checkpoint(part.clone())];
        let id = id("a", 1);
        assert!(record::Record { rule, id, entries }.encode().len() < 1 << 20);
    }
    parts.reverse();
    assert_eq!(ledger::Ledger::restore(&parts).unwrap(), ledger);
}

/// A checkpoint that was cut off halfway, or of which a part was damaged, must not pass for the ledger: an
/// instance would start with rights that are not there.
#[test]
fn a_damaged_checkpoint_is_refused() {
    let parts = large().checkpoint();
    let restore = ledger::Ledger::restore;
    assert_eq!(restore(&[]), Err(checkpoint::Error::Incomplete));
    assert_eq!(restore(&parts[1..]), Err(checkpoint::Error::Incomplete));
    let mut twice = parts.clone();
    twice[1] = parts[0].clone();
    assert_eq!(restore(&twice), Err(checkpoint::Error::Incomplete));
    let mut later = parts.clone();
    later.iter_mut().for_each(|part| part.next += 1);
    assert_eq!(restore(&later), Err(checkpoint::Error::Incomplete));
    let mut damaged = parts;
    damaged[0].text = damaged[0].text.replacen("plain", "plane", 1);
    assert_eq!(restore(&damaged), Err(checkpoint::Error::HashMismatch));
}

/// Reads the log from `first` on in batches, as an instance that starts would.
fn start(
    log: &Log,
    first: usize,
    mut start: bootstrap::Bootstrap,
) -> (bootstrap::Bootstrap, Option<ledger::Ledger>) {
    let end = log.stored.len();
    loop {
        if let Some(ledger) = start.build_ledger().unwrap() {
            return (start, Some(ledger));
        }
        let Some(from) = start.read_from() else {
            return (start, None);
        };
        let from = first.max(usize::try_from(from).unwrap());
        let records = log.stored[from..end.min(from + 7)].to_vec();
        start.add_records(first as u64, end as u64, records);
    }
}

fn follow(log: &Log, ledger: &mut ledger::Ledger) {
    let from = usize::try_from(ledger.next()).unwrap();
    for stored in &log.stored[from..] {
        ledger.fold(stored).unwrap();
    }
}

/// The log drops old records, and instances are replaced all the time. Whatever is still retained, one that
/// starts either ends with the very ledger of the others, or says that it can't: never with an older
/// configuration, and never with one made from a part of the records.
#[test]
fn a_start_finds_the_newest_checkpoint_that_joins() {
    let (mut started, mut waiting) = (0, 0);
    for seed in 0..40 {
        let log = arbitrary_log(seed, 60);
        for first in [0, 1, log.stored.len() / 2, log.stored.len()] {
            let (start, ledger) = start(&log, first, bootstrap::Bootstrap::new());
            let Some(mut ledger) = ledger else {
                let first = first as u64;
                assert_eq!(start.waiting(), bootstrap::Waiting::NoCheckpoint { first });
                waiting += 1;
                continue;
            };
            assert!(first == 0 || ledger.next() >= first as u64, "seed {seed}");
            follow(&log, &mut ledger);
            assert_eq!(ledger, log.ledger, "seed {seed}");
            started += 1;
        }
    }
    assert!(
        started > 60 && waiting > 40,
        "{started} started, {waiting} wait"
    );
}

/// An instance was cut off until the log no longer held its next record. It goes on from a checkpoint, but
/// only from one that goes further: an older one would bring back a configuration that operators replaced.
#[test]
fn a_ledger_held_is_never_replaced_by_an_older_one() {
    for seed in 0..40 {
        let log = arbitrary_log(seed, 60);
        let mut held = ledger::Ledger::new();
        let mut older = held.clone();
        for (index, stored) in log.stored.iter().enumerate().take(log.stored.len() / 2) {
            held.fold(stored).unwrap();
            if index < 10 {
                older = held.clone();
            }
        }
        let (next, version) = (held.next(), held.version());
        let mut ended = bootstrap::Bootstrap::resume_from(next);
        for part in older.checkpoint() {
            ended.add_part(part);
        }
        assert_eq!(ended.build_ledger(), Ok(None));
        assert!(held.replace(older).is_err());
        assert_eq!((held.next(), held.version()), (next, version));
        let first = usize::try_from(next).unwrap() + 1;
        if let (_, Some(newer)) = start(&log, first, ended) {
            held.replace(newer).unwrap();
            assert!(
                held.next() > next && held.version() >= version,
                "seed {seed}"
            );
            follow(&log, &mut held);
            assert_eq!(held, log.ledger, "seed {seed}");
        }
    }
}

/// The log is down when an instance starts. A peer hands over its ledger, so callers are served with the
/// newest configuration at once.
#[test]
fn a_start_from_a_peer_needs_no_log() {
    let ledger = large();
    let mut start = bootstrap::Bootstrap::new();
    assert_eq!(start.waiting(), bootstrap::Waiting::NoResponse);
    for part in ledger.checkpoint() {
        assert_eq!(start.build_ledger(), Ok(None));
        start.add_part(part);
    }
    assert_eq!(start.build_ledger(), Ok(Some(ledger)));
}

/// Instances die halfway through a checkpoint, over and over. What they left must not fill the memory of
/// one that reads the log, nor hide the whole checkpoint among it.
#[test]
fn abandoned_checkpoints_are_dropped() {
    let whole = large().checkpoint();
    let mut start = bootstrap::Bootstrap::new();
    start.add_part(whole[0].clone());
    for next in 0..1000 {
        let mut abandoned = whole[0].clone();
        abandoned.next = next % 2;
        abandoned.hash = SmolStr::new(next.to_string());
        start.add_part(abandoned);
    }
    for part in &whole[1..] {
        start.add_part(part.clone());
    }
    assert_eq!(
        start.build_ledger().unwrap().map(|ledger| ledger.next()),
        Some(whole[0].next)
    );
}
