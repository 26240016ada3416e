//! Access to the platform's log and its list of instances, each through one small trait.
//!
//! To use another protocol, replace only the adapter in [`log`] or [`list`].

pub mod list;
pub mod log;
