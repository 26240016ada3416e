//! Bad input at the callers' door: the caller gets an answer that names the fault, and the daemon still serves.

mod rig;

use std::time::Duration;

use fireflywheel_standin::{client, engine, process};
use rig::raw;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

const CHAT: &str = "POST /v1/chat/completions";
const TENANT: &str = "x-tenant: tran-gia";
const DEADLINE: &str = "x-deadline-ms: 20000";

/// Limits that are small enough to be exceeded in a test.
const LIMITS: &str = "[limits]\nheader_bytes = 2048\nbody_bytes = 4096\nidle_ms = 300\n";

/// A daemon that is ready, with its stand-ins.
struct Door {
    rig: rig::Rig,
    daemon: process::Child,
}

impl Door {
    async fn open(settings: &str) -> Self {
        let rig = rig::Rig::start().await;
        let daemon = rig.daemon("a1", settings).await;
        rig.publish().await;
        rig.ready(&daemon).await;
        Self { rig, daemon }
    }

    async fn send(&self, bytes: &[u8]) -> raw::Reply {
        raw::send(self.daemon.address("caller"), bytes).await
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.daemon.address("caller"))
            .await
            .expect("the daemon listens")
    }

    /// Returns the engine's counts.
    async fn engine_counts(&self) -> engine::Counts {
        let base = self.rig.engine.base("listening");
        self.rig
            .client
            .counts(&base)
            .await
            .expect("the engine answers with its counts")
    }

    /// Checks that the daemon still serves, and that the engine ran only the request of this check.
    async fn assert_still_serves(&self) {
        let answer = self.rig.ask(&self.daemon).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(self.engine_counts().await.runs.len(), 1);
    }
}

fn assert_refused(reply: &raw::Reply, status: u16, code: &str) {
    assert_eq!(reply.status, status, "{reply:?}");
    assert_eq!(reply.error("code"), code, "{reply:?}");
    assert_eq!(reply.error("verdict"), "not-run");
    assert_eq!(reply.header("x-verdict"), Some("not-run"));
    assert!(reply.header("x-request-id").is_some());
}

/// Generates a test for each complete but invalid request: what is sent, the status, the code.
macro_rules! refusal_tests {
    ($($name:ident: $line:expr, $headers:expr, $body:expr => $status:literal $code:literal;)*) => {$(
        /// A caller sends a request that can't be served. The answer names the fault and states that nothing
        /// ran, and other callers are not affected.
        #[tokio::test]
        async fn $name() {
            let door = Door::open(LIMITS).await;
            let reply = door.send(&raw::request($line, &$headers, $body)).await;
            assert_refused(&reply, $status, $code);
            door.assert_still_serves().await;
        }
    )*};
}

refusal_tests! {
    body_is_not_json: CHAT, [TENANT, DEADLINE], "{\"model\":" => 400 "bad_body";
    body_is_empty: CHAT, [TENANT, DEADLINE], "" => 400 "bad_body";
    body_is_a_list: CHAT, [TENANT, DEADLINE], "[]" => 400 "bad_body";
    messages_are_empty: CHAT, [TENANT, DEADLINE], r#"{"model":"quote-small","messages":[]}"# => 400 "bad_body";
    messages_are_missing: CHAT, [TENANT, DEADLINE], r#"{"model":"quote-small"}"# => 400 "bad_body";
    model_is_missing: CHAT, [TENANT, DEADLINE], r#"{"messages":[{"role":"user","content":"a"}]}"# => 400 "bad_body";
    adapter_is_empty: CHAT, [TENANT, DEADLINE], &rig::chat("quote-small:") => 400 "bad_body";
    model_is_unknown: CHAT, [TENANT, DEADLINE], &rig::chat("quote-large") => 404 "unknown_target";
    adapter_is_unknown: CHAT, [TENANT, DEADLINE], &rig::chat("quote-small:none") => 404 "unknown_target";
    path_is_unknown: "GET /tickets", [TENANT, DEADLINE], "" => 404 "unknown_target";
    path_has_dots: "GET /bookings/../deposits", [TENANT, DEADLINE], "" => 400 "bad_path";
    path_has_encoded_dots: "GET /bookings/%2E%2e/deposits", [TENANT, DEADLINE], "" => 400 "bad_path";
    deadline_is_missing: CHAT, [TENANT], &rig::chat("quote-small") => 400 "missing_deadline";
    deadline_is_zero: CHAT, [TENANT, "x-deadline-ms: 0"], &rig::chat("quote-small") => 400 "bad_deadline";
    deadline_is_negative: CHAT, [TENANT, "x-deadline-ms: -5"], &rig::chat("quote-small") => 400 "bad_deadline";
    deadline_is_signed: CHAT, [TENANT, "x-deadline-ms: +5"], &rig::chat("quote-small") => 400 "bad_deadline";
    deadline_is_fractional: CHAT, [TENANT, "x-deadline-ms: 1.5"], &rig::chat("quote-small") => 400 "bad_deadline";
    deadline_is_not_a_number: CHAT, [TENANT, "x-deadline-ms: soon"], &rig::chat("quote-small") => 400 "bad_deadline";
    deadline_is_too_long: CHAT, [TENANT, "x-deadline-ms: 600001"], &rig::chat("quote-small") => 400 "bad_deadline";
    deadline_is_huge: CHAT, [TENANT, "x-deadline-ms: 99999999999999999999999"], &rig::chat("quote-small") => 400 "bad_deadline";
    tenant_is_missing: CHAT, [DEADLINE], &rig::chat("quote-small") => 401 "missing_tenant";
    tenant_is_empty: CHAT, ["x-tenant: ", DEADLINE], &rig::chat("quote-small") => 400 "bad_header";
    tenant_is_unknown: CHAT, ["x-tenant: nobody", DEADLINE], &rig::chat("quote-small") => 403 "unknown_tenant";
    tenant_is_not_ascii: CHAT, ["x-tenant: trần-gia", DEADLINE], &rig::chat("quote-small") => 400 "bad_header";
    tenant_header_is_duplicated: CHAT, [TENANT, TENANT, DEADLINE], &rig::chat("quote-small") => 400 "bad_header";
    class_is_unknown: CHAT, [TENANT, DEADLINE, "x-class: none"], &rig::chat("quote-small") => 400 "unknown_class";
    request_id_has_invalid_characters: CHAT, [TENANT, DEADLINE, "x-request-id: ../a"], &rig::chat("quote-small") => 400 "bad_request_id";
    request_id_is_dots: CHAT, [TENANT, DEADLINE, "x-request-id: .."], &rig::chat("quote-small") => 400 "bad_request_id";
    request_id_is_too_long: CHAT, [TENANT, DEADLINE, &format!("x-request-id: {}", "a".repeat(129))], &rig::chat("quote-small") => 400 "bad_request_id";
    key_is_too_long: "POST /bookings", [TENANT, &format!("idempotency-key: {}", "k".repeat(129))], "{}" => 400 "bad_header";
    body_is_too_large: CHAT, [TENANT, DEADLINE], &"x".repeat(5000) => 413 "body_too_large";
}

/// A caller announces a body of many gigabytes. The request is refused by its announced length, before
/// any of the body is stored.
#[tokio::test]
async fn announced_body_is_too_large() {
    let door = Door::open(LIMITS).await;
    let head =
        format!("{CHAT} HTTP/1.1\r\nhost: door\r\n{TENANT}\r\ncontent-length: 99999999999\r\n\r\n");
    assert_refused(&door.send(head.as_bytes()).await, 413, "body_too_large");
    door.assert_still_serves().await;
}

/// A caller sends a body without an announced length and exceeds the limit.
#[tokio::test]
async fn chunked_body_is_too_large() {
    let door = Door::open(LIMITS).await;
    let mut bytes =
        format!("{CHAT} HTTP/1.1\r\nhost: door\r\n{TENANT}\r\ntransfer-encoding: chunked\r\n\r\n")
            .into_bytes();
    for _ in 0..10 {
        bytes.extend_from_slice(format!("400\r\n{}\r\n", "x".repeat(0x400)).as_bytes());
    }
    assert_refused(&door.send(&bytes).await, 413, "body_too_large");
    door.assert_still_serves().await;
}

/// A caller sends a header larger than the limit, perhaps to exhaust the memory. The request is
/// refused before its header is parsed.
#[tokio::test]
async fn header_is_too_large() {
    let door = Door::open(LIMITS).await;
    let long = format!("x-long: {}", "y".repeat(8192));
    let reply = door.send(&raw::request(CHAT, &[TENANT, &long], "")).await;
    assert_refused(&reply, 431, "header_too_large");
    door.assert_still_serves().await;
}

/// The second request of a connection has a header larger than the limit, after a valid first request.
#[tokio::test]
async fn second_header_is_too_large() {
    let door = Door::open(LIMITS).await;
    let mut stream = door.connect().await;
    let first = format!("GET /tickets HTTP/1.1\r\nhost: door\r\n{TENANT}\r\n{DEADLINE}\r\n\r\n");
    stream
        .write_all(first.as_bytes())
        .await
        .expect("the daemon reads");
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("}}") {
        let read = stream.read_buf(&mut seen).await.expect("the daemon writes");
        assert!(
            read > 0,
            "a refusal by the configuration keeps the connection open"
        );
    }
    let long = format!("x-long: {}", "y".repeat(8192));
    stream
        .write_all(&raw::request(CHAT, &[TENANT, &long], ""))
        .await
        .expect("the daemon reads");
    assert_refused(&raw::read(stream).await, 431, "header_too_large");
    door.assert_still_serves().await;
}

/// A caller sends the beginning of its second request together with the first, and the second runs for longer
/// than the time limit of a header. Both are answered: the rest of the body must not be scanned as a header
/// that arrives too slowly.
#[tokio::test]
async fn pipelined_requests_are_both_answered() {
    let door = Door::open("[limits]\nidle_ms = 300\n").await;
    let first = format!("GET /tickets HTTP/1.1\r\nhost: door\r\n{TENANT}\r\n{DEADLINE}\r\n\r\n");
    let second = stream_request("x-request-id: second", 1000);
    let (beginning, rest) = second.split_at(second.len() - 20);
    let mut stream = door.connect().await;
    let together = [first.as_bytes(), beginning].concat();
    stream.write_all(&together).await.expect("the daemon reads");
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("}}") {
        let read = stream.read_buf(&mut seen).await;
        assert!(read.expect("the daemon writes") > 0);
    }
    stream.write_all(rest).await.expect("the daemon reads");
    let reply = raw::read(stream).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(reply.body.contains("data: [DONE]"), "{reply:?}");
}

/// A caller sends a part of a header and then nothing, which would hold the connection.
#[tokio::test]
async fn partial_header_times_out() {
    let door = Door::open(LIMITS).await;
    let mut stream = door.connect().await;
    stream
        .write_all(b"POST /v1/chat/comp")
        .await
        .expect("the daemon reads");
    assert_refused(&raw::read(stream).await, 408, "header_timeout");
    door.assert_still_serves().await;
}

/// A caller connects and sends nothing.
#[tokio::test]
async fn silent_connection_times_out() {
    let door = Door::open(LIMITS).await;
    assert_refused(
        &raw::read(door.connect().await).await,
        408,
        "header_timeout",
    );
    door.assert_still_serves().await;
}

/// A caller sends its header and a part of its body, and then nothing.
#[tokio::test]
async fn partial_body_times_out() {
    let door = Door::open(LIMITS).await;
    let whole = raw::request(CHAT, &[TENANT, DEADLINE], &rig::chat("quote-small"));
    let mut stream = door.connect().await;
    stream
        .write_all(&whole[..whole.len() - 5])
        .await
        .expect("the daemon reads");
    assert_refused(&raw::read(stream).await, 408, "body_timeout");
    door.assert_still_serves().await;
}

/// Bytes that are not HTTP reach the door, as from a port scan.
#[tokio::test]
async fn request_is_not_http() {
    let door = Door::open(LIMITS).await;
    let reply = door
        .send(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n")
        .await;
    assert_eq!(reply.status, 400);
    door.assert_still_serves().await;
}

/// Callers hold every connection that the instance allows. The next caller is refused at once as not
/// run, and is served when a connection is free again.
#[tokio::test]
async fn connection_limit_is_reached() {
    let door = Door::open("[limits]\nconnections = 2\nidle_ms = 20000\n").await;
    let held = [door.connect().await, door.connect().await];
    let reply = raw::read(door.connect().await).await;
    assert_refused(&reply, 503, "too_many_connections");
    assert_eq!(reply.header("retry-after"), Some("1"));
    drop(held);
    let served = async || {
        let bytes = raw::request(CHAT, &[TENANT, DEADLINE], &rig::chat("quote-small"));
        door.send(&bytes).await.status == 200
    };
    door.rig.until(&door.daemon, served).await;
}

/// A second request has the id of a request in progress, as when a caller retries too early. Their answers
/// could not be told apart, so the second is refused with the verdict that the first one may have run.
#[tokio::test]
async fn request_id_is_in_use() {
    let door = Door::open("").await;
    let id = "x-request-id: twice";
    let mut first = door.connect().await;
    first
        .write_all(&stream_request(id, 100_000))
        .await
        .expect("the daemon reads");
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("data: ") {
        assert!(first.read_buf(&mut seen).await.expect("the daemon writes") > 0);
    }
    let second = raw::request(CHAT, &[TENANT, DEADLINE, id], &rig::chat("quote-small"));
    let reply = door.send(&second).await;
    assert_eq!(reply.status, 409, "{reply:?}");
    assert_eq!(reply.error("code"), "request_id_in_use");
    assert_eq!(reply.error("verdict"), "may-have-run");
    drop(first);
}

/// A caller disconnects in the middle of a long stream. Without a cancellation the stream would occupy its
/// slot in the engine's batch until its end.
#[tokio::test]
async fn caller_disconnects_mid_stream() {
    let door = Door::open("").await;
    let mut stream = door.connect().await;
    stream
        .write_all(&stream_request("x-request-id: left", 100_000))
        .await
        .expect("the daemon reads");
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("data: ") {
        assert!(stream.read_buf(&mut seen).await.expect("the daemon writes") > 0);
    }
    drop(stream);
    let cancelled = async || door.engine_counts().await.cancelled == 1;
    door.rig.until(&door.daemon, cancelled).await;
}

/// A caller requests a long stream and keeps the connection without reading. The buffer of the stream is
/// bounded, so the connection is cut off and the engine's stream is cancelled.
#[tokio::test]
async fn caller_never_reads() {
    let door = Door::open("[limits]\nidle_ms = 300\nstream_buffer_bytes = 4096\n").await;
    let stream = door.connect().await;
    let (_reader, mut writer) = stream.into_split();
    // The socket buffers of the system hold some megabytes before a write blocks. Each event repeats this id,
    // which fills them sooner.
    let id = format!("x-request-id: {}", "i".repeat(128));
    writer
        .write_all(&stream_request(&id, 100_000))
        .await
        .expect("the daemon reads");
    let cancelled = async || door.engine_counts().await.cancelled == 1;
    door.rig.until(&door.daemon, cancelled).await;
}

/// A slow caller that keeps reading is not cut off: it receives its whole stream up to the end marker.
#[tokio::test]
async fn slow_caller_gets_whole_stream() {
    let door = Door::open("[limits]\nidle_ms = 2000\nstream_buffer_bytes = 1024\n").await;
    let client = client::Client::new()
        .with_header("x-tenant", "tran-gia")
        .with_header("x-deadline-ms", "20000");
    let url = format!("{}/v1/chat/completions", door.daemon.base("caller"));
    let body = rig::stream("quote-small", 50).into();
    let mut events = client
        .open(hyper::Method::POST, &url, body)
        .await
        .expect("an answer");
    let mut count = 0;
    let mut last = String::new();
    while let Some(event) = events.next().await.expect("the stream goes on") {
        tokio::time::sleep(Duration::from_millis(5)).await;
        count += 1;
        last = event;
    }
    assert_eq!(last, client::DONE);
    // The chunk that echoes the request, the tokens, the chunk with the finish reason, and the end marker.
    assert_eq!(count, 1 + 50 + 1 + 1);
}

fn stream_request(id: &str, tokens: usize) -> Vec<u8> {
    raw::request(
        CHAT,
        &[TENANT, DEADLINE, id],
        &rig::stream("quote-small", tokens),
    )
}
