//! States from which plans are made.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fireflywheel::clock::Instant;
use fireflywheel::fleet::config::{Engine, Model};
use fireflywheel::fleet::demand::Want;
use fireflywheel::fleet::plan::{self, Site, Step, View, pace};
use smol_str::{SmolStr, format_smolstr};

pub const NOW: Instant = Instant(100_000);

/// A state from which a plan is made.
pub struct World {
    pub engine: Engine,
    pub sites: Vec<Site>,
    pub wants: Vec<Want>,
    pub rates: BTreeMap<SmolStr, f64>,
    pub drains: BTreeMap<SmolStr, f64>,
    pub fetches: usize,
}

impl World {
    /// Engines that hold two of ten models of the same size.
    pub fn new(sites: usize) -> Self {
        let model = Model {
            memory_mb: 40.0,
            fetch: Duration::from_secs(6),
            from_disk: Duration::from_secs(1),
            from_host: Duration::from_millis(500),
            adapter_mb: 1.0,
        };
        let models = (0..10)
            .map(|number| (format_smolstr!("m{number}"), model))
            .collect();
        let engine = Engine {
            slots: 8,
            memory_mb: 83.0,
            adapter_places: 2,
            loads_per_second: 5.0,
            models,
        };
        let site = Site {
            usable: true,
            ..Site::default()
        };
        Self {
            engine,
            sites: vec![site; sites],
            wants: Vec::new(),
            rates: BTreeMap::new(),
            drains: BTreeMap::new(),
            fetches: pace::Pace::default().at_once(),
        }
    }

    pub fn holding(mut self, site: usize, model: &str) -> Self {
        let held = &mut self.sites[site].held;
        held.models.insert(model.into(), BTreeSet::new());
        held.on_disk.insert(model.into());
        self
    }

    pub fn on_disk(mut self, site: usize, model: &str) -> Self {
        self.sites[site].held.on_disk.insert(model.into());
        self
    }

    pub fn all_on_disk(mut self, site: usize) -> Self {
        let models = self.engine.models.keys().cloned();
        self.sites[site].held.on_disk.extend(models);
        self
    }

    pub fn running(mut self, site: usize, model: &str, count: u32) -> Self {
        self.sites[site].running.insert((model.into(), None), count);
        self
    }

    pub fn pressure(mut self, site: usize, millis: u64) -> Self {
        self.sites[site].pressure = Duration::from_millis(millis);
        self
    }

    pub fn busy(mut self, site: usize) -> Self {
        self.sites[site].held.busy = true;
        self
    }

    pub fn limited(mut self, site: usize, per_second: f64) -> Self {
        self.sites[site].limit = Some(per_second);
        self
    }

    pub fn fetching(mut self, site: usize, model: &str) -> Self {
        self.sites[site].loading = Some(model.into());
        self.sites[site].fetching = true;
        self.busy(site)
    }

    pub fn rate(mut self, model: &str, rate: f64) -> Self {
        self.rates.insert(model.into(), rate);
        self
    }

    pub fn wanted(self, model: &str) -> Self {
        self.wanted_adapter(model, None)
    }

    pub fn wanted_adapter(mut self, model: &str, adapter: Option<&str>) -> Self {
        self.wants.push(Want {
            model: model.into(),
            adapter: adapter.map(SmolStr::new),
            waiting: 1,
            since: Instant(NOW.0 - 100),
            until: Instant(NOW.0 + 5000),
        });
        self
    }

    pub fn view(&self) -> View<'_> {
        View {
            now: NOW,
            engine: &self.engine,
            sites: &self.sites,
            wants: &self.wants,
            rates: &self.rates,
            drains: &self.drains,
            fetches: self.fetches,
            pace: pace::Pace::default(),
        }
    }

    pub fn steps(&self) -> Vec<Step> {
        plan::steps(&self.view())
    }
}
