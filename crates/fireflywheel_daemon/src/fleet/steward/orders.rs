//! Sending orders, and asking engines for reports.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::server;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, StatusCode};
use smol_str::SmolStr;
use tokio::time;

use super::super::platform;
use super::super::pool;
use super::{Due, Steward};

/// How long an engine may take to answer an order or a report; both are answered from its memory.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);
/// The largest report, in bytes.
const REPORT_BYTES: usize = 1 << 20;
/// Connections for orders and reports to one engine, beside those for requests.
const CONNECTIONS: usize = usize::MAX;

/// Why an order or a report has no answer.
#[derive(Clone, Copy, Debug)]
enum NoAnswer {
    Fault(pool::Fault),
    Broken,
    /// The engine may be slow, or this instance itself.
    Late,
}

impl NoAnswer {
    fn as_str(self) -> &'static str {
        match self {
            Self::Fault(fault) => fault.as_str(),
            Self::Broken => "response broke off",
            Self::Late => "no answer in time",
        }
    }
}

/// What an order asks for, for the engine and for the log.
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
            tier: plan::Tier::Store,
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
    /// Sends an order that was counted as sent.
    pub(super) fn send(self: &Arc<Self>, due: Due) {
        let steward = Arc::clone(self);
        tokio::spawn(async move { steward.order(due).await });
    }

    /// Asks an engine for a report.
    pub(super) fn ask(self: &Arc<Self>, server: SmolStr) {
        let steward = Arc::clone(self);
        tokio::spawn(async move { steward.report(server).await });
    }

    async fn order(&self, due: Due) {
        let Some((server, after)) = self.target(&due.server) else {
            return;
        };
        // The process may have stood still since the plan was made: the lease is looked at last.
        let fencing = self.lock().lease.fencing(self.node.now());
        if fencing != Some(due.fencing) {
            return;
        }
        let request = self.node.platform.order(&platform::Order {
            server: &due.server,
            holder: &self.node.settings.instance,
            fencing: due.fencing,
            after,
            change: change(&due.step),
        });
        let answer = self.exchange(&server, request).await;
        let status = answer.as_ref().ok().map(|(status, _)| *status);
        self.ordered(&due, status);
    }

    fn ordered(&self, due: &Due, status: Option<StatusCode>) {
        let now = self.node.now();
        let kind = kind(&due.step);
        let result = status.map_or(0, |status| status.as_u16());
        self.node.metrics.count_order(kind, &result.to_string());
        let change = change(&due.step);
        log::info!(
            server = due.server.as_str(), kind = kind, model = change.model,
            adapter = change.adapter.unwrap_or_default(), fencing = due.fencing, status = u64::from(result);
            "engine ordered"
        );
        let takes = self.expected(&due.server, &due.step);
        let mut state = self.lock();
        if status == Some(StatusCode::PRECONDITION_FAILED) {
            // A later holder has ordered this engine. This number is never used again.
            state.lease.lost();
            drop(state);
            self.lease_wake.notify_one();
            return;
        }
        let first = state.loading_from_store() + 1;
        let Some(tracker) = state.trackers.get_mut(&due.server) else {
            return;
        };
        match status {
            Some(StatusCode::ACCEPTED) => tracker.order_accepted(now, &due.step, takes, first),
            Some(StatusCode::OK) if matches!(due.step, plan::Step::UnloadAdapter { .. }) => {
                tracker.order_accepted(now, &due.step, takes, first);
            }
            Some(StatusCode::CONFLICT) => tracker.order_conflicted(now),
            _ => tracker.order_unanswered(now),
        }
        let holding = tracker.holding(now);
        state.tell_held(&due.server);
        drop(state);
        self.known(holding);
    }

    async fn report(&self, id: SmolStr) {
        let Some((server, _)) = self.target(&id) else {
            return;
        };
        let asked = self.node.now();
        let answer = self.exchange(&server, self.node.platform.report()).await;
        let reached = !matches!(answer, Err(NoAnswer::Fault(pool::Fault::Unreachable)));
        let report = match answer {
            Ok((StatusCode::OK, body)) => self
                .node
                .platform
                .read_report(&body)
                .map_err(|error| error.to_string()),
            Ok((status, _)) => Err(status.to_string()),
            Err(why) => Err(why.as_str().to_owned()),
        };
        let now = self.node.now();
        let mut state = self.lock();
        let Some(tracker) = state.trackers.get_mut(&id) else {
            return;
        };
        let report = match report {
            Ok(report) => report,
            Err(why) => {
                if tracker.report_failed(now, reached) {
                    state.tell_held(&id);
                }
                drop(state);
                log::info!(server = id.as_str(), why = why.as_str(); "no report");
                return;
            }
        };
        let changed = tracker.report_received(asked, now, report);
        if let Some(fetched) = tracker.take_fetched() {
            let alone = self.alone(&server.group, &fetched.model);
            state.fetched(&fetched, alone);
        }
        if !changed {
            return;
        }
        let Some(tracker) = state.trackers.get(&id) else {
            return;
        };
        let holding = tracker.holding(now);
        state.tell_held(&id);
        drop(state);
        self.known(holding);
    }

    /// What an engine holds is known anew, here first.
    fn known(&self, holding: frame::Holding) {
        self.node.learn_held(holding);
        self.wake.notify_one();
    }

    fn target(&self, id: &str) -> Option<(server::Server, u64)> {
        let state = self.lock();
        let tracker = state.trackers.get(id)?;
        Some((tracker.server.clone(), tracker.orders))
    }

    /// How long an order should take.
    fn expected(&self, server: &str, step: &plan::Step) -> Duration {
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

    /// How long a load of a model from the weight store takes by itself.
    fn alone(&self, group: &str, model: &str) -> Duration {
        let config = self.node.config();
        let group = config.as_ref().and_then(|config| config.groups.get(group));
        let engine = group.and_then(|group| group.engine.as_ref());
        let known = engine.and_then(|engine| engine.models.get(model));
        known.map_or(Duration::ZERO, |known| known.store_load_time)
    }

    async fn exchange(
        &self,
        server: &server::Server,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), NoAnswer> {
        let whole = async {
            let sending =
                self.node
                    .pool
                    .send(self.node.now(), server.address, CONNECTIONS, request);
            let (response, connection) = sending.await.map_err(NoAnswer::Fault)?;
            let (head, body) = response.into_parts();
            let keep = self.node.platform.read_reply(&head).keep_alive;
            let body = Limited::new(body, REPORT_BYTES).collect().await;
            let body = body.map_err(|_| NoAnswer::Broken)?.to_bytes();
            self.node.pool.keep(self.node.now(), connection, keep);
            Ok((head.status, body))
        };
        time::timeout(ANSWER_LIMIT, whole)
            .await
            .unwrap_or(Err(NoAnswer::Late))
    }
}
