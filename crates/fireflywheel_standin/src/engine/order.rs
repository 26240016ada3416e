//! Orders: load, unload, query, role; and the fencing number that each carries.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::future;

use super::state::Phase;
use super::{Engine, Fencing, Item};
use crate::{fault, http, store};

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Load the item.
    Load,
    /// Free the item once its requests have ended.
    Unload,
    /// Answer with the state alone.
    Query,
    /// Change the role.
    Role,
}

/// Where the bytes of an item lie.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// In the server's memory.
    Memory,
    /// On the server's disk.
    Disk,
    /// In the weight store.
    #[default]
    Remote,
}

/// The body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The sender's name for the order.
    #[serde(default)]
    pub order: SmolStr,
    /// What it asks for.
    pub kind: Kind,
    /// `MODEL@VERSION` or `MODEL@VERSION:ADAPTER`; empty for a role or a general query.
    #[serde(default)]
    pub item: SmolStr,
    /// Memory that the item takes, in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
    /// Where its bytes lie.
    #[serde(default)]
    pub source: Source,
    /// The new role.
    #[serde(default)]
    pub role: SmolStr,
    /// The fencing number.
    #[serde(default)]
    pub fencing: u64,
}

/// The answer to an order that was carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// Always `done`.
    pub result: SmolStr,
    /// What is loaded just after the order, draining items among it.
    pub loaded: Vec<SmolStr>,
    /// The id of the engine's start.
    pub boot: SmolStr,
    /// The engine's role.
    pub role: SmolStr,
}

impl Order {
    /// An order without an item, memory or role.
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

    /// Names the item and its memory in megabytes.
    #[must_use]
    pub fn with_item(mut self, item: &str, memory_mb: u64) -> Self {
        self.item = item.into();
        self.memory_mb = memory_mb;
        self
    }
}

/// Why an order wasn't carried out.
enum Refusal {
    Stale,
    StoreFailed,
    NotLoaded,
    /// The engine restarted meanwhile: there is nobody left to answer.
    Restarted,
}

/// What to do next for a load.
enum Step {
    Done,
    Wait,
    Begin(u64),
}

impl Engine {
    pub(super) async fn order(&self, request: &http::Request) -> Result<http::Answer, http::Lost> {
        let order = match request.json::<Order>() {
            Ok(order) => order,
            Err(answer) => return Ok(answer),
        };
        self.hold_back().await;
        match self.carry_out(&order).await {
            Ok(()) => Ok(http::json(StatusCode::OK, &self.outcome())),
            Err(refusal) => answer(&refusal),
        }
    }

    /// Delays the arrival of an order, as a network that held it up.
    async fn hold_back(&self) {
        if self
            .injector
            .try_consume(|switches| &mut switches.delay_orders)
        {
            fault::pause(self.injector.switches().delay_orders_ms).await;
            self.injector.wait_until_unfrozen().await;
        }
    }

    fn outcome(&self) -> Outcome {
        self.read_state(|state| Outcome {
            result: "done".into(),
            loaded: state.loaded(),
            boot: state.boot.clone(),
            role: state.role.clone(),
        })
    }

    async fn carry_out(&self, order: &Order) -> Result<(), Refusal> {
        let boot = self.boot();
        let checks = self.options.fencing != Fencing::Ignored;
        let admitted = self.with_state(|state| state.admit(&order.item, order.fencing));
        if checks && !admitted {
            return Err(Refusal::Stale);
        }
        if self
            .injector
            .try_consume(|switches| &mut switches.refuse_orders)
        {
            return Err(Refusal::StoreFailed);
        }
        match order.kind {
            Kind::Load => self.load(order, &item_of(order)?, &boot).await,
            Kind::Unload => self.unload(order, &item_of(order)?, &boot).await,
            Kind::Query => Ok(()),
            Kind::Role => {
                self.with_state(|state| state.role = order.role.clone());
                Ok(())
            }
        }
    }

    /// Fails once the order must go no further.
    fn check(&self, order: &Order, boot: &str) -> Result<(), Refusal> {
        let checks = self.options.fencing != Fencing::Ignored;
        self.read_state(|state| {
            if state.boot != boot {
                Err(Refusal::Restarted)
            } else if checks && state.overtaken(&order.item, order.fencing) {
                Err(Refusal::Stale)
            } else {
                Ok(())
            }
        })
    }

    /// Waits until the order must go no further.
    async fn stopped(&self, order: &Order, boot: &str) -> Refusal {
        let mut changes = self.changes.subscribe();
        loop {
            if let Err(refusal) = self.check(order, boot) {
                return refusal;
            }
            if changes.changed().await.is_err() {
                future::pending::<()>().await;
            }
        }
    }

    async fn load(&self, order: &Order, item: &Item, boot: &str) -> Result<(), Refusal> {
        let load = loop {
            let mut changes = self.changes.subscribe();
            self.check(order, boot)?;
            match self.next_step(order, item)? {
                Step::Done => return Ok(()),
                Step::Begin(load) => break load,
                // Another order for the item is under way; its end is a change.
                Step::Wait => drop(changes.changed().await),
            }
        };
        let loaded = tokio::select! {
            loaded = self.bytes(order, item) => loaded,
            refusal = self.stopped(order, boot) => Err(refusal),
        };
        self.injector.wait_until_unfrozen().await;
        let loaded = loaded.and_then(|()| self.check(order, boot));
        self.with_state(|state| match loaded {
            Ok(()) if state.complete_load(item, load) => Ok(()),
            Ok(()) => Err(Refusal::NotLoaded),
            Err(refusal) => {
                state.abandon_load(item, load);
                Err(refusal)
            }
        })
    }

    fn next_step(&self, order: &Order, item: &Item) -> Result<Step, Refusal> {
        self.with_state_if(|state| match state.phase(item) {
            Some(Phase::Loaded) => (false, Ok(Step::Done)),
            Some(Phase::Loading | Phase::Draining) => (false, Ok(Step::Wait)),
            None => {
                let base = item.base();
                if base != *item && state.phase(&base) != Some(Phase::Loaded) {
                    return (false, Err(Refusal::NotLoaded));
                }
                (
                    true,
                    Ok(Step::Begin(state.begin_load(item, order.memory_mb))),
                )
            }
        })
    }

    /// Returns when the bytes of the item have arrived.
    async fn bytes(&self, order: &Order, item: &Item) -> Result<(), Refusal> {
        match &self.options.store {
            Some(base) if order.source == Source::Remote => self.fetch(base, order, item).await,
            _ if item.adapter.is_some() => {
                fault::pause(self.options.adapter_ms).await;
                Ok(())
            }
            _ => {
                fault::pause(self.options.load_ms).await;
                Ok(())
            }
        }
    }

    async fn fetch(&self, base: &str, order: &Order, item: &Item) -> Result<(), Refusal> {
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
            self.check(order, boot)?;
            match self.read_state(|state| state.phase(item)) {
                None => return Ok(()),
                Some(Phase::Loaded) => break,
                Some(Phase::Loading | Phase::Draining) => drop(changes.changed().await),
            }
        }
        self.with_state(|state| state.mark(item, Phase::Draining));
        let drained = tokio::select! {
            () = self.drained(item) => Ok(()),
            refusal = self.stopped(order, boot) => Err(refusal),
        };
        self.injector.wait_until_unfrozen().await;
        let drained = drained.and_then(|()| self.check(order, boot));
        self.with_state(|state| match drained {
            Ok(()) => state.free_all(item),
            Err(Refusal::Stale) => state.mark(item, Phase::Loaded),
            Err(_) => {}
        });
        drained
    }

    /// Returns when no request runs on the item.
    async fn drained(&self, item: &Item) {
        let mut changes = self.changes.subscribe();
        while self.read_state(|state| state.is_busy(item)) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

fn item_of(order: &Order) -> Result<Item, Refusal> {
    order.item.parse().map_err(|_| Refusal::NotLoaded)
}

fn answer(refusal: &Refusal) -> Result<http::Answer, http::Lost> {
    match refusal {
        Refusal::Stale => Ok(http::failure(
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
