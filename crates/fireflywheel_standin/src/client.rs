//! An HTTP client for tests and the load command, with typed access to the faults and counts of
//! stand-ins.

use std::collections;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, body, header};
use hyper_util::client::legacy;
use hyper_util::rt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::fault;

type Inner = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// The data of the event that marks the end of a stream.
pub const DONE: &str = "[DONE]";

/// An HTTP client with a connection pool. It never retries a request.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Inner,
    headers: HeaderMap,
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// An answer whose body is read as server-sent events.
#[derive(Debug)]
pub struct Events {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: body::Incoming,
    /// Received bytes that do not form a complete line yet.
    buffer: Vec<u8>,
    /// Data of events that were received but not returned yet.
    pending: collections::VecDeque<String>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client that adds no headers.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            inner,
            headers: HeaderMap::new(),
        }
    }

    /// Adds a header to every request of this client. Clones of a client share its connections.
    ///
    /// # Panics
    /// If the name or the value is invalid in a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name: header::HeaderName = name.parse().expect("valid header name");
        let value = value.parse().expect("valid header value");
        self.headers.insert(name, value);
        self
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// If no complete answer was received.
    pub async fn get(&self, url: &str) -> anyhow::Result<Answer> {
        self.call(Method::GET, url, Bytes::new()).await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    /// If no complete answer was received.
    pub async fn post<B>(&self, url: &str, body: B) -> anyhow::Result<Answer>
    where
        B: Into<Bytes>,
    {
        self.call(Method::POST, url, body.into()).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    /// If no complete answer was received.
    pub async fn post_json<T>(&self, url: &str, value: &T) -> anyhow::Result<Answer>
    where
        T: Serialize + Sync,
    {
        self.post(url, serde_json::to_vec(value)?).await
    }

    /// Sends a PUT request.
    ///
    /// # Errors
    /// If no complete answer was received.
    pub async fn put<B>(&self, url: &str, body: B) -> anyhow::Result<Answer>
    where
        B: Into<Bytes>,
    {
        self.call(Method::PUT, url, body.into()).await
    }

    /// Sends a DELETE request.
    ///
    /// # Errors
    /// If no complete answer was received.
    pub async fn delete(&self, url: &str) -> anyhow::Result<Answer> {
        self.call(Method::DELETE, url, Bytes::new()).await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// If no complete answer was received.
    pub async fn call(&self, method: Method, url: &str, body: Bytes) -> anyhow::Result<Answer> {
        self.open(method, url, body).await?.collect().await
    }

    /// Sends a request and returns the answer with its body to be read as events.
    ///
    /// # Errors
    /// If no answer was received.
    pub async fn open(&self, method: Method, url: &str, body: Bytes) -> anyhow::Result<Events> {
        let uri: Uri = url.parse().context("invalid request URL")?;
        let mut request = Request::new(http_body_util::Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        request
            .headers_mut()
            .entry(header::CONTENT_TYPE)
            .or_insert(header::HeaderValue::from_static("application/json"));
        let (head, body) = self.inner.request(request).await?.into_parts();
        Ok(Events {
            status: head.status,
            headers: head.headers,
            body,
            buffer: Vec::new(),
            pending: collections::VecDeque::new(),
        })
    }

    /// Sends a POST request with a JSON body and returns the answer with its body to be read as
    /// events.
    ///
    /// # Errors
    /// If no answer was received.
    pub async fn open_json<T>(&self, url: &str, value: &T) -> anyhow::Result<Events>
    where
        T: Serialize + Sync,
    {
        self.open(Method::POST, url, serde_json::to_vec(value)?.into())
            .await
    }

    /// Changes the fault switches of the stand-in at `base`, such as `http://127.0.0.1:9001`.
    ///
    /// # Errors
    /// If the stand-in cannot be reached or refuses the change.
    pub async fn set_faults(&self, base: &str, change: &fault::Change) -> anyhow::Result<()> {
        let answer = self.post_json(&format!("{base}/v1/faults"), change).await?;
        anyhow::ensure!(
            answer.status.is_success(),
            "failed to set faults: {}",
            answer.text()
        );
        Ok(())
    }

    /// Reads the fault switches of the stand-in at `base`. Counted switches contain their remaining
    /// counts.
    ///
    /// # Errors
    /// If the stand-in cannot be reached.
    pub async fn faults(&self, base: &str) -> anyhow::Result<fault::Switches> {
        self.get(&format!("{base}/v1/faults")).await?.json()
    }

    /// Reads the counts of the stand-in at `base`, such as [`crate::engine::Counts`].
    ///
    /// # Errors
    /// If the stand-in cannot be reached or its counts are of another type.
    pub async fn counts<T>(&self, base: &str) -> anyhow::Result<T>
    where
        T: DeserializeOwned,
    {
        self.get(&format!("{base}/v1/counts")).await?.json()
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the code of an error in the format that the daemon and all stand-ins share.
pub(crate) fn code_of(body: &[u8]) -> Option<SmolStr> {
    #[derive(serde::Deserialize)]
    struct ErrorEnvelope {
        error: ErrorDetails,
    }
    #[derive(serde::Deserialize)]
    struct ErrorDetails {
        code: SmolStr,
    }
    let envelope: ErrorEnvelope = serde_json::from_slice(body).ok()?;
    Some(envelope.error.code)
}

impl Answer {
    /// Returns the value of a header, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON, regardless of the status.
    ///
    /// # Errors
    /// If the body is not JSON of the expected type.
    pub fn json<T>(&self) -> anyhow::Result<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("{}: {}", self.status, self.text()))
    }

    /// Returns the error code in the body, or `None` if the body is not an error.
    #[must_use]
    pub fn code(&self) -> Option<SmolStr> {
        code_of(&self.body)
    }
}

impl Events {
    /// Returns the value of a header, or `None` if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header_text(&self.headers, name)
    }

    /// Returns the data of the next event, or `None` at the end of the body. The end marker
    /// [`DONE`] is returned like other events.
    ///
    /// # Errors
    /// If the connection breaks.
    pub async fn next(&mut self) -> anyhow::Result<Option<String>> {
        loop {
            if let Some(data) = self.pending.pop_front() {
                return Ok(Some(data));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                self.buffer.extend_from_slice(&data);
                self.parse_lines();
            }
        }
    }

    fn parse_lines(&mut self) {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                self.pending.push_back(data.trim_start().to_owned());
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// If the connection breaks before the end.
    pub async fn collect(self) -> anyhow::Result<Answer> {
        let body = self.body.collect().await?.to_bytes();
        Ok(Answer {
            status: self.status,
            headers: self.headers,
            body,
        })
    }
}
