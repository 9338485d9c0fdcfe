//! Validation of a rules file across lines: unique names, references and sizes.

use std::collections::BTreeMap;

use bytesize::ByteSize;

use super::lex::Word;
use super::{Call, Engines, Model, RuleError, Rules, ServiceRule, Tenant, Weights};
use crate::instances::OWN_SERVICE;

const MAX_CALLS_PER_SERVICE: usize = 1000;

/// Namespaces of rule names; a name is unique within its namespace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum NameKind {
    /// Engines and services, which share one namespace, the platform's instance list.
    Service,
    /// Models and adapters, which callers address by name in the same way.
    Model,
    Tenant,
    Weigh,
}

/// A name defined in the file, recorded even if the rest of its rule is invalid.
#[derive(Debug)]
struct Declaration {
    line: usize,
    is_engines: bool,
    is_adapter: bool,
}

/// A model or adapter whose references and size are not validated yet.
#[derive(Debug)]
struct PendingModel {
    name: String,
    model: Model,
    parent: Word,
    size: Word,
}

/// A call whose service reference is not validated yet.
#[derive(Debug)]
struct PendingCall {
    service: Word,
    rule: Option<(Call, Word)>,
}

/// Collects parsed rules and errors, then validates the file as a whole.
#[derive(Debug, Default)]
pub(super) struct RulesBuilder {
    rules: Rules,
    declared: BTreeMap<(NameKind, String), Declaration>,
    models: Vec<PendingModel>,
    calls: Vec<PendingCall>,
    pub(super) errors: Vec<RuleError>,
}

impl RulesBuilder {
    pub(super) fn engines(&mut self, name: &Word, rule: Option<Engines>) {
        let new = self.declare_service(name, true);
        if let (true, Some(rule)) = (new, rule) {
            self.rules.engines.insert(name.text.clone(), rule);
        }
    }

    pub(super) fn service(&mut self, name: &Word) {
        if self.declare_service(name, false) {
            let rule = ServiceRule::default();
            self.rules.services.insert(name.text.clone(), rule);
        }
    }

    /// Adds a model or adapter with the words of its parent (engines or base model) and size.
    pub(super) fn model(&mut self, name: &Word, rule: Option<(Model, Word, Word)>) {
        let adapter = rule.as_ref().is_some_and(|(m, ..)| m.base.is_some());
        let new = self.declare(
            NameKind::Model,
            name,
            Declaration {
                line: name.line,
                is_engines: false,
                is_adapter: adapter,
            },
        );
        if let (true, Some((model, parent, size))) = (new, rule) {
            self.models.push(PendingModel {
                name: name.text.clone(),
                model,
                parent,
                size,
            });
        }
    }

    /// Adds a call with the word of its path.
    pub(super) fn call(&mut self, service: Word, rule: Option<(Call, Word)>) {
        self.calls.push(PendingCall { service, rule });
    }

    pub(super) fn tenant(&mut self, name: &Word, rule: Option<Tenant>) {
        let new = self.declare(
            NameKind::Tenant,
            name,
            Declaration {
                line: name.line,
                is_engines: false,
                is_adapter: false,
            },
        );
        if let (true, Some(rule)) = (new, rule) {
            self.rules.tenants.insert(name.text.clone(), rule);
        }
    }

    pub(super) fn weights(&mut self, head: &Word, rule: Option<Weights>) {
        let new = self.declare(
            NameKind::Weigh,
            head,
            Declaration {
                line: head.line,
                is_engines: false,
                is_adapter: false,
            },
        );
        if let (true, Some(rule)) = (new, rule) {
            self.rules.weights = rule;
        }
    }

    /// Validates references and sizes; returns the rules, or all errors in line order.
    pub(super) fn finish(mut self) -> Result<Rules, Vec<RuleError>> {
        self.check_calls();
        self.check_models();
        self.check_adapters();
        if self.errors.is_empty() {
            return Ok(self.rules);
        }
        self.errors.sort();
        self.errors.dedup();
        Err(self.errors)
    }

    fn declare_service(&mut self, name: &Word, engines: bool) -> bool {
        if name.text == OWN_SERVICE {
            let expected = "another name; this one is brassrack's own in the instance list";
            self.errors.push(name.error(expected));
            return false;
        }
        self.declare(
            NameKind::Service,
            name,
            Declaration {
                line: name.line,
                is_engines: engines,
                is_adapter: false,
            },
        )
    }

    /// Records a name; returns false and reports an error if an earlier line defines it.
    fn declare(&mut self, kind: NameKind, name: &Word, declared: Declaration) -> bool {
        let key = (kind, name.text.clone());
        if let Some(first) = self.declared.get(&key) {
            let expected = format!("one {kind} rule of this name; line {} has it", first.line);
            self.errors.push(name.error(&expected));
            return false;
        }
        self.declared.insert(key, declared);
        true
    }

    fn declared(&self, kind: NameKind, name: &Word) -> Option<&Declaration> {
        self.declared.get(&(kind, name.text.clone()))
    }

    fn check_calls(&mut self) {
        for PendingCall { service, rule } in std::mem::take(&mut self.calls) {
            let known = self.declared(NameKind::Service, &service);
            if known.is_none_or(|d| d.is_engines) {
                self.errors
                    .push(service.error("the name of a service rule"));
            }
            let Some((call, path)) = rule else { continue };
            let Some(target) = self.rules.services.get_mut(&service.text) else {
                continue;
            };
            if target.calls.len() >= MAX_CALLS_PER_SERVICE {
                let expected = format!("at most {MAX_CALLS_PER_SERVICE} calls of a service");
                self.errors.push(path.error(&expected));
                continue;
            }
            // The first matching call applies, so a call covered by an earlier one is unreachable.
            match target.calls.iter().find(|c| covers(c, &call)) {
                Some(first) => {
                    let expected =
                        format!("a call that {} {} leaves over", first.method, first.path);
                    self.errors.push(path.error(&expected));
                }
                None => target.calls.push(call),
            }
        }
    }

    fn check_models(&mut self) {
        let (adapters, models): (Vec<_>, Vec<_>) = std::mem::take(&mut self.models)
            .into_iter()
            .partition(|p| p.model.base.is_some());
        self.models = adapters;
        for pending in models {
            let known = self.declared(NameKind::Service, &pending.parent);
            if known.is_none_or(|d| !d.is_engines) {
                let expected = "the name of an engines rule";
                self.errors.push(pending.parent.error(expected));
            }
            self.check_size(&pending, pending.model.size);
            self.rules.models.insert(pending.name, pending.model);
        }
    }

    fn check_adapters(&mut self) {
        for mut pending in std::mem::take(&mut self.models) {
            let known = self.declared(NameKind::Model, &pending.parent);
            if known.is_none_or(|d| d.is_adapter) {
                let expected = "the name of a model rule";
                self.errors.push(pending.parent.error(expected));
            }
            if let Some(base) = self.rules.models.get(&pending.parent.text) {
                pending.model.engines.clone_from(&base.engines);
                let with_base = pending.model.size.saturating_add(base.size);
                self.check_size(&pending, with_base);
            }
            self.rules.models.insert(pending.name, pending.model);
        }
    }

    /// Reports an error if the size exceeds the memory of the model's engines.
    fn check_size(&mut self, pending: &PendingModel, bytes: u64) {
        let Some(engines) = self.rules.engines.get(&pending.model.engines) else {
            return;
        };
        if bytes <= engines.memory {
            return;
        }
        let memory = ByteSize(engines.memory);
        let expected = match pending.model.base {
            None => format!("at most the engines' memory of {memory}"),
            Some(_) => format!("at most the engines' memory of {memory} together with its base"),
        };
        self.errors.push(pending.size.error(&expected));
    }
}

/// Returns whether the first call matches every request that the second one matches.
fn covers(first: &Call, second: &Call) -> bool {
    if first.method != second.method {
        return false;
    }
    match first.path.strip_suffix('*') {
        Some(prefix) => second.path.starts_with(prefix),
        None => first.path == second.path,
    }
}
