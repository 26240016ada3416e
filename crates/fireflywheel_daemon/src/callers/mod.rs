//! Requests of callers: read at the door, given to the node, and answered by a task of their own.

mod chat;
mod delivery;
mod ending;
mod exchange;
mod head;
pub(crate) mod intake;

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

/// The path of requests to models.
const CHAT: &str = "/v1/chat/completions";

/// Answers callers.
#[derive(Debug)]
pub struct Callers {
    core: Arc<core::Core>,
    client: client::Client,
    limits: settings::Limits,
    ids: Ids,
}

/// Ids of the requests in progress here.
#[derive(Clone, Debug, Default)]
struct Ids(Arc<Mutex<HashSet<SmolStr>>>);

/// An id in use until the guard is dropped.
#[derive(Debug)]
struct IdGuard {
    ids: Ids,
    id: SmolStr,
}

/// A request that was read and checked.
#[derive(Debug)]
struct Taken {
    arrival: request::Arrival,
    outgoing: backend::OutgoingRequest,
    id: IdGuard,
}

impl Ids {
    // Answers are told apart by the request id: two requests with one id could get each other's. The id names
    // one request, and that one may be running, so the verdict isn't "not run".
    fn take(&self, id: &SmolStr) -> Result<IdGuard, errors::Problem> {
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
    /// Answers callers by what the node decides.
    #[must_use]
    pub fn new(core: Arc<core::Core>, client: client::Client, limits: settings::Limits) -> Self {
        Self {
            core,
            client,
            limits,
            ids: Ids::default(),
        }
    }

    async fn take_in(
        &self,
        id: &SmolStr,
        request: Request<Incoming>,
    ) -> Result<Taken, errors::Problem> {
        let (parts, body) = request.into_parts();
        let head = head::Head::parse(&parts.headers)?;
        head::check_path(&parts.method, &parts.uri)?;
        let guard = self.ids.take(id)?;
        let body = intake::read(body, &self.limits).await?;
        let fingerprint = intake::fingerprint(&parts.method, &parts.uri, &body);
        let is_chat = parts.method == Method::POST && parts.uri.path() == CHAT;
        let chat = if is_chat {
            chat::Chat::parse(&body)?
        } else {
            intake::to_service(&parts)
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
        Ok(Taken {
            arrival,
            outgoing: intake::outgoing(id.clone(), parts, body, is_chat),
            id: guard,
        })
    }

    async fn exchange(&self, taken: Taken) -> Response<door::Body> {
        let (presence, gone) = oneshot::channel();
        let (answer, answered) = oneshot::channel();
        let exchange = exchange::Exchange::new(
            Arc::clone(&self.core),
            self.client.clone(),
            taken.arrival,
            taken.outgoing,
            self.limits,
        );
        let guard = taken.id;
        let task = exchange.run(exchange::Caller::new(answer, gone));
        // A task of its own: when the caller goes, this future is dropped, but the attempt must still be
        // ended in order and reported.
        tokio::spawn(async move {
            task.await;
            drop(guard);
        });
        match answered.await {
            Ok(answer) => answer.map(|body| body.with_presence(presence)),
            Err(_) => lost().answer(),
        }
    }

    /// The answer with what every answer carries.
    fn complete(&self, mut answer: Response<door::Body>, id: &SmolStr) -> Response<door::Body> {
        let headers = answer.headers_mut();
        if let Ok(id) = HeaderValue::from_str(id) {
            headers.insert(errors::REQUEST_ID, id);
        }
        // A caller that keeps its connection would come back to an instance that is going.
        if self.core.is_stopping() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// The task of a request ended without an answer, which is a fault of this program.
fn lost() -> errors::Problem {
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
        let (id, taken) = match head::request_id(request.headers()) {
            Ok(id) => {
                let taken = self.take_in(&id, request).await;
                (id, taken)
            }
            Err(problem) => (errors::fresh_id(), Err(problem)),
        };
        let answer = match taken {
            Ok(taken) => self.exchange(taken).await,
            Err(problem) => {
                let labels = metrics::Labels::unknown();
                self.core
                    .metrics()
                    .count_outcome(&labels, problem.code, problem.verdict);
                // Its body may be unread.
                problem.with_close().answer()
            }
        };
        self.complete(answer, &id)
    }
}
