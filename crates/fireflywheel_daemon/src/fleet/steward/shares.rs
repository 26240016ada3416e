//! Shares of quotas, as sent by the steward.

use std::time::Duration;

use fireflywheel::clock;
use fireflywheel::fleet::config;
use fireflywheel::fleet::frame;
use fireflywheel::fleet::quota;
use fireflywheel::fleet::quota::class;

use super::state::{DELAY_LOG_INTERVAL, State};

/// Interval between broadcasts of the shares while all of them are one: even then they tell each instance
/// which part of a quota is its own without a steward.
const IDLE_SHARES_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Sends the shares of quotas: at short intervals while some are below one, and otherwise once a
    /// second. Returns them for this instance itself.
    pub(super) fn send_shares(
        &mut self,
        now: clock::Instant,
        config: &config::Config,
        instances: usize,
        window: Duration,
    ) -> Option<Vec<quota::Share>> {
        let organisations = config.organisations.as_ref()?;
        let is_reduced = |shares: &[quota::Share]| shares.iter().any(|share| share.admit < 1.0);
        let interval = if is_reduced(&self.shares) {
            self.broadcast_interval()
        } else {
            IDLE_SHARES_INTERVAL
        };
        let due = now.since(self.shares_sent_at) >= interval;
        let can_send = now.since(self.shares_sent_at) >= self.broadcast_interval();
        if !due && !can_send {
            return None;
        }
        let shares = self.meter.shares(now, organisations, instances, window);
        if !due && !is_reduced(&shares) {
            return None;
        }
        self.shares_sent_at = now;
        self.shares = shares;
        self.log_shares(now);
        self.broadcast(&frame::Frame::Shares(self.shares.clone()));
        Some(self.shares.clone())
    }

    /// Logs why requests of organisations are refused, once a second for each organisation.
    fn log_shares(&mut self, now: clock::Instant) {
        self.shares_logged_at
            .retain(|_, at| now.since(*at) < DELAY_LOG_INTERVAL);
        for share in self.shares.iter().filter(|share| share.admit < 1.0) {
            let name = &share.organisation;
            let usage = self.meter.figures(now, name);
            let Some(usage) = usage.filter(|_| !self.shares_logged_at.contains_key(name)) else {
                continue;
            };
            self.shares_logged_at.insert(name.clone(), now);
            log::info!(
                organisation = name.as_str(), admit = f64::from(share.admit), offered = usage.offered,
                used = usage.used, left = usage.burst_left, reserved = usage.reserved;
                "organisation is over its quota"
            );
            if let Some(outlook) = share.outlook {
                log::info!(
                    organisation = name.as_str(), shares = by_class(share).as_str(),
                    covered = f64::from(outlook.covered), debt_ms = outlook.debt_ms;
                    "quota is given out by class"
                );
            }
        }
    }
}

/// The share of each class, in the order of admission.
fn by_class(share: &quota::Share) -> String {
    let shares = class::Class::all().zip(&share.by_class);
    let shares: Vec<String> = shares
        .map(|(class, share)| format!("{} {share:.2}", class.name()))
        .collect();
    shares.join(", ")
}
