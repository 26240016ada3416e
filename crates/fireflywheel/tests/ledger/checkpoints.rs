//! Checkpoints of the ledger, and the start of an instance from a checkpoint, from the log or from a peer.

use super::*;

/// A log of random entries, most of which are accepted, with checkpoints in between.
fn arbitrary_log(seed: u64, steps: usize) -> Log {
    let mut bytes = vec![0; steps * 24];
    rngs::StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut u = Unstructured::new(&bytes);
    let mut log = Log::new();
    for _ in 0..steps {
        append_random(&mut log, &mut u).unwrap();
    }
    log
}

fn append_random(log: &mut Log, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
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
                let _ = log.append_entry(instance, Entry::Checkpoint(part));
            }
            Ok(())
        }
    };
    Ok(())
}

/// An instance that starts from a checkpoint must evaluate records as all others do. A difference in a single
/// field would show only later, for example when two instances both hold the single right to load a model.
#[test]
fn a_restored_ledger_folds_the_rest_of_the_log_identically() {
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

/// A ledger whose checkpoint has more than one part.
fn large_ledger() -> ledger::Ledger {
    let mut log = Log::new();
    let note = format!("# {}\n", "ä\"\\".repeat(150));
    let text = format!("{DOCUMENT}{}", note.repeat(900));
    log.publish(1, &text).unwrap();
    log.ledger
}

#[test]
fn checkpoint_parts_fit_into_records() {
    let ledger = large_ledger();
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

/// A checkpoint that is incomplete or has a damaged part must not be restored: an instance would start with rights
/// that were never granted.
#[test]
fn an_incomplete_or_damaged_checkpoint_is_rejected() {
    let parts = large_ledger().checkpoint();
    let restore = ledger::Ledger::restore;
    assert_eq!(restore(&[]), Err(checkpoint::Error::Incomplete));
    assert_eq!(restore(&parts[1..]), Err(checkpoint::Error::Incomplete));
    let mut duplicated = parts.clone();
    duplicated[1] = parts[0].clone();
    assert_eq!(restore(&duplicated), Err(checkpoint::Error::Incomplete));
    let mut shifted = parts.clone();
    shifted.iter_mut().for_each(|part| part.next += 1);
    assert_eq!(restore(&shifted), Err(checkpoint::Error::Incomplete));
    let mut damaged = parts;
    damaged[0].text = damaged[0].text.replacen("plain", "plane", 1);
    assert_eq!(restore(&damaged), Err(checkpoint::Error::HashMismatch));
}

/// Reads the log in batches, as a starting instance does. The log retains the records from `first` on.
fn run_bootstrap(
    log: &Log,
    first: usize,
    mut bootstrap: bootstrap::Bootstrap,
) -> (bootstrap::Bootstrap, Option<ledger::Ledger>) {
    let end = log.stored.len();
    loop {
        if let Some(ledger) = bootstrap.build_ledger().unwrap() {
            return (bootstrap, Some(ledger));
        }
        let Some(from) = bootstrap.read_from() else {
            return (bootstrap, None);
        };
        let from = first.max(usize::try_from(from).unwrap());
        let records = log.stored[from..end.min(from + 7)].to_vec();
        bootstrap.add_records(first as u64, end as u64, records);
    }
}

fn fold_rest(log: &Log, ledger: &mut ledger::Ledger) {
    let from = usize::try_from(ledger.next()).unwrap();
    for stored in &log.stored[from..] {
        ledger.fold(stored).unwrap();
    }
}

/// The log drops old records, and instances are replaced all the time. Whatever the log still retains, a starting
/// instance either reaches the same ledger as the others or reports that it cannot. It never starts with an older
/// configuration or with a ledger built from a part of the records.
#[test]
fn bootstrap_finds_the_newest_checkpoint_that_the_log_continues() {
    let (mut started, mut waiting) = (0, 0);
    for seed in 0..40 {
        let log = arbitrary_log(seed, 60);
        for first in [0, 1, log.stored.len() / 2, log.stored.len()] {
            let (bootstrap, ledger) = run_bootstrap(&log, first, bootstrap::Bootstrap::new());
            let Some(mut ledger) = ledger else {
                let first = first as u64;
                assert_eq!(
                    bootstrap.status(),
                    bootstrap::Status::NoCheckpoint { first }
                );
                waiting += 1;
                continue;
            };
            assert!(first == 0 || ledger.next() >= first as u64, "seed {seed}");
            fold_rest(&log, &mut ledger);
            assert_eq!(ledger, log.ledger, "seed {seed}");
            started += 1;
        }
    }
    assert!(
        started > 60 && waiting > 40,
        "{started} instances started, {waiting} have no checkpoint"
    );
}

/// An instance is cut off until the log no longer holds its next record. It continues from a checkpoint, but only
/// from one that covers more: an older one would restore a configuration that operators replaced.
#[test]
fn a_ledger_is_never_replaced_by_an_older_one() {
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
        let mut bootstrap = bootstrap::Bootstrap::resume_from(next);
        for part in older.checkpoint() {
            bootstrap.add_part(part);
        }
        assert_eq!(bootstrap.build_ledger(), Ok(None));
        assert!(held.replace(older).is_err());
        assert_eq!((held.next(), held.version()), (next, version));
        let first = usize::try_from(next).unwrap() + 1;
        if let (_, Some(newer)) = run_bootstrap(&log, first, bootstrap) {
            held.replace(newer).unwrap();
            assert!(
                held.next() > next && held.version() >= version,
                "seed {seed}"
            );
            fold_rest(&log, &mut held);
            assert_eq!(held, log.ledger, "seed {seed}");
        }
    }
}

/// The log is down when an instance starts. A peer sends its ledger, so callers are served with the newest
/// configuration at once.
#[test]
fn bootstrap_from_a_peer_needs_no_log() {
    let ledger = large_ledger();
    let mut bootstrap = bootstrap::Bootstrap::new();
    assert_eq!(bootstrap.status(), bootstrap::Status::NoResponse);
    for part in ledger.checkpoint() {
        assert_eq!(bootstrap.build_ledger(), Ok(None));
        bootstrap.add_part(part);
    }
    assert_eq!(bootstrap.build_ledger(), Ok(Some(ledger)));
}

/// Instances repeatedly die halfway through writing a checkpoint. The parts they leave behind must neither fill the
/// memory of an instance that reads the log nor displace a checkpoint that becomes complete.
#[test]
fn abandoned_checkpoints_are_dropped() {
    let complete = large_ledger().checkpoint();
    let mut bootstrap = bootstrap::Bootstrap::new();
    bootstrap.add_part(complete[0].clone());
    for next in 0..1000 {
        let mut abandoned = complete[0].clone();
        abandoned.next = next % 2;
        abandoned.hash = SmolStr::new(next.to_string());
        bootstrap.add_part(abandoned);
    }
    for part in &complete[1..] {
        bootstrap.add_part(part.clone());
    }
    assert_eq!(
        bootstrap
            .build_ledger()
            .unwrap()
            .map(|ledger| ledger.next()),
        Some(complete[0].next)
    );
}
