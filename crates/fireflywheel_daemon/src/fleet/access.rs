//! Whose request it is, and whether its organisation may ask for more.

use fireflywheel::fleet::config;
use fireflywheel::fleet::organisation;
use fireflywheel::fleet::timeout;
use hyper::StatusCode;
use smol_str::format_smolstr;

use super::node;
use super::platform;
use super::relay::{Relay, come_back, unavailable};
use crate::errors;

impl<P> Relay<P>
where
    P: platform::Platform,
{
    /// The organisation whose request it is; none where the configuration names none, or the route needs none.
    pub(super) fn organisation<'a>(
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
        match call.identity {
            platform::Identity::Missing => Err(unauthorized("no_key", "the request has no key")),
            platform::Identity::Malformed => {
                Err(unauthorized("bad_key", "the request's key can't be read"))
            }
            platform::Identity::Key(credential) => {
                log::info!(request = call.id.as_str(), key_hash = credential.to_string().as_str(); "unknown key");
                Err(self.unknown_key(call))
            }
        }
    }

    /// A key that isn't known here may be new if the configuration wasn't read for longer than one may take to be in force.
    fn unknown_key(&self, call: &platform::Call) -> errors::Problem {
        let age = self.node.config_age();
        if age <= self.node.settings.config_deadline {
            return unauthorized("unknown_key", "no organisation has this key");
        }
        let left = call.deadline.unwrap_or(age);
        unavailable("stale", "the key may be newer than the configuration")
            .with_retry_after(come_back(timeout::remaining_outage(age), left))
    }

    /// Counts a request against its organisation's quota.
    pub(super) fn charge(
        &self,
        organisation: &organisation::Organisation,
        call: &platform::Call,
    ) -> Result<Option<node::Charge>, errors::Problem> {
        self.node.charge(organisation, call.tokens).map_err(|wait| {
            let left = call.deadline.unwrap_or(wait);
            let message = format_smolstr!("organisation {} is over its quota", organisation.name);
            errors::Problem::new(StatusCode::TOO_MANY_REQUESTS, "over_quota", message)
                .with_retry_after(come_back(wait, left))
        })
    }
}

fn unauthorized(code: &'static str, message: &'static str) -> errors::Problem {
    errors::Problem::new(StatusCode::UNAUTHORIZED, code, message)
}
