//! Settings are checked, and every fault is named.

use std::time::Duration;

use fireflywheel::fleet::settings::Settings;

use crate::cases;

const GOOD: &str = "\
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

fn good_settings() {
    let settings = Settings::parse(GOOD).expect("no faults");
    assert_eq!(settings.instance, "a1");
    assert!(settings.fenced);
    assert_eq!(settings.lease.term, Duration::from_secs(3));
    assert_eq!(settings.connections, 1310);
}

fn advertised_address() {
    let settings = Settings::parse(GOOD).expect("no faults");
    assert_eq!(settings.peers_advertised, settings.peers);
    let forwarded = GOOD.replace("[platform]", "peers_advertised = 10.0.0.7:99\n[platform]");
    let settings = Settings::parse(&forwarded).expect("no faults");
    assert_eq!(settings.peers_advertised.to_string(), "10.0.0.7:99");
}

/// The faults of the good settings with `from` in place of `to`.
fn faults(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from));
    let faults = Settings::parse(&GOOD.replace(from, to)).expect_err("a fault");
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

fn fault(from: &str, to: &str, named: &str) {
    let faults = faults(from, to);
    assert!(faults.contains(named), "{faults}");
}

cases! {
    /// What the page shows is read.
    good => good_settings();
    /// Something forwards to an instance: the others must link to what forwards.
    advertised => advertised_address();
    /// A template's field had no value.
    empty_value => fault("name = a1", "name =", "name");
    /// A field is missing.
    missing_address => fault("ready = 10.0.0.1:8081\n", "", "ready");
    /// A host name can't be looked up here.
    host_name => fault("10.0.0.9:7000", "store.example:7000", "store");
    /// A key that nothing reads is a typing mistake.
    unknown_key => fault("lease_ms", "leese_ms", "leese_ms");
    /// So is a section.
    unknown_section => fault("[stop]", "[stopp]", "stopp");
    /// A lease of no length would let two instances order engines.
    no_lease => fault("lease_ms = 3000", "lease_ms = 0", "lease_ms");
    /// A number isn't one.
    not_a_number => fault("ratio = 0.2", "ratio = many", "ratio");
}
