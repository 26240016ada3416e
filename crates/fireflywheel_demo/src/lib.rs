//! Demonstrates the main functions on loopback in one process, with stand-ins for the platform, the model engines and
//! the plain services, and three daemons. [`scenario`] defines the steps, and [`promise`] checks the results.

pub mod booking;
pub mod configuration;
pub mod instances;
pub mod platform;
pub mod promise;
pub mod publication;
pub mod replicas;
pub mod scenario;
pub mod table;
pub mod traffic;
pub mod wait;
