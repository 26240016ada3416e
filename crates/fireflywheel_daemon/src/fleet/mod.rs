//! An instance that serves from the platform's directory, without a ledger of its own.
//!
//! Backend servers register themselves in the platform's store, and each server is the authority on what it holds.
//! The decisions are made in [`fireflywheel::fleet`]; this module contains the sockets, tasks and timers around it:
//!
//! | module | purpose |
//! |---|---|
//! | [`daemon`] | starts and stops one instance |
//! | [`platform`] | defines the interface that a platform adapter implements |
//! | [`node`] | holds the state of the instance |
//! | [`relay`] | handles callers' requests from arrival to response |
//! | `access` | authenticates callers and enforces the quotas of their organisations |
//! | [`attempt`] | sends a request to one backend server and classifies the outcome |
//! | [`stream`] | forwards streamed responses and resumes them after a failure |
//! | [`pool`] | keeps connections to backend servers |
//! | [`tunnel`] | opens connections to backend servers through another instance |
//! | `head_limit` | bounds what servers may send before the head of a response |
//! | `gateway` | serves such connections for other instances |
//! | [`net`] | opens connections to backend servers and sets their socket options |
//! | [`store_watch`] | keeps the configuration and the directory up to date |
//! | [`steward`] | holds the lease, plans and sends orders |
//! | `gossip` | exchanges facts of crashes with standbys, and asks them where streams began, while there is no steward |
//! | [`links`] | opens and serves links between instances and the steward |
//! | [`health`] | serves readiness probes and metrics |
//! | [`metrics`] | records Prometheus metrics |
//! | [`log_output`] | writes log lines to standard output without blocking requests |

mod access;
pub mod attempt;
pub mod daemon;
mod gateway;
mod gossip;
mod head_limit;
mod health;
pub mod links;
pub mod log_output;
pub mod metrics;
pub mod net;
pub mod node;
pub mod platform;
pub mod pool;
pub mod relay;
mod speed_metrics;
pub mod steward;
pub mod store_watch;
pub mod stream;
pub mod tunnel;
mod wait;
