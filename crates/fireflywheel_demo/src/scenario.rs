//! Runs the steps of the demo in order, and collects the evidence for its promises.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use fireflywheel_standin::clock;
use smol_str::{SmolStr, format_smolstr};
use tokio::{sync::mpsc, time};

use crate::{booking, configuration, instances, platform, publication, replicas, traffic, wait};

/// Requests of the burst at each instance, by model.
const BURST_REQUESTS: [(&str, usize); 6] = [
    (configuration::LOWERED_MODEL, 8),
    (configuration::RAISED_MODEL, 4),
    ("warranty", 2),
    ("report", 2),
    ("photo", 2),
    ("triage", 2),
];
/// Requests after the change at each instance, by model.
const REQUESTS_AFTER_CHANGE: [(&str, usize); 2] = [
    (configuration::RAISED_MODEL, 32),
    (configuration::LOWERED_MODEL, 4),
];
const MAX_TOKENS: usize = 16;
/// Tokens of a long stream, which takes longer than the drain delay.
const LONG_STREAM_TOKENS: usize = 400;
/// Requests at each instance to each loaded model. The requests to two models on one engine fit its slots.
const WARM_REQUESTS_PER_MODEL: usize = 1;
/// Long streams at each instance. They are few enough that all are open at the same time.
const LONG_STREAMS_PER_INSTANCE: usize = 2;
/// Requests at each instance to one model. They are so many that another replica is worth its load.
const HOT_MODEL_REQUESTS: [(&str, usize); 1] = [(configuration::LOWERED_MODEL, 32)];
/// Requests at the stopping instance after its stop has begun.
const REQUESTS_DURING_STOP: usize = 6;
const DEADLINE: Duration = Duration::from_secs(10);
const LONG_STREAM_DEADLINE: Duration = Duration::from_secs(20);
const STEADY_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Name of the round of requests to models that no engine has loaded.
pub const COLD_ROUND: &str = "burst on cold models";
/// Name of the round of requests to loaded models.
pub const WARM_ROUND: &str = "loaded models";
/// Name of the round of streams that are open when the stop begins.
pub const OPEN_STREAMS_ROUND: &str = "streams during the stop";

/// Requests of one step.
#[derive(Clone, Debug)]
pub struct Round {
    /// Name of the round in the table of results.
    pub name: &'static str,
    /// Outcomes of the requests.
    pub samples: Vec<traffic::Sample>,
}

/// Results of the configuration change.
#[derive(Clone, Debug, Default)]
pub struct Change {
    /// Version of the changed configuration.
    pub version: u64,
    /// When the change was sent, as Unix time in microseconds.
    pub sent_us: u64,
    /// Time from sending the change until it was accepted.
    pub accepted_after: Duration,
    /// Time from sending the change until it was in force at all instances.
    pub in_force_after: Duration,
    /// Replicas of the model with the lowered cap when the change was sent.
    pub replicas_before: usize,
    /// Time from sending the change until the engines held no more replicas than it allows.
    pub enforced_after: Duration,
    /// When the engines held no more replicas than the change allows, as Unix time in microseconds.
    pub enforced_us: u64,
    /// Versions in force at the instances at the end.
    pub versions_at_end: Vec<u64>,
}

/// Results of the planned stop of one instance.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Name of the stopped instance.
    pub instance: SmolStr,
    /// Steward of the engines before the stop.
    pub steward_before: SmolStr,
    /// Steward of the engines after the stop.
    pub steward_after: SmolStr,
    /// Number of streams at the instance that were open when its stop began.
    pub open_streams: usize,
    /// Time from the start of the stop to its end.
    pub duration: Duration,
}

/// The evidence that the promises are checked against.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Rounds of requests to models.
    pub rounds: Vec<Round>,
    /// Answers to the copies of the booking.
    pub bookings: Vec<booking::Reply>,
    /// Results of the configuration change.
    pub change: Change,
    /// Results of the planned stop.
    pub stop: Stop,
    /// Counts of the stand-ins.
    pub counts: platform::Counts,
}

/// Runs all steps.
///
/// # Errors
///
/// When a step fails or exceeds its time limit.
pub async fn run(step: &wait::Step) -> anyhow::Result<Evidence> {
    step.begin("starting stand-ins and three daemons");
    let platform = platform::Platform::start().await?;
    let mut scenario = Scenario {
        instances: instances::start(&platform).await?,
        platform,
        evidence: Evidence::default(),
    };
    step.begin("publishing the first configuration");
    let version = publication::publish(&scenario.platform, &configuration::first(), 0).await?;
    step.begin("waiting until all instances are ready");
    instances::wait_until_ready(&scenario.instances).await?;
    step.begin("a burst on cold models at three instances");
    scenario.send_burst().await;
    step.begin("requests to loaded models");
    scenario.send_warm_requests().await?;
    step.begin("one booking, sent three times");
    scenario.send_bookings().await;
    step.begin("a crowd at one model, until it has two replicas");
    scenario.send_until_second_replica().await?;
    step.begin("a configuration change");
    scenario.change_configuration(version).await?;
    step.begin("requests after the change");
    scenario.send_after_change().await;
    step.begin("a planned stop of the steward, with streams open");
    scenario.stop_steward().await?;
    step.begin("cold models after the stop");
    scenario.send_after_stop().await?;
    scenario.finish().await
}

struct Scenario {
    platform: platform::Platform,
    instances: Vec<instances::Instance>,
    evidence: Evidence,
}

impl Scenario {
    fn targets(&self) -> Vec<SocketAddr> {
        let instances = self.instances.iter();
        instances.map(|instance| instance.daemon.caller).collect()
    }

    fn record_round(&mut self, name: &'static str, samples: Vec<traffic::Sample>) {
        self.evidence.rounds.push(Round { name, samples });
    }

    async fn send_burst(&mut self) {
        let calls = calls_to_all(&self.targets(), "burst", &BURST_REQUESTS);
        let samples = traffic::send(calls).await;
        self.record_round(COLD_ROUND, samples);
    }

    async fn loaded_models(&self) -> anyhow::Result<Vec<&'static str>> {
        let counts = self.platform.read_counts().await?;
        let models = configuration::MODELS.iter();
        let loaded = models.filter(|model| replicas::count_loaded(&counts.engines, model.name) > 0);
        Ok(loaded.map(|model| model.name).collect())
    }

    async fn send_warm_requests(&mut self) -> anyhow::Result<()> {
        let loaded = self.loaded_models().await?;
        let models: Vec<_> = loaded
            .iter()
            .map(|model| (*model, WARM_REQUESTS_PER_MODEL))
            .collect();
        let samples = traffic::send(calls_to_all(&self.targets(), "warm", &models)).await;
        self.record_round(WARM_ROUND, samples);
        Ok(())
    }

    /// Sends requests to one model until it has two replicas. Without a replica beyond the lowered cap, the change
    /// would have no visible effect.
    async fn send_until_second_replica(&mut self) -> anyhow::Result<()> {
        let deadline = time::Instant::now() + SETTLE_TIMEOUT;
        let mut samples = Vec::new();
        let mut round = 0;
        while self.count_lowered_model_replicas().await? < 2 {
            anyhow::ensure!(
                time::Instant::now() < deadline,
                "waited {SETTLE_TIMEOUT:?} in vain for a second replica of {}",
                configuration::LOWERED_MODEL
            );
            let name = format!("crowd-{round}");
            samples.extend(
                traffic::send(calls_to_all(&self.targets(), &name, &HOT_MODEL_REQUESTS)).await,
            );
            round += 1;
        }
        self.record_round("crowd at one model", samples);
        Ok(())
    }

    async fn count_lowered_model_replicas(&self) -> anyhow::Result<usize> {
        let counts = self.platform.read_counts().await?;
        Ok(replicas::count_loaded(
            &counts.engines,
            configuration::LOWERED_MODEL,
        ))
    }

    async fn send_bookings(&mut self) {
        let targets = self.targets();
        self.evidence.bookings = booking::send([targets[0], targets[1], targets[2]]).await;
    }

    async fn change_configuration(&mut self, base: u64) -> anyhow::Result<()> {
        let replicas_before = replicas::count_loaded(
            &self.platform.read_counts().await?.engines,
            configuration::LOWERED_MODEL,
        );
        let sent_us = clock::unix_us();
        let start = time::Instant::now();
        let document = configuration::changed();
        let version = publication::publish(&self.platform, &document, base).await?;
        let accepted_after = start.elapsed();
        instances::wait_until_in_force(&self.instances, version).await?;
        let in_force_after = start.elapsed();
        let platform = &self.platform;
        wait::until(
            "the caps of the change to be obeyed",
            SETTLE_TIMEOUT,
            || async {
                let counts = platform.read_counts().await.ok()?;
                let mut models = configuration::MODELS.iter();
                let is_within_cap = |model: &configuration::Model| {
                    replicas::count_held(&counts.engines, model.name) <= model.changed_cap as usize
                };
                models.all(is_within_cap).then_some(())
            },
        )
        .await?;
        self.evidence.change = Change {
            version,
            sent_us,
            replicas_before,
            accepted_after,
            in_force_after,
            enforced_after: start.elapsed(),
            enforced_us: clock::unix_us(),
            versions_at_end: Vec::new(),
        };
        Ok(())
    }

    async fn send_after_change(&mut self) {
        let calls = calls_to_all(&self.targets(), "changed", &REQUESTS_AFTER_CHANGE);
        let samples = traffic::send(calls).await;
        self.record_round("after the change", samples);
    }

    async fn stop_steward(&mut self) -> anyhow::Result<()> {
        let steward = instances::find_steward(&self.instances[0]).await?;
        let index = self
            .instances
            .iter()
            .position(|instance| instance.name == steward);
        let stopping = self
            .instances
            .remove(index.context("the steward is one of the three")?);
        let target = stopping.daemon.caller;
        let loaded = self.loaded_models().await?;
        let (first_events, mut received) = mpsc::unbounded_channel();
        let own = traffic::start(long_streams(&[target], "own", &loaded), Some(&first_events));
        let calls = long_streams(&self.targets(), "other", &loaded);
        let others = traffic::start(calls, Some(&first_events));
        wait_for_first_events(&mut received, own.len() + others.len()).await?;

        let start = time::Instant::now();
        stopping.daemon.stop();
        let late = traffic::start(
            calls_to_all(&[target], "late", &[(loaded[0], REQUESTS_DURING_STOP)]),
            None,
        );
        let finished = stopping.daemon.finished();
        let (end, steady) = self.send_until(finished, &loaded).await?;
        let mut streams = own.join_all().await;
        let open_streams = streams.iter().filter(|stream| stream.end > start).count();
        streams.extend(others.join_all().await);
        self.record_round(OPEN_STREAMS_ROUND, streams);
        self.record_round("at the leaving instance", late.join_all().await);
        self.record_round("at the others meanwhile", steady);
        self.evidence.stop = Stop {
            instance: stopping.name,
            steward_before: steward,
            steward_after: SmolStr::default(),
            open_streams,
            duration: end.duration_since(start),
        };
        Ok(())
    }

    /// Sends requests to the remaining instances until the stop has finished. Returns the end of the stop and the
    /// outcomes of the requests.
    async fn send_until<F>(
        &self,
        finished: F,
        models: &[&'static str],
    ) -> anyhow::Result<(time::Instant, Vec<traffic::Sample>)>
    where
        F: Future<Output = ()>,
    {
        let targets = self.targets();
        let mut samples = Vec::new();
        let finished = time::timeout(STOP_TIMEOUT, finished);
        tokio::pin!(finished);
        for number in 0.. {
            let model = models[number % models.len()];
            let name = format!("steady-{number}");
            let calls = calls_to_all(&targets, &name, &[(model, 1)]);
            let sending = async {
                let samples = traffic::send(calls).await;
                time::sleep(STEADY_REQUEST_INTERVAL).await;
                samples
            };
            tokio::pin!(sending);
            tokio::select! {
                result = &mut finished => {
                    result.map_err(|_| anyhow::anyhow!("waited {STOP_TIMEOUT:?} in vain for the stop to end"))?;
                    let end = time::Instant::now();
                    samples.extend(sending.await);
                    return Ok((end, samples));
                }
                more = &mut sending => samples.extend(more),
            }
        }
        Ok((time::Instant::now(), samples))
    }

    /// Sends requests to models that no engine has loaded, so that the new steward has to load them.
    async fn send_after_stop(&mut self) -> anyhow::Result<()> {
        let loaded = self.loaded_models().await?;
        let models = configuration::MODELS.iter().map(|model| model.name);
        let cold: Vec<_> = models
            .filter(|model| !loaded.contains(model))
            .map(|model| (model, 2))
            .collect();
        let samples = traffic::send(calls_to_all(&self.targets(), "after-stop", &cold)).await;
        self.record_round("cold after the stop", samples);
        self.evidence.stop.steward_after = instances::find_steward(&self.instances[0]).await?;
        Ok(())
    }

    async fn finish(mut self) -> anyhow::Result<Evidence> {
        self.evidence.change.versions_at_end = instances::read_versions(&self.instances).await?;
        self.evidence.counts = self.platform.read_counts().await?;
        Ok(self.evidence)
    }
}

/// Returns calls to each target and model, with the number of calls for each model. Every other call is a stream.
fn calls_to_all(
    targets: &[SocketAddr],
    name: &str,
    models: &[(&'static str, usize)],
) -> Vec<traffic::Call> {
    let mut calls = Vec::new();
    for target in targets {
        for (model, count) in models {
            for _ in 0..*count {
                let number = calls.len();
                calls.push(traffic::Call {
                    target: *target,
                    id: format_smolstr!("{name}-{number}"),
                    model: SmolStr::new_static(model),
                    stream: number % 2 == 0,
                    tokens: MAX_TOKENS,
                    deadline: DEADLINE,
                });
            }
        }
    }
    calls
}

fn long_streams(targets: &[SocketAddr], name: &str, models: &[&'static str]) -> Vec<traffic::Call> {
    let mut calls = Vec::new();
    for target in targets {
        for _ in 0..LONG_STREAMS_PER_INSTANCE {
            let number = calls.len();
            calls.push(traffic::Call {
                target: *target,
                id: format_smolstr!("long-{name}-{number}"),
                model: SmolStr::new_static(models[number % models.len()]),
                stream: true,
                tokens: LONG_STREAM_TOKENS,
                deadline: LONG_STREAM_DEADLINE,
            });
        }
    }
    calls
}

async fn wait_for_first_events(
    received: &mut mpsc::UnboundedReceiver<()>,
    expected: usize,
) -> anyhow::Result<()> {
    let all = async {
        for _ in 0..expected {
            received.recv().await;
        }
    };
    let result = time::timeout(SETTLE_TIMEOUT, all).await;
    result.map_err(|_| {
        anyhow::anyhow!("waited {SETTLE_TIMEOUT:?} in vain for {expected} streams to begin")
    })
}
