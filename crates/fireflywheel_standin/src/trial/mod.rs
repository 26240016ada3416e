//! Tests of the real program against the users' platform, with separate processes on one machine.
//!
//! A [`deployment`] consists of a store and workers, which are stand-ins, and instances, which run the real program.
//! Each link between them goes through a [`proxy`] that can delay, hold, silence or reset it.
//!
//! | module | job |
//! |---|---|
//! | [`soak`] | soak test: injects seeded faults while callers send requests, and checks the rules |
//! | [`replay`] | replays a load pattern without faults, to compare two builds |
//! | [`resumption`] | checks and counts the streams that callers take up again |
//! | [`script`] | derives the faults and their times from a seed |
//! | [`caller`] | a caller with a persistent connection, and the outcome of each request |
//! | [`book`] | records all observations and checks the rules against them |

pub mod book;
pub mod caller;
pub mod deployment;
pub mod proxy;
pub mod replay;
pub mod resumption;
pub mod script;
pub mod soak;
