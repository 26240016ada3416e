//! Stand-in of a plain service: it answers any method and path, and counts its runs.

use std::{collections, sync};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::net;

use crate::{fault, http};

/// The id in an answer that was crossed on purpose.
pub const CROSSED_ID: &str = "crossed-answer";

/// How a service starts.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// How long a run takes, in milliseconds.
    pub run_ms: u64,
}

/// The answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// The request id of the call.
    pub id: SmolStr,
    /// The method of the call.
    pub method: SmolStr,
    /// The path of the call.
    pub path: SmolStr,
    /// The body of the call, as text.
    pub body: String,
    /// How many runs there were, with this one.
    pub run: u64,
}

/// What `GET /v1/counts` answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Runs by request id.
    pub runs: collections::BTreeMap<SmolStr, u64>,
    /// Runs by the text of the body.
    pub bodies: collections::BTreeMap<String, u64>,
    /// All runs.
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
/// When the listener fails for good.
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
        fault::pause(self.options.run_ms).await;
        if self
            .injector
            .try_consume(|switches| &mut switches.cross_answers)
        {
            outcome.id = CROSSED_ID.into();
        }
        let mut answer = http::json(StatusCode::OK, &outcome);
        http::set_request_id(&mut answer, &outcome.id);
        if self
            .injector
            .try_consume(|switches| &mut switches.cut_answers)
        {
            http::shorten(&mut answer);
        }
        Ok(answer)
    }
}
