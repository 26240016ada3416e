//! `fireflywheeld`: sockets, files, timers and signals round the decisions of [`fireflywheel`].
//!
//! The crate decides nothing. Each thing that happens outside becomes an [`fireflywheel::event::Event`],
//! and each [`fireflywheel::effect::Effect`] that comes back is carried out by one module:
//!
//! | module | job |
//! |---|---|
//! | [`daemon`] | puts one instance together; several fit in one process |
//! | [`core`] | the node behind one lock, and where its effects go |
//! | [`door`] | listening sockets: limits that stand before anything is parsed |
//! | [`callers`] | requests of callers, from the door to the one final answer |
//! | [`backend`] | attempts at backend servers, and what is known after each |
//! | [`client`] | the HTTP client, and what is known when a call has no answer |
//! | [`orders`] | orders to model engines |
//! | [`reports`] | load reports of backend servers |
//! | [`platform`] | the platform's log and list, each behind a small trait |
//! | [`peers`] | links to other instances |
//! | [`operator`] | metrics, health, status and drain |
//!
//! A daemon is started from its settings and the key of its peers:
//!
//! ```no_run
//! use fireflywheel::settings;
//! use fireflywheel_daemon::daemon;
//!
//! # async fn run(text: &str, key: &[u8]) -> anyhow::Result<()> {
//! let settings = settings::Settings::parse(text).expect("the settings have no faults");
//! let daemon = daemon::Daemon::start(settings, settings::Secret::new(key)?).await?;
//! println!("callers reach it at {}", daemon.caller);
//! daemon.stop();
//! daemon.finished().await;
//! # Ok(())
//! # }
//! ```

pub mod backend;
pub mod callers;
pub mod client;
pub mod clock;
pub mod core;
pub mod daemon;
pub mod door;
pub mod errors;
pub mod fleet;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod orders;
pub mod peers;
pub mod platform;
pub mod reports;
