//! Stand-ins for the services that fireflywheel depends on, for tests and the demo.
//!
//! The platform's [`log`], its [`list`] of instances, its weight [`store`], the model [`engine`]
//! and the plain [`service`] are small HTTP servers. Each has [`fault`] switches, and counts that a
//! test can check afterwards. They implement the protocols of `docs/PROTOCOLS.md`. Any number of
//! them can run in one process:
//!
//! ```no_run
//! use fireflywheel_standin::{client, engine, fault};
//!
//! # async fn example() -> anyhow::Result<()> {
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let base = format!("http://{}", listener.local_addr()?);
//! let options = engine::Options {
//!     load_ms: 5,
//!     ..engine::Options::default()
//! };
//! let server = tokio::spawn(engine::serve(listener, options));
//!
//! let client = client::Client::new();
//! let change = fault::Change::new().with_cut_answers(1);
//! client.set_faults(&base, &change).await?;
//! let counts: engine::Counts = client.counts(&base).await?;
//! assert_eq!(counts.cut, 0);
//! server.abort();
//! # Ok(())
//! # }
//! ```
//!
//! The binary of this crate runs each of them as a process. [`load`] sends a bounded load to
//! daemons and checks the answers, and [`process`] starts and stops processes for tests.

/// Defines a test for each pair of a name and a check.
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

pub mod client;
pub mod clock;
pub mod engine;
pub mod fault;
pub mod http;
pub mod list;
pub mod load;
pub mod log;
pub mod partition;
pub mod process;
pub mod service;
pub mod site;
pub mod store;
pub mod trial;
