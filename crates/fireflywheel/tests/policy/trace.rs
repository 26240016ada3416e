//! The two reference deployments in the required sizes, and the requests of their callers over a day. The same seed
//! gives the same requests.

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

pub const GROUP: &str = "g";
const MODELS: usize = 65;
const ADAPTERS: usize = 75;
const ADAPTER_MB: u64 = 120;
const MS_PER_SECOND: f64 = 1_000.0;

/// A model with its memory use and its load time from the weight store.
#[derive(Clone, Debug)]
pub struct Model {
    pub name: String,
    pub memory_mb: u64,
    pub load_ms: u64,
    pub adapters: Vec<String>,
}

/// A deployment of the fleet.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub servers: usize,
    pub memory_mb: u64,
    pub routers: usize,
    pub store_loads_per_second: f64,
    pub store_loads_at_once: u32,
    pub adapter_load_ms: (u64, u64),
    pub service_ms: u64,
    pub deadline_ms: u64,
    /// The deadline of requests at night.
    pub night_deadline_ms: u64,
    pub models: Vec<Model>,
}

impl Deployment {
    /// Tran Gia, where a late first quote loses a guide.
    pub fn tran_gia() -> Self {
        Self {
            name: "Tran Gia",
            servers: 12,
            memory_mb: 24_000,
            routers: 5,
            store_loads_per_second: 5.0,
            store_loads_at_once: 4,
            adapter_load_ms: (6, 13),
            service_ms: 900,
            deadline_ms: 60_000,
            night_deadline_ms: 60_000,
            models: models(1.0),
        }
    }

    /// Granite Grit, where summaries requested at night are only needed by the morning shift.
    pub fn granite_grit() -> Self {
        Self {
            name: "Granite Grit",
            servers: 12,
            memory_mb: 32_000,
            routers: 5,
            store_loads_per_second: 4.5,
            store_loads_at_once: 4,
            adapter_load_ms: (4, 10),
            service_ms: 1_200,
            deadline_ms: 90_000,
            night_deadline_ms: 1_800_000,
            models: models(1.3),
        }
    }

    /// Returns the serving document of the deployment.
    pub fn document(&self, weight: f64) -> String {
        let mut text = format!(
            "[serving]\ncold_start_weight = {weight}\nstore_loads_per_second = {}\nstore_loads_at_once = {}\n\n\
             [class interactive]\ndeadline_ms = {}\nin_flight = 2000\nqueue = 1000\n\n[tenant t]\nin_flight = 2000\n\n\
             [group {GROUP}]\nkind = engine\nfencing = checked\nmemory_mb = {}\nslots = 16\n",
            self.store_loads_per_second, self.store_loads_at_once, self.deadline_ms, self.memory_mb
        );
        for model in &self.models {
            text.push_str(&format!(
                "\n[model {}]\ngroup = {GROUP}\nversion = 1\nmemory_mb = {}\nreplicas = 2\nload_ms = {}\nservice_ms = {}\n",
                model.name, model.memory_mb, model.load_ms, self.service_ms
            ));
            for adapter in &model.adapters {
                text.push_str(&format!(
                    "\n[adapter {}:{adapter}]\nmemory_mb = {ADAPTER_MB}\nreplicas = 2\n",
                    model.name
                ));
            }
        }
        text
    }
}

fn models(scale: f64) -> Vec<Model> {
    let sizes = [(7_000, 4_000), (12_000, 7_000), (20_000, 12_000)];
    let models = (0..MODELS).map(|index| {
        // There are 26 small, 26 medium and 13 large models.
        let (memory, load) = sizes[[0, 1, 0, 1, 2][index % 5]];
        let adapters = (0..ADAPTERS).filter(|adapter| (adapter * 7) % 40 == index);
        Model {
            name: format!("m{index:02}"),
            memory_mb: (f64::from(memory) * scale) as u64,
            load_ms: (f64::from(load) * scale) as u64,
            adapters: adapters.map(|adapter| format!("a{adapter:02}")).collect(),
        }
    });
    models.collect()
}

/// The arrival of one request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub router: usize,
    /// The requested item, as `MODEL` or `MODEL:ADAPTER`.
    pub target: String,
    pub deadline_ms: u64,
}

/// Requests in the order of their arrival, and the start times of bursts.
#[derive(Clone, Debug)]
pub struct Trace {
    pub arrivals: Vec<Arrival>,
    pub bursts: Vec<u64>,
    pub end_ms: u64,
}

/// The amount and the pattern of requests.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The length of a day in seconds; the last third of a day is night.
    pub day_s: u64,
    pub days: u64,
    /// Sessions per second by day and by night. A session is a few requests of one caller for one target.
    pub sessions: (f64, f64),
    pub burst_interval_s: f64,
    /// The number of models requested in a burst.
    pub burst_models: usize,
}

impl Workload {
    /// A short day, which is used in CI.
    pub fn short() -> Self {
        Self {
            day_s: 5_400,
            days: 1,
            sessions: (0.08, 0.004),
            burst_interval_s: 500.0,
            burst_models: 16,
        }
    }
}

struct Generator<'a> {
    deployment: &'a Deployment,
    workload: Workload,
    rng: StdRng,
    /// The indices of the models, from the most to the least popular.
    ranks: Vec<usize>,
    trace: Trace,
}

/// Generates the requests of a deployment.
pub fn generate(deployment: &Deployment, workload: Workload, seed: u64) -> Trace {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut ranks: Vec<usize> = (0..MODELS).collect();
    ranks.shuffle(&mut rng);
    let mut generator = Generator {
        deployment,
        workload,
        rng,
        ranks,
        trace: Trace {
            arrivals: Vec::new(),
            bursts: Vec::new(),
            end_ms: workload.day_s * workload.days * 1000,
        },
    };
    generator.generate_sessions();
    generator.generate_bursts();
    let end = generator.trace.end_ms;
    let mut trace = generator.trace;
    trace.arrivals.retain(|arrival| arrival.at_ms < end);
    trace.arrivals.sort_by_key(|arrival| arrival.at_ms);
    trace
}

impl Generator<'_> {
    fn is_night(&self, at: f64) -> bool {
        let day = self.workload.day_s as f64;
        (at / MS_PER_SECOND) % day > day * 2.0 / 3.0
    }

    fn draw_exponential(&mut self, mean_s: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        -uniform.ln() * mean_s * MS_PER_SECOND
    }

    /// Draws a model by Zipf's law over the current popularity ranks.
    fn draw_popular_model(&mut self) -> usize {
        let total: f64 = (1..=MODELS).map(|rank| 1.0 / rank as f64).sum();
        let mut remaining = self.rng.random_range(0.0..total);
        for (index, model) in self.ranks.iter().enumerate() {
            remaining -= 1.0 / (index + 1) as f64;
            if remaining <= 0.0 {
                return *model;
            }
        }
        self.ranks[MODELS - 1]
    }

    fn shuffle_ranks(&mut self) {
        for _ in 0..8 {
            let (first, second) = (
                self.rng.random_range(0..MODELS),
                self.rng.random_range(0..MODELS),
            );
            self.ranks.swap(first, second);
        }
    }

    fn generate_sessions(&mut self) {
        let end = self.trace.end_ms as f64;
        let drift_interval = self.workload.day_s as f64 * MS_PER_SECOND / 8.0;
        let mut next_drift = drift_interval;
        let mut at = 0.0;
        loop {
            let night = self.is_night(at);
            let rate = if night {
                self.workload.sessions.1
            } else {
                self.workload.sessions.0
            };
            at += self.draw_exponential(1.0 / rate);
            if at >= end {
                return;
            }
            while at > next_drift {
                self.shuffle_ranks();
                next_drift += drift_interval;
            }
            let model = self.draw_popular_model();
            self.generate_session(at, model, 15.0);
        }
    }

    /// Generates one to seven requests for one target, some seconds apart, at random routers.
    fn generate_session(&mut self, start: f64, model: usize, gap_s: f64) {
        let target = self.draw_target(model);
        let mut at = start;
        for _ in 0..self.rng.random_range(1..8) {
            self.add_request(at, &target);
            at += self.draw_exponential(gap_s);
        }
    }

    fn draw_target(&mut self, model: usize) -> String {
        let model = &self.deployment.models[model];
        if model.adapters.is_empty() || self.rng.random_bool(0.4) {
            return model.name.clone();
        }
        let adapter = self.rng.random_range(0..model.adapters.len());
        format!("{}:{}", model.name, model.adapters[adapter])
    }

    fn add_request(&mut self, at: f64, target: &str) {
        let night = self.is_night(at);
        let arrival = Arrival {
            at_ms: at as u64,
            router: self.rng.random_range(0..self.deployment.routers),
            target: target.to_owned(),
            deadline_ms: if night {
                self.deployment.night_deadline_ms
            } else {
                self.deployment.deadline_ms
            },
        };
        self.trace.arrivals.push(arrival);
    }

    /// Generates bursts of requests for many models at once at all routers. Half of the models are drawn by
    /// popularity, the other half uniformly.
    fn generate_bursts(&mut self) {
        let end = self.trace.end_ms as f64;
        let mut at = 0.0;
        loop {
            at += self.draw_exponential(self.workload.burst_interval_s * 0.6)
                + self.workload.burst_interval_s * 0.4 * MS_PER_SECOND;
            if at >= end {
                return;
            }
            if self.is_night(at) {
                continue;
            }
            self.trace.bursts.push(at as u64);
            for index in 0..self.workload.burst_models {
                let model = if index % 2 == 0 {
                    self.draw_popular_model()
                } else {
                    self.rng.random_range(0..MODELS)
                };
                let target = self.draw_target(model);
                for _ in 0..self.rng.random_range(2..7) {
                    let offset = self.rng.random_range(0.0..2.0 * MS_PER_SECOND);
                    self.add_request(at + offset, &target);
                }
            }
        }
    }
}
