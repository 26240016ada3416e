//! Rules that show over several records: claims, late copies, pins, and what is gone.

use super::*;

/// An instance claims a booking's key and is paused before it sends. Days later its caller tries again at
/// another instance. Were the key forgotten by then, both would book, and the deposit be taken twice.
#[test]
fn an_open_claim_never_expires() {
    let mut log = Log::new();
    log.claim("a", "k").unwrap();
    log.time_ms += 20 * DAY_MS;
    assert_eq!(log.claim("b", "k"), Err(Reason::Claim));
    assert_eq!(log.settle("a", "k", RAN), Ok(()));
}

/// A claim's append is lost, its caller is refused, and the same key is claimed and settled elsewhere. The
/// lost copy lands after that, twice. It must not free or replace what is known of the key.
#[test]
fn a_late_copy_is_judged_once() {
    let mut log = Log::new();
    let key = claim_key("k");
    let fingerprint = 1;
    let late = vec![Entry::Claim { key, fingerprint }];
    assert_eq!(
        log.append(id("c", 1), late.clone()),
        [ledger::Decision::Accepted]
    );
    log.sequence = 1;
    log.settle("c", "k", NOT_RUN).unwrap();
    assert_eq!(log.append(id("c", 1), late.clone()), []);
    assert_eq!(log.ledger.claim_count(), 0);
    log.claim("b", "k").unwrap();
    assert_eq!(log.append(id("c", 1), late), []);
    assert_eq!(log.ledger.claim(&claim_key("k")).unwrap().by, by("b"));
    assert_eq!(log.ledger.sequence(&by("c")), 2);
}

/// A copy of a record lands months after its process ended and was forgotten. Nothing tells the ledger any
/// more that it took the record, but the process is too old to be new.
#[test]
fn a_forgotten_incarnation_stays_void() {
    let mut log = Log::new();
    log.claim("c", "k").unwrap();
    log.settle("c", "k", NOT_RUN).unwrap();
    log.time_ms += 31 * DAY_MS;
    let young = record::Incarnation {
        number: log.time_ms,
        ..by("d")
    };
    let sequence = 1;
    log.append(
        record::Id {
            by: young,
            sequence,
        },
        Vec::new(),
    );
    assert_eq!(log.ledger.sequence(&by("c")), 0, "forgotten");
    assert_eq!(log.claim("c", "k"), Err(Reason::Expired));
    assert_eq!(log.ledger.claim_count(), 0);
}

/// Operators publish thousands of times a day, each time from a process of its own. If each left a line in
/// the ledger, checkpoints would grow until they no longer fit.
#[test]
fn publications_leave_no_trace_but_the_newest() {
    let mut log = Log::new();
    let length = |log: &Log| log.ledger.checkpoint()[0].text.len();
    let before = length(&log);
    for _ in 0..50 {
        log.publish(log.ledger.version(), DOCUMENT).unwrap();
    }
    assert!(length(&log) <= before + 4);
}

/// A steward is paused with an order to load in hand, and replaced. Its successor finds nothing loaded and
/// gives the room away; then the order is sent after all, and two replicas are loaded where one is allowed.
/// The placement stays counted until the old steward says that it has stopped, and then until the engine was
/// asked once more, since the order may have come through just before.
#[test]
fn a_pinned_placement_is_counted_until_it_was_looked_at() {
    let mut log = Log::new();
    let (late, elsewhere) = (order(1, "s/m@1"), order_of(2, 1, "t/m@1"));
    log.grant("a", &late).unwrap();
    log.steward("b", "plain", 2).unwrap();
    assert_eq!(log.pins(&late), [(SmolStr::new("a"), 1, 1)]);
    log.close("b", &late, 2, false, false).unwrap();
    assert_eq!(log.state(&late), Some(right::State::Empty));
    assert_eq!(log.grant("b", &elsewhere), Err(Reason::Cap));
    log.acknowledge("a", 1, &[1]).unwrap();
    assert_eq!(
        log.pins(&late).len(),
        1,
        "it says that the order may still arrive"
    );
    log.acknowledge("b", 1, &[]).unwrap();
    assert_eq!(log.pins(&late).len(), 1, "it was not b's order");
    log.acknowledge("a", 1, &[]).unwrap();
    assert_eq!(log.grant("b", &elsewhere), Err(Reason::Cap));
    let look = order_of(2, 2, "s/m@1");
    log.withdraw("b", &look).unwrap();
    log.close("b", &look, 2, false, false).unwrap();
    assert_eq!(log.state(&late), None);
    assert_eq!(log.grant("b", &order_of(2, 3, "t/m@1")), Ok(()));
}

/// A pin ends while an order is on its way to look. The engine may have answered before the late order came
/// through, so that answer gives nothing free.
#[test]
fn an_answer_from_before_the_pins_end_frees_nothing() {
    let mut log = Log::new();
    let late = order(1, "s/m@1");
    log.grant("a", &late).unwrap();
    log.steward("b", "plain", 2).unwrap();
    log.acknowledge("a", 1, &[]).unwrap();
    log.close("b", &late, 2, false, false).unwrap();
    assert_eq!(log.state(&late), Some(right::State::Empty));
}

/// A steward takes its own group anew, and says that the newer of its epochs left nothing behind. The older
/// one may have: found by the search, where this freed a placement that a late order then loaded.
#[test]
fn an_acknowledgement_is_for_one_epoch() {
    let mut log = Log::new();
    let late = order(1, "s/m@1");
    log.grant("a", &late).unwrap();
    for epoch in 2..=3 {
        log.steward("a", "plain", epoch).unwrap();
    }
    log.acknowledge("a", 2, &[]).unwrap();
    assert_eq!(log.pins(&late), [(SmolStr::new("a"), 1, 1)]);
}

/// An order's answer is lost, and its repeat answered. The first copy may still wait in a frozen engine, and
/// load the model again after it was unloaded and loaded elsewhere.
#[test]
fn a_stray_order_leaves_a_pin() {
    let mut log = Log::new();
    let stray = order(1, "s/m@1");
    log.grant("a", &stray).unwrap();
    log.close("a", &stray, 1, true, true).unwrap();
    let unload = order(2, "s/m@1");
    log.withdraw("a", &unload).unwrap();
    log.close("a", &unload, 1, false, true).unwrap();
    assert_eq!(
        log.pins(&stray),
        [(SmolStr::new("a"), 1, 1)],
        "an unload needs none"
    );
    assert_eq!(log.grant("a", &order(3, "t/m@1")), Err(Reason::Cap));
    assert_eq!(
        log.grant("a", &order(4, "s/m@1")),
        Ok(()),
        "the same placement may be used"
    );
}

/// Engines that check refuse the paused steward's order once they have answered its successor, so the
/// successor's first answer frees the room, and nobody waits for a process that may be dead.
#[test]
fn an_answer_of_a_newer_epoch_shuts_out_older_orders() {
    let mut log = Log::new();
    let late = order(1, "s/f@1");
    log.grant("a", &late).unwrap();
    log.steward("b", "fenced", 2).unwrap();
    log.close("b", &late, 2, false, false).unwrap();
    assert_eq!(log.state(&late), None);
    assert_eq!(log.grant("b", &order_of(2, 1, "t/f@1")), Ok(()));
}

/// A backend server is reclaimed, and another starts at its address. A steward that saw the first one gone
/// says so late, after the second has loaded a model; that replica must stay counted.
#[test]
fn gone_takes_along_only_what_was_seen() {
    let mut log = Log::new();
    log.load(&order(1, "s/n@1"));
    let seen = log.ledger.next();
    log.load(&order(2, "t/n@1"));
    log.gone("a", 1, "t", seen).unwrap();
    assert_eq!(log.state(&order(2, "t/n@1")), Some(right::State::Loaded));
    log.gone("a", 1, "s", seen).unwrap();
    assert_eq!(log.state(&order(1, "s/n@1")), None);
}

/// A backend server is reclaimed while an order to load is on its way. The order may reach whatever starts
/// at the address next.
#[test]
fn gone_pins_an_open_intent() {
    let mut log = Log::new();
    let open = order(1, "s/m@1");
    log.grant("a", &open).unwrap();
    log.gone("a", 1, "s", log.ledger.next()).unwrap();
    assert_eq!(log.state(&open), Some(right::State::Empty));
    assert_eq!(log.pins(&open), [(SmolStr::new("a"), 1, 1)]);
}

/// An operator decides that a pin ends after a minute of log time, and takes the risk of a later order. The
/// minute runs from the end of the epoch, and no instance's clock is asked.
#[test]
fn release_goes_by_log_time() {
    let mut log = Log::new();
    let text = DOCUMENT.replace("[group plain]\n", "[group plain]\npin_release = 60\n");
    log.publish(1, &text).unwrap();
    let late = order(1, "s/m@1");
    log.grant("a", &late).unwrap();
    log.steward("b", "plain", 2).unwrap();
    let release = Entry::Release {
        group: late.group.clone(),
        epoch: 2,
        server: late.server.clone(),
        item: late.item.clone(),
    };
    log.time_ms += 59_999;
    assert_eq!(log.say("b", release.clone()), Err(Reason::Pinned));
    log.time_ms += 1;
    assert_eq!(log.say("b", release), Ok(()));
    assert_eq!(log.pins(&late), []);
}

/// Operators lower a cap and drop a model while replicas are loaded. These go on answering until they are
/// unloaded; the ledger must not lose count of them.
#[test]
fn a_document_voids_no_right() {
    let mut log = Log::new();
    log.load(&order(1, "s/n@1"));
    let text = DOCUMENT.replace("replicas = 2", "replicas = 0");
    log.publish(1, &text).unwrap();
    assert_eq!(log.state(&order(1, "s/n@1")), Some(right::State::Loaded));
    assert_eq!(log.grant("a", &order(2, "t/n@1")), Err(Reason::Cap));
}

#[test]
fn foreign_bodies_are_passed_over_and_gaps_are_not() {
    let mut log = Log::new();
    for body in ["", "{}", "hello", "{\"rule\":99}", "[1]"] {
        assert_eq!(log.land(body.to_owned()), []);
    }
    let next = log.ledger.next();
    let stored = record::Stored {
        offset: next + 1,
        time_ms: 0,
        body: String::new(),
    };
    let offset = next + 1;
    let gap = ledger::FoldError::Gap { next, offset };
    assert_eq!(log.ledger.fold(&stored), Err(gap));
    assert_eq!(log.ledger.next(), next);
}

/// During an upgrade a newer instance appends an entry that this build can't read. Passing it over would
/// leave the two with different ledgers, and both sure of themselves.
#[test]
fn a_newer_rule_halts_the_ledger() {
    let mut log = Log::new();
    let newer = r#"{"rule":2,"id":{"by":{"instance":"z","number":1},"sequence":1},"entries":[{"Teleport":{}}]}"#;
    let stored = record::Stored {
        offset: log.ledger.next(),
        time_ms: 0,
        body: newer.to_owned(),
    };
    assert_eq!(
        log.ledger.fold(&stored),
        Err(ledger::FoldError::UnsupportedRules(2))
    );
    let mut start = bootstrap::Bootstrap::new();
    start.add_records(stored.offset, stored.offset + 1, vec![stored]);
    assert_eq!(
        start.build_ledger(),
        Err(ledger::FoldError::UnsupportedRules(2))
    );
}
