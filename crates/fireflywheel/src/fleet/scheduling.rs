//! Which decisions under load are in force.
//!
//! With engines that run few requests at once, a place at an engine is scarce: the requests that all instances send
//! within one report of the steward fill it several times over. Deployments with such engines decide more carefully
//! who waits, who is refused and where requests and models go.

use super::config;

/// How requests are scheduled, by `[scheduling]` of the settings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Options {
    /// `scarce_slots`, 0 if left out: the decisions are in force while the configuration has a group of engines that run at
    /// most this many requests at once.
    pub scarce_slots: u32,
    /// `parts`, all but `waiting` and `refusal` if left out: those of the decisions that are in force then.
    pub parts: Parts,
}

/// The decisions under load, and whether each is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Parts {
    /// `waiting`: requests wait in one order at their instance.
    pub waiting: bool,
    /// `refusal`: requests are refused as soon as it is known that they can't be served in time.
    pub refusal: bool,
    /// `quotas`: within a quota, urgent and returning requests come first.
    pub quotas: bool,
    /// `speed`: the measured speed of servers counts.
    pub speed: bool,
    /// `placement`: replicas follow the trend of the demand.
    pub placement: bool,
    /// `prefixes`: what servers keep of prompts is weighed against the wait.
    pub prefixes: bool,
}

impl Parts {
    /// None of them.
    pub const NONE: Self = Self {
        waiting: false,
        refusal: false,
        quotas: false,
        speed: false,
        placement: false,
        prefixes: false,
    };

    /// The parts with these names; `None` if a name is unknown.
    #[must_use]
    pub fn named(names: &str) -> Option<Self> {
        let mut parts = Self::NONE;
        for name in names
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty())
        {
            let part = match name {
                "waiting" => &mut parts.waiting,
                "refusal" => &mut parts.refusal,
                "quotas" => &mut parts.quotas,
                "speed" => &mut parts.speed,
                "placement" => &mut parts.placement,
                "prefixes" => &mut parts.prefixes,
                _ => return None,
            };
            *part = true;
        }
        Some(parts)
    }
}

impl Default for Parts {
    /// Requests that wait in order, and their refusal, aren't in force unless they are named: what makes a waiting request more
    /// urgent takes places from urgent ones under a lasting overload.
    fn default() -> Self {
        Self {
            waiting: false,
            refusal: false,
            quotas: true,
            speed: true,
            placement: true,
            prefixes: true,
        }
    }
}

impl Options {
    /// The decisions that are in force with a configuration.
    #[must_use]
    pub fn in_force(&self, config: &config::Config) -> Parts {
        let groups = config.groups.values();
        let mut engines = groups.filter_map(|group| group.engine.as_ref());
        match engines.any(|engine| engine.slots <= self.scarce_slots) {
            true => self.parts,
            false => Parts::NONE,
        }
    }
}
