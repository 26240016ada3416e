//! Reads the body of a caller's request under size and time limits, and builds the request that is sent to a
//! backend server.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fireflywheel::{request, settings, verdict};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use smol_str::SmolStr;
use tokio::time;
use xxhash_rust::xxh3;

use super::chat;
use crate::{backend, door, errors};

/// The time limit for a whole body, as a multiple of the idle timeout. Without it, a sender of one byte per
/// idle timeout would hold a connection for ever.
const MAX_BODY_TIME_RATIO: u32 = 8;
/// The retry delay for a request that this instance has no memory for. Most bodies are read and forwarded within this time,
/// and other instances may have room.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The header that asks an engine to resume a stream. Only this system may send it.
const RESUME_FROM_HEADER: &str = "x-resume-from";

/// Reads the whole body.
///
/// # Errors
///
/// Returns the [`errors::Problem`] to answer with when the body is too large, too slow or truncated.
pub(crate) async fn read(
    body: Incoming,
    limits: &settings::Limits,
) -> Result<Bytes, errors::Problem> {
    read_with(body, limits, |_| true).await
}

/// Reads the whole body, whose bytes count in `hold`. A body of stated length is refused before any of it is read if
/// there is no room for it.
///
/// # Errors
///
/// The same, and a refusal for want of memory.
pub(crate) async fn read_held(
    body: Incoming,
    limits: &settings::Limits,
    hold: &door::Hold,
) -> Result<Bytes, errors::Problem> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated <= limits.body_bytes && !hold.try_add(stated) {
        return Err(no_memory());
    }
    read_with(body, limits, |bytes| stated > 0 || hold.try_add(bytes)).await
}

async fn read_with<F>(
    mut body: Incoming,
    limits: &settings::Limits,
    reserve: F,
) -> Result<Bytes, errors::Problem>
where
    F: Fn(usize) -> bool,
{
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(too_large(limits));
    }
    let whole = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = time::timeout(limits.idle_timeout, body.frame())
            .await
            .map_err(|_| too_slow())?
        {
            let frame = frame.map_err(|_| broken())?;
            if let Ok(part) = frame.into_data() {
                if bytes.len() + part.len() > limits.body_bytes {
                    return Err(too_large(limits));
                }
                if !reserve(part.len()) {
                    return Err(no_memory());
                }
                bytes.extend_from_slice(&part);
            }
        }
        Ok(bytes.freeze())
    };
    time::timeout(limits.idle_timeout * MAX_BODY_TIME_RATIO, whole)
        .await
        .unwrap_or_else(|_| Err(too_slow()))
}

/// Returns a hash of the method, the path with its query and the body. A second request with the same
/// idempotency key must have the same hash. The hash is the same on every instance.
pub(super) fn fingerprint(method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(b" ");
    hash.update(path_and_query(uri).as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest()
}

/// Returns the routing properties of a request to a plain service.
pub(super) fn service_request(parts: &Parts) -> chat::Chat {
    chat::Chat {
        target: request::Target::Path {
            method: parts.method.as_str().into(),
            path: parts.uri.path().into(),
        },
        stream: false,
        prefix: None,
    }
}

/// Builds the request that is sent to a backend server.
pub(super) fn outgoing_request(
    id: SmolStr,
    parts: Parts,
    body: Bytes,
    is_chat: bool,
) -> backend::OutgoingRequest {
    let mut headers = backend::end_to_end_headers(&parts.headers);
    headers.remove(RESUME_FROM_HEADER);
    if is_chat {
        headers = only_content_type(&headers);
    }
    let kind = if is_chat {
        backend::Kind::Engine
    } else {
        backend::Kind::Service
    };
    backend::OutgoingRequest {
        id,
        path: path_and_query(&parts.uri).to_owned(),
        method: parts.method,
        headers,
        body,
        kind,
    }
}

fn only_content_type(headers: &HeaderMap) -> HeaderMap {
    let mut only = HeaderMap::new();
    if let Some(value) = headers.get(CONTENT_TYPE) {
        only.insert(CONTENT_TYPE, value.clone());
    }
    only
}

fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query()
        .map_or(uri.path(), |path| path.as_str())
}

fn too_large(limits: &settings::Limits) -> errors::Problem {
    errors::Problem::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("a body takes at most {} bytes", limits.body_bytes),
    )
}

fn no_memory() -> errors::Problem {
    errors::Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_memory",
        "this instance holds as many bytes of requests as it may",
    )
    .with_verdict(verdict::Verdict::NotRun)
    .with_retry_after(NO_MEMORY_RETRY_DELAY)
    .with_close()
}

fn too_slow() -> errors::Problem {
    errors::Problem::new(
        StatusCode::REQUEST_TIMEOUT,
        "body_timeout",
        "the request's body did not come in time",
    )
}

fn broken() -> errors::Problem {
    errors::Problem::bad_request("bad_body", "the body broke off")
}
