//! Tests of how the end of a received body is understood.

use std::time::Duration;

use fireflywheel::ending::{Break, Ending};
use fireflywheel_daemon::{client, received};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const MAX_BYTES: usize = 100;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one answer, ends its connection in order, and returns the URL.
async fn serve(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        // The request is small and arrives at once.
        let mut request = [0; 1024];
        let _ = socket.read(&mut request).await;
        socket
            .write_all(answer.as_bytes())
            .await
            .expect("the client reads");
    });
    format!("http://{address}/")
}

async fn assert_ending(answer: &'static str, expected: Ending) {
    let url = serve(answer).await;
    let request = client::request_without_body(hyper::Method::GET, &url).expect("a valid URL");
    let response = client::Client::new().send(request).await;
    let (_, body) = received::Body::split(response.expect("the server answers"));
    let (_, ending) = body.collect(MAX_BYTES).await;
    assert_eq!(ending, expected);

    let url = serve(answer).await;
    let request = client::request_without_body(hyper::Method::GET, &url).expect("a valid URL");
    let called = client::Client::new()
        .call(request, MAX_BYTES, TIMEOUT)
        .await;
    assert_eq!(called.is_ok(), expected == Ending::Complete);
}

macro_rules! endings {
    ($($(#[$doc:meta])* $name:ident: $answer:expr => $expected:expr;)+) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                assert_ending($answer, $expected).await;
            }
        )+
    };
}

endings! {
    /// Guards against an answer with a length that counts as truncated.
    length: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]" => Ending::Complete;
    /// Guards against the same without a body.
    no_bytes: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" => Ending::Complete;
    /// Guards against the same for a status that has no body.
    no_body: "HTTP/1.1 204 No Content\r\n\r\n" => Ending::Complete;
    /// Guards against an answer in chunks that counts as truncated.
    chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\n\r\n" => Ending::Complete;
    /// Guards against a list that lacks its end and is taken for all that there is.
    neither: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n[]" => Ending::Unstated;
    /// Guards against the same where a coding other than chunks is named.
    other_coding: "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\nconnection: close\r\n\r\n[]" => Ending::Unstated;
    /// Guards against the same for an earlier version of HTTP.
    http_1_0: "HTTP/1.0 200 OK\r\n\r\n[]" => Ending::Unstated;
    /// Guards against an answer that is taken for complete before its length.
    short: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n[]" => Ending::BrokenOff(Break::Connection);
    /// Guards against the same without the last chunk.
    no_last_chunk: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n[]\r\n" => Ending::BrokenOff(Break::Connection);
}
