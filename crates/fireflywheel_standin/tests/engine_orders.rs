//! Orders to the stand-in engine: fencing, memory and draining.

mod support;

use fireflywheel_standin::{client, engine, fault};
use support::{Server, loaded, order, quick, read_to_end};

/// Returns the error code of an answer, or `done`.
fn result_code(answer: &client::Answer) -> String {
    answer.code().unwrap_or("done".into()).to_string()
}

macro_rules! fencing {
    ($($name:ident: $kind:ident, old $old:literal, old after a restart $restarted:literal;)*) => {$(
        /// A suspended steward resumes and sends an order with an old fencing number. If the engine
        /// accepts it, a model is loaded that no steward accounts for.
        #[tokio::test]
        async fn $name() {
            let engine = loaded(engine::Options {
                fencing: engine::Fencing::$kind,
                ..quick()
            })
            .await;
            engine.order(&order(engine::Kind::Query, 7)).await;
            let old = engine.order(&order(engine::Kind::Load, 6)).await;
            assert_eq!(result_code(&old), $old);
            let equal = engine.order(&order(engine::Kind::Load, 7)).await;
            assert_eq!(result_code(&equal), "done");
            let boot = engine.counts().await.boot;
            engine.set(fault::Change::new().with_restart()).await;
            let counts = engine.counts().await;
            assert_ne!(counts.boot, boot);
            assert_eq!((counts.loaded.len(), counts.memory_mb), (0, 0));
            let old = engine.order(&order(engine::Kind::Load, 6)).await;
            assert_eq!(result_code(&old), $restarted);
        }
    )*};
}

fencing! {
    checked_fencing_survives_restart: Checked, old "stale_fencing", old after a restart "stale_fencing";
    fencing_number_is_lost_on_restart: Forgets, old "stale_fencing", old after a restart "done";
    ignored_fencing_accepts_old_orders: Ignored, old "done", old after a restart "done";
}

#[tokio::test]
async fn fence_floor_applies_from_the_start() {
    let engine = Server::engine(engine::Options {
        fence_floor: 5,
        ..quick()
    })
    .await;
    let old = engine.order(&order(engine::Kind::Load, 4)).await;
    assert_eq!(
        (old.status.as_u16(), result_code(&old)),
        (409, "stale_fencing".into())
    );
}

/// A load hangs, and a new steward takes over. The steward's query with a higher fencing number
/// must abandon the load. Otherwise, the load takes memory that the steward has assigned to another
/// item.
#[tokio::test]
async fn higher_fencing_number_abandons_running_load() {
    let engine = Server::engine(engine::Options {
        load_ms: 3_600_000,
        ..quick()
    })
    .await;
    let load = order(engine::Kind::Load, 1);
    let query = async {
        engine
            .wait_for_counts(|counts| counts.memory_mb == 1000)
            .await;
        engine.order(&order(engine::Kind::Query, 2)).await
    };
    let (load, query) = tokio::join!(engine.order(&load), query);
    assert_eq!(result_code(&load), "stale_fencing");
    assert_eq!(query.json::<engine::Outcome>().unwrap().loaded.len(), 0);
    let counts = engine.wait_for_counts(|counts| counts.memory_mb == 0).await;
    let loaded: Vec<_> = counts.history.iter().map(|change| change.loaded).collect();
    assert_eq!(loaded, [true, false]);
}

#[tokio::test]
async fn loads_are_idempotent_and_items_load_concurrently() {
    let engine = loaded(quick()).await;
    let repeated = order(engine::Kind::Load, 1);
    let other = order(engine::Kind::Load, 1).with_item("survey@2", 500);
    let adapter = order(engine::Kind::Load, 1).with_item("quote@1:tone", 10);
    let missing = order(engine::Kind::Load, 1).with_item("absent@1:tone", 10);
    let (repeated, other, adapter, missing) = tokio::join!(
        engine.order(&repeated),
        engine.order(&other),
        engine.order(&adapter),
        engine.order(&missing)
    );
    assert_eq!(
        [
            result_code(&repeated),
            result_code(&other),
            result_code(&adapter)
        ],
        ["done"; 3]
    );
    assert_eq!(result_code(&missing), "model_not_loaded");
    let counts = engine.counts().await;
    assert_eq!(counts.loads["quote@1"], 1);
    assert_eq!((counts.memory_mb, counts.peak_memory_mb), (1510, 1510));
    assert_eq!(counts.loaded, ["quote@1", "quote@1:tone", "survey@2"]);
}

/// An unload order arrives during a request. The request must get its complete answer, and a new
/// request must be refused as `model_not_loaded` instead of being started and then interrupted.
#[tokio::test]
async fn unload_refuses_new_requests_and_finishes_running_ones() {
    let engine = loaded(quick()).await;
    let running = engine.chat("first", true, 400).await;
    let unload = order(engine::Kind::Unload, 2);
    let refused = async {
        loop {
            let events = engine.chat("second", true, 0).await;
            if events.status != 200 {
                return events.collect().await.unwrap();
            }
            read_to_end(events).await;
        }
    };
    let (unload, refused, (events, broken)) =
        tokio::join!(engine.order(&unload), refused, read_to_end(running));
    assert_eq!(result_code(&refused), "model_not_loaded");
    assert_eq!((result_code(&unload), broken), ("done".into(), false));
    assert_eq!(events.last().unwrap(), client::DONE);
    assert_eq!(engine.counts().await.memory_mb, 0);
}

/// An engine freezes with an order in its socket, and the sender gives up. The order takes effect
/// when the engine continues, although the sender no longer expects it.
#[tokio::test]
async fn frozen_engine_later_executes_accepted_orders() {
    let engine = Server::engine(quick()).await;
    engine.set(fault::Change::new().with_freeze(true)).await;
    let load = order(engine::Kind::Load, 1);
    let wait = tokio::time::Duration::from_millis(500);
    let given_up = tokio::time::timeout(wait, engine.order(&load)).await;
    assert!(given_up.is_err());
    assert_eq!(engine.counts().await.memory_mb, 0);
    engine.set(fault::Change::new().with_freeze(false)).await;
    engine
        .wait_for_counts(|counts| counts.loaded == ["quote@1"])
        .await;
}

/// The network delays an order until after a later unload order. On an engine that accepts every
/// fencing number, the delayed order loads the item again.
#[tokio::test]
async fn delayed_order_takes_effect_after_later_orders() {
    let engine = Server::engine(engine::Options {
        fencing: engine::Fencing::Ignored,
        ..quick()
    })
    .await;
    let delay = fault::Change::new()
        .with_delay_orders(1)
        .with_delay_orders_ms(500);
    engine.set(delay).await;
    let load = order(engine::Kind::Load, 1);
    let later = async {
        let client = client::Client::new();
        while client.faults(&engine.base).await.unwrap().delay_orders == 1 {}
        engine.order(&order(engine::Kind::Unload, 2)).await
    };
    let (delayed, later) = tokio::join!(engine.order(&load), later);
    assert_eq!([result_code(&delayed), result_code(&later)], ["done"; 2]);
    let loaded = |answer: client::Answer| answer.json::<engine::Outcome>().unwrap().loaded;
    assert!(loaded(later).is_empty());
    assert_eq!(loaded(delayed), ["quote@1"]);
}

/// The weight store fails, or the engine reports a failure of the store. The steward must learn
/// that nothing was loaded.
#[tokio::test]
async fn refused_order_and_store_outage_load_nothing() {
    let store =
        Server::start(|listener| fireflywheel_standin::store::serve(listener, Default::default()))
            .await;
    store.set(fault::Change::new().with_outage(true)).await;
    let engine = Server::engine(engine::Options {
        store: Some(store.base.as_str().into()),
        ..quick()
    })
    .await;
    engine.set(fault::Change::new().with_refuse_orders(1)).await;
    for loads in [0, 1] {
        let answer = engine.order(&order(engine::Kind::Load, 1)).await;
        assert_eq!(
            (answer.status.as_u16(), result_code(&answer)),
            (502, "store_failed".into())
        );
        let counts = engine.counts().await;
        assert_eq!(counts.loads.values().sum::<u64>(), loads);
        assert_eq!(counts.memory_mb, 0);
    }
}

#[test]
fn peak_replicas_counts_all_versions_on_all_engines() {
    let change = |us, item: &str, loaded| engine::Change {
        us,
        item: item.into(),
        loaded,
        memory_mb: 0,
    };
    let first = [change(1, "quote@1", true), change(5, "quote@1", false)];
    let second = [
        change(3, "quote@2", true),
        change(4, "quote@2:tone", true),
        change(6, "quote@1", true),
    ];
    let peak = |item| engine::peak_replicas([first.as_slice(), second.as_slice()], item);
    assert_eq!(
        [peak("quote"), peak("quote:tone"), peak("absent")],
        [2, 1, 0]
    );
}
