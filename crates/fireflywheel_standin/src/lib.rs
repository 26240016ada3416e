//! Stand-ins of what fireflywheel meets at its doors, for tests and the demo.
//!
//! The platform's [`log`], its [`list`] of instances and its weight [`store`], the model
//! [`engine`] and the plain [`service`] are small HTTP servers, each with switches for [`fault`]s
//! and with counts to check afterwards. They speak the protocols of `docs/PROTOCOLS.md`. Any
//! number of them can run in one process:
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
//! The binary of this crate serves each of them as a process. [`load`] sends a bounded load to
//! daemons and judges the answers; [`process`] starts and stops processes from tests.

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

pub mod client;
pub mod clock;
pub mod engine;
pub mod fault;
pub mod http;
pub mod list;
pub mod load;
pub mod log;
pub mod process;
pub mod service;
pub mod site;
pub mod store;
pub mod trial;
