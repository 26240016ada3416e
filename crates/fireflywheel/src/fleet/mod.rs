//! Serving from a directory of backend servers, where each server itself is the record of what it holds.
//!
//! The ledger of [`crate::ledger`] is needed where an order may take effect behind the back of its sender.
//! Here every order names the count of orders that its server must have accepted before, so an order that is
//! carried out late is void as soon as a later one was accepted, and memory can't be overcommitted. What is
//! left to agree on is who sends orders at all: one steward under a lease.
//!
//! | module | job |
//! |---|---|
//! | [`config`] | the operator's configuration: routes, groups, models |
//! | [`server`] | what is known of a backend server |
//! | [`era`] | a store that comes back from an older copy |
//! | [`lease`] | who is steward, and for how long it may act |
//! | [`successor`] | to which instance a steward hands the lease |
//! | [`demand`] | what instances ask of the steward, and the rates it learns from that |
//! | [`plan`] | which order to send next |
//! | [`tracker`] | what the steward knows of one engine: its report, and orders that the report doesn't show yet |
//! | [`routing`] | which backend server a request goes to |
//! | [`timeout`] | how long a request is worth keeping, and when it should come back |
//! | [`backoff`] | when the platform's store may be called again after calls that failed |
//! | [`organisation`] | whose requests are served, and by which key they are recognised |
//! | [`quota`] | how much an organisation may ask for, over all instances |
//! | [`limit`] | how many requests an overloaded server gets from all instances |
//! | [`adaptive_timeout`] | from when on a server's silence means that its answer is lost |
//! | [`retry_budget`] | how many repeats all instances may send together |
//! | [`size`] | how many instances share such a limit |
//! | [`events`] | events of a stream, cut at their ends |
//! | [`rate`] | how often something may be done |
//! | [`settings`] | what one process is told at its start |
//! | [`subscription`] | which instances are told of which engines |
//! | [`link`] | when an instance talks to the steward, and how long the steward's reads of the store stand |
//! | [`load`] | how much engines still have to read |
//! | [`frame`] | what instance and steward tell each other |

pub mod adaptive_timeout;
pub mod backoff;
pub mod config;
pub mod demand;
pub mod era;
pub mod events;
pub mod frame;
pub mod lease;
pub mod limit;
pub mod link;
pub mod load;
pub mod organisation;
pub mod plan;
pub mod quota;
pub mod rate;
pub mod retry_budget;
pub mod routing;
pub mod server;
pub mod settings;
pub mod size;
pub mod subscription;
pub mod successor;
pub mod timeout;
pub mod tracker;
