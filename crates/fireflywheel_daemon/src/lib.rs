//! `fireflywheeld`: the sockets, files, timers and signals around the state machine of [`fireflywheel`].
//!
//! This crate makes no decisions. Each outside occurrence becomes a [`fireflywheel::event::Event`], and each
//! [`fireflywheel::effect::Effect`] that is returned is carried out by one module:
//!
//! | module | purpose |
//! |---|---|
//! | [`daemon`] | assembles one instance; a process can run several |
//! | [`core`] | the node behind a single lock, and the dispatch of its effects |
//! | [`door`] | listening sockets with limits that are enforced before a request is parsed |
//! | [`callers`] | requests of callers, from the door to their only final answer |
//! | [`backend`] | attempts at backend servers, and the verdict of each |
//! | [`received`] | bodies of received responses, and how each ended |
//! | [`client`] | the HTTP client, which tells whether a failed request may have been sent |
//! | [`orders`] | orders to model engines |
//! | [`reports`] | load reports of backend servers |
//! | [`platform`] | the platform's log and list, each behind a small trait |
//! | [`peers`] | links to other instances |
//! | [`operator`] | metrics, health, status and drain |
//!
//! A daemon is started from its settings and the key that it shares with its peers:
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
pub mod received;
pub mod reports;
