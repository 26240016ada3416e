//! Checks of the relations between the sections of a document.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::{
    document::{Document, Group, Kind, Model, Route},
    fault, ini_text,
};

/// Adds a fault for each relation that does not hold.
pub fn check(document: &Document, sections: &[ini_text::Section], faults: &mut fault::List) {
    let mut checker = Checker {
        document,
        by_name: sections
            .iter()
            .map(|section| (section.name.clone(), section))
            .collect(),
        faulty: faults.sections(),
        faults,
    };
    checker.check_models();
    checker.check_adapters();
    checker.check_routes();
    checker.check_prefixes();
}

struct Checker<'a> {
    document: &'a Document,
    by_name: BTreeMap<SmolStr, &'a ini_text::Section>,
    faulty: BTreeSet<SmolStr>,
    faults: &'a mut fault::List,
}

impl<'a> Checker<'a> {
    fn check_models(&mut self) {
        for (name, model) in &self.document.models {
            let section = SmolStr::from(format!("model {name}"));
            if let Some(group) = self.find_group(&section, &model.group, Kind::Engine) {
                self.check_memory(&section, &model.group, group, model.memory_mb);
            }
        }
    }

    fn check_adapters(&mut self) {
        for (model_name, adapters) in &self.document.adapters {
            for (name, adapter) in adapters {
                let section = SmolStr::from(format!("adapter {model_name}:{name}"));
                let Some(model) = self.find_model(&section, model_name) else {
                    continue;
                };
                let Some(group) = self.valid_engine_group(model_name, model) else {
                    continue;
                };
                let memory_mb = model.memory_mb + adapter.memory_mb;
                self.check_memory(&section, &model.group, group, memory_mb);
            }
        }
    }

    fn check_routes(&mut self) {
        for (name, route) in &self.document.routes {
            let section = SmolStr::from(format!("route {name}"));
            self.find_group(&section, &route.group, Kind::Service);
            self.check_class(&section, route);
        }
    }

    /// With two routes of the same prefix it would be undefined which one is used. A trailing `/` does not
    /// change which paths a prefix matches.
    fn check_prefixes(&mut self) {
        let mut seen: BTreeMap<&str, &SmolStr> = BTreeMap::new();
        for (name, route) in &self.document.routes {
            if route.prefix.is_empty() {
                continue;
            }
            let path = route.prefix.trim_end_matches('/');
            if let Some(other) = seen.insert(path, name) {
                let section = SmolStr::from(format!("route {name}"));
                let rule = format!("`{}` is the prefix of [route {other}] too", route.prefix);
                self.report_rule(&section, "prefix", &rule);
            }
        }
    }

    /// Returns the group that a section names if it exists, has no faults and is of this kind.
    fn find_group(&mut self, section: &SmolStr, name: &SmolStr, kind: Kind) -> Option<&'a Group> {
        if name.is_empty() {
            return None;
        }
        let document = self.document;
        let Some(group) = document.groups.get(name) else {
            self.report_unknown(section, "group", name, document.groups.keys());
            return None;
        };
        if self.is_faulty(&format!("group {name}")) {
            return None;
        }
        if group.kind != kind {
            let required_kind = match kind {
                Kind::Engine => "engine",
                Kind::Service => "service",
            };
            let rule = format!("[group {name}] is not of kind `{required_kind}`");
            self.report_rule(section, "group", &rule);
            return None;
        }
        Some(group)
    }

    fn check_class(&mut self, section: &SmolStr, route: &Route) {
        let classes = &self.document.classes;
        if !route.class.is_empty() && !classes.contains_key(&route.class) {
            self.report_unknown(section, "class", &route.class, classes.keys());
        }
    }

    fn find_model(&mut self, section: &SmolStr, name: &SmolStr) -> Option<&'a Model> {
        let document = self.document;
        let model = document.models.get(name);
        if model.is_none() {
            let nearest = self
                .faults
                .suggest(name, document.models.keys().map(SmolStr::as_str));
            let suggestion = nearest.map(|name| format!("; did you mean `{name}`?"));
            let rule = format!(
                "there is no [model {name}]{}",
                suggestion.unwrap_or_default()
            );
            self.report_rule(section, "", &rule);
        }
        model
    }

    /// Returns the group of a model if neither has a fault. Their faults are reported once and not again
    /// for each adapter.
    fn valid_engine_group(&self, name: &SmolStr, model: &Model) -> Option<&'a Group> {
        let group = self.document.groups.get(&model.group)?;
        let valid = group.kind == Kind::Engine
            && model.memory_mb <= group.memory_mb
            && !self.is_faulty(&format!("model {name}"))
            && !self.is_faulty(&format!("group {}", model.group));
        valid.then_some(group)
    }

    fn check_memory(&mut self, section: &SmolStr, name: &SmolStr, group: &Group, memory_mb: u64) {
        if memory_mb > group.memory_mb {
            let rule = format!(
                "{memory_mb} MB in all don't fit the {} MB of a backend server of [group {name}]",
                group.memory_mb
            );
            self.report_rule(section, "memory_mb", &rule);
        }
    }

    fn report_unknown<'n, I>(&mut self, section: &SmolStr, key: &'static str, found: &str, known: I)
    where
        I: Iterator<Item = &'n SmolStr>,
    {
        let allowed = fault::Allowed::Known {
            noun: SmolStr::from(key),
            nearest: self.faults.suggest(found, known.map(SmolStr::as_str)),
        };
        let fault = self.new_fault(section, key, allowed).with_found(found);
        self.faults.push(fault);
    }

    fn report_rule(&mut self, section: &SmolStr, key: &'static str, rule: &str) {
        let fault = self.new_fault(section, key, fault::Allowed::Rule(rule.into()));
        self.faults.push(fault);
    }

    fn new_fault(
        &self,
        section: &SmolStr,
        key: &'static str,
        allowed: fault::Allowed,
    ) -> fault::Fault {
        let line = self
            .by_name
            .get(section)
            .map_or(1, |section| section.line_of(key));
        fault::Fault::new(line, allowed)
            .with_section(section.clone())
            .with_key(key)
    }

    fn is_faulty(&self, section: &str) -> bool {
        self.faulty.contains(section)
    }
}
