//! Tests of the registry of organisations and their keys.

use fireflywheel::fleet::organisation::{Credential, Fault, Organisation, Registry};

use crate::cases;

fn registry(organisations: &[(&str, &[&str])]) -> Result<Registry, Fault> {
    Registry::new(organisations.iter().map(|(name, keys)| {
        let credentials = keys.iter().map(|key| Credential::of(key));
        (Organisation::new(*name), credentials.collect())
    }))
}

fn assert_owner(key: &str, expected: Option<&str>) {
    let registry =
        registry(&[("desk", &["k1", "k2"]), ("shop", &["k3"])]).expect("no key is shared");
    let found = registry.find(Credential::of(key));
    assert_eq!(found.map(|key| registry.get(key).name.as_str()), expected);
}

fn assert_rejected(organisations: &[(&str, &[&str])], expected: &Fault) {
    let fault = registry(organisations).expect_err("the organisations conflict");
    assert_eq!(fault, *expected);
    assert!(!fault.to_string().contains("secret"), "{fault}");
}

fn keys_are_not_displayed() {
    let shown = format!(
        "{:?} {}",
        Credential::of("secret"),
        Credential::of("secret")
    );
    assert!(!shown.contains("secret"));
    let registry_text = format!("{:?}", registry(&[("desk", &["secret"])]));
    assert!(!registry_text.contains("secret"), "{registry_text}");
}

fn assert_round_trip(organisations: &[(&str, &[&str])]) {
    let registry = registry(organisations).expect("no key is shared");
    let mut bytes = Vec::new();
    ciborium::into_writer(&registry, &mut bytes).expect("writing to a buffer cannot fail");
    let decoded: Registry =
        ciborium::from_reader(bytes.as_slice()).expect("the encoded registry is valid");
    assert_eq!(decoded, registry);
}

/// Decodes a registry as another instance would send it.
fn decode(listing: &[(&str, &[&str])]) -> Option<Registry> {
    let listing: Vec<_> = listing
        .iter()
        .map(|(name, keys)| {
            let credentials: Vec<_> = keys.iter().map(|key| Credential::of(key)).collect();
            (Organisation::new(*name), credentials)
        })
        .collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&listing, &mut bytes).expect("writing to a buffer cannot fail");
    ciborium::from_reader(bytes.as_slice()).ok()
}

cases! {
    /// A registry that is sent over a link must not change, or the receiver would serve other callers than
    /// an instance that reads the configuration from the store.
    registry_survives_a_link => assert_round_trip(&[("desk", &["k1", "k2"]), ("shop", &["k3"]), ("yard", &[])]);
    /// A registry that is received over a link is validated like one from the store.
    shared_key_over_a_link_is_rejected => assert_eq!(decode(&[("desk", &["k1"]), ("shop", &["k1"])]), None);
    /// Every key of an organisation identifies it.
    first_key_identifies => assert_owner("k1", Some("desk"));
    second_key_identifies => assert_owner("k2", Some("desk"));
    /// Requests of one organisation must not be charged to another.
    key_of_other_organisation => assert_owner("k3", Some("shop"));
    /// A key that was revoked or never issued identifies nobody.
    unknown_key_identifies_nobody => assert_owner("k4", None);
    /// With a shared key, a request could belong to either organisation.
    shared_key_is_rejected => assert_rejected(&[("desk", &["secret"]), ("shop", &["secret"])], &Fault::SharedKey {
        first: "desk".into(),
        second: "shop".into(),
    });
    /// Quotas are counted by name, so two organisations of the same name would share one.
    same_name_is_rejected => assert_rejected(&[("desk", &["secret"]), ("desk", &["k"])], &Fault::SameName("desk".into()));
    /// Keys in logs and on status pages could be read by anyone who can read those.
    keys_are_hidden => keys_are_not_displayed();
}
