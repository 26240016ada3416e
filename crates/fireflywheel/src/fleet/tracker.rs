//! What the steward knows of one engine beyond its directory entry: its last report, and the orders since.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::{frame, load, plan, server};
use crate::clock;

/// Reports tell of this long ago.
const REPORT_LAG: Duration = Duration::from_millis(120);
/// Time between two reports of one engine that are waited for.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// Time until an order is tried again that came while another was carried out.
const ORDER_PAUSE: Duration = Duration::from_millis(40);
/// An engine is done with an unload after about this, and refuses a load that is sent at once.
const UNLOAD_TIME: Duration = Duration::from_millis(45);
/// An adapter takes about this long, and the report's lag.
const ADAPTER_TIME: Duration = Duration::from_millis(20);
/// A load of an unknown kind that takes longer than this is from the weight store.
const LONG_LOAD: Duration = Duration::from_millis(1500);
/// An engine's entry that says it leaves counts as unusable from then on; one without a time serves on.
const LEAVING: Duration = Duration::from_secs(3);

/// One engine.
#[derive(Clone, Debug)]
pub struct Tracker {
    /// The group that it belongs to.
    pub group: SmolStr,
    /// What it holds, as far as reports and accepted orders tell.
    pub held: server::Held,
    /// Orders that it has accepted.
    pub orders: u64,
    /// Its entry in the directory.
    pub server: server::Server,
    /// An order that is on its way, or that may have arrived although its answer was lost.
    sent: Option<plan::Step>,
    /// The model that an unload has made room for.
    room_for: Option<SmolStr>,
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
    pressure: load::Pressure,
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
    first: usize,
}

/// A load from the weight store that has ended.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The model.
    pub model: SmolStr,
    /// Loads from the weight store when it began, itself included.
    pub first: usize,
    /// How long it took.
    pub took: Duration,
}

impl Tracker {
    /// An engine that hasn't reported yet.
    #[must_use]
    pub fn new(group: SmolStr, server: server::Server) -> Self {
        Self {
            group,
            held: server.held.clone(),
            orders: 0,
            server,
            sent: None,
            room_for: None,
            doubt: true,
            silent: false,
            told: false,
            loading: None,
            fetched: None,
            rest: clock::Instant::default(),
            asking: false,
            report_at: Some(clock::Instant::default()),
            since: BTreeMap::new(),
            pressure: load::Pressure::default(),
            changed: clock::Instant::default(),
            busy_since: None,
        }
    }

    /// Takes in the directory's entry.
    pub fn update_server(&mut self, server: server::Server) {
        if server.started_ms != self.server.started_ms || server.address != self.server.address {
            *self = Self::new(self.group.clone(), server);
            return;
        }
        self.server = server;
    }

    /// What a plan needs of it. An order counts from the moment it is sent: plans are made more often than answers
    /// come, and the next one would send the same load to another engine too. One notices it by loads of one model at
    /// several engines within milliseconds, and by more loads from the weight store than it can run.
    pub fn engine_state(
        &mut self,
        now: clock::Instant,
        running: BTreeMap<(SmolStr, Option<SmolStr>), u32>,
        unread: u32,
    ) -> plan::EngineState {
        let staying = self.server.leaves.is_none_or(|at| at.since(now) > LEAVING);
        let unknown_fetch = self.held.busy
            && self.loading.is_none()
            && self
                .busy_since
                .is_some_and(|since| now.since(since) > LONG_LOAD);
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        let mut held = self.held.clone();
        if let Some(plan::Step::LoadAdapter { model, adapter, .. }) = &self.sent {
            held.loading_adapters
                .insert((model.clone(), adapter.clone()));
        }
        plan::EngineState {
            held,
            usable: self.server.ready && staying && !self.silent,
            order_pending: self.sent.is_some() || self.doubt || now < self.rest,
            loading: loading.or(self.sent_load()).cloned(),
            loading_since: self.loading.as_ref().map(|loading| loading.since),
            fetching: unknown_fetch || self.is_fetching(),
            making_room_for: self.sent_room().or(self.room_for.as_ref()).cloned(),
            running,
            pressure: self.pressure.update(now, unread),
            limit: None,
            held_since: self.since.clone(),
        }
    }

    /// What the instances are told of it.
    #[must_use]
    pub fn holding(&self, now: clock::Instant) -> frame::Holding {
        frame::Holding {
            entry: frame::Entry::new(&self.server, now),
            models: self.held.models.clone(),
        }
    }

    /// Whether news of it is expected, or an order is due.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        let ordered = self.sent.is_some() || self.room_for.is_some();
        ordered || self.doubt || self.held.busy || self.report_at.is_some()
    }

    /// An order is on its way.
    pub fn order_sent(&mut self, now: clock::Instant, step: plan::Step) {
        self.sent = Some(step);
        self.room_for = None;
        self.rest = now;
    }

    /// A plan has no order for it. If it could have taken one, what room was made for is not to be loaded any more.
    pub fn not_planned(&mut self, now: clock::Instant) {
        let free = self.sent.is_none() && !self.doubt && !self.held.busy && now >= self.rest;
        if free {
            self.room_for = None;
        }
    }

    /// An order is being carried out, or was at once. `takes` is how long it should take, `first` how many loads
    /// from the weight store there are with it.
    pub fn order_accepted(
        &mut self,
        now: clock::Instant,
        step: &plan::Step,
        takes: Duration,
        first: usize,
    ) {
        self.sent = None;
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
                    first,
                });
                self.report_at = Some(now.after(takes));
            }
            plan::Step::Unload { model, wanted, .. } => {
                self.room_for = Some(wanted.clone());
                self.rest = now.after(UNLOAD_TIME);
                self.held.models.remove(model);
                self.forget(model);
            }
            plan::Step::LoadAdapter { model, adapter, .. } => {
                self.held
                    .loading_adapters
                    .insert((model.clone(), adapter.clone()));
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
    pub fn order_conflicted(&mut self, now: clock::Instant) {
        self.sent = None;
        self.rest = now.after(ORDER_PAUSE);
        self.report_at.get_or_insert(now.after(REPORT_LAG));
    }

    /// It isn't known whether an order arrived: what it asks for may come, until a report tells.
    pub fn order_unanswered(&mut self, now: clock::Instant) {
        self.doubt = true;
        self.changed = now;
        self.report_at = Some(now.after(REPORT_LAG));
    }

    /// It didn't hold what it was thought to hold.
    pub fn denied(&mut self, now: clock::Instant) {
        self.report_at.get_or_insert(now);
    }

    /// Whether a report should be asked for now.
    #[must_use]
    pub fn needs_report(&self, now: clock::Instant) -> bool {
        !self.asking && self.report_at.is_some_and(|at| now >= at)
    }

    /// Whether a report is on its way.
    #[must_use]
    pub fn is_report_pending(&self) -> bool {
        self.asking
    }

    /// A report is asked for.
    pub fn report_requested(&mut self, now: clock::Instant) {
        self.asking = true;
        self.report_at = Some(now.after(REPORT_PAUSE));
    }

    /// A report that was asked for at `asked`; whether there is something to tell.
    pub fn report_received(
        &mut self,
        asked: clock::Instant,
        now: clock::Instant,
        report: server::Report,
    ) -> bool {
        self.asking = false;
        self.silent = false;
        let stale = report.orders < self.orders || asked < self.changed.after(REPORT_LAG);
        let awaits_answer = self.sent.is_some() && !self.doubt;
        if awaits_answer || stale {
            return false;
        }
        self.sent = None;
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
                    first: loading.first,
                    took: now.since(loading.since),
                });
            self.busy_since = None;
        } else {
            self.busy_since.get_or_insert(now);
        }
        let settled = !self.held.busy && self.held.loading_adapters.is_empty();
        if settled {
            self.report_at = None;
        }
        let first = !std::mem::replace(&mut self.told, true);
        first || before != self.held
    }

    /// The load from the weight store that the last report has shown to be over.
    pub fn take_fetched(&mut self) -> Option<Fetched> {
        self.fetched.take()
    }

    /// Whether it loads from the weight store.
    #[must_use]
    pub fn is_loading_from_store(&self) -> bool {
        self.loading.as_ref().is_some_and(|loading| loading.fetch)
    }

    /// The same, or whether it was sent such an order.
    fn is_fetching(&self) -> bool {
        let sent = self.sent.as_ref().is_some_and(plan::Step::is_fetch);
        sent || self.is_loading_from_store()
    }

    fn sent_load(&self) -> Option<&SmolStr> {
        match &self.sent {
            Some(plan::Step::Load { model, .. }) => Some(model),
            _ => None,
        }
    }

    fn sent_room(&self) -> Option<&SmolStr> {
        match &self.sent {
            Some(plan::Step::Unload { wanted, .. }) => Some(wanted),
            _ => None,
        }
    }

    /// No usable report came, or the engine can't be reached; whether what the directory says of it should be told instead.
    pub fn report_failed(&mut self, now: clock::Instant, reached: bool) -> bool {
        self.asking = false;
        self.report_at = Some(now.after(REPORT_PAUSE * 3));
        self.silent = !reached;
        !std::mem::replace(&mut self.told, true)
    }

    fn forget(&mut self, model: &SmolStr) {
        self.since.retain(|(name, _), _| name != model);
        self.held.loading_adapters.retain(|(name, _)| name != model);
    }
}
