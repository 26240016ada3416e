//! An instance that serves from the platform's directory, without a ledger of its own.
//!
//! Backend servers register themselves in the platform's store, and each server is the authority on what it holds.
//! The decisions are made in [`fireflywheel::fleet`]; this module contains the sockets, tasks and timers around it:
//!
//! | module | purpose |
//! |---|---|
//! | [`daemon`] | starts and stops one instance |
//! | [`platform`] | the interface that a platform adapter implements |
//! | [`node`] | the state of the instance, behind one lock |
//! | [`relay`] | handles callers' requests from arrival to the one final response |
//! | `access` | authentication of callers and quotas of their organisations |
//! | [`attempt`] | sends a request to one backend server and classifies the outcome |
//! | [`stream`] | forwards streamed responses, and resumes them on another server after a failure |
//! | [`pool`] | connection pool for backend servers |
//! | [`watch`] | keeps the configuration and the directory up to date |
//! | [`steward`] | holds the lease, plans and sends orders |
//! | [`links`] | links between instances and the steward |
//! | [`health`] | the endpoint for readiness probes and metrics |
//! | [`metrics`] | Prometheus metrics |
//! | [`log_output`] | writes log lines to standard output without blocking requests |

mod access;
pub mod attempt;
pub mod daemon;
pub mod health;
pub mod links;
pub mod log_output;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod pool;
pub mod relay;
pub mod steward;
pub mod stream;
pub mod watch;
