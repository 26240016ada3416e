//! Tests of the settings: valid ones are read, and every fault is reported.

use std::time::Duration;

use fireflywheel::fleet::settings::Settings;

use crate::cases;

const VALID: &str = "\
[instance]
name = a1
failure_domain = fd1
[listen]
callers = 10.0.0.1:8080
ready = 10.0.0.1:8081
peers = 10.0.0.1:8082
[platform]
store = 10.0.0.9:7000
[steward]
lease_ms = 3000
fenced = true
[repeats]
ratio = 0.2
extra = 119
window_ms = 10000
[backend]
obey_ms = 2000
[stop]
grace_ms = 8000
[limits]
descriptors = 2870
";

fn valid_settings_are_read() {
    let settings = Settings::parse(VALID).expect("no faults");
    assert_eq!(settings.instance, "a1");
    assert!(settings.fenced);
    assert_eq!(settings.lease.term, Duration::from_secs(3));
    assert_eq!(settings.max_connections, 1310);
}

fn advertised_address_defaults_to_peers() {
    let settings = Settings::parse(VALID).expect("no faults");
    assert_eq!(settings.peers_advertised, settings.peers);
    let forwarded = VALID.replace("[platform]", "peers_advertised = 10.0.0.7:99\n[platform]");
    let settings = Settings::parse(&forwarded).expect("no faults");
    assert_eq!(settings.peers_advertised.to_string(), "10.0.0.7:99");
}

/// The faults of the valid settings after `from` is replaced by `to`.
fn faults(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    let faults = Settings::parse(&VALID.replace(from, to)).expect_err("a fault");
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

fn assert_fault(from: &str, to: &str, expected: &str) {
    let faults = faults(from, to);
    assert!(faults.contains(expected), "{faults}");
}

cases! {
    /// The documented settings are read.
    valid => valid_settings_are_read();
    /// If something forwards to an instance, the others must link to the forwarder's address.
    advertised_address => advertised_address_defaults_to_peers();
    /// A template's field had no value.
    empty_value => assert_fault("name = a1", "name =", "name");
    /// A required field is missing.
    missing_address => assert_fault("ready = 10.0.0.1:8081\n", "", "ready");
    /// A host name instead of an address is rejected, because names are not resolved.
    host_name => assert_fault("10.0.0.9:7000", "store.example:7000", "store");
    /// An unknown key is probably a typing mistake.
    unknown_key => assert_fault("lease_ms", "leese_ms", "leese_ms");
    /// So is an unknown section.
    unknown_section => assert_fault("[stop]", "[stopp]", "stopp");
    /// A lease with a term of zero would let two instances send orders to engines.
    zero_lease_term => assert_fault("lease_ms = 3000", "lease_ms = 0", "lease_ms");
    /// A value that should be a number is not one.
    not_a_number => assert_fault("ratio = 0.2", "ratio = many", "ratio");
}
