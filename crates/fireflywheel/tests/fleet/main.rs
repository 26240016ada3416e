//! Tests of the `fleet` modules.

mod adaptive_timeout;
mod announcement;
mod availability;
mod backoff;
mod concurrency;
mod config;
mod config_update;
mod demand;
mod directory;
mod events;
mod freshness;
mod gateway;
mod held_bytes;
mod journal;
mod lease;
mod limit;
mod link;
mod load;
mod organisation;
mod origin;
mod overload;
mod plan;
mod prefix;
mod quarantine;
mod quota;
mod quota_classes;
mod rate;
mod reach;
mod refusal;
mod retry_budget;
mod returning;
mod routing;
mod settings;
mod size;
mod speed;
mod subscription;
mod successor;
mod timeout;
mod tracker;
mod waiting;
mod waiting_load;
mod window;

/// Defines one test for each name, with the expression behind it as its body.
#[macro_export]
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $check:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                $check;
            }
        )+
    };
}
