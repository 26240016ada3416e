//! The serving configuration of the demo, and the change that the demo publishes later.

use std::time::Duration;

use fireflywheel::document;
use smol_str::SmolStr;

/// Name of the group of model engines.
pub const ENGINE_GROUP: &str = "quote-llm";
/// Name of the group of plain services.
pub const SERVICE_GROUP: &str = "desk-app";
/// The only tenant.
pub const TENANT: &str = "desk";
/// Path of bookings.
pub const BOOKINGS_PATH: &str = "/bookings";
/// Memory of each model engine, in megabytes.
pub const ENGINE_MEMORY_MB: u64 = 8_000;
/// Maximum number of requests that a model engine runs at the same time.
pub const ENGINE_SLOTS: u32 = 8;
/// Model whose replica cap the change lowers.
pub const LOWERED_MODEL: &str = "quote-small";
/// Model whose replica cap the change raises.
pub const RAISED_MODEL: &str = "quote-large";

const MODEL_CLASS: &str = "interactive";
const BOOKING_CLASS: &str = "booking";
/// Limit of requests in flight. It is so high that no request of the demo reaches it.
const MAX_IN_FLIGHT: u32 = 600;
const DEADLINE: Duration = Duration::from_secs(10);
const EXPECTED_LOAD_TIME: Duration = Duration::from_millis(500);
const EXPECTED_SERVICE_TIME: Duration = Duration::from_millis(100);

/// A model of the demo.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: &'static str,
    /// Memory of a replica, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of replicas before the change.
    pub cap: u32,
    /// Maximum number of replicas after the change.
    pub changed_cap: u32,
}

const fn model(name: &'static str, memory_mb: u64, cap: u32, changed_cap: u32) -> Model {
    Model {
        name,
        memory_mb,
        cap,
        changed_cap,
    }
}

/// The models. The four engines hold at most five of them at the same time.
pub const MODELS: [Model; 6] = [
    model(LOWERED_MODEL, 4_000, 2, 1),
    model(RAISED_MODEL, 6_000, 1, 2),
    model("warranty", 6_000, 1, 1),
    model("report", 6_000, 1, 1),
    model("photo", 6_000, 1, 1),
    model("triage", 4_000, 1, 1),
];

/// Returns the first configuration.
#[must_use]
pub fn first() -> document::Document {
    with_caps(|model| model.cap)
}

/// Returns the configuration after the change, which lowers one cap and raises another.
#[must_use]
pub fn changed() -> document::Document {
    with_caps(|model| model.changed_cap)
}

fn with_caps<F>(cap: F) -> document::Document
where
    F: Fn(&Model) -> u32,
{
    let mut document = document::Document::default();
    document.classes.insert(MODEL_CLASS.into(), class());
    document.classes.insert(BOOKING_CLASS.into(), class());
    document.tenants.insert(TENANT.into(), tenant());
    document.groups.insert(ENGINE_GROUP.into(), engine_group());
    document
        .groups
        .insert(SERVICE_GROUP.into(), service_group());
    document.routes.insert("bookings".into(), bookings_route());
    for model in &MODELS {
        let cap = cap(model);
        document
            .models
            .insert(model.name.into(), model_section(model, cap));
    }
    document
}

fn class() -> document::Class {
    document::Class {
        deadline: Some(DEADLINE),
        in_flight: MAX_IN_FLIGHT,
        ..document::Class::default()
    }
}

fn tenant() -> document::Tenant {
    document::Tenant {
        in_flight: MAX_IN_FLIGHT,
        ..document::Tenant::default()
    }
}

fn engine_group() -> document::Group {
    document::Group {
        kind: document::Kind::Engine,
        fencing: document::Fencing::Checked,
        memory_mb: ENGINE_MEMORY_MB,
        slots: ENGINE_SLOTS,
        ..document::Group::default()
    }
}

fn service_group() -> document::Group {
    document::Group {
        kind: document::Kind::Service,
        slots: 16,
        ..document::Group::default()
    }
}

fn bookings_route() -> document::Route {
    document::Route {
        prefix: BOOKINGS_PATH.into(),
        group: SERVICE_GROUP.into(),
        class: BOOKING_CLASS.into(),
        ..document::Route::default()
    }
}

fn model_section(model: &Model, replicas: u32) -> document::Model {
    document::Model {
        group: SmolStr::new_static(ENGINE_GROUP),
        memory_mb: model.memory_mb,
        replicas,
        load: EXPECTED_LOAD_TIME,
        service: EXPECTED_SERVICE_TIME,
        ..document::Model::default()
    }
}
