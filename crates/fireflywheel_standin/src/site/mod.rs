//! Stand-ins of the users' platform: its [`store`] and its [`worker`]s, which speak the platform's protocol.
//!
//! They are small fakes with switches, for tests in one process. Each is a handle that can be cloned: the test
//! keeps one to look at and change what happens, and serves with another.

pub mod configuration;
pub mod line;
pub mod store;
pub mod worker;

use crate::http;
use hyper::{Response, StatusCode, header};

/// An answer with nothing but a status.
fn bare(status: StatusCode) -> http::Answer {
    let mut answer = Response::new(http::Body::Full(bytes::Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Sets a header of an answer; a value that can't stand in one is left out.
fn set(answer: &mut http::Answer, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}
