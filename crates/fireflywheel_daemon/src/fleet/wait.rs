//! Waiting of requests for a server.

use std::sync::Arc;
use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::refusal::Decision;
use fireflywheel::fleet::routing;
use fireflywheel::fleet::timeout;
use fireflywheel::fleet::waiting;
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::time;

use super::attempt;
use super::node;
use super::platform;
use super::relay::{NO_ROOM_RETRY_DELAY, quarantined, queue_timeout, retry_after, unavailable};
use crate::errors;

/// Interval at which a waiting request checks again for a server with room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How long after its arrival a request for a model waits even though the engines that hold the model limit their
/// request rate for longer: the model may be loaded on another engine within this time.
const LOAD_ELSEWHERE_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long after its retry delay a caller that was refused for now is expected at the latest.
const RETURN_MARGIN: Duration = Duration::from_secs(1);
/// Waiting requests are refused this long before the end of a planned stop, so that none is cut off without a
/// response and their callers still have time to act on it.
pub(super) const STOP_REFUSAL_MARGIN: Duration = Duration::from_millis(1500);
/// Retry delay for a caller whose group has no server. A server that restarts takes about as long.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Waits in a queue for a server that can run a request.
///
/// # Errors
///
/// Returns the refusal for the caller, immediately if no server is expected to be available in time.
pub async fn wait_for_server<P>(
    node: &Arc<node::Node<P>>,
    job: &attempt::Job,
    tried: &[SmolStr],
    queue: &node::QueueKey,
) -> Result<node::Chosen, errors::Problem>
where
    P: platform::Platform,
{
    // A caller whose stream goes on at one version only was told when it will find what it needs there.
    let keep_demand = |problem: errors::Problem| {
        if let (Some(_), Some(wait)) = (&queue.version, problem.retry_after) {
            let until = node.now().after(wait + RETURN_MARGIN);
            node.keep_demand(queue, until);
        }
        problem
    };
    let total = job.deadline.since(job.arrived);
    let queue_timeout = queue_timeout(&job.route, total);
    let queue_deadline = job.deadline.min(job.arrived.after(queue_timeout));
    let mut changed = node.changed.subscribe();
    let mut waiter = None;
    let mut place = node.place(job, tried, queue, queue_deadline);
    loop {
        if let Some(wait) = job.quarantined_for(node) {
            return Err(quarantined(wait));
        }
        let now = node.now();
        let left = job.deadline.since(now);
        let give_up_at = node.stop_deadline().map_or(queue_deadline, |stop| {
            queue_deadline.min(stop.before(STOP_REFUSAL_MARGIN))
        });
        let query = node::Query {
            route: &job.route,
            queue,
            call: &job.call,
            tried,
            remaining: give_up_at.since(now),
        };
        let choice = match &mut place {
            Some(place) => place.choose(query).map_err(|waiting::Full| {
                let problem = unavailable("queue_full", "too many requests wait");
                problem.with_retry_after(retry_after(NO_ROOM_RETRY_DELAY, left))
            })?,
            None => node.choose(query),
        };
        let decision = match (&mut place, &choice) {
            (Some(place), node::Choice::Full(forecast)) => {
                place.decide(*forecast, give_up_at.since(now), left)
            }
            _ => None,
        };
        if let Some(Decision::Refuse(delay)) = decision {
            let problem = unavailable("late", "the request can't be served in time");
            return Err(keep_demand(problem.with_retry_after(delay)));
        }
        let check_after = match choice {
            node::Choice::Server(chosen) => return Ok(chosen),
            node::Choice::NoServer => {
                let wait = if node.knows_servers() {
                    NO_SERVER_RETRY_DELAY
                } else {
                    timeout::remaining_outage(now.since(node.started))
                };
                return Err(unavailable("no_server", "no server of the group is there")
                    .with_retry_after(retry_after(wait, left)));
            }
            node::Choice::NoServerOfVersion => {
                let message = "no server of the version at which the stream began can take it";
                return Err(unavailable("no_server_of_version", message)
                    .with_retry_after(retry_after(NO_SERVER_RETRY_DELAY, left)));
            }
            node::Choice::NotLoaded(_) if node.load_trial_wait(queue).is_some() => {
                let wait = node.load_trial_wait(queue).unwrap_or_default();
                return Err(unavailable(
                    "load_quarantined",
                    "engines crash as they load the model",
                )
                .with_retry_after(wait));
            }
            node::Choice::NotLoaded(Some(expected)) if now.after(expected) > give_up_at => {
                let problem = unavailable("cold", "the model can't be loaded in time");
                let delay = retry_after(expected, left);
                return Err(keep_demand(problem.with_retry_after(delay)));
            }
            // Only a new arrival is refused: the forecast is for a request that arrives now, and requests that already
            // wait are ahead of it.
            node::Choice::Full(Some(expected))
                if waiter.is_none()
                    && decision.is_none()
                    && expected > timeout::max_queue_wait(give_up_at.since(now)) =>
            {
                let problem = unavailable("crowded", "too many wait for engines of the model");
                let delay = place
                    .as_mut()
                    .and_then(|place| place.return_delay(Some(expected), left))
                    .unwrap_or_else(|| retry_after(expected, left));
                return Err(keep_demand(problem.with_retry_after(delay)));
            }
            node::Choice::Limited(Some(expected))
                if now.after(expected) > give_up_at && !may_load_elsewhere(job, now) =>
            {
                return Err(
                    unavailable("limited", "the servers take no more requests for now")
                        .with_retry_after(retry_after(expected, left)),
                );
            }
            // The server may still accept requests from other instances, so the caller should retry there.
            node::Choice::Resting(expected) if now.after(expected) > give_up_at => {
                return Err(unavailable("resting", "the servers have asked for a rest")
                    .with_retry_after(retry_after(expected, left)));
            }
            node::Choice::Resting(expected) => expected,
            // No other server will hold what these servers hold, so only a probe can end this.
            node::Choice::Unreachable if queue.model.is_none() => {
                return Err(unavailable("unreachable", "no server can be reached")
                    .with_retry_after(retry_after(routing::PROBE_INTERVAL, left)));
            }
            node::Choice::Subscribing => {
                // The request is not registered as waiting: the steward would load another replica for it.
                sleep(place.as_ref(), &mut changed, ROOM_CHECK_INTERVAL).await;
                continue;
            }
            node::Choice::NotLoaded(_) => give_up_at.since(now),
            node::Choice::Full(_) | node::Choice::Limited(_) | node::Choice::Unreachable => {
                ROOM_CHECK_INTERVAL
            }
        };
        if now >= give_up_at {
            let problem = unavailable("no_room", "no server had room in time");
            let delay = place
                .as_mut()
                .and_then(|place| place.return_delay(node.expected_wait(queue), left))
                .unwrap_or_else(|| retry_after(NO_ROOM_RETRY_DELAY, left));
            return Err(keep_demand(problem.with_retry_after(delay)));
        }
        if waiter.is_none() {
            waiter = Some(node.register_waiting(queue, job.arrived, give_up_at));
        }
        let delay = check_after
            .min(give_up_at.since(now))
            .max(Duration::from_millis(1));
        sleep(place.as_ref(), &mut changed, delay).await;
    }
}

/// Sleeps until a request may find a server, and for `delay` at most.
async fn sleep<P>(
    place: Option<&node::Place<P>>,
    changed: &mut watch::Receiver<u64>,
    delay: Duration,
) where
    P: platform::Platform,
{
    match place {
        Some(place) => place.wait(changed, delay).await,
        None => tokio::select! {
            _ = changed.changed() => {}
            () = time::sleep(delay) => {}
        },
    }
}

/// Returns whether a request should still wait for its model to be loaded on another engine.
fn may_load_elsewhere(job: &attempt::Job, now: clock::Instant) -> bool {
    job.queue.model.is_some() && now.since(job.arrived) < LOAD_ELSEWHERE_TIMEOUT
}
