//! `fireflywheel`: the command-line tool for operators.
//!
//! The tool checks documents with [`fireflywheel::document`], reads the log with the daemon's adapter and
//! folds it with the core library, so that its decisions never differ from those of the daemon. Each command
//! has a module and returns a [`report::Report`]. Only `main` prints.

pub mod check;
pub mod command;
pub mod diff;
pub mod drain;
pub mod file;
pub mod publish;
pub mod report;
pub mod status;
