//! The core of fireflywheel: all decisions, without any input or output.
//!
//! A [`node::Node`] represents one instance. It receives the time and an event, and returns effects; the
//! daemon executes them and reports the results as further events. The core opens no socket, reads no clock
//! and draws no random numbers.
//!
//! ```
//! use fireflywheel::{clock, effect, event, node, record};
//! use std::time::Duration;
//!
//! let timing = node::Timing {
//!     ping_interval: Duration::from_millis(500),
//!     suspect_timeout: Duration::from_secs(2),
//!     dead_timeout: Duration::from_secs(10),
//!     drain_delay: Duration::from_secs(5),
//!     drain_limit: Duration::from_secs(600),
//!     absence_timeout: Duration::from_secs(30),
//!     checkpoint_records: 5000,
//!     checkpoint_interval: Duration::from_secs(60),
//! };
//! let incarnation = record::Incarnation { instance: "a1".into(), number: 1_700_000_000_000 };
//! let options = node::Options {
//!     incarnation,
//!     address: "10.20.1.11:8081".into(),
//!     failure_domain: "fd1".into(),
//!     seeds: Vec::new(),
//!     max_queue: 1024,
//!     timing,
//!     seed: 1,
//! };
//! let mut node = node::Node::new(options);
//! let mut effects = Vec::new();
//! node.start(clock::Instant(0), &mut effects);
//! assert_eq!(effects, [effect::Effect::ReadFrom(0)]);
//!
//! // An empty log yields a ledger, but no configuration yet.
//! let read = event::Event::LogRead { first: 0, next: 0, records: Vec::new() };
//! node.step(clock::Instant(5), read, &mut effects);
//! assert!(node.check_ready().is_err());
//! ```
//!
//! # Path of a cold request, in reading order
//!
//! 1. [`node::Node::handle_arrival`] admits a [`request::Arrival`]: it checks limits ([`credit`]), records a claim if
//!    the request may run only once ([`claim`]), and refuses a request whose [`estimate`] misses its deadline.
//! 2. The request waits in a [`queue`]. Since its model is not loaded, the instance notifies the group's [`steward`]
//!    ([`wire::Frame::Want`]).
//! 3. The steward chooses a [`placement`], appends an intent ([`record::Entry::Grant`], through the [`writer`]), and
//!    reads it back: only the [`ledger`]'s decision on the intent grants a [`right`].
//! 4. The steward sends an [`order`] with a unique fencing number, and appends the outcome.
//! 5. The request is sent to a backend server chosen by [`routing`], and [`answer`] checks the answer.
//! 6. In every case the caller gets exactly one final answer, with a [`verdict::Verdict`] if it is not complete.
//!
//! # Common questions
//!
//! *What happens if the steward dies or is paused?* See [`ledger::rights`] and [`steward`].
//! *What happens if the log is unavailable?* Existing rights stay in use; see [`node`].
//! *How does an instance start?* From the log or from a checkpoint; see [`bootstrap`].
//! *Which component decides that an instance is dead?* None with certainty: [`membership`] gives hints, and the
//! ledger decides.

pub mod answer;
pub mod bootstrap;
pub mod bucket;
pub mod claim;
pub mod clock;
pub mod credit;
pub mod document;
pub mod effect;
pub mod ending;
pub mod estimate;
pub mod event;
pub mod fault;
pub mod field;
pub mod fleet;
pub mod ini_text;
pub mod item;
pub mod ledger;
pub mod member;
pub mod membership;
pub mod node;
pub mod order;
pub mod placement;
pub mod queue;
pub mod record;
pub mod rendezvous;
pub mod report;
pub mod request;
pub mod retry_budget;
pub mod right;
pub mod routing;
pub mod server;
pub mod settings;
pub mod sse;
pub mod status;
pub mod steward;
pub mod verdict;
pub mod wire;
pub mod writer;
