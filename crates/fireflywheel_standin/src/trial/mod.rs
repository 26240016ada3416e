//! Trials of the real programs on the users' platform, as separate processes on one machine.
//!
//! A [`deployment`] is a store and workers, which are stand-ins, and instances, which are the real program. Each
//! link between them goes through a [`proxy`] that can delay, hold, silence or reset it.
//!
//! | module | job |
//! |---|---|
//! | [`soak`] | seeded faults while callers send requests, and what must hold all the while |
//! | [`replay`] | a load pattern without faults, to compare two builds |
//! | [`script`] | from a seed to faults and their times |
//! | [`caller`] | one caller with a kept connection, and what it saw |
//! | [`book`] | all that was seen, and which promises it breaks |

pub mod book;
pub mod caller;
pub mod deployment;
pub mod proxy;
pub mod replay;
pub mod script;
pub mod soak;
