//! Routes are found by host and longest prefix.

use std::time::Duration;

use fireflywheel::fleet::config::{Config, Kind, Route, Target};

use crate::cases;

fn route(host: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    let targets = targets.iter().map(|(group, weight)| Target {
        group: (*group).into(),
        weight: *weight,
    });
    Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_event_gap: None,
        rank: 0,
        targets: targets.collect(),
        attempts: 1,
        allow_anonymous: false,
    }
}

fn found(host: &str, path: &str) -> Option<String> {
    let config = Config {
        routes: vec![
            route("a.example", "/", &[("g", 1.0)]),
            route("a.example", "/x/", &[("g", 1.0)]),
            route("a.example", "/x/y/", &[("g", 1.0)]),
            route("b.example", "/only/", &[("g", 1.0)]),
        ],
        ..Config::default()
    };
    config.route(host, path).map(|route| route.name.to_string())
}

fn expect(host: &str, path: &str, name: Option<&str>) {
    assert_eq!(found(host, path).as_deref(), name);
}

fn split_follows_its_weights() {
    let route = route("a.example", "/", &[("g", 90.0), ("h", 10.0)]);
    let count = (0..1000)
        .filter(|draw| {
            route
                .group(f64::from(*draw) / 1000.0)
                .is_some_and(|group| group == "g")
        })
        .count();
    assert_eq!(count, 900);
    assert!(route.group(1.0).is_some());
}

cases! {
    /// The most exact rule wins, wherever it stands.
    longest_prefix => expect("a.example", "/x/y/z", Some("/x/y/"));
    /// A prefix ends at a slash.
    prefix_ends_at_a_slash => expect("a.example", "/xy", Some("/"));
    /// Callers add the port, and write hosts as they like.
    host_with_port => expect("A.Example:8080", "/x/1", Some("/x/"));
    /// A request for another host must not fall to this one.
    other_host => expect("c.example", "/x/", None);
    /// The host has no rule for this path.
    other_path => expect("b.example", "/else/", None);
    /// A share of a route is tried out on another group.
    split => split_follows_its_weights();
}
