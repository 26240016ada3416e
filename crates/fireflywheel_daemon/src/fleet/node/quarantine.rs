//! Crashes of backend servers, and the requests that may have caused them.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fireflywheel::clock;
use fireflywheel::ending::Ending;
use fireflywheel::fleet::announcement::Process;
use fireflywheel::fleet::quarantine::{
    Facts, MIN_WITNESSES, Part, Registry, Report, Suspects, Verdict,
};
use http_body_util::Full;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, StatusCode, Uri};
use smol_str::SmolStr;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;
use xxhash_rust::xxh3;

use super::{Node, QueueKey, Target, state};
use crate::fleet::{platform, pool};
use crate::received;

/// Delay from a broken run to the connection that shows whether its process has ended. A process that ends closes its
/// connections one by one.
const EXAMINATION_DELAY: Duration = Duration::from_millis(15);
/// How long an examination may take: its delay, and the times for a connection to open and for an answer over it.
const EXAMINATION_TIMEOUT: Duration = Duration::from_millis(450);
/// How long a connection may take to open until the address counts as silent. Servers answer within a round trip.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the answer may take that tells which process listens.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long such a check may take before an event is forwarded.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size in bytes of that answer.
const MAX_IDENTITY_BYTES: usize = 1 << 20;
/// How long to wait for the steward's answer to a trial request.
const TRIAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of parts for which trial requests wait at once.
const MAX_TRIAL_REQUESTS: usize = 64;
/// Maximum number of quarantined parts that are kept with the lease, which is written once a second.
const MAX_STORED_VERDICTS: usize = 64;
/// How long after its start an instance waits to be told what is quarantined.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// How long instances take to link to a new steward, which doesn't count them before.
const LINK_TIME: Duration = Duration::from_secs(3);
/// Delay from a crash to the examination that shows whether its process lives after all; each further one comes twice as late.
const REEXAMINATION_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of these examinations.
const MAX_REEXAMINATIONS: u32 = 6;
/// How long checks of which process answers are kept.
const CHECK_TTL: Duration = Duration::from_secs(60);
/// Mean number of instances that verify a crash which a single instance has seen.
const MEAN_VERIFIERS: f64 = 6.0;

/// What an instance knows of crashes, and what it finds out.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) registry: Registry,
    /// Processes that are being examined, with whether each has ended once that is known.
    examinations: BTreeMap<Process, watch::Receiver<Option<bool>>>,
    trial_requests: BTreeMap<Part, TrialRequest>,
    /// The last check of each process.
    checks: BTreeMap<Process, Check>,
    /// Whether the store or the steward has told what is quarantined.
    is_informed: bool,
}

/// A request to the steward to let one request with a quarantined part through.
#[derive(Clone, Copy, Debug, Default)]
struct TrialRequest {
    is_sent: bool,
    is_granted: Option<bool>,
    /// The number of callers' requests that wait for the answer.
    waiting: usize,
}

/// A check of which process answers at an address.
#[derive(Clone, Debug)]
struct Check {
    begun: clock::Instant,
    /// Whether another process than expected answers, once that is known.
    is_other: watch::Receiver<Option<bool>>,
}

/// Why a process is examined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Doubt {
    /// A run broke off.
    Break,
    /// A run brings nothing in the usual time. Most servers that are late live, so nothing more than a connection is asked for.
    Silence,
}

/// What an examination has found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    /// The process has ended: its address refuses connections, or another process has it.
    Ended,
    /// Connections to its address don't open.
    Silent,
    /// The process answers.
    Lives,
    /// A connection opens, and it isn't known to which process.
    Connected,
    /// Nothing is known.
    Unknown,
}

impl Finding {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Silent => "silent",
            Self::Lives => "lives",
            Self::Connected => "connected",
            Self::Unknown => "unknown",
        }
    }

    fn has_ended(self) -> bool {
        matches!(self, Self::Ended | Self::Silent)
    }
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// None of its parts is quarantined.
    Open,
    /// It is let through to find out whether servers still crash on its quarantined part.
    Trial,
    /// This part is quarantined, and the next trial is due after that time.
    Refused(Part, Duration),
}

impl Quarantine {
    /// Handles a new link to the steward, which may be another one.
    pub(super) fn link_opened(&mut self) {
        self.registry.tell_again();
        for request in self.trial_requests.values_mut() {
            request.is_sent = false;
        }
    }

    /// Takes what the steward has to be told.
    pub(super) fn take_report(&mut self, now: clock::Instant) -> Report {
        let requests = self.trial_requests.iter_mut();
        let unsent = requests.filter(|(_, request)| !request.is_sent);
        let unsent = unsent.map(|(part, request)| {
            request.is_sent = true;
            *part
        });
        Report {
            facts: self.registry.take_news(now),
            trial_requests: unsent.collect(),
        }
    }
}

/// Counts a caller's request as waiting for a trial until it is dropped.
struct Waiter<'a, P>
where
    P: Send + Sync,
{
    node: &'a Node<P>,
    part: Part,
}

impl<P> Drop for Waiter<'_, P>
where
    P: Send + Sync,
{
    fn drop(&mut self) {
        let requests = &mut self.node.lock().quarantine.trial_requests;
        if let Some(request) = requests.get_mut(&self.part) {
            request.waiting -= 1;
            if request.waiting == 0 {
                requests.remove(&self.part);
            }
        }
    }
}

/// What of a caller's request may make servers of a group crash.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The group.
    pub group: &'a str,
    /// The routing information.
    pub call: &'a platform::Call,
    /// The HTTP method.
    pub method: &'a Method,
    /// The path and query.
    pub target: &'a Uri,
    /// The complete body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Its suspects. Attempts with different ids have the same ones.
    #[must_use]
    pub fn suspects(&self) -> Suspects {
        let Self { group, call, .. } = self;
        let names = call.prompt_parts.iter();
        let parts: Vec<Part> = names.map(|name| Part::new(group, name)).collect();
        let target = self.target.path_and_query();
        let mut content = format!(
            "{}\n{}\n{}\n{}\n{}\n{:?}\n",
            self.method,
            target.map_or("/", PathAndQuery::as_str),
            call.model.as_deref().unwrap_or_default(),
            call.adapter.as_deref().unwrap_or_default(),
            call.prompt_parts.join(","),
            call.total_tokens,
        )
        .into_bytes();
        content.extend_from_slice(&xxh3::xxh3_64(self.body).to_le_bytes());
        Suspects::new(&parts, Part::of_request(group, &content))
    }

    /// The name of a quarantined part, for logs: that of a part of the prompt, or a hash.
    #[must_use]
    pub fn name(&self, part: Part) -> SmolStr {
        let mut names = self.call.prompt_parts.iter();
        let name = names.find(|name| Part::new(self.group, name) == part);
        name.cloned().unwrap_or_else(|| part.to_string().into())
    }
}

impl<P> Node<P>
where
    P: platform::Platform,
{
    /// Finds out whether a process has ended at which a run has failed whose answer had just begun, or might have.
    pub fn examine(self: &Arc<Self>, target: &Target, suspects: &Suspects, doubt: Doubt) {
        let process = &target.process;
        let now = self.now();
        let mut state = self.lock();
        if !state.is_expected_to_stay(process) {
            return;
        }
        let quarantine = &mut state.quarantine;
        let registry = &mut quarantine.registry;
        registry.record_break(now, process, suspects.all());
        if quarantine.examinations.contains_key(process) {
            return;
        }
        let (sender, receiver) = watch::channel(None);
        quarantine.examinations.insert(process.clone(), receiver);
        drop(state);
        let (node, target) = (Arc::clone(self), target.clone());
        tokio::spawn(async move {
            time::sleep(EXAMINATION_DELAY).await;
            let finding = node.find_process(&target, doubt).await;
            let is_crash = node.record_examination(&target.process, finding);
            sender.send_replace(Some(finding.has_ended()));
            drop(sender);
            if is_crash {
                node.reexamine(&target).await;
            }
        });
    }

    /// Whether a request whose run has just broken off at a process may run again: not if the process has ended and the
    /// request may be the cause.
    pub async fn may_run_again(&self, process: &Process, suspects: &Suspects) -> bool {
        let examination = {
            let state = self.lock();
            if state.quarantine.registry.are_proven(process, suspects) {
                return true;
            }
            state.quarantine.examinations.get(process).cloned()
        };
        let Some(mut examination) = examination else {
            let state = self.lock();
            return state.quarantine.registry.crashed_at(process).is_none();
        };
        let result = examination.wait_for(Option::is_some);
        let has_ended = match time::timeout(EXAMINATION_TIMEOUT, result).await {
            Ok(Ok(result)) => *result,
            Ok(Err(_)) | Err(_) => None,
        };
        has_ended != Some(true)
    }

    /// Merges what another instance knows. With `passes_on`, others are told in turn.
    pub fn merge_facts(self: &Arc<Self>, facts: &Facts, passes_on: bool) {
        if facts.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        let verifier_share = match passes_on {
            true => 1.0,
            false => (MEAN_VERIFIERS / state.instances.count().max(1) as f64).min(1.0),
        };
        let registry = &mut state.quarantine.registry;
        let news_before = registry.news_count();
        let unverified = registry.merge(now, facts, passes_on, self.incarnation);
        let has_news = registry.news_count() > news_before;
        let targets: Vec<Target> = unverified
            .iter()
            .filter(|_| rand::random_bool(verifier_share))
            .filter_map(|process| state.target(process))
            .collect();
        drop(state);
        if has_news {
            self.handle_facts();
        } else {
            self.show_facts();
        }
        for target in targets {
            self.verify(target);
        }
    }

    /// Finds out whether a process has ended that another instance thinks has.
    fn verify(self: &Arc<Self>, target: Target) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let finding = node.find_process(&target, Doubt::Break).await;
            if node.record_examination(&target.process, finding) {
                node.reexamine(&target).await;
            }
        });
    }

    /// Takes back a crash of a process that lives: this instance may have been cut off from it.
    async fn reexamine(self: &Arc<Self>, target: &Target) {
        for attempt in 0..MAX_REEXAMINATIONS {
            time::sleep(REEXAMINATION_DELAY * 2_u32.pow(attempt)).await;
            let is_known = {
                let state = self.lock();
                let is_listed = state.target(&target.process).is_some();
                let registry = &state.quarantine.registry;
                is_listed && registry.crashed_at(&target.process).is_some()
            };
            if !is_known {
                return;
            }
            if self.find_process(target, Doubt::Break).await == Finding::Lives {
                self.record_examination(&target.process, Finding::Lives);
                return;
            }
        }
    }

    /// Records what an examination has found. Returns whether that is a crash to which this instance is a new witness.
    fn record_examination(&self, process: &Process, finding: Finding) -> bool {
        self.metrics.count_examination(finding.as_str());
        let now = self.now();
        let mut state = self.lock();
        let instances = state.count_witnesses(now);
        let quarantine = &mut state.quarantine;
        quarantine.examinations.remove(process);
        let registry = &mut quarantine.registry;
        let is_news = match finding {
            Finding::Ended | Finding::Silent => {
                registry.record_end(now, process, self.incarnation, instances)
            }
            Finding::Lives => {
                registry.forget_breaks(process);
                registry.record_life(now, process, now)
            }
            Finding::Connected => {
                registry.forget_breaks(process);
                registry.record_connection(now, process)
            }
            Finding::Unknown => false,
        };
        drop(state);
        if finding.has_ended() && is_news {
            self.metrics.count_crash();
            log::info!(
                server = process.server.as_str(), finding = finding.as_str();
                "backend server has ended while it ran requests"
            );
        }
        if is_news {
            self.handle_facts();
        }
        finding.has_ended() && is_news
    }

    /// Finds out whether a process has ended, by a connection to its address and by what answers there.
    async fn find_process(self: &Arc<Self>, target: &Target, doubt: Doubt) -> Finding {
        let stream = match time::timeout(SILENCE_TIMEOUT, self.try_connect(target)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Finding::Ended;
            }
            Ok(Err(_)) => return Finding::Unknown,
            // The path may be lost instead.
            Err(_) if self.is_path_lost(&target.process) => return Finding::Unknown,
            Err(_) => return Finding::Silent,
        };
        if doubt == Doubt::Silence {
            return Finding::Unknown;
        }
        let Some(request) = self.build_identity_request(&target.process) else {
            return Finding::Connected;
        };
        let identify = self.identify(stream, target, request);
        let found = time::timeout(IDENTITY_TIMEOUT, identify).await;
        found.unwrap_or(Finding::Unknown)
    }

    fn build_identity_request(&self, process: &Process) -> Option<hyper::Request<Full<Bytes>>> {
        if !self.may_send(process) {
            return None;
        }
        let state = self.lock();
        let known = state.servers.get(&process.server)?;
        let group = state.config()?.groups.get(&known.server.group)?;
        // A server that counts what it is sent may count this as well.
        if group.engine.is_none() && (known.limit.is_limited() || known.stats.is_brittle()) {
            return None;
        }
        self.platform.build_identity_request(&process.server, group)
    }

    /// Asks the process at the other end of a connection who it is. A server that has started again under its id tells another
    /// time of its start.
    async fn identify(
        &self,
        stream: TcpStream,
        target: &Target,
        request: hyper::Request<Full<Bytes>>,
    ) -> Finding {
        let reservation = Arc::new(pool::OpenGuard::new(Arc::default()));
        let opened = pool::Connection::direct(stream, target.address, reservation).await;
        let Ok(connection) = opened else {
            return Finding::Unknown;
        };
        let (finding, _) = self.identify_over(connection, target, request).await;
        finding
    }

    /// The same over a connection, which is returned with how long the server keeps it open if it can carry another request.
    async fn identify_over(
        &self,
        connection: pool::Connection,
        target: &Target,
        request: hyper::Request<Full<Bytes>>,
    ) -> (Finding, Option<(pool::Connection, Option<Duration>)>) {
        let Ok((response, connection)) = connection.send(request).await else {
            return (Finding::Unknown, None);
        };
        let (head, body) = received::Body::split(response);
        let reply = self.platform.read_reply(&head);
        let Process { server, started_ms } = &target.process;
        let is_other = reply.server.is_some_and(|other| other != *server);
        if is_other || head.status == StatusCode::MISDIRECTED_REQUEST {
            return (Finding::Ended, None);
        }
        let (body, ending) = body.collect(MAX_IDENTITY_BYTES).await;
        if ending != Ending::Complete {
            return (Finding::Unknown, None);
        }
        let report = self.platform.read_report(&body).ok();
        let finding = match report.and_then(|report| report.started_ms) {
            Some(answered) if answered == *started_ms => Finding::Lives,
            Some(_) => Finding::Ended,
            None => Finding::Unknown,
        };
        (finding, Some((connection, reply.keep_alive)))
    }

    /// Whether another process than the target's answers at its address, so that a connection which was opened at `opened` may
    /// lead there. A process that lives has listened at its address until now. Answers false if it can't be found out.
    pub async fn is_replaced(self: &Arc<Self>, target: Target, opened: clock::Instant) -> bool {
        let begun = self.now();
        let (check, sender) = {
            let mut state = self.lock();
            let checks = &mut state.quarantine.checks;
            match checks.get(&target.process) {
                Some(check) if check.begun >= opened => (check.clone(), None),
                _ => {
                    let (sender, is_other) = watch::channel(None);
                    let check = Check { begun, is_other };
                    checks.insert(target.process.clone(), check.clone());
                    (check, Some(sender))
                }
            }
        };
        if let Some(sender) = sender {
            let node = Arc::clone(self);
            tokio::spawn(async move {
                let checking = time::timeout(CHECK_TIMEOUT, node.check(&target));
                let finding = checking.await.unwrap_or(Finding::Unknown);
                if finding == Finding::Ended {
                    log::info!(
                        server = target.process.server.as_str();
                        "another process answers at the address of a backend server"
                    );
                }
                sender.send_replace(Some(finding == Finding::Ended));
            });
        }
        let mut is_other = check.is_other;
        is_other
            .wait_for(Option::is_some)
            .await
            .is_ok_and(|is_other| *is_other == Some(true))
    }

    /// Asks which process answers, over a connection that requests may use as well.
    async fn check(self: &Arc<Self>, target: &Target) -> Finding {
        let Some(request) = self.build_identity_request(&target.process) else {
            return Finding::Unknown;
        };
        let via = match self.is_path_lost(&target.process) {
            true => pool::Via::Any,
            false => pool::Via::Direct,
        };
        let Ok(connection) = self.connect(target, via).await else {
            return Finding::Unknown;
        };
        let (finding, reusable) = self.identify_over(connection, target, request).await;
        if let (Finding::Lives, Some((connection, keep_alive))) = (finding, reusable) {
            self.pool.release(self.now(), connection, keep_alive);
        }
        finding
    }

    /// Waits until it is known whether a request with these suspects may be sent to a server.
    pub async fn admit(&self, suspects: &Suspects) -> Admission {
        let mut changed = self.changed.subscribe();
        let started_for = self.now().since(self.started);
        // What has no parts in common with other requests is not held up.
        if suspects.has_parts() {
            let informed = async {
                while !self.lock().quarantine.is_informed && changed.changed().await.is_ok() {}
            };
            // Without a store and a steward, nobody tells.
            let _ = time::timeout(START_TIMEOUT.saturating_sub(started_for), informed).await;
        }
        let waiter = {
            let now = self.now();
            let mut state = self.lock();
            let quarantine = &mut state.quarantine;
            let Some((part, wait)) = quarantine.registry.find_quarantined(now, suspects.all())
            else {
                return Admission::Open;
            };
            let requests = &mut quarantine.trial_requests;
            if !wait.is_zero() || requests.len() >= MAX_TRIAL_REQUESTS {
                return Admission::Refused(part, wait);
            }
            requests.entry(part).or_default().waiting += 1;
            Waiter { node: self, part }
        };
        self.demand_changed.notify_one();
        let answered = async {
            loop {
                if let Some(is_granted) = self.take_trial(waiter.part) {
                    return is_granted;
                }
                if changed.changed().await.is_err() {
                    return false;
                }
            }
        };
        let is_granted = time::timeout(TRIAL_ANSWER_TIMEOUT, answered).await;
        if is_granted == Ok(true) {
            log::info!(part = waiter.part.to_string().as_str(); "request with a quarantined part is let through as a trial");
            return Admission::Trial;
        }
        let now = self.now();
        let wait = self.lock().quarantine.registry.trial_wait(now, waiter.part);
        Admission::Refused(waiter.part, wait)
    }

    /// Takes the steward's answer to a trial request; only one of those that wait is let through.
    fn take_trial(&self, part: Part) -> Option<bool> {
        let mut state = self.lock();
        let request = state.quarantine.trial_requests.get_mut(&part)?;
        let is_granted = request.is_granted?;
        request.is_granted = Some(false);
        Some(is_granted)
    }
}

impl<P> Node<P>
where
    P: Send + Sync,
{
    /// Records an answer that has arrived whole, as its server stated.
    pub fn record_whole_answer(&self, suspects: &Suspects) {
        let now = self.now();
        let mut state = self.lock();
        let is_news = state.quarantine.registry.record_answer(now, suspects);
        drop(state);
        if is_news {
            self.handle_facts();
        }
    }

    /// Records that a process has answered a request that was sent at `sent` over a connection that was opened at `opened`. One
    /// that was opened after a crash may lead to the next process.
    pub fn record_life(&self, process: &Process, sent: clock::Instant, opened: clock::Instant) {
        let now = self.now();
        let mut state = self.lock();
        let registry = &mut state.quarantine.registry;
        let crashed_at = registry.crashed_at(process);
        if crashed_at.is_none_or(|at| opened > at) {
            return;
        }
        let is_news = registry.record_life(now, process, sent);
        drop(state);
        if is_news {
            self.handle_facts();
        }
    }

    /// The one of these parts that is quarantined, and the time until its next trial.
    #[must_use]
    pub fn find_quarantined(&self, parts: &[Part]) -> Option<(Part, Duration)> {
        let now = self.now();
        let state = self.lock();
        state.quarantine.registry.find_quarantined(now, parts)
    }

    /// Stores the steward's answers to trial requests.
    pub fn handle_trials(&self, replies: &[(Part, bool)]) {
        if replies.is_empty() {
            return;
        }
        let mut state = self.lock();
        for (part, is_granted) in replies {
            if let Some(request) = state.quarantine.trial_requests.get_mut(part) {
                request.is_granted = Some(*is_granted);
            }
        }
        drop(state);
        self.wake();
    }

    /// Decides on trial requests, as the steward.
    pub fn decide_trials(&self, parts: &[Part], is_settled: bool) -> Vec<(Part, bool)> {
        if parts.is_empty() {
            return Vec::new();
        }
        let now = self.now();
        let registry = &mut self.lock().quarantine.registry;
        let decide = |part: &Part| (*part, is_settled && registry.try_trial(now, *part));
        let decided = parts.iter().map(decide).collect();
        self.demand_changed.notify_one();
        decided
    }

    /// Adds the quarantined parts that were kept with the lease.
    pub fn merge_verdicts(&self, verdicts: &[Verdict]) {
        let now = self.now();
        let facts = Facts {
            verdicts: verdicts.to_vec(),
            ..Facts::default()
        };
        let mut state = self.lock();
        let registry = &mut state.quarantine.registry;
        registry.merge(now, &facts, false, self.incarnation);
        state.quarantine.is_informed = true;
        drop(state);
        self.show_facts();
    }

    /// Records that the steward has told what is quarantined.
    pub fn record_informed(&self) {
        let was_informed = std::mem::replace(&mut self.lock().quarantine.is_informed, true);
        if !was_informed {
            self.wake();
        }
    }

    /// Adds the loads that were in progress at crashed processes to what may have caused the crashes, as the steward.
    pub fn record_crashed_loads<F>(&self, awaited_loads: F)
    where
        F: Fn(&Process) -> Vec<Part>,
    {
        let now = self.now();
        let mut state = self.lock();
        let registry = &mut state.quarantine.registry;
        let crashed = registry.crashed_processes();
        let loads = crashed.map(|process| (process.clone(), awaited_loads(process)));
        let loads: Vec<_> = loads.filter(|(_, parts)| !parts.is_empty()).collect();
        let news_before = registry.news_count();
        for (process, parts) in &loads {
            registry.record_break(now, process, parts);
        }
        let has_news = registry.news_count() > news_before;
        drop(state);
        if has_news {
            self.handle_facts();
        }
    }

    /// Whether anything is quarantined.
    #[must_use]
    pub fn has_quarantined(&self) -> bool {
        self.lock().quarantine.registry.quarantined_count() > 0
    }

    /// Whether a model or an adapter may be loaded, as far as the steward knows.
    #[must_use]
    pub fn may_load(&self, group: &str, model: &str, adapter: Option<&str>) -> bool {
        let now = self.now();
        let part = Part::of_load(group, model, adapter);
        self.lock().quarantine.registry.may_load(now, part)
    }

    /// The time until the load of what the requests of a queue need is tried again, if engines crash on it.
    #[must_use]
    pub fn load_trial_wait(&self, queue: &QueueKey) -> Option<Duration> {
        let (group, model) = (&queue.group, queue.model.as_ref()?);
        let mut parts = vec![Part::of_load(group, model, None)];
        if let Some(adapter) = &queue.adapter {
            parts.push(Part::of_load(group, model, Some(adapter)));
        }
        let (_, wait) = self.find_quarantined(&parts)?;
        Some(wait)
    }

    /// Everything that this instance knows of crashes and parts.
    #[must_use]
    pub fn facts(&self) -> Facts {
        let now = self.now();
        self.lock().quarantine.registry.facts(now)
    }

    /// The parts that were quarantined last, to be kept with the lease.
    #[must_use]
    pub fn verdicts(&self) -> Vec<Verdict> {
        let now = self.now();
        let mut verdicts = self.lock().quarantine.registry.verdicts(now);
        verdicts.sort_by_key(|verdict| verdict.age_ms);
        verdicts.truncate(MAX_STORED_VERDICTS);
        verdicts
    }

    /// Forgets crashes that are too old to matter.
    pub fn sweep_quarantine(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.quarantine.registry.prune(now);
        let checks = &mut state.quarantine.checks;
        checks.retain(|_, check| now.since(check.begun) < CHECK_TTL);
    }

    /// Lets waiting requests and the operator find out what is known.
    fn show_facts(&self) {
        let count = self.lock().quarantine.registry.quarantined_count();
        self.metrics.set_quarantined_parts(count);
        self.wake();
    }

    /// The same, and tells others what is new.
    fn handle_facts(&self) {
        self.show_facts();
        self.demand_changed.notify_one();
        self.facts_changed.notify_one();
    }
}

impl state::State {
    /// The number of instances that can find that a process has ended.
    fn count_witnesses(&self, now: clock::Instant) -> usize {
        let recent = self.instances.count_within(now, LINK_TIME);
        match recent <= MIN_WITNESSES {
            true => self.instances.latest(),
            false => recent,
        }
    }

    /// Whether a process has not announced that it leaves: the end of one that has is no crash.
    fn is_expected_to_stay(&self, process: &Process) -> bool {
        let Process { server, started_ms } = process;
        let known: Option<&state::ServerState> = self.servers.get(server);
        let is_ready = known.is_some_and(|known| {
            known.server.started_ms == *started_ms
                && known.server.ready
                && known.server.stops_at.is_none()
        });
        is_ready && !self.announcements.is_leaving(server, *started_ms)
    }
}
