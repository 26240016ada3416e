//! The platform's list of instances: a trait, its HTTP adapter and the task that polls the list.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::{event, report};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time;

use crate::{client, core};

/// Size limit of a list, in bytes. It holds about 20,000 instances.
const MAX_LIST_BYTES: usize = 16 << 20;
/// Time limit for one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The list service did not answer, or its answer is not a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// A list of live and leaving instances. Its contents lag behind the actual state.
pub trait List: Send + Sync + 'static {
    /// Reads the current list.
    fn read(&self) -> impl Future<Output = Result<Vec<report::ListEntry>, Unavailable>> + Send;
}

/// Client of the list service over HTTP.
#[derive(Clone, Debug)]
pub struct Http {
    client: client::Client,
    url: String,
}

#[derive(Deserialize)]
struct Listing {
    instances: Vec<report::ListEntry>,
}

impl Http {
    /// Creates a client of the list service at `base`, such as `http://10.0.0.5:7001`.
    #[must_use]
    pub fn new(client: client::Client, base: impl Into<SmolStr>) -> Self {
        Self {
            client,
            url: format!("{}/v1/instances", base.into()),
        }
    }
}

impl List for Http {
    async fn read(&self) -> Result<Vec<report::ListEntry>, Unavailable> {
        let request =
            client::request_without_body(Method::GET, &self.url).map_err(|_| Unavailable)?;
        let answer = self
            .client
            .call(request, MAX_LIST_BYTES, READ_TIMEOUT)
            .await;
        let answer = answer.map_err(|_| Unavailable)?;
        if answer.status != StatusCode::OK {
            return Err(Unavailable);
        }
        let listing: Listing = serde_json::from_slice(&answer.body).map_err(|_| Unavailable)?;
        Ok(listing.instances)
    }
}

/// Reads the list every `period`, without end. The node is not notified of a failed read and keeps the last
/// list.
pub async fn poll<L>(list: L, core: Arc<core::Core>, period: Duration)
where
    L: List,
{
    let mut interval = time::interval(period);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut was_failing = false;
    loop {
        interval.tick().await;
        let listed = list.read().await;
        let is_failing = listed.is_err();
        if is_failing && !was_failing {
            log::warn!(instance = core.instance().as_str(); "instance list unavailable, keeping the last list");
        }
        was_failing = is_failing;
        if let Ok(listed) = listed {
            core.step(event::Event::InstancesListed(listed));
        }
    }
}
