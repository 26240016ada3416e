//! Frames that the steward sends to linked instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::fleet::config::history;
use fireflywheel::fleet::era::Position;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::lease;
use fireflywheel::fleet::load;
use fireflywheel::fleet::prefix;
use fireflywheel::fleet::scheduling;
use smol_str::SmolStr;

use super::link;
use super::state::State;
use super::updates;
use super::{HEARTBEAT_INTERVAL, MAX_STANDBYS};

/// Interval at which unchanged forecasts are sent again, since the waits that they predict go on.
const FORECAST_INTERVAL: Duration = Duration::from_millis(500);

/// Up to this many links, every instance receives each change of an engine at once. With more links only
/// those instances do at which requests wait: some twenty changes a second to each of 125 instances would
/// take all of a small instance's processor.
const MAX_PROMPT_LINKS: usize = 40;

/// Maximum number of engines in one frame, which makes some 20 KB.
pub(super) const MAX_ENGINES_PER_FRAME: usize = 64;

/// Interval between broadcasts of loads, forecasts and shares for each link, so that their cost to the
/// steward does not grow with the fleet. Among hundreds of instances the interval is still shorter than the
/// prefill of a long prompt.
const BROADCAST_INTERVAL_PER_LINK: Duration = Duration::from_micros(750);

/// Maximum number of engines in a broadcast of loads, those with the highest load: some 2 KB, which each of
/// 1,100 instances can receive three times a second.
const MAX_LOADS: usize = 64;

/// The same while the speed of servers counts, for deployments whose engines have few slots.
const MAX_DETAILED_LOADS: usize = 96;

/// Minimum interval between broadcasts.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(50);

impl State {
    pub(super) fn send_forecasts(&mut self, now: clock::Instant, forecasts: Vec<frame::Forecast>) {
        let models = |list: &[frame::Forecast]| {
            list.iter()
                .map(|forecast| (forecast.model.clone(), forecast.version.clone()))
                .collect::<Vec<_>>()
        };
        // Queues appear and disappear between two planning passes. Sending each change at once would cost as
        // much as all other broadcasts.
        let changed = models(&forecasts) != models(&self.forecasts);
        let interval = if changed {
            self.broadcast_interval()
        } else {
            FORECAST_INTERVAL
        };
        if now.since(self.forecasts_sent_at) < interval {
            return;
        }
        let empty = forecasts.is_empty() && self.forecasts.is_empty();
        self.forecasts = forecasts;
        self.forecasts_sent_at = now;
        if empty {
            return;
        }
        let has_versions = self.forecasts.iter().any(|one| one.version.is_some());
        let all = frame::Frame::Forecast(self.forecasts.clone()).encode();
        let others = match has_versions {
            true => self.unversioned_forecasts().encode(),
            false => all.clone(),
        };
        self.links.retain(|_, link| {
            let frame = if link.needs_versions { &all } else { &others };
            link.sender.try_send(frame.clone()).is_ok()
        });
    }

    /// The forecasts for requests that any version can run.
    fn unversioned_forecasts(&self) -> frame::Frame {
        let forecasts = self.forecasts.iter();
        let unversioned = forecasts.filter(|forecast| forecast.version.is_none());
        frame::Frame::Forecast(unversioned.cloned().collect())
    }

    /// Broadcasts the loads of engines when that is due. Returns them for this instance itself.
    pub(super) fn send_loads(
        &mut self,
        now: clock::Instant,
        parts: scheduling::Parts,
    ) -> Option<Vec<load::Load>> {
        let (sent_at, had_loads) = self.loads_sent;
        if now.since(sent_at) < self.broadcast_interval() {
            return None;
        }
        let slots = |id: &SmolStr| {
            self.trackers
                .get(id)
                .map_or(0, |tracker| tracker.server.slots)
        };
        let mut loads = match parts.speed {
            true => {
                let loads = self.demands.loads();
                let mut loads = load::loaded_in_detail(loads, slots, MAX_DETAILED_LOADS);
                self.count_rivals(&mut loads);
                self.speeds.tell(now, loads)
            }
            false => load::most_loaded(self.demands.loads(), slots, MAX_LOADS),
        };
        let kept = self.prefixes.take();
        if !kept.is_empty() {
            let trackers = &self.trackers;
            self.prefixes.retain(|server| trackers.contains_key(server));
            prefix::news::attach(&mut loads, &self.demands.loads(), kept);
        }
        self.loads_sent = (now, !loads.is_empty());
        if loads.is_empty() && !had_loads {
            return None;
        }
        self.broadcast(&frame::Frame::Load(loads.clone()));
        Some(loads)
    }

    /// Adds at how many instances requests wait for a model that an engine holds.
    fn count_rivals(&self, loads: &mut [load::Load]) {
        let waiting = self.demands.waiting_instances();
        if waiting.is_empty() {
            return;
        }
        for load in loads {
            let Some(tracker) = self.trackers.get(&load.server) else {
                continue;
            };
            let models = tracker.held.models.keys();
            let counts = models.filter_map(|model| waiting.get(&(&tracker.group, model)));
            load.rivals = counts.sum();
        }
    }

    /// Interval between two broadcasts to all instances.
    pub(super) fn broadcast_interval(&self) -> Duration {
        let links = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        (BROADCAST_INTERVAL_PER_LINK * links).clamp(MIN_BROADCAST_INTERVAL, HEARTBEAT_INTERVAL)
    }

    /// Sends the update to the newest of these configurations to all instances that have an earlier one.
    pub(super) fn send_config(&mut self, configs: history::History) {
        let known = self.config_updates.as_ref().map(updates::Cache::target);
        let newest = configs.newest().map(|newest| newest.revision);
        if known == newest {
            return;
        }
        self.config_updates = updates::Cache::new(configs);
        if let Some(updates) = &mut self.config_updates {
            self.links.retain(|_, link| link.send_config(updates));
        }
    }

    /// Sends a heartbeat when it is due, and at once when there is a new configuration.
    pub(super) fn send_heartbeat(&mut self, now: clock::Instant, heartbeat: &link::Heartbeat) {
        let due = self
            .last_heartbeat
            .is_none_or(|sent_at| now.since(sent_at) >= HEARTBEAT_INTERVAL);
        if !due && heartbeat.config == self.sent_config {
            return;
        }
        self.last_heartbeat = Some(now);
        self.sent_config = heartbeat.config;
        self.subscriptions.prune(now);
        self.send_all_changes(now);
        if heartbeat.active {
            self.send_standbys();
            self.select_all_engine_links(now);
        }
        self.links
            .retain(|_, link| link.send(&heartbeat.frame(link.stamp_ms)));
    }

    /// Frames for an instance with a new link. They contain engines only if it receives all of them.
    pub(super) fn first_frames(&self, now: clock::Instant, all_engines: bool) -> Vec<frame::Frame> {
        let mut frames = Vec::new();
        frames.extend(self.whole_directory(all_engines));
        if all_engines {
            frames.extend(self.engine_frames(now));
        }
        frames.push(self.unversioned_forecasts());
        frames.push(frame::Frame::Standbys(self.standbys.clone()));
        if !self.shares.is_empty() {
            frames.push(frame::Frame::Shares(self.shares.clone()));
        }
        frames
    }

    /// The whole directory; engines only with `all_engines`. `None` before it is known in this stewardship.
    fn whole_directory(&self, all_engines: bool) -> Option<frame::Frame> {
        let receives = |group: &SmolStr| all_engines || !self.engine_groups.contains(group);
        let entries = self.entries.as_ref()?.values();
        let groups = self.groups.iter().filter(|group| receives(group));
        Some(frame::Frame::Directory(frame::Changes {
            // Groups without a server are included: the receiver may know servers that are gone.
            complete_groups: groups.cloned().collect(),
            entries: entries
                .filter(|entry| receives(&entry.group))
                .cloned()
                .collect(),
            removed: Vec::new(),
            as_of: self.entries_as_of,
            base: None,
        }))
    }

    /// All engines, in frames of a size that a slow link can take between two heartbeats.
    fn engine_frames(&self, now: clock::Instant) -> Vec<frame::Frame> {
        let engines: Vec<frame::EngineHoldings> = self
            .trackers
            .values()
            .map(|tracker| tracker.holding(now))
            .collect();
        let chunks = engines.chunks(MAX_ENGINES_PER_FRAME);
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

    /// Whether all instances receive all engines, with this many links.
    pub(super) fn should_send_all_engines(&self, links: usize) -> bool {
        let total = links * self.trackers.len();
        // Hysteresis: instances that come and go do not switch the mode each time.
        let limit = if self.sends_all_engines {
            self.all_engines_limit
        } else {
            self.all_engines_limit / 2
        };
        total <= limit
    }

    /// Decides which instances receive all engines: all instances while the total is small, and always the
    /// standbys, which must know all engines when they take over, whether or not the store answers them then.
    pub(super) fn select_all_engine_links(&mut self, now: clock::Instant) {
        self.sends_all_engines = self.should_send_all_engines(self.links.len());
        let send_to_all = self.sends_all_engines;
        let standbys: BTreeSet<(SmolStr, u64)> = self
            .standbys
            .iter()
            .map(|peer| (peer.instance.clone(), peer.incarnation))
            .collect();
        let receives_all = |link: &link::Link| {
            send_to_all || standbys.contains(&(link.peer.instance.clone(), link.peer.incarnation))
        };
        let all = self.links.values();
        if all
            .clone()
            .all(|link| link.all_engines == receives_all(link))
        {
            return;
        }
        // The receivers may know engines that are gone.
        let all_frames = self.whole_directory(true).into_iter();
        let all_frames: Vec<Bytes> = all_frames
            .chain(self.engine_frames(now))
            .map(|frame| frame.encode())
            .collect();
        let partial_frame = frame::Frame::AllEngines(false).encode();
        let as_of = self.entries_as_of;
        self.links.retain(|_, link| {
            let (before, after) = (link.all_engines, receives_all(link));
            link.all_engines = after;
            if after && !before {
                link.directory_as_of = as_of;
            }
            let frames = match (before, after) {
                (false, true) => &all_frames[..],
                (true, false) => std::slice::from_ref(&partial_frame),
                (true, true) | (false, false) => &[],
            };
            frames
                .iter()
                .all(|frame| link.sender.try_send(frame.clone()).is_ok())
        });
    }

    /// Subscribes a link to models, and sends it at once which engines hold them.
    pub(super) fn subscribe(&mut self, now: clock::Instant, number: u64, models: &[SmolStr]) {
        let Some(link) = self.links.get(&number) else {
            return;
        };
        for model in models {
            let holders = self.subscriptions.subscribe(now, number, model);
            let engines = holders
                .iter()
                .filter_map(|engine| Some(self.trackers.get(engine)?.holding(now)));
            let sent = link.send(&frame::Frame::Held(frame::Holdings {
                engines: engines.collect(),
                complete: vec![model.clone()],
            }));
            if !sent {
                self.links.remove(&number);
                return;
            }
        }
    }

    /// Announces the strongest instances that stay as standbys.
    fn send_standbys(&mut self) {
        let mut staying: Vec<&link::Link> =
            self.links.values().filter(|link| !link.leaving).collect();
        staying.sort_by(|a, b| {
            let strength = b.cpu_share.total_cmp(&a.cpu_share);
            strength.then_with(|| a.peer.instance.cmp(&b.peer.instance))
        });
        let standbys: Vec<lease::Record> = staying
            .iter()
            .take(MAX_STANDBYS)
            .map(|link| link.peer.clone())
            .collect();
        // The list is never emptied: an instance that has lost all links asks the standbys that it named who
        // is steward now.
        if !standbys.is_empty() && standbys != self.standbys {
            self.standbys = standbys;
            // Instances without a link ask standbys only.
            self.keepers.clear();
            self.broadcast(&frame::Frame::Standbys(self.standbys.clone()));
        }
    }

    /// Sends the changes of the directory: those of engines to the links that receive these engines, and
    /// those of other servers to all links.
    pub(super) fn send_directory(
        &mut self,
        entries: BTreeMap<SmolStr, frame::Entry>,
        as_of: Option<Position>,
    ) {
        let before = self.entries.replace(entries);
        self.entries_as_of = as_of;
        self.send_whole_directory();
        let (Some(before), Some(entries)) = (&before, &self.entries) else {
            return;
        };
        let Some(mut changes) = frame::Changes::between(before, entries) else {
            return;
        };
        changes.as_of = as_of;
        let mut subscribers: BTreeMap<SmolStr, BTreeSet<u64>> = BTreeMap::new();
        let changed = changes.entries.iter().map(|entry| &entry.id);
        for id in changed.chain(&changes.removed) {
            let entry = entries.get(id).or_else(|| before.get(id));
            if entry.is_some_and(|entry| self.engine_groups.contains(&entry.group)) {
                subscribers.insert(id.clone(), self.subscriptions.subscribers(id));
            }
        }
        for id in &changes.removed {
            self.subscriptions.update_engine(id, []);
        }
        // Links that receive all engines have received the same frames, or the whole directory since.
        let all = frame::Changes {
            base: self.changes_as_of,
            ..changes.clone()
        };
        let all = frame::Frame::Directory(all).encode();
        self.changes_as_of = as_of;
        self.links.retain(|number, link| {
            if link.all_engines {
                link.directory_as_of = as_of;
                return link.sender.try_send(all.clone()).is_ok();
            }
            let receives = |id: &SmolStr| {
                subscribers
                    .get(id)
                    .is_none_or(|links| links.contains(number))
            };
            let Some(part) = changes.filter(receives) else {
                return true;
            };
            let part = frame::Changes {
                base: link.directory_as_of,
                ..part
            };
            link.directory_as_of = as_of;
            link.send(&frame::Frame::Directory(part))
        });
    }

    /// Sends the whole directory to the links that haven't received it from this stewardship.
    pub(super) fn send_whole_directory(&mut self) {
        if self.links.values().all(|link| link.has_directory) {
            return;
        }
        let as_of = self.entries_as_of;
        let frames = [false, true].map(|all_engines| self.whole_directory(all_engines));
        let frames = frames.map(|frame| frame.as_ref().map(frame::Frame::encode));
        self.links.retain(|_, link| {
            let frame = frames[usize::from(link.all_engines)].as_ref();
            let frame = frame.filter(|_| !link.has_directory);
            if frame.is_some() {
                link.directory_as_of = as_of;
            }
            link.has_directory = true;
            frame.is_none_or(|frame| link.sender.try_send(frame.clone()).is_ok())
        });
    }

    /// Marks an engine as changed for the links that receive it.
    pub(super) fn mark_changed(&mut self, server: &SmolStr) {
        let models = self
            .trackers
            .get(server)
            .map(|tracker| &tracker.held.models);
        let models = models.into_iter().flat_map(BTreeMap::keys);
        let links = self.subscriptions.update_engine(server, models);
        for (number, link) in &mut self.links {
            if link.all_engines || links.contains(number) {
                link.changed_engines.insert(server.clone());
            }
        }
    }

    /// Sends changed engines at once to the instances at which requests wait, or to all if there are few.
    pub(super) fn send_prompt_changes(&mut self, now: clock::Instant) {
        let trackers = &self.trackers;
        let send_to_all = self.links.len() <= MAX_PROMPT_LINKS;
        self.links.retain(|_, link| {
            !(send_to_all || link.has_waiting) || link.send_changes(now, trackers)
        });
    }

    pub(super) fn send_all_changes(&mut self, now: clock::Instant) {
        let trackers = &self.trackers;
        self.links
            .retain(|_, link| link.send_changes(now, trackers));
    }

    /// Sends a frame to all links. A link whose queue is full is dropped, since its instance would go on with
    /// outdated information.
    pub(super) fn broadcast(&mut self, frame: &frame::Frame) {
        let bytes = frame.encode();
        self.links
            .retain(|_, link| link.sender.try_send(bytes.clone()).is_ok());
    }
}
