//! The fault switches of a stand-in, and the injector that holds them.
//!
//! `POST /v1/faults` takes a [`Change`], which changes only the switches that it contains. A
//! counted switch, such as `lose_answers`, is decremented each time it takes effect. `GET
//! /v1/faults` returns the current [`Switches`], so that a test can wait until a fault has
//! occurred.

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

macro_rules! switches {
    ($($(#[$doc:meta])* $name:ident / $with:ident: $kind:ty;)*) => {
        /// The current value of every switch.
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
            /// Engine: restarts in place. The boot id changes, all items are unloaded, and streams
            /// break.
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
            /// Sets the switches that `change` contains.
            pub fn apply(&mut self, change: &Change) {
                $(if let Some(value) = &change.$name {
                    self.$name = *value;
                })*
            }
        }
    };
}

switches! {
    /// Answers 503 to all calls except those for faults and counts.
    outage / with_outage: bool;
    /// Delay before each effect in milliseconds.
    slow_ms / with_slow_ms: u64;
    /// Accepts calls, but processes none until the switch is cleared.
    freeze / with_freeze: bool;
    /// Number of next calls that take effect, but whose connection closes without an answer.
    lose_answers / with_lose_answers: u64;
    /// Number of next answers that contain a wrong request id.
    cross_answers / with_cross_answers: u64;
    /// Number of next answers that end without the end marker, or with a truncated body.
    cut_answers / with_cut_answers: u64;
    /// Delay between an effect and its answer in milliseconds.
    late_ms / with_late_ms: u64;
    /// Delay of every answer in milliseconds, also of one without an effect.
    transit_ms / with_transit_ms: u64;
    /// Worker: number of next answers that state neither a length nor chunks. Most of them end too early.
    end_unstated / with_end_unstated: u64;
    /// Number of next streams that send one chunk twice.
    duplicate_answers / with_duplicate_answers: u64;
    /// Refuses new requests as draining, and reports so in the load report.
    leaving / with_leaving: bool;
    /// Engine: lag of the load report in milliseconds.
    report_lag_ms / with_report_lag_ms: u64;
    /// Engine: number of next orders that are delayed.
    delay_orders / with_delay_orders: u64;
    /// Engine: delay by `delay_orders` in milliseconds.
    delay_orders_ms / with_delay_orders_ms: u64;
    /// Engine: number of next orders that are refused with 502 `store_failed`.
    refuse_orders / with_refuse_orders: u64;
    /// Log: number of newest records that are retained; 0 retains all.
    retain / with_retain: u64;
    /// Log: maximum number of appends per second; 0 for no limit.
    appends_per_second / with_appends_per_second: u64;
    /// List: lag of the list in milliseconds.
    lag_ms / with_lag_ms: u64;
    /// Store: maximum number of model fetches that start per second; 0 for no limit.
    rate / with_rate: f64;
    /// Store: number of concurrent model fetches that run at full speed.
    at_once / with_at_once: u64;
}

impl Change {
    /// Creates an empty change.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes an engine restart in place.
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
    /// Creates an injector with initial values of the switches.
    #[must_use]
    pub fn new(switches: Switches) -> Self {
        Self {
            switches: watch::Sender::new(switches),
        }
    }

    /// Returns a copy of the current values.
    #[must_use]
    pub fn switches(&self) -> Switches {
        self.switches.borrow().clone()
    }

    /// Applies a change and wakes the tasks that wait for the end of a freeze.
    pub fn apply(&self, change: &Change) {
        self.switches.send_modify(|switches| switches.apply(change));
    }

    /// Decrements a counted switch. Returns false if it is already zero.
    pub fn try_consume<F>(&self, counter: F) -> bool
    where
        F: Fn(&mut Switches) -> &mut u64,
    {
        let mut consumed = false;
        self.switches.send_if_modified(|switches| {
            let remaining = counter(switches);
            consumed = *remaining > 0;
            *remaining = remaining.saturating_sub(1);
            false
        });
        consumed
    }

    /// Waits until the stand-in is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        let mut changes = self.switches.subscribe();
        // `wait_for` fails only when the sender is dropped, and `self` holds the sender.
        let _ = changes.wait_for(|switches| !switches.freeze).await;
    }

    /// Waits for the delay `slow_ms`.
    pub async fn delay_request(&self) {
        sleep_ms(self.switches().slow_ms).await;
    }

    /// Waits for the delay `transit_ms`.
    pub async fn delay_transit(&self) {
        sleep_ms(self.switches().transit_ms).await;
    }

    /// Waits for the delay `late_ms`.
    pub async fn delay_answer(&self) {
        sleep_ms(self.switches().late_ms).await;
    }
}

/// Sleeps for the given number of milliseconds; returns without yielding for 0.
pub(crate) async fn sleep_ms(ms: u64) {
    if ms > 0 {
        time::sleep(time::Duration::from_millis(ms)).await;
    }
}
