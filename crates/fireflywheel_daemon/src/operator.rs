//! The HTTP service for operators: metrics, health, status and drain.

use std::sync::Arc;

use fireflywheel::status;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::{core, door, errors};

const TEXT_TYPE: &str = "text/plain; charset=utf-8";
const JSON_TYPE: &str = "application/json";
/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// The HTTP service for operators.
#[derive(Debug)]
pub struct Operator {
    core: Arc<core::Core>,
}

#[derive(Serialize)]
struct Draining {
    draining: bool,
}

impl Operator {
    /// Creates a service that reports on the node in `core`.
    #[must_use]
    pub fn new(core: Arc<core::Core>) -> Self {
        Self { core }
    }

    fn metrics(&self) -> Response<door::Body> {
        let (status, in_progress) = self.core.status();
        match self.core.metrics().encode(&status, in_progress) {
            Ok(text) => answer(StatusCode::OK, METRICS_TYPE, text),
            Err(error) => errors::Problem::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                "internal",
                format!("the metrics have no text form: {error}"),
            )
            .answer(),
        }
    }

    fn ready(&self) -> Response<door::Body> {
        match self.core.check_ready() {
            Ok(()) => answer(StatusCode::OK, TEXT_TYPE, "ready\n"),
            Err(reason) => answer(
                StatusCode::SERVICE_UNAVAILABLE,
                TEXT_TYPE,
                format!("not ready: {reason}\n"),
            ),
        }
    }

    fn status(&self) -> Response<door::Body> {
        let (status, _) = self.core.status();
        json::<status::Status>(StatusCode::OK, &status)
    }

    fn drain(&self) -> Response<door::Body> {
        self.core.stop();
        json(StatusCode::ACCEPTED, &Draining { draining: true })
    }
}

fn answer(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<bytes::Bytes>,
) -> Response<door::Body> {
    let mut answer = Response::new(door::Body::full(body));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

fn json<T>(status: StatusCode, value: &T) -> Response<door::Body>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).expect("plain structs always have a JSON form");
    answer(status, JSON_TYPE, body)
}

fn wrong_method(allowed: &'static str) -> Response<door::Body> {
    let mut answer = errors::Problem::new(
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
        format!("this path takes {allowed}"),
    )
    .answer();
    answer
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    answer
}

impl door::Service for Operator {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<door::Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/healthz") => answer(StatusCode::OK, TEXT_TYPE, "alive\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/v1/status") => self.status(),
            (&Method::POST, "/v1/drain") => self.drain(),
            (_, "/metrics" | "/healthz" | "/readyz" | "/v1/status") => wrong_method("GET"),
            (_, "/v1/drain") => wrong_method("POST"),
            _ => errors::Problem::new(
                StatusCode::NOT_FOUND,
                "not_found",
                "operators find /metrics, /healthz, /readyz, /v1/status and /v1/drain here",
            )
            .answer(),
        }
    }
}
