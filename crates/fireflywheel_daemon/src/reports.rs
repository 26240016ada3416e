//! Load reports of backend servers: each watched one is asked every so often.

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

/// Servers asked at once.
const AT_ONCE: usize = 64;
/// How long a report may take.
const WAIT: Duration = Duration::from_secs(2);
/// The largest report taken, in bytes.
const LIMIT: usize = 1 << 20;

/// Asks the watched servers every `period`, for ever.
pub async fn poll(
    client: client::Client,
    core: Arc<core::Core>,
    watched: watch::Receiver<Vec<SmolStr>>,
    period: Duration,
) {
    let poller = Arc::new(Poller {
        client,
        core,
        places: Semaphore::new(AT_ONCE),
        asked: Mutex::default(),
    });
    let mut due = time::interval(period);
    due.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut running = JoinSet::new();
    loop {
        due.tick().await;
        while running.try_join_next().is_some() {}
        let servers = watched.borrow().clone();
        for server in servers {
            if poller.begin(&server) {
                running.spawn(Arc::clone(&poller).ask(server));
            }
        }
    }
}

#[derive(Debug)]
struct Poller {
    client: client::Client,
    core: Arc<core::Core>,
    places: Semaphore,
    /// Servers that were asked and haven't answered: a slow one is asked once at a time.
    asked: Mutex<HashSet<SmolStr>>,
}

impl Poller {
    fn begin(&self, server: &SmolStr) -> bool {
        self.lock_asked().insert(server.clone())
    }

    async fn ask(self: Arc<Self>, server: SmolStr) {
        let place = self.places.acquire().await;
        let report = self.report(&server).await;
        drop(place);
        self.lock_asked().remove(&server);
        let event = match report {
            Some(report) => event::Event::ReportReceived { server, report },
            None => event::Event::ReportFailed { server },
        };
        self.core.step(event);
    }

    async fn report(&self, server: &SmolStr) -> Option<report::Report> {
        let url = format!("http://{server}/v1/load");
        let request = client::bare(Method::GET, &url).ok()?;
        let answer = self.client.call(request, LIMIT, WAIT).await.ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&answer.body).ok()
    }

    fn lock_asked(&self) -> std::sync::MutexGuard<'_, HashSet<SmolStr>> {
        self.asked.lock().expect("no panic under the lock")
    }
}
