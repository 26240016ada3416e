//! Serving from a directory: the decisions, one module at a time.

mod backoff;
mod budget;
mod config;
mod crowd;
mod demand;
mod events;
mod lease;
mod limit;
mod organisation;
mod pace;
mod patience;
mod plan;
mod quota;
mod rate;
mod routing;
mod settings;
mod silence;
mod size;
mod subscription;
mod successor;
mod talk;
mod track;
mod work;

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
