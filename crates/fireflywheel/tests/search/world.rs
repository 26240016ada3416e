//! The log, the network and the engines of a search run, as bad as they may be.

use std::{collections::BTreeSet, rc::Rc};

use arbitrary::Unstructured;
use fireflywheel::{item, ledger, ledger::invariant, order, record, right};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

/// What a run draws from.
pub type Source<'a, 'b> = &'a mut Unstructured<'b>;

/// What the engines do with fencing numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Engines {
    Checked,
    Forgets,
    Ignored,
}

/// One rule that a run may leave out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// An order is sent only after its intent was read back.
    ReadBack,
    /// A placement is counted until its unload is confirmed.
    CountUntilConfirmed,
    /// Each sending has a fencing number of its own.
    FenceEachSending,
    /// A new epoch's fencing numbers are above all older ones.
    FenceByEpoch,
    /// Open intents are pinned when their epoch ends.
    PinOldEpoch,
    /// A lost answer leaves a pin.
    PinLostAnswer,
    /// A late answer to an older sending ends no doubt: its effect may have come after the newest one's.
    KeepStrays,
    /// A restart of the server ends no pin.
    PinAcrossRestart,
    /// Only an answer closes an intent, not a look at a report.
    CloseByAnswer,
    /// Only the answer to the newest sending closes an intent.
    NewestAnswer,
    /// An acknowledgement names the orders that may still arrive.
    NameStrays,
    /// When the pins are over, the placement is looked at before it is given up.
    LookAfterPins,
    /// A server seen gone takes along only what was known then.
    GoneAsSeen,
    /// A server seen gone leaves pins on its open intents.
    PinWhenGone,
    /// Engines that forget their number are taken for engines that ignore it.
    DistrustForgetful,
}

/// An engine.
pub struct Server {
    pub name: SmolStr,
    pub group: SmolStr,
    pub up: bool,
    seen: u64,
    pub loaded: BTreeSet<item::Item>,
    memory_allowed: u64,
}

/// An order on its way.
#[derive(Clone)]
pub struct Copy {
    pub from: record::Incarnation,
    pub server: SmolStr,
    pub group: SmolStr,
    pub epoch: u64,
    pub sending: u32,
    pub kind: order::Kind,
    pub item: item::Item,
    pub fencing: u64,
}

/// What an engine answered.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Outcome {
    Done { loaded: bool },
    Failed,
    Stale,
}

/// The log, the network and the engines.
pub struct World {
    pub engines: Engines,
    pub off: Option<Rule>,
    /// The ledger after each record; the first is the empty one.
    pub ledgers: Vec<Rc<ledger::Ledger>>,
    /// What each record brought.
    pub folded: Vec<Option<ledger::Folded>>,
    /// Appends that were given up for lost and may still land.
    pub limbo: Vec<String>,
    pub servers: Vec<Server>,
    pub network: Vec<Copy>,
    pub answers: Vec<(Copy, Outcome)>,
    replicas_allowed: [u32; NAMES.len()],
    time_ms: u64,
    published: u64,
}

const SERVERS: [(&str, &str); 4] = [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")];

/// Models and an adapter.
const NAMES: [(&str, Option<&str>); 4] = [("m", None), ("n", None), ("k", None), ("m", Some("t"))];

const START_MS: u64 = 1_700_000_000_000;

/// What an item takes in truth.
fn size_mb(item: &item::Item) -> u64 {
    match (item.model.as_str(), &item.adapter) {
        ("m", None) => 6 - 2 * u64::from(item.version % 2),
        ("n", None) => 3,
        ("k", None) => 5,
        _ => 2,
    }
}

impl World {
    pub fn new(engines: Engines, off: Option<Rule>) -> Self {
        let servers = SERVERS.iter().map(|(name, group)| Server {
            name: SmolStr::new(name),
            group: SmolStr::new(group),
            up: true,
            seen: 0,
            loaded: BTreeSet::new(),
            memory_allowed: 0,
        });
        Self {
            engines,
            off,
            ledgers: vec![Rc::new(ledger::Ledger::new())],
            folded: Vec::new(),
            limbo: Vec::new(),
            servers: servers.collect(),
            network: Vec::new(),
            answers: Vec::new(),
            replicas_allowed: [0; NAMES.len()],
            time_ms: START_MS,
            published: 0,
        }
    }

    pub fn has(&self, rule: Rule) -> bool {
        self.off != Some(rule)
    }

    pub fn head(&self) -> &Rc<ledger::Ledger> {
        self.ledgers.last().unwrap()
    }

    pub fn server(&mut self, name: &str) -> &mut Server {
        self.servers
            .iter_mut()
            .find(|server| server.name == name)
            .unwrap()
    }

    /// An operator changes caps, versions and memory.
    pub fn publish(&mut self, u: Source<'_, '_>) -> Result<(), String> {
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
        self.published += 1;
        let record = record::Record {
            rule: record::RULES_VERSION,
            id: record::Id {
                by: record::Incarnation {
                    instance: SmolStr::new("operator/desk"),
                    number: START_MS + self.published,
                },
                sequence: 1,
            },
            entries: vec![record::Entry::Publish {
                base: self.head().version(),
                text,
            }],
        };
        self.land(record.encode())
    }

    /// A record lands in the log.
    pub fn land(&mut self, body: String) -> Result<(), String> {
        self.time_ms += 100;
        let before = Rc::clone(self.head());
        let mut after = ledger::Ledger::clone(&before);
        let stored = record::Stored {
            offset: before.next(),
            time_ms: self.time_ms,
            body,
        };
        let folded = after.fold(&stored).map_err(|halt| halt.to_string())?;
        if self.off.is_none() {
            invariant::check_step(&before, &after)?;
        }
        let entries = folded.iter().flat_map(|folded| &folded.entries);
        for (entry, judgement) in entries {
            if *judgement == ledger::Decision::Accepted {
                after = self.without_rule(&before, after, entry);
            }
        }
        self.folded.push(folded);
        self.ledgers.push(Rc::new(after));
        Ok(())
    }

    /// Undoes what a rule that is left out has made of an accepted entry.
    fn without_rule(
        &self,
        before: &ledger::Ledger,
        after: ledger::Ledger,
        entry: &record::Entry,
    ) -> ledger::Ledger {
        let old_pins = |key: &right::Key| {
            let right = before.right(key);
            right.map_or_else(BTreeSet::new, |right| right.pins.clone())
        };
        match (entry, self.off) {
            (record::Entry::Steward { .. }, Some(Rule::PinOldEpoch)) => {
                edit(&after, |key, right| right.pins = old_pins(key))
            }
            (record::Entry::Gone { server, .. }, Some(Rule::PinWhenGone)) => {
                edit(&after, |key, right| {
                    if key.server == *server {
                        right.pins = old_pins(key);
                    }
                })
            }
            (
                record::Entry::Acknowledge { .. } | record::Entry::Close { .. },
                Some(Rule::LookAfterPins),
            ) => edit(&after, |_, right| right.unsure = false),
            _ => after,
        }
    }

    /// A server goes down, or comes up again at its address and empty.
    pub fn restart(&mut self, u: Source<'_, '_>) {
        let down = self.servers.iter().position(|server| !server.up);
        let any = u.choose_index(self.servers.len()).unwrap_or(0);
        let server = &mut self.servers[down.unwrap_or(any)];
        server.up = !server.up || u.ratio(1, 2).unwrap_or(false);
        server.loaded.clear();
        if self.engines == Engines::Forgets {
            server.seen = 0;
        }
        let name = server.name.clone();
        if !self.has(Rule::PinAcrossRestart) {
            let stripped = edit(self.head(), |key, right| {
                if key.server == name {
                    right.pins.clear();
                    right.unsure = false;
                }
            });
            *self.ledgers.last_mut().unwrap() = Rc::new(stripped);
        }
    }

    /// A copy of an order reaches its engine, whoever answers at that address now.
    pub fn deliver(&mut self, index: usize, u: Source<'_, '_>) {
        let copy = self.network[index].clone();
        let fences = self.engines != Engines::Ignored;
        let fails = u.ratio(1, 6).unwrap_or(false);
        let lost = u.ratio(1, 4).unwrap_or(false);
        let server = self.server(&copy.server);
        if !server.up {
            return;
        }
        let stale = fences && copy.fencing < server.seen;
        let based = copy.item.adapter.is_none() || server.loaded.contains(&copy.item.base());
        let held = server.loaded.contains(&copy.item);
        let outcome = if stale {
            Outcome::Stale
        } else {
            server.seen = server.seen.max(copy.fencing);
            match copy.kind {
                order::Kind::Load if !held && (fails || !based) => Outcome::Failed,
                order::Kind::Load => {
                    server.loaded.insert(copy.item.clone());
                    Outcome::Done { loaded: true }
                }
                order::Kind::Unload => {
                    server.loaded.remove(&copy.item);
                    Outcome::Done { loaded: false }
                }
                order::Kind::Query => Outcome::Done { loaded: held },
            }
        };
        self.network.swap_remove(index);
        if !lost {
            self.answers.push((copy, outcome));
        }
    }

    /// Holds the engines against what operators decided. Where a limit was lowered, what the ledger counted
    /// before may stay, and only shrink.
    pub fn check(&mut self) -> Result<(), String> {
        let ledger = Rc::clone(self.head());
        let document = ledger.document();
        for ((model, adapter), allowed) in NAMES.iter().zip(&mut self.replicas_allowed) {
            let is =
                |item: &item::Item| item.model == *model && item.adapter.as_deref() == *adapter;
            let cap = match adapter {
                None => document.models.get(*model).map(|model| model.replicas),
                Some(name) => document
                    .adapters
                    .get(*model)
                    .and_then(|adapters| adapters.get(*name))
                    .map(|adapter| adapter.replicas),
            };
            let counted = ledger.rights().keys().filter(|key| is(&key.item)).count();
            *allowed = cap
                .unwrap_or(0)
                .max((*allowed).min(u32::try_from(counted).unwrap()));
            let loaded = self.servers.iter().flat_map(|server| &server.loaded);
            let loaded = loaded.filter(|item| is(item)).count();
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

/// A ledger with its rights changed behind the fold's back, as a fold without one of its rules would have
/// them: empty placements that nothing holds are dropped.
fn edit<F>(ledger: &ledger::Ledger, change: F) -> ledger::Ledger
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
