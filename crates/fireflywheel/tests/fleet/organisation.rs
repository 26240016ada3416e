//! Organisations and their keys.

use fireflywheel::fleet::organisation::{Credential, Fault, Organisation, Registry};

use crate::cases;

fn registry(organisations: &[(&str, &[&str])]) -> Result<Registry, Fault> {
    Registry::new(organisations.iter().map(|(name, keys)| {
        let credentials = keys.iter().map(|key| Credential::of(key));
        (Organisation::new(*name), credentials.collect())
    }))
}

fn owner(key: &str, expected: Option<&str>) {
    let registry =
        registry(&[("desk", &["k1", "k2"]), ("shop", &["k3"])]).expect("no key is shared");
    let found = registry.find(Credential::of(key));
    assert_eq!(found.map(|key| registry.get(key).name.as_str()), expected);
}

fn refused(organisations: &[(&str, &[&str])], expected: &Fault) {
    let fault = registry(organisations).expect_err("it can't be in force");
    assert_eq!(fault, *expected);
    assert!(!fault.to_string().contains("secret"), "{fault}");
}

fn hidden() {
    let shown = format!(
        "{:?} {}",
        Credential::of("secret"),
        Credential::of("secret")
    );
    assert!(!shown.contains("secret"));
    let whole = format!("{:?}", registry(&[("desk", &["secret"])]));
    assert!(!whole.contains("secret"), "{whole}");
}

fn read_back(organisations: &[(&str, &[&str])]) {
    let sent = registry(organisations).expect("no key is shared");
    let mut bytes = Vec::new();
    ciborium::into_writer(&sent, &mut bytes).expect("a buffer takes all that is written");
    let read: Registry = ciborium::from_reader(bytes.as_slice()).expect("it is whole");
    assert_eq!(read, sent);
}

/// A registry as another instance would send it.
fn read(listed: &[(&str, &[&str])]) -> Option<Registry> {
    let listed: Vec<_> = listed
        .iter()
        .map(|(name, keys)| {
            let credentials: Vec<_> = keys.iter().map(|key| Credential::of(key)).collect();
            (Organisation::new(*name), credentials)
        })
        .collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&listed, &mut bytes).expect("a buffer takes all that is written");
    ciborium::from_reader(bytes.as_slice()).ok()
}

cases! {
    /// A configuration that comes over a link would serve other callers than the same one from the store.
    same_over_a_link => read_back(&[("desk", &["k1", "k2"]), ("shop", &["k3"]), ("yard", &[])]);
    /// A registry that comes over a link is checked as one from the store is.
    shared_key_over_a_link => assert_eq!(read(&[("desk", &["k1"]), ("shop", &["k1"])]), None);
    /// Each key of an organisation is its own.
    first_key => owner("k1", Some("desk"));
    /// The second one too.
    second_key => owner("k2", Some("desk"));
    /// Requests of one organisation would be charged to another.
    other_organisation => owner("k3", Some("shop"));
    /// A key that was withdrawn or never given.
    unknown_key => owner("k4", None);
    /// Whose request it is couldn't be told.
    shared_key => refused(&[("desk", &["secret"]), ("shop", &["secret"])], &Fault::SharedKey {
        first: "desk".into(),
        second: "shop".into(),
    });
    /// Quotas are counted by name: two of one name would share one.
    same_name => refused(&[("desk", &["secret"]), ("desk", &["k"])], &Fault::SameName("desk".into()));
    /// Keys in logs and status pages would be readable by whoever reads those.
    keys_are_hidden => hidden();
}
