//! What the steward knows of one engine beyond its directory entry.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::server;
use fireflywheel::fleet::work;
use smol_str::SmolStr;

/// Reports tell of this long ago.
const REPORT_LAG: Duration = Duration::from_millis(120);
/// Time between two reports of one engine that are waited for.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Time until an order is tried again that came while another was carried out.
const ORDER_PAUSE: Duration = Duration::from_millis(40);
/// An engine is done with an unload after about this: loads that were sent at once were refused, 25 in 100 of all orders,
/// and taken 44 to 72 ms after the unload.
const UNLOAD_TIME: Duration = Duration::from_millis(45);
/// An adapter takes about this long, and the report's lag.
const ADAPTER_TIME: Duration = Duration::from_millis(20);
/// A load of an unknown kind that takes longer than this is from the weight store.
const LONG_LOAD: Duration = Duration::from_millis(1500);
/// An engine's entry that says it leaves counts as unusable from then on; one without a time serves on.
const LEAVING: Duration = Duration::from_secs(3);

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) group: SmolStr,
    pub(super) held: server::Held,
    /// Orders that it has accepted.
    pub(super) orders: u64,
    pub(super) server: server::Server,
    /// An order is on its way.
    ordering: bool,
    /// What it holds isn't known for certain: a report must tell.
    doubt: bool,
    /// It couldn't be reached when it was last asked: until its entry goes, seconds later, its models would count as
    /// there, and their callers would wait.
    silent: bool,
    /// Instances were told what it holds. Entries are told without that, so it is told of each new engine, also when
    /// its first report brings nothing new: callers would wait elsewhere for models that are there.
    told: bool,
    loading: Option<Loading>,
    fetched: Option<Fetched>,
    /// No order before this.
    rest: clock::Instant,
    /// A report is on its way since.
    asking: bool,
    /// When the next report is of use.
    report_at: Option<clock::Instant>,
    since: BTreeMap<(SmolStr, Option<SmolStr>), clock::Instant>,
    pressure: work::Pressure,
    /// When an order was last accepted: reports asked for before tell of the time before it.
    changed: clock::Instant,
    busy_since: Option<clock::Instant>,
}

#[derive(Clone, Debug)]
struct Loading {
    model: SmolStr,
    fetch: bool,
    since: clock::Instant,
    /// Loads from the weight store when it began, itself included.
    at_once: usize,
}

/// A load from the weight store that has ended.
#[derive(Clone, Debug)]
pub(super) struct Fetched {
    pub(super) model: SmolStr,
    pub(super) at_once: usize,
    pub(super) took: Duration,
}

impl Track {
    pub(super) fn new(group: SmolStr, server: server::Server) -> Self {
        Self {
            group,
            held: server.held.clone(),
            orders: 0,
            server,
            ordering: false,
            doubt: true,
            silent: false,
            told: false,
            loading: None,
            fetched: None,
            rest: clock::Instant::default(),
            asking: false,
            report_at: Some(clock::Instant::default()),
            since: BTreeMap::new(),
            pressure: work::Pressure::default(),
            changed: clock::Instant::default(),
            busy_since: None,
        }
    }

    /// Takes in the directory's word.
    pub(super) fn follow(&mut self, server: server::Server) {
        if server.born != self.server.born || server.address != self.server.address {
            *self = Self::new(self.group.clone(), server);
            return;
        }
        self.server = server;
    }

    /// What a plan needs of it.
    pub(super) fn site(
        &mut self,
        now: clock::Instant,
        running: BTreeMap<(SmolStr, Option<SmolStr>), u32>,
        unread: u32,
    ) -> plan::Site {
        let staying = self.server.leaves.is_none_or(|at| at.since(now) > LEAVING);
        let unknown_fetch = self.held.busy
            && self.loading.is_none()
            && self
                .busy_since
                .is_some_and(|since| now.since(since) > LONG_LOAD);
        plan::Site {
            held: self.held.clone(),
            usable: self.server.ready && staying && !self.silent,
            ordering: self.ordering || self.doubt || now < self.rest,
            loading: self.loading.as_ref().map(|loading| loading.model.clone()),
            loading_since: self.loading.as_ref().map(|loading| loading.since),
            fetching: unknown_fetch || self.loading.as_ref().is_some_and(|loading| loading.fetch),
            running,
            pressure: self.pressure.update(now, unread),
            since: self.since.clone(),
        }
    }

    /// What the instances are told of it.
    pub(super) fn holding(&self, id: &SmolStr) -> frame::Holding {
        frame::Holding {
            server: id.clone(),
            born: self.server.born,
            held: self.held.clone(),
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        self.ordering || self.doubt || self.held.busy || self.report_at.is_some()
    }

    /// An order is on its way.
    pub(super) fn sent(&mut self, now: clock::Instant) {
        self.ordering = true;
        self.rest = now;
    }

    /// An order is being carried out, or was at once. `takes` is how long it should take, `at_once` how many loads
    /// from the weight store run with it.
    pub(super) fn accepted(
        &mut self,
        now: clock::Instant,
        step: &plan::Step,
        takes: Duration,
        at_once: usize,
    ) {
        self.ordering = false;
        self.orders += 1;
        self.changed = now;
        match step {
            plan::Step::Load { model, tier, .. } => {
                self.held.busy = true;
                self.busy_since = Some(now);
                self.loading = Some(Loading {
                    model: model.clone(),
                    fetch: *tier == plan::Tier::Store,
                    since: now,
                    at_once,
                });
                self.report_at = Some(now.after(takes));
            }
            plan::Step::Unload { model, .. } => {
                self.rest = now.after(UNLOAD_TIME);
                self.held.models.remove(model);
                self.forget(model);
            }
            plan::Step::LoadAdapter { model, adapter, .. } => {
                self.held.coming.insert((model.clone(), adapter.clone()));
                let at = now.after(ADAPTER_TIME + REPORT_LAG);
                self.report_at = Some(self.report_at.map_or(at, |before| before.min(at)));
            }
            plan::Step::UnloadAdapter { model, adapter, .. } => {
                if let Some(adapters) = self.held.models.get_mut(model) {
                    adapters.remove(adapter);
                }
                self.since.remove(&(model.clone(), Some(adapter.clone())));
            }
        }
    }

    /// An order came while another was carried out, or the engine has accepted more orders than known.
    pub(super) fn conflicted(&mut self, now: clock::Instant) {
        self.ordering = false;
        self.rest = now.after(ORDER_PAUSE);
        self.report_at.get_or_insert(now.after(REPORT_LAG));
    }

    /// It isn't known whether an order arrived.
    pub(super) fn unanswered(&mut self, now: clock::Instant) {
        self.ordering = false;
        self.doubt = true;
        self.changed = now;
        self.report_at = Some(now.after(REPORT_LAG));
    }

    /// It didn't hold what it was thought to hold.
    pub(super) fn denied(&mut self, now: clock::Instant) {
        self.report_at.get_or_insert(now);
    }

    pub(super) fn needs_report(&self, now: clock::Instant) -> bool {
        !self.asking && self.report_at.is_some_and(|at| now >= at)
    }

    pub(super) fn asked(&mut self, now: clock::Instant) {
        self.asking = true;
        self.report_at = Some(now.after(REPORT_PAUSE));
    }

    /// A report that was asked for at `asked`; whether there is something to tell.
    pub(super) fn reported(
        &mut self,
        asked: clock::Instant,
        now: clock::Instant,
        report: server::Report,
    ) -> bool {
        self.asking = false;
        self.silent = false;
        let stale = report.orders < self.orders || asked < self.changed.after(REPORT_LAG);
        if self.ordering || stale {
            return false;
        }
        self.orders = report.orders;
        let before = std::mem::replace(&mut self.held, report.held);
        self.doubt = false;
        for (model, adapters) in &self.held.models {
            self.since.entry((model.clone(), None)).or_insert(now);
            for adapter in adapters {
                self.since
                    .entry((model.clone(), Some(adapter.clone())))
                    .or_insert(now);
            }
        }
        let held = &self.held;
        self.since
            .retain(|(model, adapter), _| held.holds(model, adapter.as_deref()));
        if !self.held.busy {
            let fetched = self.loading.take().filter(|loading| loading.fetch);
            self.fetched = fetched
                .filter(|loading| self.held.holds(&loading.model, None))
                .map(|loading| Fetched {
                    model: loading.model,
                    at_once: loading.at_once,
                    took: now.since(loading.since),
                });
            self.busy_since = None;
        } else {
            self.busy_since.get_or_insert(now);
        }
        let settled = !self.held.busy && self.held.coming.is_empty();
        if settled {
            self.report_at = None;
        }
        let first = !std::mem::replace(&mut self.told, true);
        first || before != self.held
    }

    /// The load from the weight store that the last report has shown to be over.
    pub(super) fn take_fetched(&mut self) -> Option<Fetched> {
        self.fetched.take()
    }

    pub(super) fn is_fetching(&self) -> bool {
        self.loading.as_ref().is_some_and(|loading| loading.fetch)
    }

    /// No usable report came, or the engine can't be reached; whether what the directory says of it should be told instead.
    pub(super) fn unreported(&mut self, now: clock::Instant, reached: bool) -> bool {
        self.asking = false;
        self.report_at = Some(now.after(REPORT_PAUSE * 3));
        self.silent = !reached;
        !std::mem::replace(&mut self.told, true)
    }

    fn forget(&mut self, model: &SmolStr) {
        self.since.retain(|(name, _), _| name != model);
        self.held.coming.retain(|(name, _)| name != model);
    }
}
