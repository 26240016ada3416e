//! An instance that serves from the platform's directory, without a ledger of its own.
//!
//! Backend servers register themselves in the platform's store, and each of them is the record of what it
//! holds. What is decided lies in [`fireflywheel::fleet`]; here are the sockets, tasks and timers round it:
//!
//! | module | job |
//! |---|---|
//! | [`daemon`] | puts one instance together, and stops it without a cut |
//! | [`platform`] | what a platform has to translate |
//! | [`node`] | what the instance knows, behind one lock |
//! | [`relay`] | requests of callers, from the door to the one final answer |
//! | `access` | whose request it is, and whether its organisation may ask for more |
//! | [`attempt`] | sending a request to one backend server, and what is known after that |
//! | [`stream`] | handing events on, and going on elsewhere after a break |
//! | [`pool`] | connections to backend servers |
//! | [`watch`] | following the configuration and the directory |
//! | [`steward`] | holding the lease, planning and sending orders |
//! | [`links`] | links between instances and the steward |
//! | [`health`] | the address that tells whether the instance is ready, and its metrics |
//! | [`metrics`] | counters and histograms |
//! | [`log_output`] | log lines to standard output that never hold up a request |

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
