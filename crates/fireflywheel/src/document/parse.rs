//! Parsing of a document.
//!
//! | section | required keys | optional keys with their defaults |
//! |---|---|---|
//! | `[serving]` | | `cold_start_weight` 0.5, `store_loads_per_second` 5, `store_loads_at_once` 4, `adapter_loads_at_once` 30, `key_memory_s` 86,400, `keys` 100,000 |
//! | `[class NAME]` | `in_flight` | `deadline_ms` none, `queue` 256 |
//! | `[tenant NAME]` | `in_flight` | `share` 1 |
//! | `[group NAME]` of engines | `kind`, `memory_mb`, `slots` | `fencing` ignored, `pin_release` acknowledged |
//! | `[group NAME]` of services | `kind`, `slots` | |
//! | `[model NAME]` | `group`, `memory_mb`, `replicas` | `version` 1, `load_ms` 10,000, `service_ms` 1,000 |
//! | `[adapter MODEL:NAME]` | `memory_mb`, `replicas` | |
//! | `[route NAME]` | `prefix`, `group`, `class` | `idempotent` `GET, HEAD`, `deduplicates` no |
//!
//! The section `[serving]` is required, so that an empty file is never accepted as a configuration.

use std::{collections::BTreeMap, ops::RangeInclusive, time::Duration};

use smol_str::SmolStr;

use crate::{
    document::{
        Adapter, Class, Document, Fencing, Group, Kind, Model, PinRelease, Route, Serving, Tenant,
        check,
    },
    fault, field, ini_text,
};

/// Maximum size of a document, in bytes. The log accepts records of at most 1 MiB, and a document becomes
/// longer inside a record, since line ends are escaped there.
pub const MAX_BYTES: usize = 900 * 1024;

const COLD_START_WEIGHT_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const STORE_LOADS_PER_SECOND_RANGE: RangeInclusive<f64> = 0.01..=10_000.0;
const STORE_LOADS_AT_ONCE_RANGE: RangeInclusive<u64> = 1..=10_000;
const ADAPTER_LOADS_AT_ONCE_RANGE: RangeInclusive<u64> = 1..=100_000;
/// One minute to thirty days. If keys were retained for less, a caller's ordinary retry would run a second
/// time.
const KEY_MEMORY_S_RANGE: RangeInclusive<u64> = 60..=2_592_000;
const KEYS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=86_400_000;
const IN_FLIGHT_RANGE: RangeInclusive<u64> = 0..=1_000_000;
const QUEUE_RANGE: RangeInclusive<u64> = 0..=100_000;
const SHARE_RANGE: RangeInclusive<u64> = 1..=1_000;
const MEMORY_MB_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const SLOTS_RANGE: RangeInclusive<u64> = 1..=10_000;
const PIN_RELEASE_S_RANGE: RangeInclusive<u64> = 1..=604_800;
const VERSION_RANGE: RangeInclusive<u64> = 1..=1_000_000_000;
/// With 0 replicas the model is unloaded and stays unloaded.
const REPLICAS_RANGE: RangeInclusive<u64> = 0..=100_000;
const LOAD_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;
const SERVICE_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;
const MAX_PREFIX_BYTES: usize = 256;

const KINDS: [field::Keyword<Option<Kind>>; 2] = [
    ("engine", Some(Kind::Engine)),
    ("service", Some(Kind::Service)),
];

const ENGINE_KEYS: [&str; 3] = ["fencing", "pin_release", "memory_mb"];

const FENCINGS: [field::Keyword<Fencing>; 3] = [
    ("checked", Fencing::Checked),
    ("forgets", Fencing::Forgets),
    ("ignored", Fencing::Ignored),
];

const ADAPTER_RULE: &str =
    "`[adapter MODEL:NAME]`, both names of 1 to 64 letters, digits, `-`, `_` and `.`";

const PREFIX_RULE: &str = "a path such as `/bookings`: `/` and letters, digits, `-`, `_`, `.`, `~`, without empty or dot segments";

const YES_OR_NO: [field::Keyword<bool>; 2] = [("yes", true), ("no", false)];

const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

const SECTIONS: [&str; 7] = [
    "serving", "class", "tenant", "group", "model", "adapter", "route",
];

impl Document {
    /// Parses and checks a document of at most [`MAX_BYTES`] bytes.
    ///
    /// # Errors
    ///
    /// All faults, in the order of lines; see [`fault::MAX_FAULTS`].
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        let mut faults = fault::List::default();
        let sections = ini_text::read(text, MAX_BYTES, &mut faults)?;
        let mut document = Self::default();
        for section in &sections {
            document.read_section(section, &mut faults);
        }
        require_serving(&sections, &mut faults);
        check::check(&document, &sections, &mut faults);
        faults.finish(document)
    }

    fn read_section(&mut self, section: &ini_text::Section, faults: &mut fault::List) {
        match section.kind() {
            "serving" => self.read_serving(section, faults),
            "class" => insert_named(&mut self.classes, read_class, section, faults),
            "tenant" => insert_named(&mut self.tenants, read_tenant, section, faults),
            "group" => insert_named(&mut self.groups, read_group, section, faults),
            "model" => insert_named(&mut self.models, read_model, section, faults),
            "adapter" => self.read_adapter(section, faults),
            "route" => insert_named(&mut self.routes, read_route, section, faults),
            other => {
                let allowed = fault::Allowed::Known {
                    noun: SmolStr::from("section"),
                    nearest: faults.suggest(other, SECTIONS),
                };
                faults.push(fault::Fault::new(section.line, allowed).with_found(&section.name));
            }
        }
    }

    fn read_serving(&mut self, section: &ini_text::Section, faults: &mut fault::List) {
        if section.name != "serving" {
            faults.push(misnamed_section(section, "`[serving]`, without a name"));
        }
        self.serving = read_serving(section, faults);
    }

    fn read_adapter(&mut self, section: &ini_text::Section, faults: &mut fault::List) {
        let names = split_adapter_name(&section.name);
        if names.is_none() {
            faults.push(misnamed_section(section, ADAPTER_RULE));
        }
        let adapter = read_adapter(section, faults);
        if let Some((model, name)) = names {
            self.adapters
                .entry(model)
                .or_default()
                .insert(name, adapter);
        }
    }
}

/// Returns the model's and the adapter's name.
fn split_adapter_name(section: &str) -> Option<(SmolStr, SmolStr)> {
    let (model, name) = section.strip_prefix("adapter ")?.split_once(':')?;
    Some((field::parse_name(model)?, field::parse_name(name)?))
}

/// Reads a section `[KIND NAME]` and inserts it into a map by name.
fn insert_named<F, T>(
    map: &mut BTreeMap<SmolStr, T>,
    read: F,
    section: &ini_text::Section,
    faults: &mut fault::List,
) where
    F: FnOnce(&ini_text::Section, &mut fault::List) -> T,
{
    let kind = section.kind();
    let name = field::parse_name(section.name[kind.len()..].trim_start());
    if name.is_none() {
        let expected = format!("`[{kind} NAME]` with {}", field::NAME_RULE);
        faults.push(misnamed_section(section, &expected));
    }
    let value = read(section, faults);
    if let Some(name) = name {
        map.insert(name, value);
    }
}

fn misnamed_section(section: &ini_text::Section, expected: &str) -> fault::Fault {
    fault::Fault::new(section.line, fault::Allowed::Value(expected.into()))
        .with_found(&section.name)
}

fn require_serving(sections: &[ini_text::Section], faults: &mut fault::List) {
    if sections.iter().any(|section| section.kind() == "serving") {
        return;
    }
    let expected = SmolStr::from("a section `[serving]`; it may have no keys");
    faults.push(fault::Fault::new(1, fault::Allowed::Needed(expected)));
}

fn read_serving(section: &ini_text::Section, faults: &mut fault::List) -> Serving {
    let mut reader = field::Reader::new(section, faults);
    let default = Serving::default();
    let serving = Serving {
        cold_start_weight: reader
            .optional_number("cold_start_weight", COLD_START_WEIGHT_RANGE)
            .unwrap_or(default.cold_start_weight),
        store_loads_per_second: reader
            .optional_number("store_loads_per_second", STORE_LOADS_PER_SECOND_RANGE)
            .unwrap_or(default.store_loads_per_second),
        store_loads_at_once: reader
            .optional_integer("store_loads_at_once", STORE_LOADS_AT_ONCE_RANGE)
            .unwrap_or(default.store_loads_at_once),
        adapter_loads_at_once: reader
            .optional_integer("adapter_loads_at_once", ADAPTER_LOADS_AT_ONCE_RANGE)
            .unwrap_or(default.adapter_loads_at_once),
        key_retention: reader
            .optional_seconds("key_memory_s", KEY_MEMORY_S_RANGE)
            .unwrap_or(default.key_retention),
        max_keys: reader
            .optional_integer("keys", KEYS_RANGE)
            .unwrap_or(default.max_keys),
    };
    reader.finish();
    serving
}

fn read_class(section: &ini_text::Section, faults: &mut fault::List) -> Class {
    let mut reader = field::Reader::new(section, faults);
    let default = Class::default();
    let class = Class {
        deadline: reader.optional_millis("deadline_ms", DEADLINE_MS_RANGE),
        in_flight: reader.integer("in_flight", IN_FLIGHT_RANGE, default.in_flight),
        queue: reader
            .optional_integer("queue", QUEUE_RANGE)
            .unwrap_or(default.queue),
    };
    reader.finish();
    class
}

fn read_tenant(section: &ini_text::Section, faults: &mut fault::List) -> Tenant {
    let mut reader = field::Reader::new(section, faults);
    let default = Tenant::default();
    let tenant = Tenant {
        in_flight: reader.integer("in_flight", IN_FLIGHT_RANGE, default.in_flight),
        share: reader
            .optional_integer("share", SHARE_RANGE)
            .unwrap_or(default.share),
    };
    reader.finish();
    tenant
}

fn read_group(section: &ini_text::Section, faults: &mut fault::List) -> Group {
    let mut reader = field::Reader::new(section, faults);
    let kind = reader.keyword("kind", &KINDS, None);
    let default = Group::default();
    let mut group = Group {
        kind: kind.unwrap_or(default.kind),
        slots: reader.integer("slots", SLOTS_RANGE, default.slots),
        ..default
    };
    match kind {
        Some(Kind::Engine) => read_engine_keys(&mut group, &mut reader),
        Some(Kind::Service) => {
            for key in ENGINE_KEYS {
                reader.forbid(key, "only groups of kind `engine` have this key");
            }
        }
        // The fault of the kind is sufficient, since it is unknown which keys are valid here.
        None => {
            for key in ENGINE_KEYS {
                reader.text(key);
            }
        }
    }
    reader.finish();
    group
}

fn read_engine_keys(group: &mut Group, reader: &mut field::Reader<'_>) {
    group.memory_mb = reader.integer("memory_mb", MEMORY_MB_RANGE, group.memory_mb);
    group.fencing = reader
        .optional_keyword("fencing", &FENCINGS)
        .unwrap_or(group.fencing);
    let expected = format!(
        "`acknowledged` or a whole number of seconds from {} to {}",
        field::format_grouped(*PIN_RELEASE_S_RANGE.start()),
        field::format_grouped(*PIN_RELEASE_S_RANGE.end()),
    );
    group.pin_release = reader
        .optional("pin_release", &expected, parse_pin_release)
        .unwrap_or(group.pin_release);
}

fn parse_pin_release(text: &str) -> Option<PinRelease> {
    if text == "acknowledged" {
        return Some(PinRelease::Acknowledged);
    }
    let seconds = field::parse_integer(text, &PIN_RELEASE_S_RANGE)?;
    Some(PinRelease::After(Duration::from_secs(seconds)))
}

fn read_model(section: &ini_text::Section, faults: &mut fault::List) -> Model {
    let mut reader = field::Reader::new(section, faults);
    let default = Model::default();
    let model = Model {
        group: reader.name("group"),
        version: reader
            .optional_integer("version", VERSION_RANGE)
            .unwrap_or(default.version),
        memory_mb: reader.integer("memory_mb", MEMORY_MB_RANGE, default.memory_mb),
        replicas: reader.integer("replicas", REPLICAS_RANGE, default.replicas),
        load: reader
            .optional_millis("load_ms", LOAD_MS_RANGE)
            .unwrap_or(default.load),
        service: reader
            .optional_millis("service_ms", SERVICE_MS_RANGE)
            .unwrap_or(default.service),
    };
    reader.finish();
    model
}

fn read_adapter(section: &ini_text::Section, faults: &mut fault::List) -> Adapter {
    let mut reader = field::Reader::new(section, faults);
    let default = Adapter::default();
    let adapter = Adapter {
        memory_mb: reader.integer("memory_mb", MEMORY_MB_RANGE, default.memory_mb),
        replicas: reader.integer("replicas", REPLICAS_RANGE, default.replicas),
    };
    reader.finish();
    adapter
}

fn read_route(section: &ini_text::Section, faults: &mut fault::List) -> Route {
    let mut reader = field::Reader::new(section, faults);
    let default = Route::default();
    let prefix = reader.required("prefix", PREFIX_RULE, default.prefix, parse_prefix);
    if is_chat_path(&prefix) {
        reader.rule("prefix", "/v1/chat belongs to the models");
    }
    let route = Route {
        prefix,
        group: reader.name("group"),
        idempotent: read_idempotent(&mut reader).unwrap_or(default.idempotent),
        deduplicates: reader
            .optional_keyword("deduplicates", &YES_OR_NO)
            .unwrap_or(default.deduplicates),
        class: reader.name("class"),
    };
    reader.finish();
    route
}

fn read_idempotent(reader: &mut field::Reader<'_>) -> Option<Vec<SmolStr>> {
    let expected = format!("one of {}", METHODS.join(", "));
    let methods = reader.optional_list("idempotent", &expected, |text| {
        METHODS.contains(&text).then(|| SmolStr::new(text))
    })?;
    let has_duplicates = (1..methods.len()).any(|index| methods[..index].contains(&methods[index]));
    if has_duplicates {
        reader.rule("idempotent", "a method stands twice");
    }
    Some(methods)
}

fn parse_prefix(text: &str) -> Option<SmolStr> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '~');
    let segment =
        |part: &str| !part.is_empty() && part != "." && part != ".." && part.chars().all(allowed);
    let rest = text.strip_prefix('/')?;
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    let is_valid =
        text.len() <= MAX_PREFIX_BYTES && (rest.is_empty() || rest.split('/').all(segment));
    is_valid.then(|| SmolStr::new(text))
}

fn is_chat_path(prefix: &str) -> bool {
    prefix == "/v1/chat" || prefix.starts_with("/v1/chat/")
}
