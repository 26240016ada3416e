//! What the steward tells the instances that have a link to it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::load;
use smol_str::SmolStr;

use super::link;
use super::state::State;
use super::{HEARTBEAT_INTERVAL, STANDBYS};

/// Forecasts are sent again after this, since the wait that they tell of goes on.
const FORECAST: Duration = Duration::from_millis(500);

/// Up to this many instances are told of each change of an engine at once. With more, only those at which
/// requests wait: some twenty changes a second to each of 125 would take all of a small instance's processor.
const PROMPT_LINKS: usize = 40;

/// Engines in one frame: some 20 KB.
pub(super) const ENGINES_A_FRAME: usize = 64;

/// What engines have to do and how long queues take is told after this for each link, so that what it costs the steward
/// doesn't grow with the fleet. Among hundreds of instances it is still less than a long prompt takes to read.
const NEWS_A_LINK: Duration = Duration::from_micros(750);

/// So many engines are named at most, those with the most to do: some 2 KB, which each of 1,100 instances can hear
/// three times a second.
const LOADS: usize = 64;

/// It isn't told more often.
const SHORTEST_NEWS: Duration = Duration::from_millis(50);

impl State {
    pub(super) fn tell_forecasts(&mut self, now: clock::Instant, forecasts: Vec<frame::Forecast>) {
        let models = |list: &[frame::Forecast]| {
            list.iter()
                .map(|forecast| forecast.model.clone())
                .collect::<Vec<_>>()
        };
        // Queues come and go from one look to the next; told at once, each change would cost as much as all other news.
        let changed = models(&forecasts) != models(&self.forecasts);
        let pause = if changed { self.news_pause() } else { FORECAST };
        if now.since(self.forecast) < pause {
            return;
        }
        let empty = forecasts.is_empty() && self.forecasts.is_empty();
        self.forecasts = forecasts;
        self.forecast = now;
        if !empty {
            let frame = frame::Frame::Forecast(self.forecasts.clone());
            self.broadcast(&frame);
        }
    }

    /// Tells at its time what engines have to do; returns it for this instance itself.
    pub(super) fn tell_load(&mut self, now: clock::Instant) -> Option<Vec<load::Load>> {
        let (told, loaded) = self.load;
        if now.since(told) < self.news_pause() {
            return None;
        }
        let slots = |id: &SmolStr| {
            self.trackers
                .get(id)
                .map_or(0, |tracker| tracker.server.slots)
        };
        let loads = load::most_loaded(self.demands.loads(), slots, LOADS);
        self.load = (now, !loads.is_empty());
        if loads.is_empty() && !loaded {
            return None;
        }
        self.broadcast(&frame::Frame::Load(loads.clone()));
        Some(loads)
    }

    /// The time between two words to all instances.
    pub(super) fn news_pause(&self) -> Duration {
        let links = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        (NEWS_A_LINK * links).clamp(SHORTEST_NEWS, HEARTBEAT_INTERVAL)
    }

    /// Sends a configuration that is new here to all instances, if that isn't much, or else to those that the store doesn't answer. The
    /// others read it.
    pub(super) fn tell_config(&mut self, config: &Arc<config::Config>) {
        let known = self.config.as_ref().map(|(version, _)| *version);
        if known == Some(config.version) {
            return;
        }
        let bytes = frame::Frame::Configuration(Arc::clone(config)).encode();
        let all = self.links.len() * bytes.len() <= self.config_bytes;
        self.config = Some((config.version, bytes));
        let config = self.config.as_ref();
        self.links
            .retain(|_, link| !(all || link.needs_config) || link.send_config(config));
    }

    /// A heartbeat at its time, and at once when there is a new configuration.
    pub(super) fn send_heartbeat(&mut self, now: clock::Instant, heartbeat: &link::Heartbeat) {
        let due = self
            .last_heartbeat
            .is_none_or(|beat| now.since(beat) >= HEARTBEAT_INTERVAL);
        if !due && heartbeat.config_version == self.told_version {
            return;
        }
        self.last_heartbeat = Some(now);
        self.told_version = heartbeat.config_version;
        self.subscriptions.prune(now);
        self.tell_all_held(now);
        if heartbeat.active {
            self.tell_standbys();
            self.choose_whole(now);
        }
        self.links
            .retain(|_, link| link.send(&heartbeat.frame(link.stamp_ms)));
    }

    /// What an instance with a new link must know: of engines only if it is told of all.
    pub(super) fn first_frames(&self, now: clock::Instant, whole: bool) -> Vec<frame::Frame> {
        let mut frames = Vec::new();
        if !self.entries.is_empty() {
            let is_told = |group: &SmolStr| whole || !self.engines.contains(group);
            let entries = self.entries.values();
            let groups = self.groups.iter().filter(|group| is_told(group));
            frames.push(frame::Frame::Directory(frame::Changes {
                // Also those without a server: the receiver may know some that are gone.
                complete_groups: groups.cloned().collect(),
                entries: entries
                    .filter(|entry| is_told(&entry.group))
                    .cloned()
                    .collect(),
                gone: Vec::new(),
            }));
        }
        if whole {
            frames.extend(self.engine_frames(now));
        }
        frames.push(frame::Frame::Forecast(self.forecasts.clone()));
        frames.push(frame::Frame::Standbys(self.standbys.clone()));
        if !self.shares.is_empty() {
            frames.push(frame::Frame::Shares(self.shares.clone()));
        }
        frames
    }

    /// All engines, in frames of a size that a slow link can take between two heartbeats.
    fn engine_frames(&self, now: clock::Instant) -> Vec<frame::Frame> {
        let engines: Vec<frame::Holding> = self
            .trackers
            .values()
            .map(|tracker| tracker.holding(now))
            .collect();
        let chunks = engines.chunks(ENGINES_A_FRAME);
        let frames = chunks.map(|chunk| {
            frame::Frame::Held(frame::Holdings {
                engines: chunk.to_vec(),
                complete: Vec::new(),
            })
        });
        frames
            .chain(std::iter::once(frame::Frame::AllEngines(true)))
            .collect()
    }

    /// Whether all instances are told of all engines, with so many links.
    pub(super) fn tells_all(&self, links: usize) -> bool {
        let told = links * self.trackers.len();
        // Hysteresis: instances that come and go don't switch it each time.
        let most = if self.telling_all {
            self.tell_all
        } else {
            self.tell_all / 2
        };
        told <= most
    }

    /// Decides which instances are told of all engines: all while that isn't much, and standbys, which must know them when
    /// they take over, whether or not the store answers them then.
    pub(super) fn choose_whole(&mut self, now: clock::Instant) {
        self.telling_all = self.tells_all(self.links.len());
        let few = self.telling_all;
        let standbys: BTreeSet<(SmolStr, u64)> = self
            .standbys
            .iter()
            .map(|peer| (peer.instance.clone(), peer.incarnation))
            .collect();
        let is_whole = |link: &link::Link| {
            few || standbys.contains(&(link.peer.instance.clone(), link.peer.incarnation))
        };
        let all = self.links.values();
        if all.clone().all(|link| link.whole == is_whole(link)) {
            return;
        }
        let whole: Vec<Bytes> = self
            .engine_frames(now)
            .iter()
            .map(frame::Frame::encode)
            .collect();
        let part = frame::Frame::AllEngines(false).encode();
        self.links.retain(|_, link| {
            let (before, after) = (link.whole, is_whole(link));
            link.whole = after;
            let frames = match (before, after) {
                (false, true) => &whole[..],
                (true, false) => std::slice::from_ref(&part),
                (true, true) | (false, false) => &[],
            };
            frames
                .iter()
                .all(|frame| link.sender.try_send(frame.clone()).is_ok())
        });
    }

    /// A link asks for models: it is told at once which engines hold them.
    pub(super) fn answer(&mut self, now: clock::Instant, number: u64, models: &[SmolStr]) {
        let Some(link) = self.links.get(&number) else {
            return;
        };
        for model in models {
            let holders = self.subscriptions.subscribe(now, number, model);
            let engines = holders
                .iter()
                .filter_map(|engine| Some(self.trackers.get(engine)?.holding(now)));
            let told = link.send(&frame::Frame::Held(frame::Holdings {
                engines: engines.collect(),
                complete: vec![model.clone()],
            }));
            if !told {
                self.links.remove(&number);
                return;
            }
        }
    }

    /// Names the strongest instances that stay as standbys.
    fn tell_standbys(&mut self) {
        let mut staying: Vec<&link::Link> =
            self.links.values().filter(|link| !link.leaving).collect();
        staying.sort_by(|a, b| {
            let strength = b.cpu_share.total_cmp(&a.cpu_share);
            strength.then_with(|| a.peer.instance.cmp(&b.peer.instance))
        });
        let standbys: Vec<lease::Record> = staying
            .iter()
            .take(STANDBYS)
            .map(|link| link.peer.clone())
            .collect();
        // One that has lost all links asks those that it named who is steward now.
        if !standbys.is_empty() && standbys != self.standbys {
            self.standbys = standbys;
            self.broadcast(&frame::Frame::Standbys(self.standbys.clone()));
        }
    }

    /// Tells what has changed in the directory: of engines those who are told of them, of other servers all.
    pub(super) fn tell_directory(&mut self, entries: BTreeMap<SmolStr, frame::Entry>) {
        let changes = frame::Changes::between(&self.entries, &entries);
        let before = std::mem::replace(&mut self.entries, entries);
        let Some(changes) = changes else {
            return;
        };
        let mut told: BTreeMap<SmolStr, BTreeSet<u64>> = BTreeMap::new();
        let changed = changes.entries.iter().map(|entry| &entry.id);
        for id in changed.chain(&changes.gone) {
            let entry = self.entries.get(id).or_else(|| before.get(id));
            if entry.is_some_and(|entry| self.engines.contains(&entry.group)) {
                told.insert(id.clone(), self.subscriptions.subscribers(id));
            }
        }
        for id in &changes.gone {
            self.subscriptions.update_engine(id, []);
        }
        let all = frame::Frame::Directory(changes.clone()).encode();
        self.links.retain(|number, link| {
            if link.whole {
                return link.sender.try_send(all.clone()).is_ok();
            }
            let is_told = |id: &SmolStr| told.get(id).is_none_or(|links| links.contains(number));
            let part = changes.filter(is_told);
            part.is_none_or(|part| link.send(&frame::Frame::Directory(part)))
        });
    }

    /// An engine has changed.
    pub(super) fn tell_held(&mut self, server: &SmolStr) {
        let models = self
            .trackers
            .get(server)
            .map(|tracker| &tracker.held.models);
        let models = models.into_iter().flat_map(BTreeMap::keys);
        let links = self.subscriptions.update_engine(server, models);
        for (number, link) in &mut self.links {
            if link.whole || links.contains(number) {
                link.untold.insert(server.clone());
            }
        }
    }

    /// Tells those at once for whom it may matter; all, if they are few.
    pub(super) fn tell_waiting(&mut self, now: clock::Instant) {
        let trackers = &self.trackers;
        let few = self.links.len() <= PROMPT_LINKS;
        self.links
            .retain(|_, link| !(few || link.waits) || link.tell(now, trackers));
    }

    pub(super) fn tell_all_held(&mut self, now: clock::Instant) {
        let trackers = &self.trackers;
        self.links.retain(|_, link| link.tell(now, trackers));
    }

    /// A link whose queue is full is dropped: its instance would go on with old news.
    pub(super) fn broadcast(&mut self, frame: &frame::Frame) {
        let bytes = frame.encode();
        self.links
            .retain(|_, link| link.sender.try_send(bytes.clone()).is_ok());
    }
}
