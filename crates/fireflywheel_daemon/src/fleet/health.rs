//! The endpoint for readiness probes and metrics.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::node;
use super::platform;
use crate::door;

/// The path from which Prometheus scrapes the metrics.
const METRICS_PATH: &str = "/metrics";
/// The content type of Prometheus' text format.
const METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Answers readiness probes and scrapes of metrics.
#[derive(Debug)]
pub struct Endpoint<P> {
    node: Arc<node::Node<P>>,
}

impl<P> Endpoint<P> {
    /// Creates an endpoint that reports the state of `node`.
    #[must_use]
    pub fn new(node: Arc<node::Node<P>>) -> Self {
        Self { node }
    }
}

impl<P> door::Service for Endpoint<P>
where
    P: platform::Platform,
{
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<door::Body> {
        let path = request.uri().path();
        if path == METRICS_PATH {
            return metrics_response(&self.node);
        }
        let mut response = Response::new(door::Body::full(""));
        *response.status_mut() = if path != self.node.platform.ready_path() {
            StatusCode::NOT_FOUND
        } else if self.node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        response
    }
}

fn metrics_response<P>(node: &node::Node<P>) -> Response<door::Body>
where
    P: platform::Platform,
{
    node.metrics.set_config_age(node.config_status().age);
    node.metrics
        .set_era(node.platform.era().unwrap_or_default());
    node.update_speed_metrics();
    node.metrics.set_waiting(node.waiting_by_priority());
    match node.metrics.encode() {
        Ok(text) => {
            let mut response = Response::new(door::Body::full(text));
            response
                .headers_mut()
                .insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
            response
        }
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "failed to encode metrics");
            let mut response = Response::new(door::Body::full(""));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
