//! The log, the network and the engines of a search run, with all the failures that they may have.

use std::{collections::BTreeSet, rc::Rc};

use arbitrary::Unstructured;
use fireflywheel::{item, ledger, ledger::invariant, order, record, right};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

/// The source of random choices of a run.
pub type Random<'a, 'b> = &'a mut Unstructured<'b>;

/// How the engines handle fencing numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Engines {
    /// Engines refuse old fencing numbers, even after a restart.
    Checked,
    /// Engines refuse old fencing numbers until they restart.
    Forgets,
    /// Engines do not check fencing numbers.
    Ignored,
}

/// A rule that a run may disable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// An order is sent only after its intent was read back.
    ReadBack,
    /// A placement is counted until its unload is confirmed.
    CountUntilConfirmed,
    /// Each attempt to send an order has a fencing number of its own.
    FenceEachAttempt,
    /// The fencing numbers of a new epoch are above those of all older epochs.
    FenceByEpoch,
    /// Open intents to load are pinned when their epoch ends.
    PinOldEpoch,
    /// A lost answer leaves a pin.
    PinLostAnswer,
    /// A late answer to an earlier attempt does not resolve a doubt, since that attempt may have taken effect after
    /// the newest one.
    KeepStrays,
    /// A restart of the server does not end a pin.
    PinAcrossRestart,
    /// Only an answer closes an intent; a report does not.
    CloseByAnswer,
    /// Only the answer to the newest attempt closes an intent.
    CloseByNewestAnswer,
    /// An acknowledgement names the orders that may still arrive.
    AcknowledgeStrays,
    /// After the pins of a placement have ended, the placement is verified before it is freed.
    VerifyAfterPins,
    /// The release of a gone server affects only rights that were known when the server was seen to be gone.
    LimitGoneToSeen,
    /// The release of a gone server sets pins on its open intents to load.
    PinWhenGone,
    /// Engines that forget their fencing number after a restart are treated like engines that ignore it.
    DistrustForgetful,
}

/// An engine.
pub struct Server {
    pub name: SmolStr,
    pub group: SmolStr,
    pub up: bool,
    /// The highest fencing number of the orders so far.
    highest_fencing: u64,
    pub loaded: BTreeSet<item::Item>,
    memory_allowed: u64,
}

/// An order that is on its way.
#[derive(Clone)]
pub struct SentOrder {
    pub from: record::Incarnation,
    pub server: SmolStr,
    pub group: SmolStr,
    pub epoch: u64,
    pub attempt: u32,
    pub kind: order::Kind,
    pub item: item::Item,
    pub fencing: u64,
}

/// The answer of an engine.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Outcome {
    Done { loaded: bool },
    Failed,
    Stale,
}

/// The log, the network and the engines.
pub struct World {
    pub engines: Engines,
    pub disabled: Option<Rule>,
    /// The ledger after each record; the first one is empty.
    pub ledgers: Vec<Rc<ledger::Ledger>>,
    /// The result of folding each record.
    pub folded: Vec<Option<ledger::Folded>>,
    /// Appends that were reported as lost and may still be stored.
    pub late_appends: Vec<String>,
    pub servers: Vec<Server>,
    pub network: Vec<SentOrder>,
    pub answers: Vec<(SentOrder, Outcome)>,
    replicas_allowed: [u32; NAMES.len()],
    time_ms: u64,
    published_count: u64,
}

const SERVERS: [(&str, &str); 4] = [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")];

/// The models and the adapter of a run.
const NAMES: [(&str, Option<&str>); 4] = [("m", None), ("n", None), ("k", None), ("m", Some("t"))];

const START_MS: u64 = 1_700_000_000_000;

/// The memory that an item takes on the engines, in MB.
fn size_mb(item: &item::Item) -> u64 {
    match (item.model.as_str(), &item.adapter) {
        ("m", None) => 6 - 2 * u64::from(item.version % 2),
        ("n", None) => 3,
        ("k", None) => 5,
        _ => 2,
    }
}

impl World {
    pub fn new(engines: Engines, disabled: Option<Rule>) -> Self {
        let servers = SERVERS.iter().map(|(name, group)| Server {
            name: SmolStr::new(name),
            group: SmolStr::new(group),
            up: true,
            highest_fencing: 0,
            loaded: BTreeSet::new(),
            memory_allowed: 0,
        });
        Self {
            engines,
            disabled,
            ledgers: vec![Rc::new(ledger::Ledger::new())],
            folded: Vec::new(),
            late_appends: Vec::new(),
            servers: servers.collect(),
            network: Vec::new(),
            answers: Vec::new(),
            replicas_allowed: [0; NAMES.len()],
            time_ms: START_MS,
            published_count: 0,
        }
    }

    pub fn has(&self, rule: Rule) -> bool {
        self.disabled != Some(rule)
    }

    pub fn newest_ledger(&self) -> &Rc<ledger::Ledger> {
        self.ledgers.last().unwrap()
    }

    pub fn server(&mut self, name: &str) -> &mut Server {
        self.servers
            .iter_mut()
            .find(|server| server.name == name)
            .unwrap()
    }

    /// Publishes random caps, versions and memory limits, as an operator does.
    pub fn publish(&mut self, u: Random<'_, '_>) -> Result<(), String> {
        let fencing = match self.engines {
            Engines::Checked => "checked",
            Engines::Forgets if !self.has(Rule::DistrustForgetful) => "checked",
            Engines::Forgets => "forgets",
            Engines::Ignored => "ignored",
        };
        let memory_mb = if u.ratio(1, 5).unwrap_or(false) {
            8
        } else {
            10
        };
        let mut text = String::from("[serving]\n");
        for group in ["a", "b"] {
            text += &format!(
                "[group {group}]\nkind = engine\nslots = 4\nmemory_mb = {memory_mb}\nfencing = {fencing}\n"
            );
        }
        for (model, adapter) in NAMES {
            let replicas = u.int_in_range(1..=2).unwrap_or(1);
            let version = u.int_in_range(1..=2).unwrap_or(1);
            let item = item::Item::new(model, version);
            let section = match adapter {
                None => {
                    let group = if model == "k" { "b" } else { "a" };
                    format!(
                        "[model {model}]\ngroup = {group}\nversion = {version}\nmemory_mb = {}\n",
                        size_mb(&item)
                    )
                }
                Some(name) => {
                    let size_mb = size_mb(&item.with_adapter(name));
                    format!("[adapter {model}:{name}]\nmemory_mb = {size_mb}\n")
                }
            };
            text += &format!("{section}replicas = {replicas}\n");
        }
        self.published_count += 1;
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id {
                by: record::Incarnation {
                    instance: SmolStr::new("operator/desk"),
                    number: START_MS + self.published_count,
                },
                sequence: 1,
            },
            entries: vec![record::Entry::Publish {
                base: self.newest_ledger().version(),
                text,
            }],
        };
        self.store(record.encode())
    }

    /// Stores a record in the log, and folds it.
    pub fn store(&mut self, body: String) -> Result<(), String> {
        self.time_ms += 100;
        let before = Rc::clone(self.newest_ledger());
        let mut after = ledger::Ledger::clone(&before);
        let stored = record::Stored {
            offset: before.next(),
            time_ms: self.time_ms,
            body,
        };
        let folded = after.fold(&stored).map_err(|error| error.to_string())?;
        if self.disabled.is_none() {
            invariant::check_step(&before, &after)?;
        }
        let entries = folded.iter().flat_map(|folded| &folded.entries);
        for (entry, decision) in entries {
            if *decision == ledger::Decision::Accepted {
                after = self.without_disabled_rule(&before, after, entry);
            }
        }
        self.folded.push(folded);
        self.ledgers.push(Rc::new(after));
        Ok(())
    }

    /// Reverts the effect of the disabled rule on an accepted entry.
    fn without_disabled_rule(
        &self,
        before: &ledger::Ledger,
        after: ledger::Ledger,
        entry: &record::Entry,
    ) -> ledger::Ledger {
        let old_pins = |key: &right::Key| {
            let right = before.right(key);
            right.map_or_else(BTreeSet::new, |right| right.pins.clone())
        };
        match (entry, self.disabled) {
            (record::Entry::Steward { .. }, Some(Rule::PinOldEpoch)) => {
                with_changed_rights(&after, |key, right| right.pins = old_pins(key))
            }
            (record::Entry::Gone { server, .. }, Some(Rule::PinWhenGone)) => {
                with_changed_rights(&after, |key, right| {
                    if key.server == *server {
                        right.pins = old_pins(key);
                    }
                })
            }
            (
                record::Entry::Acknowledge { .. } | record::Entry::Close { .. },
                Some(Rule::VerifyAfterPins),
            ) => with_changed_rights(&after, |_, right| right.unsure = false),
            _ => after,
        }
    }

    /// Stops a server, or starts it again, empty, at its address.
    pub fn restart(&mut self, u: Random<'_, '_>) {
        let down = self.servers.iter().position(|server| !server.up);
        let any = u.choose_index(self.servers.len()).unwrap_or(0);
        let server = &mut self.servers[down.unwrap_or(any)];
        server.up = !server.up || u.ratio(1, 2).unwrap_or(false);
        server.loaded.clear();
        if self.engines == Engines::Forgets {
            server.highest_fencing = 0;
        }
        let name = server.name.clone();
        if !self.has(Rule::PinAcrossRestart) {
            let without_pins = with_changed_rights(self.newest_ledger(), |key, right| {
                if key.server == name {
                    right.pins.clear();
                    right.unsure = false;
                }
            });
            *self.ledgers.last_mut().unwrap() = Rc::new(without_pins);
        }
    }

    /// Delivers an order to whatever engine runs at its address now.
    pub fn deliver(&mut self, index: usize, u: Random<'_, '_>) {
        let order = self.network[index].clone();
        let checks_fencing = self.engines != Engines::Ignored;
        let load_fails = u.ratio(1, 6).unwrap_or(false);
        let answer_lost = u.ratio(1, 4).unwrap_or(false);
        let server = self.server(&order.server);
        if !server.up {
            return;
        }
        let is_stale = checks_fencing && order.fencing < server.highest_fencing;
        let has_base = order.item.adapter.is_none() || server.loaded.contains(&order.item.base());
        let is_loaded = server.loaded.contains(&order.item);
        let outcome = if is_stale {
            Outcome::Stale
        } else {
            server.highest_fencing = server.highest_fencing.max(order.fencing);
            match order.kind {
                order::Kind::Load if !is_loaded && (load_fails || !has_base) => Outcome::Failed,
                order::Kind::Load => {
                    server.loaded.insert(order.item.clone());
                    Outcome::Done { loaded: true }
                }
                order::Kind::Unload => {
                    server.loaded.remove(&order.item);
                    Outcome::Done { loaded: false }
                }
                order::Kind::Query => Outcome::Done { loaded: is_loaded },
            }
        };
        self.network.swap_remove(index);
        if !answer_lost {
            self.answers.push((order, outcome));
        }
    }

    /// Checks the engines against the operators' limits. After a limit was lowered, what the ledger counted before may
    /// stay loaded, and may only decrease.
    pub fn check(&mut self) -> Result<(), String> {
        let ledger = Rc::clone(self.newest_ledger());
        let document = ledger.document();
        for ((model, adapter), allowed) in NAMES.iter().zip(&mut self.replicas_allowed) {
            let is_same =
                |item: &item::Item| item.model == *model && item.adapter.as_deref() == *adapter;
            let cap = match adapter {
                None => document.models.get(*model).map(|model| model.replicas),
                Some(name) => document
                    .adapters
                    .get(*model)
                    .and_then(|adapters| adapters.get(*name))
                    .map(|adapter| adapter.replicas),
            };
            let counted = ledger
                .rights()
                .keys()
                .filter(|key| is_same(&key.item))
                .count();
            *allowed = cap
                .unwrap_or(0)
                .max((*allowed).min(u32::try_from(counted).unwrap()));
            let loaded = self.servers.iter().flat_map(|server| &server.loaded);
            let loaded = loaded.filter(|item| is_same(item)).count();
            if loaded > *allowed as usize {
                return Err(format!(
                    "{loaded} replicas of {model} {adapter:?}, allowed are {allowed}"
                ));
            }
        }
        for server in &mut self.servers {
            let rights = ledger
                .rights()
                .iter()
                .filter(|(key, _)| key.server == server.name);
            let held: u64 = rights.map(|(_, right)| right.memory_mb).sum();
            let limit = document
                .groups
                .get(&server.group)
                .map_or(0, |group| group.memory_mb);
            server.memory_allowed = limit.max(server.memory_allowed.min(held));
            let used: u64 = server.loaded.iter().map(size_mb).sum();
            if used > server.memory_allowed {
                return Err(format!(
                    "{used} MB on {}, allowed are {}",
                    server.name, server.memory_allowed
                ));
            }
        }
        Ok(())
    }
}

/// Returns the ledger with changed rights, as a fold without one of its rules would produce it. Empty placements
/// that no longer need to be counted are removed.
fn with_changed_rights<F>(ledger: &ledger::Ledger, change: F) -> ledger::Ledger
where
    F: Fn(&right::Key, &mut right::Right),
{
    let text: String = ledger
        .checkpoint()
        .into_iter()
        .map(|part| part.text)
        .collect();
    let mut content: serde_json::Value = serde_json::from_str(&text).unwrap();
    let rights = serde_json::from_value(content["rights"].take()).unwrap();
    let mut rights: Vec<(right::Key, right::Right)> = rights;
    for (key, right) in &mut rights {
        change(key, right);
    }
    rights.retain(|(_, right)| {
        right.state != right::State::Empty || right.unsure || !right.pins.is_empty()
    });
    content["rights"] = serde_json::to_value(rights).unwrap();
    let text = content.to_string();
    let digest = Sha256::digest(&text);
    let hash: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let part = record::Part {
        next: ledger.next(),
        hash: hash.into(),
        part: 0,
        parts: 1,
        text,
    };
    ledger::Ledger::restore(&[part]).unwrap()
}
