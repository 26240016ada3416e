//! Whom a request counts for, with values out of the configuration in force alone.

use fireflywheel::{document, request};
use smol_str::SmolStr;

/// The label value of what the configuration doesn't name.
pub const OTHER: &str = "other";
/// The class of requests to models that name none.
const MODEL_CLASS: &str = "interactive";
/// The label value of requests that go to no model.
const NO_MODEL: &str = "none";

/// Whom a request counts for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Labels {
    /// The tenant.
    pub tenant: SmolStr,
    /// The class.
    pub class: SmolStr,
    /// The model.
    pub model: SmolStr,
}

impl Labels {
    /// Those of a request under the configuration in force.
    #[must_use]
    pub fn new(document: &document::Document, arrival: &request::Arrival) -> Self {
        let class = class_of(document, arrival);
        let model = match &arrival.target {
            request::Target::Model { model, .. } => {
                known(model, document.models.contains_key(model))
            }
            request::Target::Path { .. } => SmolStr::new_static(NO_MODEL),
        };
        Self {
            tenant: known(
                &arrival.tenant,
                document.tenants.contains_key(&arrival.tenant),
            ),
            class: known(&class, document.classes.contains_key(&class)),
            model,
        }
    }

    /// Those of a request that was refused before it was read.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            tenant: SmolStr::new_static(OTHER),
            class: SmolStr::new_static(OTHER),
            model: SmolStr::new_static(OTHER),
        }
    }

    pub(super) fn pair(&self) -> [&str; 2] {
        [&self.tenant, &self.class]
    }
}

fn known(name: &SmolStr, is_known: bool) -> SmolStr {
    if is_known {
        name.clone()
    } else {
        SmolStr::new_static(OTHER)
    }
}

fn class_of(document: &document::Document, arrival: &request::Arrival) -> SmolStr {
    if let Some(class) = &arrival.class {
        return class.clone();
    }
    let request::Target::Path { path, .. } = &arrival.target else {
        return SmolStr::new_static(MODEL_CLASS);
    };
    let routes = document.routes.values();
    let fitting = routes.filter(|route| path.starts_with(route.prefix.as_str()));
    let longest = fitting.max_by_key(|route| route.prefix.len());
    longest.map(|route| route.class.clone()).unwrap_or_default()
}
