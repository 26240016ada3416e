//! The label values of a request. All values except the constants below are names in the configuration in
//! force.

use fireflywheel::{document, request};
use smol_str::SmolStr;

/// Label value that replaces every name that the configuration does not contain.
pub const OTHER: &str = "other";
/// Class of model requests that specify none.
const MODEL_CLASS: &str = "interactive";
/// Model label of requests to a path instead of a model.
const NO_MODEL: &str = "none";

/// The label values of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Labels {
    /// The name of the tenant.
    pub tenant: SmolStr,
    /// The name of the request class.
    pub class: SmolStr,
    /// The name of the model.
    pub model: SmolStr,
}

impl Labels {
    /// Returns the labels of a request under the configuration in force.
    #[must_use]
    pub fn new(document: &document::Document, arrival: &request::Arrival) -> Self {
        let class = class_of(document, arrival);
        let model = match &arrival.target {
            request::Target::Model { model, .. } => {
                known_or_other(model, document.models.contains_key(model))
            }
            request::Target::Path { .. } => SmolStr::new_static(NO_MODEL),
        };
        Self {
            tenant: known_or_other(
                &arrival.tenant,
                document.tenants.contains_key(&arrival.tenant),
            ),
            class: known_or_other(&class, document.classes.contains_key(&class)),
            model,
        }
    }

    /// Returns the labels of a request that was refused before it was parsed.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            tenant: SmolStr::new_static(OTHER),
            class: SmolStr::new_static(OTHER),
            model: SmolStr::new_static(OTHER),
        }
    }

    pub(super) fn tenant_and_class(&self) -> [&str; 2] {
        [&self.tenant, &self.class]
    }
}

fn known_or_other(name: &SmolStr, is_known: bool) -> SmolStr {
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
    let matching = routes.filter(|route| path.starts_with(route.prefix.as_str()));
    let longest = matching.max_by_key(|route| route.prefix.len());
    longest.map(|route| route.class.clone()).unwrap_or_default()
}
