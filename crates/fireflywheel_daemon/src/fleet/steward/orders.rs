//! Sends orders to engines and requests their reports.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::ending::Ending;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::quarantine::Suspects;
use fireflywheel::fleet::server;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use smol_str::SmolStr;
use tokio::time;

use super::super::node;
use super::super::platform;
use super::super::pool;
use super::Steward;
use super::quarantine;
use super::state;
use crate::received;

/// How long an engine may take to answer an order or a report request; it answers both from memory.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval between checks whether orders are still on their way.
const SETTLE_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Maximum number of connections to one engine for orders and reports, beside those for requests.
const MAX_CONNECTIONS: usize = usize::MAX;

/// Why an order or a report request has no answer.
#[derive(Clone, Copy, Debug)]
enum ExchangeError {
    Pool(pool::Error),
    IncompleteBody,
    /// Either the engine or this instance itself may be slow.
    TimedOut,
}

impl ExchangeError {
    fn as_str(self) -> &'static str {
        match self {
            Self::Pool(error) => error.as_str(),
            Self::IncompleteBody => "response body is incomplete or too large",
            Self::TimedOut => "timed out waiting for the answer",
        }
    }
}

/// The change that an order makes, for the engine and for the log.
fn change(step: &plan::Step) -> platform::Change<'_> {
    match step {
        plan::Step::Load { model, .. } => platform::Change {
            load: true,
            model,
            adapter: None,
        },
        plan::Step::Unload { model, .. } => platform::Change {
            load: false,
            model,
            adapter: None,
        },
        plan::Step::LoadAdapter { model, adapter, .. } => platform::Change {
            load: true,
            model,
            adapter: Some(adapter),
        },
        plan::Step::UnloadAdapter { model, adapter, .. } => platform::Change {
            load: false,
            model,
            adapter: Some(adapter),
        },
    }
}

fn kind(step: &plan::Step) -> &'static str {
    match step {
        plan::Step::Load {
            tier: plan::Tier::Host,
            ..
        } => "load from host memory",
        plan::Step::Load {
            tier: plan::Tier::Disk,
            ..
        } => "load from disk",
        plan::Step::Load {
            tier: plan::Tier::WeightStore,
            ..
        } => "load from the store",
        plan::Step::Unload { .. } => "unload",
        plan::Step::LoadAdapter { .. } => "load adapter",
        plan::Step::UnloadAdapter { .. } => "unload adapter",
    }
}

impl<P> Steward<P>
where
    P: platform::Platform,
{
    /// Sends an order that is already counted as sent, in its own task.
    pub(super) fn spawn_order(self: &Arc<Self>, order: state::Order) {
        let steward = Arc::clone(self);
        let in_flight = pool::OpenGuard::new(Arc::clone(&self.orders_in_flight));
        tokio::spawn(async move {
            steward.send_order(order).await;
            drop(in_flight);
        });
    }

    /// Whether orders are on their way of which a successor would know nothing. Engines that check fencing numbers refuse
    /// those that arrive after its own.
    pub(super) fn has_unsettled_orders(&self) -> bool {
        !self.node.settings.fenced && self.orders_in_flight.load(Ordering::Relaxed) > 0
    }

    /// Waits until no order is on its way. One without an answer ends after [`ANSWER_TIMEOUT`].
    pub(super) async fn settle_orders(&self) {
        while self.has_unsettled_orders() {
            time::sleep(SETTLE_INTERVAL).await;
        }
    }

    /// Requests a report from an engine, in its own task.
    pub(super) fn spawn_report(self: &Arc<Self>, server: SmolStr) {
        let steward = Arc::clone(self);
        tokio::spawn(async move { steward.request_report(server).await });
    }

    async fn send_order(&self, order: state::Order) {
        let Some((server, accepted_orders)) = self.find_target(&order.server) else {
            return;
        };
        // The process may have been suspended since the plan was made, so the lease is checked last.
        if !self.may_send(&order) {
            return;
        }
        let request = self.node.platform.build_order(&platform::Order {
            server: &order.server,
            holder: &self.node.settings.instance,
            fencing: order.fencing,
            accepted_orders,
            change: change(&order.step),
        });
        let answer = self.send_request(&server, pool::Via::Direct, request).await;
        if matches!(answer, Err(ExchangeError::Pool(pool::Error::Withheld))) {
            self.withhold_order(&order);
            return;
        }
        let now = self.node.now();
        self.lock().lease.record_order(now, order.fencing);
        self.examine_after(&server, &answer);
        let status = answer.as_ref().ok().map(|(status, _)| *status);
        self.handle_order_answer(&order, status);
    }

    /// Whether this instance may still send an order, which is then recorded as its last one.
    fn may_send(&self, order: &state::Order) -> bool {
        let now = self.node.now();
        let mut state = self.lock();
        let may_send = state.lease.order_fencing(now) == Some(order.fencing);
        if may_send {
            state.lease.record_order(now, order.fencing);
        }
        may_send
    }

    /// Records that an order was not sent because the engine wants nothing more.
    fn withhold_order(&self, order: &state::Order) {
        let now = self.node.now();
        if let Some(tracker) = self.lock().trackers.get_mut(&order.server) {
            tracker.order_withheld(now);
        }
        log::info!(server = order.server.as_str(), kind = kind(&order.step); "order withheld from engine");
    }

    fn handle_order_answer(&self, order: &state::Order, status: Option<StatusCode>) {
        let now = self.node.now();
        let kind = kind(&order.step);
        let result = status.map_or(0, |status| status.as_u16());
        self.node.metrics.count_order(kind, &result.to_string());
        let change = change(&order.step);
        log::info!(
            server = order.server.as_str(), kind = kind, model = change.model,
            adapter = change.adapter.unwrap_or_default(), fencing = order.fencing, status = u64::from(result);
            "order sent to engine"
        );
        let expected_duration = self.expected_duration(&order.server, &order.step);
        let mut state = self.lock();
        if status == Some(StatusCode::PRECONDITION_FAILED) {
            // A later holder has sent orders to this engine. This fencing number is never used again.
            state.lease.mark_lost();
            drop(state);
            self.lease_wake.notify_one();
            return;
        }
        let concurrent_loads = state.loading_from_store() + 1;
        let Some(tracker) = state.trackers.get_mut(&order.server) else {
            return;
        };
        match status {
            Some(StatusCode::ACCEPTED) => {
                tracker.order_accepted(now, &order.step, expected_duration, concurrent_loads);
            }
            Some(StatusCode::OK) if matches!(order.step, plan::Step::UnloadAdapter { .. }) => {
                tracker.order_accepted(now, &order.step, expected_duration, concurrent_loads);
            }
            Some(StatusCode::CONFLICT) => tracker.order_conflicted(now),
            _ => tracker.order_unanswered(now),
        }
        let holding = tracker.holding(now);
        state.mark_changed(&order.server);
        drop(state);
        self.publish_holding(holding);
    }

    async fn request_report(&self, id: SmolStr) {
        let Some((server, _)) = self.find_target(&id) else {
            return;
        };
        let requested_at = self.node.now();
        let answer = self
            .send_request(
                &server,
                pool::Via::Any,
                self.node.platform.build_report_request(),
            )
            .await;
        self.examine_after(&server, &answer);
        let reached = !matches!(answer, Err(ExchangeError::Pool(pool::Error::Unreachable)));
        let report = match answer {
            Ok((StatusCode::OK, body)) => self
                .node
                .platform
                .read_report(&body)
                .map_err(|error| error.to_string()),
            Ok((status, _)) => Err(status.to_string()),
            Err(error) => Err(error.as_str().to_owned()),
        };
        let now = self.node.now();
        let mut state = self.lock();
        let Some(tracker) = state.trackers.get_mut(&id) else {
            return;
        };
        let report = match report {
            Ok(report) => report,
            Err(reason) => {
                if tracker.report_failed(now, reached) {
                    state.mark_changed(&id);
                }
                drop(state);
                log::info!(server = id.as_str(), why = reason.as_str(); "engine sent no usable report");
                return;
            }
        };
        let changed = tracker.report_received(requested_at, now, report);
        let finished = tracker.take_finished_loads();
        let finished = quarantine::load_parts(&tracker.group, finished);
        self.node.record_whole_answer(&Suspects::of_loads(finished));
        if let Some(fetched) = tracker.take_finished_fetch() {
            let unshared_time = self.unshared_load_time(&server.group, &fetched.model);
            state.record_fetch(&fetched, unshared_time);
        }
        if !changed {
            return;
        }
        let Some(tracker) = state.trackers.get(&id) else {
            return;
        };
        let holding = tracker.holding(now);
        state.mark_changed(&id);
        drop(state);
        self.publish_holding(holding);
    }

    /// Finds out whether an engine has ended that loads a model or an adapter, if the connection to it has failed.
    fn examine_after(
        &self,
        server: &server::Server,
        answer: &Result<(StatusCode, Bytes), ExchangeError>,
    ) {
        if !matches!(
            answer,
            Err(ExchangeError::Pool(
                pool::Error::Unreachable | pool::Error::Lost
            ))
        ) {
            return;
        }
        let target = target(server);
        let loads = self.lock().awaited_loads(&target.process);
        if !loads.is_empty() {
            let loads = Suspects::of_loads(loads);
            self.node.examine(&target, &loads, node::Doubt::Break);
        }
    }

    /// Publishes a change in what an engine holds, first to this instance itself.
    fn publish_holding(&self, holding: frame::EngineHoldings) {
        self.node.record_own_holding(holding);
        self.plan_wake.notify_one();
    }

    fn find_target(&self, id: &str) -> Option<(server::Server, u64)> {
        let state = self.lock();
        let tracker = state.trackers.get(id)?;
        Some((tracker.server.clone(), tracker.orders))
    }

    /// Expected duration of an order; zero unless it is a load.
    fn expected_duration(&self, server: &str, step: &plan::Step) -> Duration {
        let plan::Step::Load { model, tier, .. } = step else {
            return Duration::ZERO;
        };
        let group = self
            .lock()
            .trackers
            .get(server)
            .map(|tracker| tracker.group.clone());
        let config = self.node.config();
        let known = config.as_ref().zip(group).and_then(|(config, group)| {
            let engine = config.groups.get(&group)?.engine.as_ref()?;
            engine.models.get(model).copied()
        });
        known.map_or(Duration::ZERO, |known| tier.load_time(&known))
    }

    /// How long a load of a model from the weight store takes when no other load runs.
    fn unshared_load_time(&self, group: &str, model: &str) -> Duration {
        let config = self.node.config();
        let group = config.as_ref().and_then(|config| config.groups.get(group));
        let engine = group.and_then(|group| group.engine.as_ref());
        let known = engine.and_then(|engine| engine.models.get(model));
        known.map_or(Duration::ZERO, |known| known.store_load_time)
    }

    async fn send_request(
        &self,
        server: &server::Server,
        via: pool::Via,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let target = target(server);
        let exchange = async {
            let sending = self.node.send_to(&target, via, request);
            let (response, connection) = sending.await.map_err(ExchangeError::Pool)?;
            let (head, body) = received::Body::split(response);
            let reply = self.node.platform.read_reply(&head);
            self.node.observe_announcement(&target.process, &reply);
            let keep_alive = reply.keep_alive;
            let (body, ending) = body.collect(MAX_REPORT_BYTES).await;
            match ending {
                Ending::BrokenOff(_) => return Err(ExchangeError::IncompleteBody),
                // A report is a JSON object, which tells its end itself. The connection has ended with it.
                Ending::Unstated => {}
                Ending::Complete => {
                    let now = self.node.now();
                    self.node.pool.release(now, connection, keep_alive);
                }
            }
            Ok((head.status, body))
        };
        time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(ExchangeError::TimedOut))
    }
}

/// Where orders and requests for reports are sent.
fn target(server: &server::Server) -> node::Target {
    node::Target {
        process: Process {
            server: server.id.clone(),
            started_ms: server.started_ms,
        },
        address: server.address,
        connections: MAX_CONNECTIONS,
        brittle: None,
    }
}
