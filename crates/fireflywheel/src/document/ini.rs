//! Conversion of a document to INI text.

use std::{collections::BTreeMap, fmt, time::Duration};

use smol_str::SmolStr;

use crate::document::{
    Adapter, Class, Document, Fencing, Group, Kind, Model, PinRelease, Route, Serving, Tenant,
};

/// Names a section of a document.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Section {
    /// `[serving]`.
    Serving,
    /// `[class NAME]`.
    Class(SmolStr),
    /// `[tenant NAME]`.
    Tenant(SmolStr),
    /// `[group NAME]`.
    Group(SmolStr),
    /// `[model NAME]`.
    Model(SmolStr),
    /// `[adapter MODEL:NAME]`.
    Adapter {
        /// The model's name.
        model: SmolStr,
        /// The adapter's name.
        name: SmolStr,
    },
    /// `[route NAME]`.
    Route(SmolStr),
}

/// A key with its value in INI syntax.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// The key.
    pub key: &'static str,
    /// The value; `None` if the key is omitted.
    pub value: Option<SmolStr>,
}

/// Conversion of a section to its keys, in the order in which they are written.
pub trait Fields {
    /// Returns every key that the section can have, including those with their default value.
    fn fields(&self) -> Vec<Field>;
}

/// Returns the sections of a document in the order in which they are written.
#[must_use]
pub fn sections(document: &Document) -> BTreeMap<Section, Vec<Field>> {
    let mut sections = BTreeMap::from([(Section::Serving, document.serving.fields())]);
    add_sections(&mut sections, &document.classes, Section::Class);
    add_sections(&mut sections, &document.tenants, Section::Tenant);
    add_sections(&mut sections, &document.groups, Section::Group);
    add_sections(&mut sections, &document.models, Section::Model);
    for (model, adapters) in &document.adapters {
        add_sections(&mut sections, adapters, |name| Section::Adapter {
            model: model.clone(),
            name,
        });
    }
    add_sections(&mut sections, &document.routes, Section::Route);
    sections
}

fn add_sections<F, T>(
    sections: &mut BTreeMap<Section, Vec<Field>>,
    map: &BTreeMap<SmolStr, T>,
    section: F,
) where
    F: Fn(SmolStr) -> Section,
    T: Fields,
{
    for (name, value) in map {
        sections.insert(section(name.clone()), value.fields());
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Serving => write!(f, "serving"),
            Self::Class(name) => write!(f, "class {name}"),
            Self::Tenant(name) => write!(f, "tenant {name}"),
            Self::Group(name) => write!(f, "group {name}"),
            Self::Model(name) => write!(f, "model {name}"),
            Self::Adapter { model, name } => write!(f, "adapter {model}:{name}"),
            Self::Route(name) => write!(f, "route {name}"),
        }
    }
}

/// Writes INI text that [`Document::parse`] reads as the same document.
impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (section, fields)) in sections(self).into_iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            writeln!(f, "[{section}]")?;
            for field in fields {
                if let Some(value) = field.value {
                    writeln!(f, "{} = {value}", field.key)?;
                }
            }
        }
        Ok(())
    }
}

impl Fields for Serving {
    fn fields(&self) -> Vec<Field> {
        vec![
            new_field("cold_start_weight", self.cold_start_weight),
            new_field("store_loads_per_second", self.store_loads_per_second),
            new_field("store_loads_at_once", self.store_loads_at_once),
            new_field("adapter_loads_at_once", self.adapter_loads_at_once),
            new_field("key_memory_s", self.key_retention.as_secs()),
            new_field("keys", self.max_keys),
        ]
    }
}

impl Fields for Class {
    fn fields(&self) -> Vec<Field> {
        let deadline = Field {
            key: "deadline_ms",
            value: self.deadline.map(|deadline| millis(deadline).into()),
        };
        vec![
            deadline,
            new_field("in_flight", self.in_flight),
            new_field("queue", self.queue),
        ]
    }
}

impl Fields for Tenant {
    fn fields(&self) -> Vec<Field> {
        vec![
            new_field("in_flight", self.in_flight),
            new_field("share", self.share),
        ]
    }
}

impl Fields for Group {
    fn fields(&self) -> Vec<Field> {
        let mut fields = vec![new_field("kind", self.kind), new_field("slots", self.slots)];
        if self.kind == Kind::Engine {
            fields.extend([
                new_field("fencing", self.fencing),
                new_field("pin_release", self.pin_release),
                new_field("memory_mb", self.memory_mb),
            ]);
        }
        fields
    }
}

impl Fields for Model {
    fn fields(&self) -> Vec<Field> {
        vec![
            new_field("group", &self.group),
            new_field("version", self.version),
            new_field("memory_mb", self.memory_mb),
            new_field("replicas", self.replicas),
            new_field("load_ms", millis(self.load)),
            new_field("service_ms", millis(self.service)),
        ]
    }
}

impl Fields for Adapter {
    fn fields(&self) -> Vec<Field> {
        vec![
            new_field("memory_mb", self.memory_mb),
            new_field("replicas", self.replicas),
        ]
    }
}

impl Fields for Route {
    fn fields(&self) -> Vec<Field> {
        let deduplicates = if self.deduplicates { "yes" } else { "no" };
        vec![
            new_field("prefix", &self.prefix),
            new_field("group", &self.group),
            new_field("idempotent", self.idempotent.join(", ")),
            new_field("deduplicates", deduplicates),
            new_field("class", &self.class),
        ]
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engine => "engine",
            Self::Service => "service",
        })
    }
}

impl fmt::Display for Fencing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Checked => "checked",
            Self::Forgets => "forgets",
            Self::Ignored => "ignored",
        })
    }
}

impl fmt::Display for PinRelease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Acknowledged => f.write_str("acknowledged"),
            Self::After(wait) => write!(f, "{}", wait.as_secs()),
        }
    }
}

fn new_field<T>(key: &'static str, value: T) -> Field
where
    T: fmt::Display,
{
    Field {
        key,
        value: Some(SmolStr::from(value.to_string())),
    }
}

fn millis(duration: Duration) -> String {
    duration.as_millis().to_string()
}
