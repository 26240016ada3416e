//! The switches for faults that every stand-in has, and the injector where they are set and read.
//!
//! `POST /v1/faults` takes a [`Change`]; only the switches it names change. Counted switches
//! (`lose_answers` and the like) run down by one each time they take effect; `GET /v1/faults`
//! answers the present [`Switches`], so that a test can wait until a fault has struck.

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

macro_rules! switches {
    ($($(#[$doc:meta])* $name:ident / $with:ident: $kind:ty;)*) => {
        /// The present setting of every switch.
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        pub struct Switches {
            $($(#[$doc])* pub $name: $kind,)*
        }

        /// The body of `POST /v1/faults`: the switches to change.
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        #[serde(deny_unknown_fields)]
        pub struct Change {
            $($(#[$doc])* #[serde(default, skip_serializing_if = "Option::is_none")]
            pub $name: Option<$kind>,)*
            /// Engine: restart in place. The boot id changes, nothing is loaded, streams are cut.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            pub restart: Option<bool>,
        }

        impl Change {
            $($(#[$doc])* #[must_use]
            pub fn $with(mut self, value: $kind) -> Self {
                self.$name = Some(value);
                self
            })*
        }

        impl Switches {
            /// Takes over the switches that `change` names.
            pub fn apply(&mut self, change: &Change) {
                $(if let Some(value) = &change.$name {
                    self.$name = *value;
                })*
            }
        }
    };
}

switches! {
    /// Answers 503 to all but faults and counts.
    outage / with_outage: bool;
    /// Milliseconds of delay before each effect.
    slow_ms / with_slow_ms: u64;
    /// Accepts calls and does nothing with them until it is cleared.
    freeze / with_freeze: bool;
    /// The next calls that take effect and whose connection then closes without an answer.
    lose_answers / with_lose_answers: u64;
    /// The next answers that carry another request id.
    cross_answers / with_cross_answers: u64;
    /// The next answers that end without their end marker, or with a short body.
    cut_answers / with_cut_answers: u64;
    /// Milliseconds of delay between an effect and its answer.
    late_ms / with_late_ms: u64;
    /// The next streams that send one chunk twice.
    duplicate_answers / with_duplicate_answers: u64;
    /// Refuses new requests as draining, and says so in the load report.
    leaving / with_leaving: bool;
    /// Engine: age of the load report in milliseconds.
    report_lag_ms / with_report_lag_ms: u64;
    /// Engine: the next orders that arrive late.
    delay_orders / with_delay_orders: u64;
    /// Engine: by how many milliseconds `delay_orders` delays.
    delay_orders_ms / with_delay_orders_ms: u64;
    /// Engine: the next orders refused with 502 `store_failed`.
    refuse_orders / with_refuse_orders: u64;
    /// Log: how many of the newest records are kept; 0 keeps all.
    retain / with_retain: u64;
    /// Log: appends taken in each second; 0 is no limit.
    appends_per_second / with_appends_per_second: u64;
    /// List: age of the list in milliseconds.
    lag_ms / with_lag_ms: u64;
    /// Store: loads started in a second; 0 is no limit.
    rate / with_rate: f64;
    /// Store: loads that run at full speed together.
    at_once / with_at_once: u64;
}

impl Change {
    /// A change that names no switch yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks an engine to restart in place.
    #[must_use]
    pub fn with_restart(mut self) -> Self {
        self.restart = Some(true);
        self
    }
}

/// Holds the switches of one stand-in.
#[derive(Debug)]
pub struct Injector {
    switches: watch::Sender<Switches>,
}

impl Injector {
    /// An injector with these first settings.
    #[must_use]
    pub fn new(switches: Switches) -> Self {
        Self {
            switches: watch::Sender::new(switches),
        }
    }

    /// A copy of the present settings.
    #[must_use]
    pub fn switches(&self) -> Switches {
        self.switches.borrow().clone()
    }

    /// Applies a change and wakes whoever waits for the end of a freeze.
    pub fn apply(&self, change: &Change) {
        self.switches.send_modify(|switches| switches.apply(change));
    }

    /// Takes one from a counted switch; false when it is used up.
    pub fn try_consume<F>(&self, counter: F) -> bool
    where
        F: Fn(&mut Switches) -> &mut u64,
    {
        let mut taken = false;
        self.switches.send_if_modified(|switches| {
            let left = counter(switches);
            taken = *left > 0;
            *left = left.saturating_sub(1);
            false
        });
        taken
    }

    /// Returns once the stand-in is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        let mut changes = self.switches.subscribe();
        // The sender lives in `self`, so waiting can't fail while `self` is borrowed.
        let _ = changes.wait_for(|switches| !switches.freeze).await;
    }

    /// Waits as long as `slow_ms` says.
    pub async fn delay_request(&self) {
        pause(self.switches().slow_ms).await;
    }

    /// Waits as long as `late_ms` says.
    pub async fn delay_answer(&self) {
        pause(self.switches().late_ms).await;
    }
}

/// Sleeps this many milliseconds, not at all for 0.
pub(crate) async fn pause(ms: u64) {
    if ms > 0 {
        time::sleep(time::Duration::from_millis(ms)).await;
    }
}
