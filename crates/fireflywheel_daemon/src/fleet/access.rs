//! Authentication of callers and quotas of their organisations.

use fireflywheel::fleet::config;
use fireflywheel::fleet::organisation;
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
    /// the configuration was last read longer ago than a new one may take to be in force. The denial would be final for
    /// the caller, so it is then asked to come back.
    pub(super) fn deny(&self, call: &platform::Call, problem: errors::Problem) -> errors::Problem {
        let age = self.node.config_age();
        if age <= self.node.settings.config_deadline {
            return problem;
        }
        let left = call.deadline.unwrap_or(age);
        unavailable(
            "stale",
            "what the request names may be newer than the configuration",
        )
        .with_retry_after(retry_after(timeout::remaining_outage(age), left))
    }

    /// Charges a request to its organisation's quota.
    pub(super) fn charge_quota(
        &self,
        organisation: &organisation::Organisation,
        call: &platform::Call,
    ) -> Result<Option<node::Charge>, errors::Problem> {
        self.node
            .charge(organisation, call.total_tokens)
            .map_err(|wait| {
                let left = call.deadline.unwrap_or(wait);
                let message =
                    format_smolstr!("organisation {} is over its quota", organisation.name);
                errors::Problem::new(StatusCode::TOO_MANY_REQUESTS, "over_quota", message)
                    .with_retry_after(retry_after(wait, left))
            })
    }
}

fn unauthorized(code: &'static str, message: &'static str) -> errors::Problem {
    errors::Problem::new(StatusCode::UNAUTHORIZED, code, message)
}
