//! Answers of the stand-in engine: injected faults, resumption, cancellation and refusals.

mod support;

use fireflywheel_standin::{client, engine, fault};
use support::{loaded, quick, read_to_end};

/// Concatenates the content of all chunks, including duplicates.
fn content(events: &[String]) -> String {
    events
        .iter()
        .filter_map(|event| serde_json::from_str::<engine::Chunk>(event).ok())
        .flat_map(|chunk| chunk.choices)
        .map(|choice| choice.delta.content.to_string())
        .collect()
}

#[tokio::test]
async fn full_and_streamed_answers_echo_the_request() {
    let engine = loaded(quick()).await;
    let (events, broken) = read_to_end(engine.chat("a", true, 3).await).await;
    assert!(!broken);
    assert_eq!(content(&events), engine::content("a", 3));
    assert_eq!(events.last().unwrap(), client::DONE);
    let full = engine.chat("b", false, 3).await.collect().await.unwrap();
    let full: engine::Completion = full.json().unwrap();
    assert_eq!(full.id, "b");
    assert_eq!(full.choices[0].message.content, "b t1 t2 t3");
    let counts = engine.counts().await;
    assert_eq!((counts.runs["a"], counts.runs["b"]), (1, 1));
}

macro_rules! flawed_stream {
    ($($name:ident: $change:expr, $check:expr;)*) => {$(
        /// An injected fault gives a stream a wrong request id, truncates it, or duplicates a
        /// chunk. If a router forwards it, the caller gets another request's text, half an answer,
        /// or repeated words. The fault must apply to the next answer only.
        #[tokio::test]
        async fn $name() {
            let engine = loaded(quick()).await;
            engine.set($change).await;
            let events = engine.chat("a", true, 2).await;
            let id = events.header("x-request-id").unwrap().to_owned();
            let (events, _) = read_to_end(events).await;
            let check: fn(&str, &[String]) -> bool = $check;
            assert!(check(&id, &events), "{id}: {events:?}");
            let events = engine.chat("b", true, 2).await;
            assert_eq!(events.header("x-request-id"), Some("b"));
            let (events, _) = read_to_end(events).await;
            assert_eq!(content(&events), engine::content("b", 2));
        }
    )*};
}

flawed_stream! {
    stream_with_wrong_request_id: fault::Change::new().with_cross_answers(1),
        |id, events| id != "a" && !events[0].contains("\"id\":\"a\"");
    truncated_stream: fault::Change::new().with_cut_answers(1),
        |_, events| events.len() == 1 && events[0] != client::DONE;
    stream_with_duplicate_chunk: fault::Change::new().with_duplicate_answers(1),
        |_, events| events[0] == events[1] && content(events) == "aa t1 t2";
}

/// The connection closes within the body of a full answer. The caller's client must detect it by
/// the content length.
#[tokio::test]
async fn truncated_full_answer_is_shorter_than_its_content_length() {
    let engine = loaded(quick()).await;
    engine.set(fault::Change::new().with_cut_answers(1)).await;
    let answer = engine.chat("a", false, 2).await;
    assert_eq!(answer.status, 200);
    answer.collect().await.unwrap_err();
}

/// The engine runs a request, but the connection closes before the answer. The caller cannot know
/// whether the request ran, but the engine's counts show it.
#[tokio::test]
async fn request_with_lost_answer_has_run() {
    let engine = loaded(quick()).await;
    engine.set(fault::Change::new().with_lose_answers(1)).await;
    // A poll has no effect and must not consume the fault.
    let report = client::Client::new().get(&engine.url("/v1/load")).await;
    report.unwrap().json::<engine::Report>().unwrap();
    engine.try_chat("a", false, 2).await.unwrap_err();
    assert_eq!(engine.counts().await.runs["a"], 1);
    assert_eq!(engine.chat("b", false, 2).await.status, 200);
}

/// A router fails while it forwards a stream. Another router resumes the stream after the chunks
/// that the caller has. The caller must see one complete answer from a single run.
#[tokio::test]
async fn stream_resumes_after_client_disconnects() {
    let engine = loaded(engine::Options {
        token_us: 5_000,
        stream_retention_ms: 600_000,
        ..quick()
    })
    .await;
    let mut events = engine.chat("a", true, 20).await;
    let mut received = vec![events.next().await.unwrap().unwrap()];
    received.push(events.next().await.unwrap().unwrap());
    drop(events);
    engine.wait_for_counts(|counts| counts.cut == 1).await;
    let resume = |id| {
        client::Client::new()
            .with_header("x-request-id", id)
            .with_header("x-resume-from", "2")
    };
    let url = engine.url("/v1/chat/completions");
    let rest = resume("a").open_json(&url, &()).await.unwrap();
    received.extend(read_to_end(rest).await.0);
    assert_eq!(content(&received), engine::content("a", 20));
    assert_eq!(engine.counts().await.runs["a"], 1);
    let unknown = resume("b").post_json(&url, &()).await.unwrap();
    assert_eq!(unknown.code().unwrap(), "no_such_stream");
}

/// A caller gives up, and its router cancels the stream. The engine must stop and free the slot.
#[tokio::test]
async fn cancelled_stream_ends_without_end_marker() {
    let engine = loaded(quick()).await;
    let mut events = engine.chat("a", true, 100_000).await;
    events.next().await.unwrap().unwrap();
    let delete = || async {
        let url = engine.url("/v1/streams/a");
        client::Client::new().delete(&url).await.unwrap().text()
    };
    assert_eq!(delete().await, "{\"cancelled\":true}");
    assert_eq!(delete().await, "{\"cancelled\":false}");
    let (events, broken) = read_to_end(events).await;
    assert!(broken && events.last().is_none_or(|event| event != client::DONE));
    let counts = engine.wait_for_counts(|counts| counts.running == 0).await;
    assert_eq!(counts.cancelled, 1);
}

/// The process of an engine is replaced while it sends an answer. Its connections break, and no
/// item is loaded until the next load order.
#[tokio::test]
async fn restart_breaks_streams_and_unloads_all_items() {
    let engine = loaded(quick()).await;
    let mut events = engine.chat("a", true, 100_000).await;
    events.next().await.unwrap().unwrap();
    engine.set(fault::Change::new().with_restart()).await;
    assert!(read_to_end(events).await.1);
    let refused = engine.chat("b", true, 1).await.collect().await.unwrap();
    assert_eq!(refused.code().unwrap(), "model_not_loaded");
}

macro_rules! refusal {
    ($($name:ident: $change:expr, $status:literal, $code:literal;)*) => {$(
        /// The engine refuses a request before it runs, so that a router may send it to another
        /// engine.
        #[tokio::test]
        async fn $name() {
            let engine = loaded(quick()).await;
            engine.set($change).await;
            let refused = engine.chat("a", true, 1).await.collect().await.unwrap();
            assert_eq!(refused.status, $status);
            assert_eq!(refused.code().unwrap(), $code);
            assert!(engine.counts().await.runs.is_empty());
        }
    )*};
}

refusal! {
    leaving_engine_refuses: fault::Change::new().with_leaving(true), 503, "draining";
    engine_in_outage_refuses: fault::Change::new().with_outage(true), 503, "outage";
    engine_without_the_model_refuses: fault::Change::new().with_restart(), 409, "model_not_loaded";
}

/// A burst exceeds the slots and the queue of an engine. The engine must refuse the excess requests
/// at once.
#[tokio::test]
async fn requests_beyond_slots_and_queue_are_refused() {
    let engine = loaded(engine::Options {
        slots: 1,
        queue: 1,
        ..quick()
    })
    .await;
    let running = engine.chat("a", true, 100_000).await;
    let waiting = engine.chat("b", true, 1).await;
    let refused = engine.chat("c", true, 1).await.collect().await.unwrap();
    assert_eq!(
        (refused.status.as_u16(), refused.code().unwrap()),
        (429, "overloaded".into())
    );
    let report = client::Client::new().get(&engine.url("/v1/load")).await;
    let report: engine::Report = report.unwrap().json().unwrap();
    assert_eq!((report.running, report.waiting), (1, 1));
    let url = engine.url("/v1/streams/a");
    client::Client::new().delete(&url).await.unwrap();
    drop(running);
    assert_eq!(read_to_end(waiting).await.0.last().unwrap(), client::DONE);
    assert_eq!(engine.counts().await.max_running, 1);
}

/// The load report describes an earlier state. A router that takes it for the current state
/// overloads one engine.
#[tokio::test]
async fn load_report_lags() {
    let engine = loaded(quick()).await;
    let lag = fault::Change::new().with_report_lag_ms(600_000);
    engine.set(lag).await;
    let report = client::Client::new().get(&engine.url("/v1/load")).await;
    let report: engine::Report = report.unwrap().json().unwrap();
    assert_eq!(report.loaded.len(), 0);
}

/// Either the answer of a request that ran is delayed, or the request itself. The caller waits in
/// both cases, and only the engine's counts show whether the request ran.
#[tokio::test]
async fn late_answer_has_run_and_slow_request_has_not() {
    let engine = loaded(quick()).await;
    engine
        .set(fault::Change::new().with_late_ms(3_600_000))
        .await;
    tokio::select! {
        answer = engine.chat("a", false, 1) => panic!("answered before the delay ended: {answer:?}"),
        _ = engine.wait_for_counts(|counts| counts.runs.contains_key("a")) => {}
    }
    engine
        .set(fault::Change::new().with_slow_ms(3_600_000))
        .await;
    let wait = tokio::time::Duration::from_millis(50);
    let slow = tokio::time::timeout(wait, engine.chat("b", false, 1)).await;
    slow.unwrap_err();
    assert!(!engine.counts().await.runs.contains_key("b"));
}
