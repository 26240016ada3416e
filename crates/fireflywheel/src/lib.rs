//! The decisions of fireflywheel, without input or output.
//!
//! One [`node::Node`] is one instance. It is handed the time and an event, and gives effects; the daemon
//! carries them out and reports back by further events. Nothing here opens a socket, reads a clock or draws a
//! random number.
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
//!     gone_after: Duration::from_secs(30),
//!     checkpoint_records: 5000,
//!     checkpoint_interval: Duration::from_secs(60),
//! };
//! let me = record::Incarnation { instance: "a1".into(), number: 1_700_000_000_000 };
//! let options = node::Options {
//!     me,
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
//! // An empty log: there is a ledger now, and no configuration yet.
//! let read = event::Event::LogRead { first: 0, next: 0, records: Vec::new() };
//! node.step(clock::Instant(5), read, &mut effects);
//! assert!(node.check_ready().is_err());
//! ```
//!
//! # One cold request, in reading order
//!
//! 1. [`node::Node::handle_arrival`] takes a [`request::Arrival`]: limits ([`credit`]), a claim where it may run only
//!    once ([`claim`]), and an [`estimate`] that refuses at once what would be late.
//! 2. It waits in a [`queue`]. Nothing is loaded, so the group's [`steward`] is told ([`wire::Frame::Want`]).
//! 3. The steward chooses by [`placement`], appends an intent ([`record::Entry::Grant`], by the [`writer`]), and
//!    waits until it is read back: only the [`ledger`]'s judgement gives a [`right`].
//! 4. Then it sends an [`order`], with a fencing number of its own, and appends the outcome.
//! 5. The request is sent to a backend server that [`routing`] chooses; its answer is checked by [`answer`].
//! 6. Whatever happens, the caller gets one final answer, with a [`verdict::Verdict`] when it isn't whole.
//!
//! # What people ask
//!
//! *What if the steward dies or is paused?* See [`ledger::rights`] and [`steward`].
//! *What if the log is out?* What was granted goes on; see [`node`].
//! *How does an instance start?* From the log or a checkpoint; see [`bootstrap`].
//! *Who decides that an instance is dead?* Nobody for certain: [`membership`] gives hints, and the ledger decides.

pub mod answer;
pub mod bootstrap;
pub mod bucket;
pub mod claim;
pub mod clock;
pub mod credit;
pub mod document;
pub mod effect;
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
pub mod status;
pub mod steward;
pub mod verdict;
pub mod wire;
pub mod writer;
