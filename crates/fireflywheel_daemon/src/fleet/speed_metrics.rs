//! Metrics of the speed of servers.

use prometheus::{GaugeVec, IntCounterVec};
use smol_str::SmolStr;

use crate::metrics::builder;

/// Maximum number of servers with a label value of their own, those that deviate most.
const MAX_SERVER_LABELS: usize = 64;

/// The metrics of the speed of servers.
#[derive(Clone, Debug)]
pub struct SpeedMetrics {
    slowness: GaugeVec,
    diversions: IntCounterVec,
    pauses: IntCounterVec,
}

impl SpeedMetrics {
    pub(super) fn new(builder: &builder::Builder) -> anyhow::Result<Self> {
        Ok(Self {
            slowness: builder.float_gauge_vec(
                "fleet_server_slowness",
                "How long work takes at servers that deviate, relative to what is usual in their group",
                &["server"],
            )?,
            diversions: builder.counter(
                "fleet_slow_servers_avoided_total",
                "Requests that were sent elsewhere because a server is slow, by route",
                &["route"],
            )?,
            pauses: builder.counter(
                "fleet_stream_pauses_total",
                "Events of streams that came further apart than their route allows, by route",
                &["route"],
            )?,
        })
    }

    /// Sets the slowness of the servers that deviate.
    pub fn set_slowness<'a, I>(&self, servers: I)
    where
        I: Iterator<Item = (&'a SmolStr, f64)>,
    {
        let mut servers: Vec<(&SmolStr, f64)> = servers.collect();
        servers.sort_by(|(_, a), (_, b)| b.ln().abs().total_cmp(&a.ln().abs()));
        self.slowness.reset();
        for (server, slowness) in servers.into_iter().take(MAX_SERVER_LABELS) {
            self.slowness
                .with_label_values(&[server.as_str()])
                .set(slowness);
        }
    }

    /// Counts a request that would have gone to another server if all were as fast as usual.
    pub fn count_diversion(&self, route: &str) {
        self.diversions.with_label_values(&[route]).inc();
    }

    /// Counts events of a stream that came further apart than its route allows.
    pub fn count_pause(&self, route: &str) {
        self.pauses.with_label_values(&[route]).inc();
    }
}
