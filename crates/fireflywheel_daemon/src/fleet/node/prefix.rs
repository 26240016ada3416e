//! What servers are assumed to keep of prompts, and what follows from it for the choice of a server.

use std::collections::VecDeque;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::prefix::choice::{self, Assumption, Finding};
use fireflywheel::fleet::prefix::{book, news};
use fireflywheel::fleet::{config, load};
use smol_str::SmolStr;

use super::Node;
use super::state;
use crate::fleet::platform;

/// The slowness of a server whose speed isn't known.
const USUAL_SLOWNESS: f64 = 1.0;
/// What this instance assumes of the memory of servers.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    pub(super) book: book::Book,
    /// The prompts that servers have read for this instance since the last demand.
    reads: VecDeque<news::Read>,
}

/// Weighs servers for a prompt, if it counts what they keep of it.
pub(super) fn weigh(
    now: clock::Instant,
    state: &state::State,
    route: &config::Route,
    call: &platform::Call,
    servers: &[&state::ServerState],
) -> Option<choice::Weighed> {
    if !state.parts.prefixes || !route.sticky || !call.prompt.is_long() {
        return None;
    }
    let servers = servers.iter().map(|known| choice::Server {
        id: &known.server.id,
        started_ms: known.server.started_ms,
        slots: known.server.slots,
        requests: known.stats.in_flight + known.backlog.other_requests(now),
        tokens_ahead: known.backlog.prefill_tokens(now),
        ms_per_token: ms_per_token(known),
    });
    let servers: Vec<_> = servers.collect();
    let parts = call.shared_prefix.as_ref();
    let parts = parts.map_or("", |prefix| &prefix.parts);
    let book = &state.prefixes.book;
    Some(choice::Weighed::new(
        now,
        book,
        &call.prompt,
        parts,
        &servers,
    ))
}

/// Logs what was weighed for the server that was chosen.
fn log_choice(
    request: &str,
    weighed: &choice::Weighed,
    index: usize,
    assumption: &Assumption,
    servers: &[&state::ServerState],
) {
    let Assumption {
        prompt,
        kept,
        outlook,
    } = assumption;
    let next = weighed.next(index);
    let cost_ms = |index: usize| clock::millis(weighed.cost(index));
    log::info!(
        request = request, server = servers[index].server.id.as_str(), reason = weighed.reason(index),
        tokens = u64::from(prompt.tokens()), kept_tokens = u64::from(kept.tokens),
        kept_percent = (kept.probability * 100.0) as u64, tokens_ahead = outlook.tokens_ahead as u64,
        requests = u64::from(outlook.requests), first_event_ms = clock::millis(outlook.first_event()),
        cost_ms = cost_ms(index), next = next.map_or("", |next| servers[next].server.id.as_str()),
        next_cost_ms = next.map_or(0, cost_ms), servers = servers.len() as u64;
        "prefix weighed"
    );
}

impl Prefixes {
    fn report(&mut self, read: news::Read) {
        if self.reads.len() >= news::MAX_READS {
            self.reads.pop_front();
        }
        self.reads.push_back(read);
    }

    /// Takes the prompts that servers have read since the last demand.
    pub(super) fn take_reads(&mut self) -> Vec<news::Read> {
        std::mem::take(&mut self.reads).into()
    }
}

impl state::State {
    /// Records that a prompt is sent to a process of a server.
    pub(super) fn begin_prefix(
        &mut self,
        now: clock::Instant,
        server: &SmolStr,
        started_ms: u64,
        assumption: &Assumption,
    ) {
        let book = &mut self.prefixes.book;
        book.begin(now, server, started_ms, &assumption.prompt);
        self.set_capacity(server);
    }

    /// Stores what the steward has told of servers' memories.
    pub(super) fn learn_prefixes(&mut self, now: clock::Instant, loads: &[load::Load]) {
        if !self.parts.prefixes {
            return;
        }
        for load in loads {
            let Some(news) = &load.kept else { continue };
            let book = &mut self.prefixes.book;
            book.write(now, &load.server, news.started_ms, news.written);
            book.learn(now, &load.server, news.started_ms, &news.prefixes);
            self.set_capacity(&load.server);
        }
    }

    /// Drops what a server kept of the prompts of models that it doesn't hold any more.
    pub(super) fn forget_unloaded_prefixes(&mut self, server: &str) {
        let prefer_steward = true;
        let known = self.servers.get(server).filter(|_| self.parts.prefixes);
        if let Some(known) = known {
            let models = known.held(prefer_steward).models.keys();
            let models = models.map(SmolStr::as_str);
            self.prefixes.book.retain_models(server, models);
        }
    }

    fn set_capacity(&mut self, server: &str) {
        let group = self.servers.get(server).map(|known| &known.server.group);
        let group = group.and_then(|group| self.config()?.groups.get(group));
        let engine = group.and_then(|group| group.engine.as_ref());
        let capacity = engine.and_then(|engine| engine.kv_capacity);
        self.prefixes.book.set_capacity(server, capacity);
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// The tokens of a model's prompts that a server is assumed to keep, which an unload of the model drops; 0 if what servers keep
    /// doesn't count.
    #[must_use]
    pub fn kept_tokens(&self, server: &str, model: &str) -> u32 {
        let now = self.now();
        let state = self.lock();
        match state.parts.prefixes {
            true => state.prefixes.book.kept_tokens(now, server, model),
            false => 0,
        }
    }

    /// Logs and counts the choice of a server, and returns what is assumed of it.
    pub(super) fn assume(
        &self,
        call: &platform::Call,
        weighed: &choice::Weighed,
        index: usize,
        servers: &[&state::ServerState],
    ) -> Assumption {
        let assumption = weighed.assume(index, &call.prompt);
        self.metrics.count_prefix_choice(weighed.reason(index));
        log_choice(&call.id, weighed, index, &assumption, servers);
        assumption
    }

    /// Records that a server has read a prompt, `took` after it was sent there.
    pub(super) fn finish_prefix(
        &self,
        server: &SmolStr,
        started_ms: u64,
        assumption: &Assumption,
        took: Duration,
    ) {
        let now = self.now();
        let finding = assumption.judge(took);
        let prompt = &assumption.prompt;
        let mut state = self.lock();
        state.prefixes.book.finish(now, server, started_ms, prompt);
        if finding != Finding::Unknown {
            let was_kept = finding == Finding::Kept;
            state.prefixes.book.judge(server, started_ms, was_kept);
        }
        let written = assumption.written_tokens();
        if !state.has_steward {
            // The steward tells what was written for all instances, this one included.
            state.prefixes.book.write(now, server, started_ms, written);
        }
        state.prefixes.report(news::Read {
            server: server.clone(),
            started_ms,
            written,
            prefixes: prompt.prefixes().to_vec(),
        });
        drop(state);
        self.metrics
            .count_kept_tokens(finding.as_str(), assumption.kept.tokens);
    }

    /// Records that a server has not read a prompt that was sent there.
    pub(super) fn abandon_prefix(&self, server: &str, started_ms: u64, assumption: &Assumption) {
        let mut state = self.lock();
        let book = &mut state.prefixes.book;
        book.abandon(server, started_ms, &assumption.prompt);
    }
}

/// The time that a server takes to read one token of a prompt.
fn ms_per_token(_known: &state::ServerState) -> f64 {
    load::prefill_time(1000.0).as_secs_f64() * USUAL_SLOWNESS
}
