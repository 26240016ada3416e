//! Stand-ins for the [`store`], the [`worker`]s and their [`host`]s of the users' platform, which implement the platform's protocol.
//!
//! They are small fakes with fault switches that run in the test process. Each is a cloneable handle: a test serves
//! requests with one clone, and uses another to inspect the state and to inject faults.

pub mod configuration;
pub mod host;
pub mod line;
pub mod store;
pub mod worker;

use crate::http;
use hyper::{Response, StatusCode, header};

/// Returns an answer with a status and an empty body.
fn empty_answer(status: StatusCode) -> http::Answer {
    let mut answer = Response::new(http::Body::Full(bytes::Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Sets a header of an answer. A value that is invalid in a header is ignored.
fn set_header(answer: &mut http::Answer, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}
