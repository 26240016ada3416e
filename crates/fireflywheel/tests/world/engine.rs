//! A model engine, in memory: it counts what it has loaded and runs, and does as it is told.

use std::collections::BTreeMap;

use fireflywheel::{item, order, report, request};
use smol_str::{SmolStr, format_smolstr};

#[derive(Default)]
pub struct Engine {
    pub fenced: bool,
    pub fence: u64,
    /// What takes memory, from the start of its load: megabytes, and whether it can be used yet.
    pub loaded: BTreeMap<item::Item, Placed>,
    pub running: BTreeMap<SmolStr, u32>,
    pub runs: BTreeMap<SmolStr, u32>,
    pub boot: u64,
    pub frozen: bool,
    pub leaving: bool,
    pub kept: Vec<(usize, u64, order::AttemptId, order::Command)>,
    works: BTreeMap<u64, (order::Command, u64)>,
    works_count: u64,
    pub load_ms: u64,
    /// What its reports say of checkpoints.
    pub checkpoints: Vec<report::Checkpoint>,
}

#[derive(Clone, Copy, Debug)]
pub struct Placed {
    pub memory_mb: u64,
    pub usable: bool,
}

pub enum Taken {
    Now(order::Answer),
    Work { work: u64, wait_ms: u64 },
}

pub enum Finish {
    Answer(order::Answer),
    Later,
}

impl Engine {
    pub fn new(fenced: bool) -> Self {
        Self {
            fenced,
            load_ms: 300,
            ..Self::default()
        }
    }

    pub fn memory_mb(&self) -> u64 {
        self.loaded.values().map(|placed| placed.memory_mb).sum()
    }

    /// Empties it in place, as a restart does; a fencing engine keeps its number.
    pub fn restart(&mut self) {
        self.boot += 1;
        self.loaded.clear();
        self.works.clear();
        self.running.clear();
    }

    pub fn take(&mut self, command: &order::Command, slowness: f64) -> Taken {
        if self.fenced && command.fencing < self.fence {
            return Taken::Now(order::Answer::Stale);
        }
        if self.fenced && command.fencing > self.fence {
            self.fence = command.fencing;
            self.abandon(&command.item);
        }
        match command.kind {
            order::Kind::Query => Taken::Now(self.done()),
            order::Kind::Load => self.take_load(command, slowness),
            order::Kind::Unload => self.take_unload(command),
        }
    }

    /// Whether an order makes it load what it doesn't have.
    pub fn begins_load(&self, command: &order::Command) -> bool {
        let stale = self.fenced && command.fencing < self.fence;
        command.kind == order::Kind::Load && !stale && !self.loaded.contains_key(&command.item)
    }

    fn take_load(&mut self, command: &order::Command, slowness: f64) -> Taken {
        if let Some(placed) = self.loaded.get_mut(&command.item) {
            if placed.usable {
                return Taken::Now(self.done());
            }
        } else {
            let placed = Placed {
                memory_mb: command.memory_mb,
                usable: false,
            };
            self.loaded.insert(command.item.clone(), placed);
        }
        let wait_ms = (self.load_ms as f64 * slowness) as u64;
        self.work(command, wait_ms)
    }

    fn take_unload(&mut self, command: &order::Command) -> Taken {
        match self.loaded.get_mut(&command.item) {
            None => Taken::Now(self.done()),
            Some(placed) => {
                placed.usable = false;
                self.work(command, 1)
            }
        }
    }

    fn work(&mut self, command: &order::Command, wait_ms: u64) -> Taken {
        self.works_count += 1;
        let work = (command.clone(), self.boot);
        self.works.insert(self.works_count, work);
        Taken::Work {
            work: self.works_count,
            wait_ms,
        }
    }

    /// A higher number shuts out what a lower one had begun for the item.
    fn abandon(&mut self, item: &item::Item) {
        let works = std::mem::take(&mut self.works);
        let (gone, kept): (BTreeMap<_, _>, BTreeMap<_, _>) = works
            .into_iter()
            .partition(|(_, (work, _))| work.item == *item);
        self.works = kept;
        for (work, _) in gone.into_values() {
            if work.kind == order::Kind::Load {
                self.loaded.remove(&work.item);
            } else if let Some(placed) = self.loaded.get_mut(&work.item) {
                placed.usable = true;
            }
        }
    }

    pub fn finish(&mut self, work: u64) -> Finish {
        let Some((command, boot)) = self.works.get(&work).cloned() else {
            return Finish::Answer(order::Answer::Lost);
        };
        if boot != self.boot {
            return Finish::Answer(order::Answer::Lost);
        }
        if command.kind == order::Kind::Unload {
            let busy = self.running.get(&command.item.model).copied().unwrap_or(0);
            if busy > 0 {
                return Finish::Later;
            }
            self.loaded.remove(&command.item);
        } else if let Some(placed) = self.loaded.get_mut(&command.item) {
            placed.usable = true;
        }
        self.works.remove(&work);
        Finish::Answer(self.done())
    }

    fn done(&self) -> order::Answer {
        let loaded = self.loaded.iter().filter(|(_, placed)| placed.usable);
        order::Answer::Done(order::Loaded {
            loaded: loaded.map(|(item, _)| item.clone()).collect(),
            boot: format_smolstr!("b{}", self.boot),
        })
    }

    pub fn begin(&mut self, target: Option<&request::Target>) -> Result<(), request::Cause> {
        let Some(request::Target::Model { model, adapter }) = target else {
            return Ok(());
        };
        if self.leaving {
            return Err(request::Cause::Draining);
        }
        let usable = self.loaded.iter().any(|(item, placed)| {
            item.model == *model && item.adapter == *adapter && placed.usable
        });
        if !usable {
            return Err(request::Cause::NotLoaded);
        }
        *self.running.entry(model.clone()).or_default() += 1;
        Ok(())
    }

    pub fn end(&mut self, target: Option<&request::Target>) {
        let Some(request::Target::Model { model, .. }) = target else {
            return;
        };
        if let Some(running) = self.running.get_mut(model) {
            *running = running.saturating_sub(1);
        }
    }

    pub fn report(&self, at_ms: u64) -> report::Report {
        let usable = self.loaded.iter().filter(|(_, placed)| placed.usable);
        report::Report {
            at_ms,
            boot: format_smolstr!("b{}", self.boot),
            running: self.running.values().sum(),
            waiting: 0,
            slots: 16,
            loaded: usable.map(|(item, _)| item.clone()).collect(),
            leaving: self.leaving,
            checkpoints: self.checkpoints.clone(),
            ..report::Report::default()
        }
    }
}
