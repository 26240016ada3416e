//! A model engine in memory, which carries out orders and counts what it has loaded and runs.

use std::collections::BTreeMap;

use fireflywheel::{item, order, report, request};
use smol_str::{SmolStr, format_smolstr};

#[derive(Default)]
pub struct Engine {
    pub fenced: bool,
    /// The highest fencing number of the orders so far.
    pub highest_fencing: u64,
    /// The items that take memory, each from the start of its load.
    pub loaded: BTreeMap<item::Item, Replica>,
    /// Requests in progress, by model.
    pub running: BTreeMap<SmolStr, u32>,
    /// The number of runs of each request, by the request's id.
    pub runs: BTreeMap<SmolStr, u32>,
    pub boot: u64,
    pub frozen: bool,
    pub leaving: bool,
    /// The number of requests that were refused because the engine is leaving.
    pub refused_as_leaving: u32,
    /// Orders that arrived while the engine was frozen: the sender's index and incarnation, the attempt and the
    /// command.
    pub queued_orders: Vec<(usize, u64, order::AttemptId, order::Command)>,
    /// Orders in progress, each with the boot count at its start.
    in_progress: BTreeMap<u64, (order::Command, u64)>,
    started_count: u64,
    pub load_ms: u64,
    /// The checkpoints that the engine's reports list.
    pub checkpoints: Vec<report::Checkpoint>,
}

#[derive(Clone, Copy, Debug)]
pub struct Replica {
    pub memory_mb: u64,
    /// Whether the load has finished and no unload has started.
    pub usable: bool,
}

pub enum OrderResult {
    Now(order::Answer),
    InProgress { work: u64, wait_ms: u64 },
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
        self.loaded.values().map(|replica| replica.memory_mb).sum()
    }

    /// Restarts the engine: its memory is empty afterwards, and its fencing number is kept.
    pub fn restart(&mut self) {
        self.boot += 1;
        self.loaded.clear();
        self.in_progress.clear();
        self.running.clear();
    }

    pub fn take(&mut self, command: &order::Command, slowness: f64) -> OrderResult {
        if self.fenced && command.fencing < self.highest_fencing {
            return OrderResult::Now(order::Answer::Stale);
        }
        if self.fenced && command.fencing > self.highest_fencing {
            self.highest_fencing = command.fencing;
            self.cancel(&command.item);
        }
        match command.kind {
            order::Kind::Query => OrderResult::Now(self.done_answer()),
            order::Kind::Load => self.start_load(command, slowness),
            order::Kind::Unload => self.start_unload(command),
        }
    }

    /// Whether an order makes the engine start a new load.
    pub fn begins_load(&self, command: &order::Command) -> bool {
        let is_stale = self.fenced && command.fencing < self.highest_fencing;
        command.kind == order::Kind::Load && !is_stale && !self.loaded.contains_key(&command.item)
    }

    fn start_load(&mut self, command: &order::Command, slowness: f64) -> OrderResult {
        if let Some(replica) = self.loaded.get_mut(&command.item) {
            if replica.usable {
                return OrderResult::Now(self.done_answer());
            }
        } else {
            let replica = Replica {
                memory_mb: command.memory_mb,
                usable: false,
            };
            self.loaded.insert(command.item.clone(), replica);
        }
        let wait_ms = (self.load_ms as f64 * slowness) as u64;
        self.start_work(command, wait_ms)
    }

    fn start_unload(&mut self, command: &order::Command) -> OrderResult {
        match self.loaded.get_mut(&command.item) {
            None => OrderResult::Now(self.done_answer()),
            Some(replica) => {
                replica.usable = false;
                self.start_work(command, 1)
            }
        }
    }

    fn start_work(&mut self, command: &order::Command, wait_ms: u64) -> OrderResult {
        self.started_count += 1;
        let work = (command.clone(), self.boot);
        self.in_progress.insert(self.started_count, work);
        OrderResult::InProgress {
            work: self.started_count,
            wait_ms,
        }
    }

    /// Cancels the orders in progress for an item, as an order with a higher fencing number does.
    fn cancel(&mut self, item: &item::Item) {
        let in_progress = std::mem::take(&mut self.in_progress);
        let (cancelled, kept): (BTreeMap<_, _>, BTreeMap<_, _>) = in_progress
            .into_iter()
            .partition(|(_, (command, _))| command.item == *item);
        self.in_progress = kept;
        for (command, _) in cancelled.into_values() {
            if command.kind == order::Kind::Load {
                self.loaded.remove(&command.item);
            } else if let Some(replica) = self.loaded.get_mut(&command.item) {
                replica.usable = true;
            }
        }
    }

    pub fn finish(&mut self, work: u64) -> Finish {
        let Some((command, boot)) = self.in_progress.get(&work).cloned() else {
            return Finish::Answer(order::Answer::Lost);
        };
        if boot != self.boot {
            return Finish::Answer(order::Answer::Lost);
        }
        if command.kind == order::Kind::Unload {
            let running = self.running.get(&command.item.model).copied().unwrap_or(0);
            if running > 0 {
                return Finish::Later;
            }
            self.loaded.remove(&command.item);
        } else if let Some(replica) = self.loaded.get_mut(&command.item) {
            replica.usable = true;
        }
        self.in_progress.remove(&work);
        Finish::Answer(self.done_answer())
    }

    fn done_answer(&self) -> order::Answer {
        let loaded = self.loaded.iter().filter(|(_, replica)| replica.usable);
        order::Answer::Done(order::Loaded {
            loaded: loaded.map(|(item, _)| item.clone()).collect(),
            boot: format_smolstr!("b{}", self.boot),
        })
    }

    pub fn begin(&mut self, target: Option<&request::Target>) -> Result<(), request::Cause> {
        if self.leaving {
            self.refused_as_leaving += 1;
            return Err(request::Cause::Draining);
        }
        let Some(request::Target::Model { model, adapter }) = target else {
            return Ok(());
        };
        let is_usable = self.loaded.iter().any(|(item, replica)| {
            item.model == *model && item.adapter == *adapter && replica.usable
        });
        if !is_usable {
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
        let usable = self.loaded.iter().filter(|(_, replica)| replica.usable);
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
