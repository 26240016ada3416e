//! Carries out plans that are ahead of the demand, with their metrics and log lines.

use std::collections::BTreeMap;

use fireflywheel::clock;
use fireflywheel::fleet::demand;
use fireflywheel::fleet::plan;
use fireflywheel::fleet::plan::trend;
use smol_str::SmolStr;

use super::state::DELAY_LOG_INTERVAL;

/// The steward's knowledge of how the demand develops, while the part `placement` is in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    is_in_force: bool,
    trends: trend::Book,
    /// The replicas of the most requested models, by group.
    needs: BTreeMap<SmolStr, Vec<(SmolStr, plan::Need)>>,
    /// When a decision for each group and model was last logged.
    logged_at: BTreeMap<(SmolStr, SmolStr), clock::Instant>,
}

impl Placement {
    /// Puts the part in force, or ends it and drops what was known.
    pub(super) fn set_in_force(&mut self, is_in_force: bool) {
        if self.is_in_force != is_in_force {
            *self = Self {
                is_in_force,
                ..Self::default()
            };
        }
    }

    /// Drops what is known, for a new steward.
    pub(super) fn reset(&mut self) {
        *self = Self {
            is_in_force: self.is_in_force,
            ..Self::default()
        };
    }

    /// Records the demand of an instance.
    pub(super) fn record(&mut self, now: clock::Instant, demand: &demand::Demand) {
        if self.is_in_force {
            self.trends.record(now, demand);
        }
    }

    /// Plans the orders for a group.
    pub(super) fn steps(&mut self, group: &SmolStr, view: &plan::View<'_>) -> Vec<plan::Step> {
        if !self.is_in_force {
            return plan::steps(view);
        }
        self.trends
            .sample(view.now, group, view.config, view.engines);
        let estimates = self.trends.estimates(view.now, group);
        let plan = plan::plan_ahead(view, &estimates);
        self.log(view.now, group, &plan.decisions);
        self.needs.insert(group.clone(), plan.needs);
        plan.steps
    }

    /// The replicas that the most requested models of each group have and need.
    pub(super) fn needs(&self) -> impl Iterator<Item = (&SmolStr, &plan::Need)> {
        let needs = self.needs.values().flatten();
        needs.map(|(model, need)| (model, need))
    }

    /// Whether the part is in force.
    pub(super) fn is_in_force(&self) -> bool {
        self.is_in_force
    }

    /// Logs why replicas are loaded, once a second for each model.
    fn log(&mut self, now: clock::Instant, group: &SmolStr, decisions: &[plan::Decision]) {
        self.logged_at
            .retain(|_, at| now.since(*at) < DELAY_LOG_INTERVAL);
        for decision in decisions {
            let key = (group.clone(), decision.model.clone());
            if self.logged_at.contains_key(&key) {
                continue;
            }
            self.logged_at.insert(key, now);
            let need = &decision.need;
            log::info!(
                group = group.as_str(), model = decision.model.as_str(), rate = need.rate, trend = need.fast_rate,
                expected_requests = need.load, requests = need.requests, replicas = need.replicas as u64,
                loading = need.loading as u64, wanted = need.wanted as u64, why = decision.reason.as_str();
                "replica is loaded"
            );
        }
    }
}
