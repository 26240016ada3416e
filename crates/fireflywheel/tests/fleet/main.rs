//! Serving from a directory: the decisions, one module at a time.

mod adaptive_timeout;
mod backoff;
mod concurrency;
mod config;
mod crowd;
mod demand;
mod events;
mod lease;
mod limit;
mod link;
mod load;
mod organisation;
mod plan;
mod quota;
mod rate;
mod retry_budget;
mod routing;
mod settings;
mod size;
mod subscription;
mod successor;
mod timeout;
mod tracker;

/// Makes a test of each name and the check behind it.
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
