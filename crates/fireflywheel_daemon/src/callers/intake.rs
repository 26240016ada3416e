//! The body of a caller's request, read under limits, and the request as it goes on from here.

use bytes::{Bytes, BytesMut};
use fireflywheel::{request, settings};
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use smol_str::SmolStr;
use tokio::time;
use xxhash_rust::xxh3;

use super::chat;
use crate::{backend, errors};

/// A body must be whole after so many times the longest pause: one byte a pause would hold a place for ever.
const PAUSES: u32 = 8;
/// A header that only this system sends to engines.
const RESUME_FROM: &str = "x-resume-from";

/// Reads the whole body.
///
/// # Errors
///
/// The [`errors::Problem`] to answer with when it is too large, too slow or broken.
pub(crate) async fn read(
    mut body: Incoming,
    limits: &settings::Limits,
) -> Result<Bytes, errors::Problem> {
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(too_large(limits));
    }
    let whole = async {
        let mut bytes = BytesMut::new();
        while let Some(frame) = time::timeout(limits.idle, body.frame())
            .await
            .map_err(|_| too_slow())?
        {
            let frame = frame.map_err(|_| broken())?;
            if let Ok(part) = frame.into_data() {
                if bytes.len() + part.len() > limits.body_bytes {
                    return Err(too_large(limits));
                }
                bytes.extend_from_slice(&part);
            }
        }
        Ok(bytes.freeze())
    };
    time::timeout(limits.idle * PAUSES, whole)
        .await
        .unwrap_or_else(|_| Err(too_slow()))
}

/// A hash of method, path with query and body: what a second request under one key must equal. It is the
/// same on every instance.
pub(super) fn fingerprint(method: &Method, uri: &Uri, body: &[u8]) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(b" ");
    hash.update(path_and_query(uri).as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest()
}

/// What routing needs of a request to a plain service.
pub(super) fn to_service(parts: &Parts) -> chat::Chat {
    chat::Chat {
        target: request::Target::Path {
            method: parts.method.as_str().into(),
            path: parts.uri.path().into(),
        },
        stream: false,
        prefix: None,
    }
}

/// The request as it goes to a backend server.
pub(super) fn outgoing(
    id: SmolStr,
    parts: Parts,
    body: Bytes,
    is_chat: bool,
) -> backend::OutgoingRequest {
    let mut headers = backend::passed_on(&parts.headers);
    headers.remove(RESUME_FROM);
    if is_chat {
        headers = content_type(&headers);
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

fn content_type(headers: &HeaderMap) -> HeaderMap {
    let mut only = HeaderMap::new();
    if let Some(value) = headers.get(CONTENT_TYPE) {
        only.insert(CONTENT_TYPE, value.clone());
    }
    only
}

fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query()
        .map_or(uri.path(), |whole| whole.as_str())
}

fn too_large(limits: &settings::Limits) -> errors::Problem {
    errors::Problem::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("a body takes at most {} bytes", limits.body_bytes),
    )
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
