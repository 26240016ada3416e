//! Orders to load or unload an item, to query the state or to change the role. Each order carries a
//! fencing number.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::future;

use super::state::Phase;
use super::{Engine, Fencing, Item};
use crate::{fault, http, store};

/// The kind of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Loads the item.
    Load,
    /// Frees the item once its requests have ended.
    Unload,
    /// Returns the state without changing it.
    Query,
    /// Changes the role.
    Role,
}

/// The location from which an item is loaded.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The server's memory.
    Memory,
    /// The server's disk.
    Disk,
    /// The weight store.
    #[default]
    Remote,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Id of the order, chosen by the sender.
    #[serde(default)]
    pub order: SmolStr,
    /// Kind of the order.
    pub kind: Kind,
    /// `MODEL@VERSION` or `MODEL@VERSION:ADAPTER`; empty for a change of the role and for a query
    /// about no particular item.
    #[serde(default)]
    pub item: SmolStr,
    /// Memory that the item needs, in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
    /// Location from which the item is loaded.
    #[serde(default)]
    pub source: Source,
    /// New role, for an order that changes the role.
    #[serde(default)]
    pub role: SmolStr,
    /// Fencing number of the sender.
    #[serde(default)]
    pub fencing: u64,
}

/// The answer to an order that succeeded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// Always `done`.
    pub result: SmolStr,
    /// Items that are loaded just after the order, including draining ones.
    pub loaded: Vec<SmolStr>,
    /// Id of the current start of the engine.
    pub boot: SmolStr,
    /// Role of the engine.
    pub role: SmolStr,
}

impl Order {
    /// Creates an order without an item, memory or role.
    #[must_use]
    pub fn new(kind: Kind, fencing: u64) -> Self {
        Self {
            order: SmolStr::default(),
            kind,
            item: SmolStr::default(),
            memory_mb: 0,
            source: Source::Remote,
            role: SmolStr::default(),
            fencing,
        }
    }

    /// Sets the item and its memory in megabytes.
    #[must_use]
    pub fn with_item(mut self, item: &str, memory_mb: u64) -> Self {
        self.item = item.into();
        self.memory_mb = memory_mb;
        self
    }
}

/// The reason for which an order was not carried out.
enum Refusal {
    StaleFencing,
    StoreFailed,
    NotLoaded,
    /// The engine restarted in the meantime. The order gets no answer, because the process that
    /// received it is gone.
    Restarted,
}

/// The next step of a load order.
enum LoadStep {
    /// The item is loaded already.
    Done,
    /// Another order for the item is in progress.
    Wait,
    /// The load with this id was started.
    Started(u64),
}

impl Engine {
    pub(super) async fn handle_order(
        &self,
        request: &http::Request,
    ) -> Result<http::Answer, http::Lost> {
        let order = match request.json::<Order>() {
            Ok(order) => order,
            Err(answer) => return Ok(answer),
        };
        self.delay_arrival().await;
        match self.execute(&order).await {
            Ok(()) => Ok(http::json(StatusCode::OK, &self.build_outcome())),
            Err(refusal) => refusal_answer(&refusal),
        }
    }

    /// Delays an order as a slow network would, if the switch `delay_orders` is set.
    async fn delay_arrival(&self) {
        if self
            .injector
            .try_consume(|switches| &mut switches.delay_orders)
        {
            fault::sleep_ms(self.injector.switches().delay_orders_ms).await;
            self.injector.wait_until_unfrozen().await;
        }
    }

    fn build_outcome(&self) -> Outcome {
        self.read_state(|state| Outcome {
            result: "done".into(),
            loaded: state.loaded(),
            boot: state.boot.clone(),
            role: state.role.clone(),
        })
    }

    async fn execute(&self, order: &Order) -> Result<(), Refusal> {
        let boot = self.boot();
        let checks_fencing = self.options.fencing != Fencing::Ignored;
        let accepted = self.with_state(|state| state.accept_fencing(&order.item, order.fencing));
        if checks_fencing && !accepted {
            return Err(Refusal::StaleFencing);
        }
        if self
            .injector
            .try_consume(|switches| &mut switches.refuse_orders)
        {
            return Err(Refusal::StoreFailed);
        }
        match order.kind {
            Kind::Load => self.load(order, &parse_item(order)?, &boot).await,
            Kind::Unload => self.unload(order, &parse_item(order)?, &boot).await,
            Kind::Query => Ok(()),
            Kind::Role => {
                self.with_state(|state| state.role = order.role.clone());
                Ok(())
            }
        }
    }

    /// Fails if the engine has restarted or the order was superseded by one with a higher fencing
    /// number.
    fn check_valid(&self, order: &Order, boot: &str) -> Result<(), Refusal> {
        let checks_fencing = self.options.fencing != Fencing::Ignored;
        self.read_state(|state| {
            if state.boot != boot {
                Err(Refusal::Restarted)
            } else if checks_fencing && state.is_superseded(&order.item, order.fencing) {
                Err(Refusal::StaleFencing)
            } else {
                Ok(())
            }
        })
    }

    /// Waits until [`Self::check_valid`] fails for the order.
    async fn wait_until_invalid(&self, order: &Order, boot: &str) -> Refusal {
        let mut changes = self.changes.subscribe();
        loop {
            if let Err(refusal) = self.check_valid(order, boot) {
                return refusal;
            }
            if changes.changed().await.is_err() {
                future::pending::<()>().await;
            }
        }
    }

    async fn load(&self, order: &Order, item: &Item, boot: &str) -> Result<(), Refusal> {
        let load_id = loop {
            let mut changes = self.changes.subscribe();
            self.check_valid(order, boot)?;
            match self.start_or_join_load(order, item)? {
                LoadStep::Done => return Ok(()),
                LoadStep::Started(load_id) => break load_id,
                // The end of the other order wakes this one.
                LoadStep::Wait => drop(changes.changed().await),
            }
        };
        let loaded = tokio::select! {
            loaded = self.transfer_weights(order, item) => loaded,
            refusal = self.wait_until_invalid(order, boot) => Err(refusal),
        };
        self.injector.wait_until_unfrozen().await;
        let loaded = loaded.and_then(|()| self.check_valid(order, boot));
        self.with_state(|state| match loaded {
            Ok(()) if state.complete_load(item, load_id) => Ok(()),
            Ok(()) => Err(Refusal::NotLoaded),
            Err(refusal) => {
                state.abandon_load(item, load_id);
                Err(refusal)
            }
        })
    }

    fn start_or_join_load(&self, order: &Order, item: &Item) -> Result<LoadStep, Refusal> {
        self.with_state_if(|state| match state.phase(item) {
            Some(Phase::Loaded) => (false, Ok(LoadStep::Done)),
            Some(Phase::Loading | Phase::Draining) => (false, Ok(LoadStep::Wait)),
            None => {
                let base = item.base();
                if base != *item && state.phase(&base) != Some(Phase::Loaded) {
                    return (false, Err(Refusal::NotLoaded));
                }
                (
                    true,
                    Ok(LoadStep::Started(state.start_load(item, order.memory_mb))),
                )
            }
        })
    }

    /// Waits for the time that the transfer of the item's weights takes.
    async fn transfer_weights(&self, order: &Order, item: &Item) -> Result<(), Refusal> {
        match &self.options.store {
            Some(base) if order.source == Source::Remote => {
                self.fetch_from_store(base, order, item).await
            }
            _ if item.adapter.is_some() => {
                fault::sleep_ms(self.options.adapter_ms).await;
                Ok(())
            }
            _ => {
                fault::sleep_ms(self.options.load_ms).await;
                Ok(())
            }
        }
    }

    async fn fetch_from_store(
        &self,
        base: &str,
        order: &Order,
        item: &Item,
    ) -> Result<(), Refusal> {
        let fetch = store::Fetch {
            item: order.item.clone(),
            mb: order.memory_mb,
            kind: match item.adapter {
                Some(_) => store::Kind::Adapter,
                None => store::Kind::Model,
            },
        };
        let url = format!("{base}/v1/fetch");
        match self.client.post_json(&url, &fetch).await {
            Ok(answer) if answer.status == StatusCode::OK => Ok(()),
            _ => Err(Refusal::StoreFailed),
        }
    }

    async fn unload(&self, order: &Order, item: &Item, boot: &str) -> Result<(), Refusal> {
        loop {
            let mut changes = self.changes.subscribe();
            self.check_valid(order, boot)?;
            match self.read_state(|state| state.phase(item)) {
                None => return Ok(()),
                Some(Phase::Loaded) => break,
                Some(Phase::Loading | Phase::Draining) => drop(changes.changed().await),
            }
        }
        self.with_state(|state| state.set_phase(item, Phase::Draining));
        let drained = tokio::select! {
            () = self.wait_until_idle(item) => Ok(()),
            refusal = self.wait_until_invalid(order, boot) => Err(refusal),
        };
        self.injector.wait_until_unfrozen().await;
        let drained = drained.and_then(|()| self.check_valid(order, boot));
        self.with_state(|state| match drained {
            Ok(()) => state.free_with_adapters(item),
            Err(Refusal::StaleFencing) => state.set_phase(item, Phase::Loaded),
            Err(_) => {}
        });
        drained
    }

    /// Waits until the item and its adapters have no requests.
    async fn wait_until_idle(&self, item: &Item) {
        let mut changes = self.changes.subscribe();
        while self.read_state(|state| state.is_busy(item)) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

fn parse_item(order: &Order) -> Result<Item, Refusal> {
    order.item.parse().map_err(|_| Refusal::NotLoaded)
}

fn refusal_answer(refusal: &Refusal) -> Result<http::Answer, http::Lost> {
    match refusal {
        Refusal::StaleFencing => Ok(http::failure(
            StatusCode::CONFLICT,
            "stale_fencing",
            "a higher fencing number was seen",
        )),
        Refusal::StoreFailed => Ok(http::failure(
            StatusCode::BAD_GATEWAY,
            "store_failed",
            "the item was not loaded",
        )),
        Refusal::NotLoaded => Ok(super::chat::not_loaded()),
        Refusal::Restarted => Err(http::Lost),
    }
}
