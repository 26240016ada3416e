//! The demand that this instance reports to the steward.

use std::collections::BTreeMap;

use fireflywheel::clock;
use fireflywheel::fleet::demand;
use fireflywheel::fleet::era::Era;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::server;
use smol_str::SmolStr;

use super::state;
use super::{Node, QueueKey};

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// The engines of a group, for the steward. One that has announced that it leaves gets no orders, and counts as gone.
    #[must_use]
    pub fn engines(&self, group: &str) -> Vec<server::Server> {
        let state = self.lock();
        let known = state.servers.values();
        known
            .filter(|known| known.server.group == group)
            .filter(|known| {
                let server = &known.server;
                !state
                    .announcements
                    .is_leaving(&server.id, server.started_ms)
            })
            .map(|known| known.server.clone())
            .collect()
    }

    /// A number that increases with each change of the directory.
    #[must_use]
    pub fn directory_version(&self) -> u64 {
        self.lock().directory_version
    }

    /// Takes what is to be reported to the steward: the demand of this instance and its requests in flight.
    /// Counts, notices and permit requests are returned once, and new subscriptions count as sent. `era` is
    /// the store's era, as far as it is known.
    #[must_use]
    pub fn take_demand(&self, era: Option<Era>) -> demand::Demand {
        let now = self.now();
        let mut state = self.lock();
        let arrived = std::mem::take(&mut state.arrived);
        let finished = std::mem::take(&mut state.finished);
        let servers_to_check = std::mem::take(&mut state.servers_to_check);
        let subscriptions = state
            .pending_subscriptions
            .iter_mut()
            .filter(|(_, pending)| !pending.is_sent);
        let subscriptions = subscriptions
            .map(|(model, pending)| {
                pending.is_sent = true;
                model.clone()
            })
            .collect();
        let (mut limit_notices, mut permit_requests) = (Vec::new(), Vec::new());
        for (id, known) in &mut state.servers {
            limit_notices.extend(known.limit.take_notice(now, id));
            permit_requests.extend(known.limit.take_request(now, id));
        }
        let leaving_servers = state.announcements.take_leaving_notices();
        let origins = state.origins.take_report();
        self.metrics.count_reported_streams(origins.begun.len());
        if state.origins.has_news() {
            self.demand_changed.notify_one();
        }
        let quarantine = Box::new(state.quarantine.take_report(now));
        state.kept_queues.retain(|_, kept| now < kept.until);
        let kept = state.kept_queues.iter();
        let kept = kept.filter(|(key, _)| !state.queues.contains_key(*key));
        let kept = kept.filter_map(|(key, waiting)| queue_demand(now, key, [waiting]));
        let queues = state.queues.iter();
        let queues = queues.filter_map(|(key, queue)| queue_demand(now, key, queue.values()));
        let queues = queues.chain(kept).collect();
        let gates = state.quota_gates.iter_mut();
        let usage = gates
            .filter_map(|(organisation, gate)| gate.take_usage(now, organisation))
            .collect();
        let speeds = state.take_speeds(now);
        demand::Demand {
            speeds,
            missed_directory: state.directory.missed(),
            queues,
            running: state
                .servers
                .values_mut()
                .flat_map(take_running_report)
                .collect(),
            arrived: counts(arrived),
            finished: counts(finished),
            stamp_ms: now.0,
            leaving: state.stop_deadline.is_some(),
            servers_to_check: servers_to_check.into_iter().collect(),
            usage,
            era,
            store: state.availability.report(now),
            limit_notices,
            leaving_servers,
            permit_requests,
            subscriptions,
            config_version: Some(state.config().map_or(0, |config| config.version)),
            config: Some(demand::Holding {
                revision: state.configs.newest().map(|newest| newest.revision),
            }),
            needs_config: state.needs_config,
            read_age_ms: frame::millis(state.read_age(now)),
            unreached_groups: Some(state.paths.unreached_groups.clone()),
            origins: Some(Box::new(origins)),
            quarantine,
            prefix_reads: state.prefixes.take_reads(),
        }
    }

    /// Counts the arrival of a request for a model.
    pub fn count_arrival(&self, group: &SmolStr, model: &SmolStr) {
        let mut state = self.lock();
        *state
            .arrived
            .entry((group.clone(), model.clone()))
            .or_default() += 1;
    }
}

fn counts(counts: BTreeMap<(SmolStr, SmolStr), u32>) -> Vec<demand::Count> {
    let counts = counts.into_iter();
    counts
        .map(|((group, model), count)| demand::Count {
            group,
            model,
            count,
        })
        .collect()
}

fn queue_demand<'a, I>(now: clock::Instant, key: &QueueKey, queue: I) -> Option<demand::Queue>
where
    I: IntoIterator<Item = &'a state::Waiting, IntoIter: Clone + ExactSizeIterator>,
{
    let queue = queue.into_iter();
    let model = key.model.clone()?;
    let since = queue.clone().map(|waiting| waiting.since).min()?;
    let until = queue.clone().map(|waiting| waiting.until).max()?;
    Some(demand::Queue {
        group: key.group.clone(),
        model,
        adapter: key.adapter.clone(),
        version: key.version.clone(),
        waiting: u32::try_from(queue.len()).unwrap_or(u32::MAX),
        waited_ms: frame::millis(now.since(since)),
        left_ms: frame::millis(until.since(now)),
    })
}

/// Returns the requests in flight at a server, and records that they are reported.
fn take_running_report(known: &mut state::ServerState) -> impl Iterator<Item = demand::Running> {
    known.backlog.report_own(known.stats.in_flight);
    let server = &known.server.id;
    let running = known.running.iter();
    running.map(|((model, adapter), running)| demand::Running {
        server: server.clone(),
        model: model.clone(),
        adapter: adapter.clone(),
        count: running.count,
        prefill_tokens: running.prefill_tokens,
    })
}
