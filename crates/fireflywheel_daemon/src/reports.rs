//! Polls the load reports of the watched backend servers.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fireflywheel::{event, report};
use hyper::{Method, StatusCode};
use smol_str::SmolStr;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time;

use crate::{client, core};

/// The largest number of concurrent report requests.
const MAX_CONCURRENT: usize = 64;
/// The time limit for a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest report that is accepted, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Requests a report from each watched server in every `period`. Never returns.
pub async fn poll(
    client: client::Client,
    core: Arc<core::Core>,
    watched: watch::Receiver<Vec<SmolStr>>,
    period: Duration,
) {
    let poller = Arc::new(Poller {
        client,
        core,
        slots: Semaphore::new(MAX_CONCURRENT),
        pending: Mutex::default(),
    });
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut running = JoinSet::new();
    loop {
        ticks.tick().await;
        while running.try_join_next().is_some() {}
        let servers = watched.borrow().clone();
        for server in servers {
            if poller.mark_pending(&server) {
                running.spawn(Arc::clone(&poller).poll_server(server));
            }
        }
    }
}

#[derive(Debug)]
struct Poller {
    client: client::Client,
    core: Arc<core::Core>,
    slots: Semaphore,
    /// The servers with a pending request. Each server gets at most one request at a time, even if it is slow.
    pending: Mutex<HashSet<SmolStr>>,
}

impl Poller {
    fn mark_pending(&self, server: &SmolStr) -> bool {
        self.lock_pending().insert(server.clone())
    }

    async fn poll_server(self: Arc<Self>, server: SmolStr) {
        let slot = self.slots.acquire().await;
        let report = self.fetch_report(&server).await;
        drop(slot);
        self.lock_pending().remove(&server);
        let event = match report {
            Some(report) => event::Event::ReportReceived { server, report },
            None => event::Event::ReportFailed { server },
        };
        self.core.step(event);
    }

    async fn fetch_report(&self, server: &SmolStr) -> Option<report::Report> {
        let url = format!("http://{server}/v1/load");
        let request = client::request_without_body(Method::GET, &url).ok()?;
        let answer = self
            .client
            .call(request, MAX_REPORT_BYTES, REPORT_TIMEOUT)
            .await
            .ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&answer.body).ok()
    }

    fn lock_pending(&self) -> std::sync::MutexGuard<'_, HashSet<SmolStr>> {
        self.pending.lock().expect("no panic under the lock")
    }
}
