//! Handles callers' requests from arrival to the one final response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::ending::Framing;
use fireflywheel::fleet::config;
use fireflywheel::fleet::held_bytes;
use fireflywheel::fleet::timeout;
use fireflywheel::settings;
use fireflywheel::verdict;
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING,
    WWW_AUTHENTICATE,
};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Uri};
use smol_str::SmolStr;
use tokio::time;
use xxhash_rust::xxh3;

use super::attempt;
use super::node;
use super::node::quarantine::{self, Admission};
use super::platform;
use super::stream;
use super::wait::STOP_REFUSAL_MARGIN;
pub use super::wait::wait_for_server;
use crate::callers::incoming;
use crate::{backend, door, errors};

/// Retry delay for a caller whose servers are all full.
pub(super) const NO_ROOM_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of times that a request is sent, counting servers that refused it without running it. More would
/// only add to an overload.
const MAX_SENDS: usize = 5;
/// The final response is sent this long before the caller's deadline, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// The last responses of a planned stop are sent this long before its end.
const STOP_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Retry delay for a caller whose request a planned stop overtakes: other instances take it, and callers are sent to them by
/// then.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Share of a caller's first-byte timeout that its request may spend waiting for a server. The rest is left for the
/// caller to act on a 503 response.
const QUEUE_TIMEOUT_RATIO: f64 = 0.9;

/// Forwards callers' requests to backend servers and answers them.
#[derive(Debug)]
pub struct Relay<P> {
    pub(super) node: Arc<node::Node<P>>,
}

impl<P> door::Service for Relay<P>
where
    P: platform::Platform,
{
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<door::Body> {
        let arrived = self.node.now();
        let (head, body) = request.into_parts();
        let mut call = platform::Call::default();
        let is_sent = AtomicBool::new(false);
        let result = tokio::select! {
            // An answer that is ready is sent.
            biased;
            result = self.serve(arrived, head, body, &mut call, &is_sent) => result,
            () = self.wait_for_stop() => Err(stopped(is_sent.load(Ordering::Relaxed))),
        };
        let mut response = match result {
            Ok(response) => response,
            Err(problem) => self.refuse(arrived, &call, &problem),
        };
        if self.node.is_draining() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

impl<P> Relay<P>
where
    P: platform::Platform,
{
    /// Creates a relay that routes by the state of `node`.
    #[must_use]
    pub fn new(node: Arc<node::Node<P>>) -> Self {
        Self { node }
    }

    async fn serve(
        &self,
        arrived: clock::Instant,
        mut head: Parts,
        body: Incoming,
        call: &mut platform::Call,
        is_sent: &AtomicBool,
    ) -> Result<Response<door::Body>, errors::Problem> {
        if let Some(key) = head.headers.get_mut(AUTHORIZATION) {
            key.set_sensitive(true);
        }
        check_framing(&head)?;
        *call = self.node.platform.read_call(&head)?;
        let Some(config) = self.node.config() else {
            let wait = timeout::remaining_outage(arrived.since(self.node.started));
            let left = call.deadline.unwrap_or(wait);
            let problem = unavailable("starting", "no configuration yet");
            return Err(problem.with_retry_after(retry_after(wait, left)));
        };
        self.check_config_in_time(call)?;
        let Some(route) = config.route(&call.host, head.uri.path()) else {
            let problem = errors::Problem::new(
                StatusCode::NOT_FOUND,
                "unknown_route",
                "no route has this host and path",
            );
            return Err(self.deny(call, problem));
        };
        let organisation = self.identify_organisation(&config, route, call)?;
        let hold = self.node.memory.open(held_bytes::Use::Request);
        self.check_stop(route)?;
        let body = incoming::read_held(body, &body_limits(&config.limits), &hold).await?;
        // The body may have taken long.
        self.check_stop(route)?;
        let queue = queue_key(&config, route, call);
        let request = quarantine::Request {
            group: &queue.group,
            call,
            method: &head.method,
            target: &head.uri,
            body: &body,
        };
        let suspects = request.suspects();
        let is_trial = match self.node.admit(&suspects).await {
            Admission::Open => false,
            Admission::Trial => true,
            Admission::Refused(part, wait) => {
                let name = request.name(part);
                log::info!(request = call.id.as_str(), part = name.as_str(); "servers crash on a part of the prompt");
                return Err(quarantined(wait));
            }
        };
        let version = match route.kind.is_stream() && call.last_event.is_some() {
            true => Some(self.find_origin(arrived, call, route, &queue.group).await?),
            false => None,
        };
        let queue = queue.with_version(version);
        if let Some(model) = &queue.model {
            self.node.count_arrival(&queue.group, model);
        }
        let mut headers = backend::end_to_end_headers(&head.headers);
        headers.remove(HOST);
        if config.organisations.is_some() {
            headers.remove(AUTHORIZATION);
        }
        self.node.platform.strip_reserved_headers(&mut headers);
        let has_returned = self.node.has_returned(route, call.deadline);
        let charge = match organisation {
            Some(organisation) => self.charge_quota(organisation, route, call, has_returned)?,
            None => None,
        };
        let limit = call
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let job = attempt::Job {
            call: call.clone(),
            target: origin_form(&head.uri),
            method: head.method,
            headers,
            body,
            _hold: hold,
            route: route.clone(),
            queue,
            suspects,
            is_trial,
            organisation: organisation.map(|organisation| organisation.name.clone()),
            priority: organisation
                .and_then(|organisation| organisation.priority)
                .unwrap_or(route.priority),
            arrived,
            deadline: arrived.after(limit.saturating_sub(ANSWER_MARGIN)),
        };
        let result = self.dispatch(Arc::new(job), is_sent).await;
        if let (Err(problem), Some(charge)) = (&result, &charge)
            && problem.verdict == verdict::Verdict::NotRun
        {
            self.node.refund(charge);
        }
        result
    }

    /// Waits until the last responses of a planned stop have to be sent.
    async fn wait_for_stop(&self) {
        let deadline = self.node.wait_for_drain().await;
        time::sleep(deadline.before(STOP_ANSWER_TIME).since(self.node.now())).await;
    }

    /// Refuses a request that would be cut off by a planned stop, by the time that responses of its route usually take.
    fn check_stop(&self, route: &config::Route) -> Result<(), errors::Problem> {
        let Some(deadline) = self.node.stop_deadline() else {
            return Ok(());
        };
        let usual = self.node.usual_response_time(&route.name);
        let needed = usual.unwrap_or(STOP_REFUSAL_MARGIN) + STOP_ANSWER_TIME;
        if deadline.since(self.node.now()) < needed {
            return Err(stopped(false));
        }
        Ok(())
    }

    /// Finds the version at which the stream began that a caller takes up again.
    async fn find_origin(
        &self,
        arrived: clock::Instant,
        call: &platform::Call,
        route: &config::Route,
        group: &SmolStr,
    ) -> Result<SmolStr, errors::Problem> {
        let total = call
            .deadline
            .map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let until = arrived.after(queue_timeout(route, total));
        let is_recorded = route.kind == config::Kind::Resumable;
        let found = self.node.find_origin(call, group, is_recorded, until).await;
        let (result, age_ms) = (found.result, found.age.map_or(u64::MAX, clock::millis));
        self.node.metrics.count_resumption(match &result {
            Ok(_) => found.source,
            Err(_) => "unknown",
        });
        log::info!(
            request = call.id.as_str(), resumes = call.resumes.as_deref().unwrap_or_default(), group = group.as_str(),
            version = result.as_deref().unwrap_or_default(), told_by = found.source, versions = found.versions as u64,
            age_ms = age_ms;
            "stream taken up again"
        );
        result.map_err(|wait| {
            let message = "it is not known at which version the stream began";
            let problem = unavailable("origin_unknown", message);
            match wait {
                Some(wait) => {
                    let left = call.deadline.unwrap_or(wait);
                    problem.with_retry_after(retry_after(wait, left))
                }
                None => problem,
            }
        })
    }

    /// Sends a request to servers until one responds, or no further attempt is allowed.
    async fn dispatch(
        &self,
        job: Arc<attempt::Job>,
        is_sent: &AtomicBool,
    ) -> Result<Response<door::Body>, errors::Problem> {
        let mut tried: Vec<SmolStr> = Vec::new();
        let mut may_have_run = 0;
        let mut failure = unavailable("not_sent", "no server took it");
        // What was never sent is no retry.
        let mut has_arrived = false;
        let mut send_index = 0;
        let mut is_counted = false;
        while send_index < MAX_SENDS {
            let found = wait_for_server(&self.node, &job, &tried, &job.queue).await;
            let chosen = match found {
                Ok(chosen) => chosen,
                Err(problem) if may_have_run == 0 => return Err(problem),
                Err(_) => return Err(failure),
            };
            if is_counted {
                // The attempt before had no place and sent nothing.
            } else if send_index == 0 {
                self.node.record_first_attempt(&job.queue.group);
            } else if has_arrived && !self.node.try_retry(&job.queue.group) {
                return Err(failure);
            }
            is_sent.store(true, Ordering::Relaxed);
            let outcome = match self.send(&job, &chosen, send_index, may_have_run).await {
                Ok(response) => return Ok(response),
                // It may still wait for a place of this instance's own.
                Err(attempt::Outcome::NoPlace) => {
                    is_sent.store(may_have_run > 0, Ordering::Relaxed);
                    is_counted = true;
                    continue;
                }
                Err(outcome) => outcome,
            };
            tried.push(chosen.server.clone());
            send_index += 1;
            is_counted = false;
            has_arrived |= !matches!(outcome, attempt::Outcome::Unsent(_));
            match outcome {
                attempt::Outcome::NotRun(why) | attempt::Outcome::Unsent(why) => {
                    is_sent.store(may_have_run > 0, Ordering::Relaxed);
                    self.record_failed_attempt(&job, &chosen, "not run", why);
                    if may_have_run == 0 {
                        let wait = self
                            .node
                            .expected_wait(&job.queue)
                            .unwrap_or(NO_ROOM_RETRY_DELAY);
                        let left = job.deadline.since(self.node.now());
                        failure =
                            unavailable("not_run", why).with_retry_after(retry_after(wait, left));
                    }
                }
                attempt::Outcome::Lost(why) => {
                    self.record_failed_attempt(&job, &chosen, "may have run", why);
                    may_have_run += 1;
                    failure = errors::Problem::new(StatusCode::BAD_GATEWAY, "lost", why)
                        .with_verdict(verdict::Verdict::MayHaveRun);
                    if !job.route.kind.is_retryable() || may_have_run >= job.route.attempts {
                        return Err(failure);
                    }
                    if !self
                        .node
                        .may_run_again(&chosen.process(), &job.suspects)
                        .await
                    {
                        return Err(failure);
                    }
                }
                attempt::Outcome::NoPlace
                | attempt::Outcome::TimedOut
                | attempt::Outcome::Response(_) => {
                    return Err(errors::Problem::new(
                        StatusCode::GATEWAY_TIMEOUT,
                        "timeout",
                        "no whole response in time",
                    )
                    .with_verdict(verdict::Verdict::MayHaveRun));
                }
            }
        }
        Err(failure)
    }

    /// Sends a request to one server. Returns the response for the caller, or the outcome of the failed attempt.
    async fn send(
        &self,
        job: &Arc<attempt::Job>,
        chosen: &node::Chosen,
        send_index: usize,
        may_have_run: u32,
    ) -> Result<Response<door::Body>, attempt::Outcome<P>> {
        log::info!(
            request = job.call.id.as_str(), server = chosen.server.as_str(), sending = send_index as u64,
            organisation = job.organisation.as_deref().unwrap_or_default(), tokens = job.call.total_tokens.unwrap_or_default(),
            waited_ms = clock::millis(self.node.now().since(job.arrived));
            "request sent"
        );
        let can_retry = job.route.kind.is_retryable() && may_have_run + 1 < job.route.attempts;
        let on_timeout = if can_retry {
            attempt::OnTimeout::Abandon
        } else {
            attempt::OnTimeout::KeepWaiting
        };
        match attempt::send(&self.node, job, chosen, job.call.last_event, on_timeout).await {
            attempt::Outcome::Response(upstream) => self.finish(job, *upstream, may_have_run).await,
            other => Err(other),
        }
    }

    /// Converts a server's response into the one for the caller, or returns why another attempt is needed.
    async fn finish(
        &self,
        job: &Arc<attempt::Job>,
        upstream: attempt::Response<P>,
        may_have_run: u32,
    ) -> Result<Response<door::Body>, attempt::Outcome<P>> {
        let status = upstream.head.status;
        if job.route.kind.is_stream() && status.is_success() {
            self.record_answer(job, status, &upstream.server, upstream.body.framing());
            let runs = may_have_run + 1;
            return Ok(stream::forward(&self.node, Arc::clone(job), upstream, runs));
        }
        let server = upstream.server.clone();
        let framing = upstream.body.framing();
        let (head, body) = attempt::collect(&self.node, job, upstream).await?;
        let can_retry = job.route.kind.is_retryable() && may_have_run + 1 < job.route.attempts;
        if status.is_server_error() && can_retry {
            return Err(attempt::Outcome::Lost("failed by the server"));
        }
        self.record_answer(job, status, &server, framing);
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = backend::end_to_end_headers(&head.headers);
        Ok(response)
    }

    fn record_answer(
        &self,
        job: &attempt::Job,
        status: StatusCode,
        server: &str,
        framing: Framing,
    ) {
        let took = self.node.now().since(job.arrived);
        self.node
            .metrics
            .count_answer(&job.route.name, status.as_u16(), took);
        log::info!(
            request = job.call.id.as_str(), route = job.route.name.as_str(), server = server,
            model = job.queue.model.as_deref().unwrap_or_default(), status = u64::from(status.as_u16()),
            framing = framing.as_str(), took_ms = clock::millis(took);
            "answered"
        );
    }

    fn record_failed_attempt(
        &self,
        job: &attempt::Job,
        chosen: &node::Chosen,
        verdict: &str,
        why: &str,
    ) {
        self.node.metrics.count_failed_attempt(&job.route.name, why);
        log::info!(
            request = job.call.id.as_str(), server = chosen.server.as_str(), verdict = verdict, why = why,
            model = job.queue.model.as_deref().unwrap_or_default(), parts = job.call.prompt_parts.join(",").as_str(),
            waited_ms = clock::millis(self.node.now().since(job.arrived));
            "attempt failed"
        );
    }

    /// Logs and counts a refusal, and builds the response for it.
    fn refuse(
        &self,
        arrived: clock::Instant,
        call: &platform::Call,
        problem: &errors::Problem,
    ) -> Response<door::Body> {
        let took = self.node.now().since(arrived);
        self.node
            .metrics
            .count_refusal(problem.code, problem.status.as_u16());
        if call.last_event.is_some() {
            self.node.metrics.count_refused_resumption(problem.code);
        }
        let config_status = self.node.config_status();
        log::info!(
            request = call.id.as_str(), status = u64::from(problem.status.as_u16()), code = problem.code,
            why = problem.message.as_str(), verdict = problem.verdict.as_str(), took_ms = clock::millis(took),
            model = call.model.as_deref().unwrap_or_default(),
            retry_after_ms = problem.retry_after.map_or(0, clock::millis),
            config_version = config_status.version, config_reader = config_status.source.as_str(),
            config_age_ms = config_status.age.map_or(0, clock::millis);
            "refused"
        );
        let mut response = problem.answer();
        if problem.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        self.node.platform.add_answer_headers(
            response.headers_mut(),
            &call.id,
            problem.retry_after,
        );
        response
    }
}

/// How long a request that has `total` for its response may wait for a server, or for what has to be known before.
pub(super) fn queue_timeout(route: &config::Route, total: Duration) -> Duration {
    timeout::first_byte(route, total).mul_f64(QUEUE_TIMEOUT_RATIO)
}

/// The refusal of a request on which servers crash, or on a part of its prompt. Its caller has no reason to come back before
/// the next trial.
pub(super) fn quarantined(wait: Duration) -> errors::Problem {
    unavailable(
        "quarantined",
        "servers crash on the request or a part of its prompt",
    )
    .with_retry_after(wait)
}

/// The answer to a request that a planned stop overtakes.
fn stopped(is_sent: bool) -> errors::Problem {
    if is_sent {
        let message = "the instance stops, and the response did not come in time";
        errors::Problem::new(StatusCode::GATEWAY_TIMEOUT, "stopping", message)
            .with_verdict(verdict::Verdict::MayHaveRun)
    } else {
        unavailable("stopping", "the instance stops")
            .with_retry_after(STOP_RETRY_DELAY)
            .with_close()
    }
}

/// Returns the randomised delay after which a caller that has `left` until its deadline should retry, to find what will
/// be ready after `wait`.
pub(super) fn retry_after(wait: Duration, left: Duration) -> Duration {
    timeout::retry_after(wait, left, rand::random())
}

pub(super) fn unavailable(code: &'static str, message: &'static str) -> errors::Problem {
    errors::Problem::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
}

/// Refuses a request with ambiguous framing. Two parsers could read it differently, and one of them would take the end
/// of its body for another request (request smuggling).
fn check_framing(head: &Parts) -> Result<(), errors::Problem> {
    let lengths = head.headers.get_all(CONTENT_LENGTH).iter().count();
    let chunked = head.headers.contains_key(TRANSFER_ENCODING);
    let hosts = head.headers.get_all(HOST).iter().count();
    if lengths > 1 || (chunked && lengths > 0) || hosts > 1 {
        let problem =
            errors::Problem::bad_request("bad_framing", "the request can be read in two ways");
        return Err(problem.with_close());
    }
    Ok(())
}

fn queue_key(
    config: &config::Config,
    route: &config::Route,
    call: &platform::Call,
) -> node::QueueKey {
    // A stream that is taken up again goes to the group that began it.
    let first = call.resumes.as_ref().filter(|_| call.last_event.is_some());
    let id = first.unwrap_or(&call.id);
    let draw = xxh3::xxh3_64(id.as_bytes()) as f64 / u64::MAX as f64;
    let group = route.group(draw).cloned().unwrap_or_default();
    let engine = config
        .groups
        .get(&group)
        .is_some_and(|group| group.engine.is_some());
    node::QueueKey {
        group,
        model: call.model.clone().filter(|_| engine),
        adapter: call.adapter.clone().filter(|_| engine),
        version: None,
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| uri.clone(), Uri::from)
}

fn body_limits(limits: &config::Limits) -> settings::Limits {
    settings::Limits {
        body_bytes: limits.body_bytes,
        idle_timeout: limits.idle_timeout,
        ..settings::Limits::default()
    }
}
