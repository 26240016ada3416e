//! Serving from a directory of backend servers, where each server itself is the record of what it holds.
//!
//! The ledger of [`crate::ledger`] is needed where an order may take effect after its sender has given it up.
//! Here every order carries the number of orders that its server must have accepted before. An order that is
//! delayed is therefore void as soon as a later one was accepted, and memory can't be overcommitted. What
//! remains to be agreed on is who sends orders at all: one steward that holds a lease.
//!
//! | module | contents |
//! |---|---|
//! | [`config`] | the operator's configuration: routes, groups, models; updates from one to a later one |
//! | [`directory`] | the directory of backend servers, merged from several sources |
//! | [`server`] | a backend server: its directory entry and what it holds |
//! | [`era`] | detection of a store that was restored from an older copy |
//! | [`availability`] | when the store has answered, and until when entries may be missing though their servers run |
//! | [`lease`] | which instance is steward, and for how long it may act |
//! | [`successor`] | the choice of the instance to which a steward hands over the lease |
//! | [`demand`] | the demand that instances report to the steward, and the rates estimated from it |
//! | [`plan`] | which orders to send next |
//! | [`tracker`] | the steward's view of one engine |
//! | [`reach`] | whether the path to a server is lost, or the server is down |
//! | [`gateway`] | the instances through which others reach servers |
//! | [`held_bytes`] | the bytes that an instance holds for callers and servers |
//! | [`tunnel`] | the messages that open a connection to a server through another instance |
//! | [`routing`] | the backend server that a request is sent to |
//! | [`waiting`] | the order in which requests wait for servers at an instance |
//! | [`refusal`] | whether a waiting request is served in time |
//! | [`timeout`] | how long a request is kept, and when a refused caller should retry |
//! | [`announcement`] | what servers announce of themselves in their answers |
//! | [`backoff`] | delays between calls to the platform's store after failed calls |
//! | [`organisation`] | the organisations and the keys that identify them |
//! | [`quarantine`] | parts of prompts on which servers crash |
//! | [`quota`] | limits of the requests of an organisation, over all instances |
//! | [`limit`] | limits of the requests to an overloaded server, over all instances |
//! | [`adaptive_timeout`] | the time after which a missing response of a server counts as lost |
//! | [`retry_budget`] | the budget of retries that all instances share |
//! | [`returning`] | whether a caller has come back after a refusal |
//! | [`size`] | the number of instances that share a limit |
//! | [`events`] | splitting of a stream into whole events |
//! | [`rate`] | rate limits and measured rates |
//! | [`freshness`] | as of when a read of the platform's store shows its state |
//! | [`scheduling`] | which decisions under load are in force |
//! | [`speed`] | the speed of servers, and what a request can expect of them |
//! | [`settings`] | the settings of one process |
//! | [`subscription`] | which instances receive updates of which engines |
//! | [`link`] | timing of the link to the steward and of the steward's reads of the store |
//! | [`load`] | the prompt tokens that engines have yet to prefill |
//! | [`prefix`] | what servers keep of the prompts that they have read |
//! | [`frame`] | the messages between instances and the steward |

pub mod adaptive_timeout;
pub mod announcement;
pub mod availability;
pub mod backoff;
pub mod config;
pub mod demand;
pub mod directory;
pub mod era;
pub mod events;
pub mod frame;
pub mod freshness;
pub mod gateway;
pub mod held_bytes;
pub mod lease;
pub mod limit;
pub mod link;
pub mod load;
pub mod organisation;
pub mod origin;
pub mod plan;
pub mod prefix;
pub mod quarantine;
pub mod quota;
pub mod rate;
pub mod reach;
pub mod refusal;
pub mod retry_budget;
pub mod returning;
pub mod routing;
pub mod scheduling;
pub mod server;
pub mod settings;
pub mod size;
pub mod speed;
pub mod subscription;
pub mod successor;
pub mod timeout;
pub mod tracker;
pub mod tunnel;
pub mod waiting;
