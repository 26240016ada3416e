//! The platform's list of instances: a trait, its HTTP adapter, and the task that polls it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use fireflywheel::{event, report};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::time;

use crate::{client, core};

/// The largest list taken, in bytes: some 20,000 instances.
const LIMIT: usize = 16 << 20;
/// How long a reading may take.
const WAIT: Duration = Duration::from_secs(5);

/// The list gave no answer, or not a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

/// A list of live and leaving instances, which lags.
pub trait List: Send + Sync + 'static {
    /// What it says now.
    fn read(&self) -> impl Future<Output = Result<Vec<report::ListEntry>, Unavailable>> + Send;
}

/// The list over HTTP.
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
    /// The list at `base`, such as `http://10.0.0.5:7001`.
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
        let request = client::bare(Method::GET, &self.url).map_err(|_| Unavailable)?;
        let answer = self.client.call(request, LIMIT, WAIT).await;
        let answer = answer.map_err(|_| Unavailable)?;
        if answer.status != StatusCode::OK {
            return Err(Unavailable);
        }
        let listing: Listing = serde_json::from_slice(&answer.body).map_err(|_| Unavailable)?;
        Ok(listing.instances)
    }
}

/// Reads the list every `period`, for ever. A reading that fails tells the node nothing: the last one holds.
pub async fn poll<L>(list: L, core: Arc<core::Core>, period: Duration)
where
    L: List,
{
    let mut due = time::interval(period);
    due.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut failing = false;
    loop {
        due.tick().await;
        let listed = list.read().await;
        let fails = listed.is_err();
        if fails && !failing {
            log::warn!(instance = core.instance().as_str(); "the list of instances gives no answer");
        }
        failing = fails;
        if let Ok(listed) = listed {
            core.step(event::Event::InstancesListed(listed));
        }
    }
}
