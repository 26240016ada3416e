//! Stand-in for a plain service. It answers requests with any method and path, and counts its runs.

use std::{collections, sync};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;

use crate::{fault, http};

/// The request id in an answer that the switch `cross_answers` modified.
pub const WRONG_REQUEST_ID: &str = "crossed-answer";

/// Settings of a plain service.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Duration of a run in milliseconds.
    pub run_ms: u64,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// Request id of the call.
    pub id: SmolStr,
    /// Method of the call.
    pub method: SmolStr,
    /// Path of the call.
    pub path: SmolStr,
    /// Body of the call as text.
    pub body: String,
    /// Total number of runs of the service, including this one.
    pub run: u64,
}

/// The answer to `GET /v1/counts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Number of runs by request id.
    pub runs: collections::BTreeMap<SmolStr, u64>,
    /// Number of runs by the text of the body.
    pub bodies: collections::BTreeMap<String, u64>,
    /// Total number of runs.
    pub total: u64,
}

#[derive(Debug)]
struct Service {
    injector: fault::Injector,
    options: Options,
    counts: sync::Mutex<Counts>,
}

/// Serves a plain service until the future is dropped.
///
/// # Errors
/// If the listener fails.
pub async fn serve(listener: net::TcpListener, options: Options) -> anyhow::Result<()> {
    let service = Service {
        injector: fault::Injector::new(fault::Switches::default()),
        options,
        counts: sync::Mutex::default(),
    };
    http::serve(listener, service).await
}

impl Service {
    fn lock(&self) -> sync::MutexGuard<'_, Counts> {
        self.counts.lock().expect("no panic under the lock")
    }

    fn run(&self, request: &http::Request) -> Outcome {
        let id = request.header(http::REQUEST_ID).unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut counts = self.lock();
        counts.total += 1;
        *counts.runs.entry(id.into()).or_default() += 1;
        *counts.bodies.entry(body.clone()).or_default() += 1;
        Outcome {
            id: id.into(),
            method: request.method.as_str().into(),
            path: request.path.clone(),
            body,
            run: counts.total,
        }
    }
}

impl http::Handler for Service {
    type Counts = Counts;

    fn injector(&self) -> &fault::Injector {
        &self.injector
    }

    fn counts(&self) -> Counts {
        self.lock().clone()
    }

    async fn call(
        self: sync::Arc<Self>,
        request: http::Request,
    ) -> Result<http::Answer, http::Lost> {
        if self.injector.switches().leaving {
            let answer = http::failure(
                StatusCode::SERVICE_UNAVAILABLE,
                "draining",
                "the service is leaving",
            );
            return Ok(answer);
        }
        let mut outcome = self.run(&request);
        fault::sleep_ms(self.options.run_ms).await;
        if self
            .injector
            .try_consume(|switches| &mut switches.cross_answers)
        {
            outcome.id = WRONG_REQUEST_ID.into();
        }
        let mut answer = http::json(StatusCode::OK, &outcome);
        http::set_request_id(&mut answer, &outcome.id);
        if self
            .injector
            .try_consume(|switches| &mut switches.cut_answers)
        {
            http::truncate(&mut answer);
        }
        Ok(answer)
    }
}
