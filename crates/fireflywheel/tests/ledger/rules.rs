//! Rules that span several records: claims, late copies, pins, and servers that are gone.

use super::*;

/// An instance claims the key of a booking and is paused before it sends the request. Days later, the caller retries
/// at another instance. If the key had expired by then, both instances would book, and the deposit would be taken
/// twice.
#[test]
fn an_open_claim_never_expires() {
    let mut log = Log::new();
    log.claim("a", "k").unwrap();
    log.time_ms += 20 * DAY_MS;
    assert_eq!(log.claim("b", "k"), Err(Reason::Claim));
    assert_eq!(log.settle("a", "k", RAN), Ok(()));
}

/// The answer to the append of a claim is lost, and copies of the record are stored later: one after the claim was
/// settled, and one after another instance claimed the key. The copies must neither open the claim again nor replace
/// the other instance's claim.
#[test]
fn a_late_copy_is_not_evaluated_again() {
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

/// A copy of a record is appended a month after its process ended and was removed from the ledger. The ledger no
/// longer knows that it folded the record, but the incarnation is too old to be new.
#[test]
fn a_removed_incarnation_stays_rejected() {
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
    assert_eq!(
        log.ledger.sequence(&by("c")),
        0,
        "the incarnation was removed"
    );
    assert_eq!(log.claim("c", "k"), Err(Reason::Expired));
    assert_eq!(log.ledger.claim_count(), 0);
}

/// Operators publish thousands of times a day, each time from a new process. If the ledger kept an entry for each
/// process, checkpoints would grow until they exceeded their size limit.
#[test]
fn publications_do_not_grow_the_checkpoint() {
    let mut log = Log::new();
    let length = |log: &Log| log.ledger.checkpoint()[0].text.len();
    let before = length(&log);
    for _ in 0..50 {
        log.publish(log.ledger.version(), DOCUMENT).unwrap();
    }
    assert!(length(&log) <= before + 4);
}

/// A steward is paused before it sends a load order, and is replaced. If its successor, which finds nothing loaded,
/// could grant the replica elsewhere, the old order would still be sent, and two replicas would be loaded where one
/// is allowed. The placement therefore stays counted until the old steward states that it sends no more orders, and
/// then until the engine has answered once more, since the order may have arrived just before.
#[test]
fn a_pinned_placement_is_counted_until_it_is_verified() {
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
        "the acknowledgement names the order as one that may still arrive"
    );
    log.acknowledge("b", 1, &[]).unwrap();
    assert_eq!(log.pins(&late).len(), 1, "the order is not b's");
    log.acknowledge("a", 1, &[]).unwrap();
    assert_eq!(log.grant("b", &elsewhere), Err(Reason::Cap));
    let verification = order_of(2, 2, "s/m@1");
    log.withdraw("b", &verification).unwrap();
    log.close("b", &verification, 2, false, false).unwrap();
    assert_eq!(log.state(&late), None);
    assert_eq!(log.grant("b", &order_of(2, 3, "t/m@1")), Ok(()));
}

/// A pin ends while a query is on its way. The engine may have answered the query before the late order arrived, so
/// that answer does not free the placement.
#[test]
fn an_answer_from_before_the_pins_end_does_not_free_the_placement() {
    let mut log = Log::new();
    let late = order(1, "s/m@1");
    log.grant("a", &late).unwrap();
    log.steward("b", "plain", 2).unwrap();
    log.acknowledge("a", 1, &[]).unwrap();
    log.close("b", &late, 2, false, false).unwrap();
    assert_eq!(log.state(&late), Some(right::State::Empty));
}

/// A steward becomes the steward of its group again in two newer epochs, and acknowledges that the first of these
/// left no order behind. The oldest epoch may have left one. If the acknowledgement ended its pin, a placement would
/// be freed that a late order then loads. The random search found this fault.
#[test]
fn an_acknowledgement_ends_pins_of_its_epoch_only() {
    let mut log = Log::new();
    let late = order(1, "s/m@1");
    log.grant("a", &late).unwrap();
    for epoch in 2..=3 {
        log.steward("a", "plain", epoch).unwrap();
    }
    log.acknowledge("a", 2, &[]).unwrap();
    assert_eq!(log.pins(&late), [(SmolStr::new("a"), 1, 1)]);
}

/// The answer to an order is lost, and the retry is answered. The first copy may still wait in a frozen engine and
/// load the model again after it was unloaded and loaded elsewhere.
#[test]
fn a_load_order_with_a_lost_answer_leaves_a_pin() {
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
        "an unload order needs no pin"
    );
    assert_eq!(log.grant("a", &order(3, "t/m@1")), Err(Reason::Cap));
    assert_eq!(
        log.grant("a", &order(4, "s/m@1")),
        Ok(()),
        "the model may be loaded again on the same server"
    );
}

/// An engine that checks fencing numbers refuses the paused steward's order once it has answered the successor. The
/// first answer therefore frees the placement, without waiting for a process that may be dead.
#[test]
fn an_answer_to_a_newer_epoch_ends_older_pins() {
    let mut log = Log::new();
    let late = order(1, "s/f@1");
    log.grant("a", &late).unwrap();
    log.steward("b", "fenced", 2).unwrap();
    log.close("b", &late, 2, false, false).unwrap();
    assert_eq!(log.state(&late), None);
    assert_eq!(log.grant("b", &order_of(2, 1, "t/f@1")), Ok(()));
}

/// A backend server is reclaimed, and another starts at its address. The steward that saw that the first one was gone
/// reports it late, after the second one has loaded a model. That replica must stay counted.
#[test]
fn gone_does_not_affect_rights_that_changed_later() {
    let mut log = Log::new();
    log.load(&order(1, "s/n@1"));
    let seen = log.ledger.next();
    log.load(&order(2, "t/n@1"));
    log.gone("a", 1, "t", seen).unwrap();
    assert_eq!(log.state(&order(2, "t/n@1")), Some(right::State::Loaded));
    log.gone("a", 1, "s", seen).unwrap();
    assert_eq!(log.state(&order(1, "s/n@1")), None);
}

/// A backend server is reclaimed while a load order is on its way. The order may reach the next process at the
/// address.
#[test]
fn gone_pins_an_open_intent() {
    let mut log = Log::new();
    let open = order(1, "s/m@1");
    log.grant("a", &open).unwrap();
    log.gone("a", 1, "s", log.ledger.next()).unwrap();
    assert_eq!(log.state(&open), Some(right::State::Empty));
    assert_eq!(log.pins(&open), [(SmolStr::new("a"), 1, 1)]);
}

/// An operator configures that pins may be released after one minute of log time, and accepts the risk that an order
/// arrives later. The minute starts at the end of the epoch, and no instance's clock is used.
#[test]
fn pins_are_released_by_log_time() {
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
    assert_eq!(log.append_entry("b", release.clone()), Err(Reason::Pinned));
    log.time_ms += 1;
    assert_eq!(log.append_entry("b", release), Ok(()));
    assert_eq!(log.pins(&late), []);
}

/// Operators lower a cap while replicas are loaded. The replicas keep serving until they are unloaded, so the ledger
/// must keep counting them.
#[test]
fn a_new_document_does_not_revoke_rights() {
    let mut log = Log::new();
    log.load(&order(1, "s/n@1"));
    let text = DOCUMENT.replace("replicas = 2", "replicas = 0");
    log.publish(1, &text).unwrap();
    assert_eq!(log.state(&order(1, "s/n@1")), Some(right::State::Loaded));
    assert_eq!(log.grant("a", &order(2, "t/n@1")), Err(Reason::Cap));
}

#[test]
fn foreign_bodies_are_skipped_and_gaps_are_rejected() {
    let mut log = Log::new();
    for body in ["", "{}", "hello", "{\"rule\":99}", "[1]"] {
        assert_eq!(log.append_body(body.to_owned()), []);
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

/// During an upgrade, a newer instance appends an entry that this build cannot read. If this build skipped it, the two
/// instances would hold different ledgers without noticing.
#[test]
fn newer_rules_stop_the_fold() {
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
    let mut bootstrap = bootstrap::Bootstrap::new();
    bootstrap.add_records(stored.offset, stored.offset + 1, vec![stored]);
    assert_eq!(
        bootstrap.build_ledger(),
        Err(ledger::FoldError::UnsupportedRules(2))
    );
}
