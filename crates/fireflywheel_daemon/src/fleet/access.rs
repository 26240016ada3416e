//! Authentication of callers and quotas of their organisations.

use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::organisation;
use fireflywheel::fleet::quota::class;
use fireflywheel::fleet::timeout;
use hyper::StatusCode;
use smol_str::format_smolstr;

use super::node;
use super::platform;
use super::relay::{Relay, retry_after, unavailable};
use crate::errors;

impl<P> Relay<P>
where
    P: platform::Platform,
{
    /// Returns the organisation that a request's key belongs to; `None` if the configuration has no organisations, or
    /// if the route allows anonymous requests and the request has no known key.
    pub(super) fn identify_organisation<'a>(
        &self,
        config: &'a config::Config,
        route: &config::Route,
        call: &platform::Call,
    ) -> Result<Option<&'a organisation::Organisation>, errors::Problem> {
        let Some(registry) = &config.organisations else {
            return Ok(None);
        };
        let found = match call.identity {
            platform::Identity::Key(credential) => registry.find(credential),
            platform::Identity::Missing | platform::Identity::Malformed => None,
        };
        if let Some(key) = found {
            return Ok(Some(registry.get(key)));
        }
        if route.allow_anonymous {
            return Ok(None);
        }
        let problem = match call.identity {
            platform::Identity::Missing => unauthorized("no_key", "the request has no key"),
            platform::Identity::Malformed => {
                unauthorized("bad_key", "the request's key can't be read")
            }
            platform::Identity::Key(credential) => {
                log::info!(request = call.id.as_str(), key_hash = credential.to_string().as_str(); "unknown key");
                unauthorized("unknown_key", "no organisation has this key")
            }
        };
        Err(self.deny(call, problem))
    }

    /// Returns the refusal of a request because the configuration lacks what it names. What is missing may be newer if
    /// a later configuration is known, or if the configuration was last read longer ago than a new one may take to be in
    /// force. The denial would be final for the caller, so it is then asked to come back.
    pub(super) fn deny(&self, call: &platform::Call, problem: errors::Problem) -> errors::Problem {
        let age = self.node.config_age();
        let lag = self.node.config_lag();
        if age <= self.node.settings.config_deadline && lag.is_none() {
            return problem;
        }
        let wait = lag.map_or_else(
            || timeout::remaining_outage(age),
            |lag| self.node.settings.config_deadline.saturating_sub(lag),
        );
        let left = call.deadline.unwrap_or(wait);
        unavailable(
            "stale",
            "what the request names may be newer than the configuration",
        )
        .with_retry_after(retry_after(wait, left))
    }

    /// Returns the refusal of a request while a later configuration should already be in force: it may have withdrawn
    /// the caller's key, or have moved the route.
    pub(super) fn check_config_in_time(
        &self,
        call: &platform::Call,
    ) -> Result<(), errors::Problem> {
        let Some(lag) = self
            .node
            .config_lag()
            .filter(|_| self.node.is_config_overdue())
        else {
            return Ok(());
        };
        let wait = timeout::remaining_outage(lag);
        let left = call.deadline.unwrap_or(wait);
        let problem = unavailable("outdated", "a later configuration should be in force");
        Err(problem.with_retry_after(retry_after(wait, left)))
    }

    /// Charges a request to its organisation's quota.
    pub(super) fn charge_quota(
        &self,
        organisation: &organisation::Organisation,
        route: &config::Route,
        call: &platform::Call,
        has_returned: bool,
    ) -> Result<Option<node::Charge>, errors::Problem> {
        let rank = self.node.parts().quotas.then(|| {
            let class = class::Class::new(route.priority, has_returned);
            (class, call.deadline.unwrap_or(route.timeout))
        });
        self.node
            .charge(organisation, call.total_tokens, rank)
            .map_err(|wait| {
                let left = call.deadline.unwrap_or(wait);
                let message =
                    format_smolstr!("organisation {} is over its quota", organisation.name);
                // The time of a class is exact, and beyond what the caller obeys if it would come back in vain.
                let wait = match rank {
                    Some((class, _)) => {
                        log::debug!(
                            request = call.id.as_str(), organisation = organisation.name.as_str(), class = class.name(),
                            wait_ms = clock::millis(wait), left_ms = clock::millis(left);
                            "refused by class"
                        );
                        wait
                    }
                    None => retry_after(wait, left),
                };
                errors::Problem::new(StatusCode::TOO_MANY_REQUESTS, "over_quota", message)
                    .with_retry_after(wait)
            })
    }
}

fn unauthorized(code: &'static str, message: &'static str) -> errors::Problem {
    errors::Problem::new(StatusCode::UNAUTHORIZED, code, message)
}
