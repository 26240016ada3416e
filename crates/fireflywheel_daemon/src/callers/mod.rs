//! Reads the requests of callers, hands them to the node, and answers each in a task of its own.

mod chat;
mod delivery;
mod ending;
mod exchange;
mod head;
pub(crate) mod incoming;

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fireflywheel::{request, settings, verdict};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::{backend, client, core, door, errors, metrics};

/// The path of chat completion requests.
const CHAT_PATH: &str = "/v1/chat/completions";

/// The HTTP service for callers.
#[derive(Debug)]
pub struct Callers {
    core: Arc<core::Core>,
    client: client::Client,
    limits: settings::Limits,
    ids: ActiveIds,
}

/// The ids of the requests that are in progress at this instance.
#[derive(Clone, Debug, Default)]
struct ActiveIds(Arc<Mutex<HashSet<SmolStr>>>);

/// Reserves a request id until it is dropped.
#[derive(Debug)]
struct IdGuard {
    ids: ActiveIds,
    id: SmolStr,
}

/// A request that was read and validated.
#[derive(Debug)]
struct Accepted {
    arrival: request::Arrival,
    outgoing: backend::OutgoingRequest,
    id: IdGuard,
}

impl ActiveIds {
    // Answers are matched to requests by the request id, so two requests with the same id could get each
    // other's answers. The verdict is not "not run", since the id names the first request, which may be
    // running.
    fn reserve(&self, id: &SmolStr) -> Result<IdGuard, errors::Problem> {
        if !self.lock().insert(id.clone()) {
            return Err(errors::Problem::new(
                StatusCode::CONFLICT,
                "request_id_in_use",
                "a request with this x-request-id is in progress",
            )
            .with_verdict(verdict::Verdict::MayHaveRun));
        }
        Ok(IdGuard {
            ids: self.clone(),
            id: id.clone(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<SmolStr>> {
        self.0.lock().expect("no panic under the lock")
    }
}

impl Drop for IdGuard {
    fn drop(&mut self) {
        self.ids.lock().remove(&self.id);
    }
}

impl Callers {
    /// Creates a service whose requests are scheduled by the node in `core`.
    #[must_use]
    pub fn new(core: Arc<core::Core>, client: client::Client, limits: settings::Limits) -> Self {
        Self {
            core,
            client,
            limits,
            ids: ActiveIds::default(),
        }
    }

    async fn accept(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
    ) -> Result<Accepted, errors::Problem> {
        let (parts, body) = request.into_parts();
        let head = head::Head::parse(&parts.headers)?;
        head::check_path(&parts.method, &parts.uri)?;
        let guard = self.ids.reserve(id)?;
        let body = incoming::read(body, &self.limits).await?;
        let fingerprint = incoming::fingerprint(&parts.method, &parts.uri, &body);
        let is_chat = parts.method == Method::POST && parts.uri.path() == CHAT_PATH;
        let chat = if is_chat {
            chat::Chat::parse(&body)?
        } else {
            incoming::service_request(&parts)
        };
        let arrival = request::Arrival {
            id: id.clone(),
            tenant: head.tenant,
            class: head.class,
            target: chat.target,
            deadline: head.deadline,
            key: head.key,
            fingerprint,
            prefix: chat.prefix,
            stream: chat.stream,
        };
        Ok(Accepted {
            arrival,
            outgoing: incoming::outgoing_request(id.clone(), parts, body, is_chat),
            id: guard,
        })
    }

    async fn exchange(&self, accepted: Accepted) -> Response<door::Body> {
        let (drop_signal, gone) = oneshot::channel();
        let (answer, answered) = oneshot::channel();
        let exchange = exchange::Exchange::new(
            Arc::clone(&self.core),
            self.client.clone(),
            accepted.arrival,
            accepted.outgoing,
            self.limits,
        );
        let guard = accepted.id;
        let task = exchange.run(exchange::Caller::new(answer, gone));
        // The exchange runs in a task of its own. This future is dropped when the caller disconnects, but the
        // attempt must still be cancelled and reported.
        tokio::spawn(async move {
            task.await;
            drop(guard);
        });
        match answered.await {
            Ok(answer) => answer.map(|body| body.with_drop_signal(drop_signal)),
            Err(_) => no_answer().answer(),
        }
    }

    /// Adds the headers that every answer has.
    fn add_common_headers(
        &self,
        mut answer: Response<door::Body>,
        id: &SmolStr,
    ) -> Response<door::Body> {
        let headers = answer.headers_mut();
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(errors::REQUEST_ID_HEADER, id);
        }
        // The connection is closed, so that the caller does not send its next request to an instance that is
        // stopping.
        if self.core.is_stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// Returns the answer for a request whose task ended without one, which is a bug in this program.
fn no_answer() -> errors::Problem {
    errors::Problem::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the request ended without an answer",
    )
    .with_verdict(verdict::Verdict::MayHaveRun)
    .with_retry_after(Duration::from_secs(1))
}

impl door::Service for Callers {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<door::Body> {
        let (id, accepted) = match head::request_id(request.headers()) {
            Ok(id) => {
                let accepted = self.accept(&id, request).await;
                (id, accepted)
            }
            Err(problem) => (errors::generate_id(), Err(problem)),
        };
        let answer = match accepted {
            Ok(accepted) => self.exchange(accepted).await,
            Err(problem) => {
                let labels = metrics::Labels::unknown();
                self.core
                    .metrics()
                    .count_outcome(&labels, problem.code, problem.verdict);
                // The connection is closed because the body of the request may not have been read.
                problem.with_close().answer()
            }
        };
        self.add_common_headers(answer, &id)
    }
}
