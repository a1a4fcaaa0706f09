//! Configuration: the rules operators write with labels and selectors.
//!
//! A [`Config`] is one document with a version that only grows. Each
//! [`Rule`] selects requests by the labels of their customer, adapter,
//! version and of the instance that serves them, and sets effects. Rules are
//! read in order and the first one that sets an effect decides it, so the
//! most specific rules stand first.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CatalogError, records::Labels};

/// Most rules one configuration may hold.
const MAX_RULES: usize = 10_000;

/// What a rule covers: every label named must match; no label covers all.
///
/// The label `name` stands for the record's own name.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Select {
    /// Labels of the customer that owns the adapter.
    pub customer: Labels,
    /// Labels of the adapter.
    pub adapter: Labels,
    /// Labels of the adapter version.
    pub version: Labels,
    /// Labels of the instance: `name` and `domain`.
    pub instance: Labels,
}

/// What a rule changes; absent fields leave it to later rules.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Effects {
    /// Whether requests are admitted at all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admit: Option<bool>,
    /// Priority in place of the customer's terms; higher runs first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// Most tokens a request may ask for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// One rule.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name, for errors and the operators.
    pub name: String,
    /// What it covers.
    #[serde(default)]
    pub select: Select,
    /// What it sets.
    pub set: Effects,
}

/// The configuration as operators write it.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// The rules, most specific first.
    pub rules: Vec<Rule>,
}

/// An accepted configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Config {
    /// The epoch that accepted it; 0 before any was.
    pub version: u64,
    /// Its rules.
    pub rules: Vec<Rule>,
}

/// The labels a request is matched by.
#[derive(Debug, Clone, Copy)]
pub struct Subject<'a> {
    /// Name and labels of the customer.
    pub customer: (&'a str, &'a Labels),
    /// Name and labels of the adapter.
    pub adapter: (&'a str, &'a Labels),
    /// Name and labels of the version.
    pub version: (&'a str, &'a Labels),
    /// Name and labels of the instance.
    pub instance: (&'a str, &'a Labels),
}

fn covers(wanted: &Labels, (name, labels): (&str, &Labels)) -> bool {
    wanted.iter().all(|(k, v)| match k.as_str() {
        "name" => v == name,
        _ => labels.get(k) == Some(v),
    })
}

impl Select {
    fn covers(&self, s: &Subject<'_>) -> bool {
        covers(&self.customer, s.customer)
            && covers(&self.adapter, s.adapter)
            && covers(&self.version, s.version)
            && covers(&self.instance, s.instance)
    }
}

impl Config {
    /// The effects in force for `subject`.
    pub fn effects(&self, subject: &Subject<'_>) -> Effects {
        let mut out = Effects::default();
        for rule in self.rules.iter().filter(|r| r.select.covers(subject)) {
            out.admit = out.admit.or(rule.set.admit);
            out.priority = out.priority.or(rule.set.priority);
            out.max_tokens = out.max_tokens.or(rule.set.max_tokens);
        }
        out
    }
}

impl Rules {
    /// Checks what parsing alone cannot.
    pub fn check(&self) -> Result<(), CatalogError> {
        let invalid = |problem: String, remedy| Err(CatalogError::Invalid { problem, remedy });
        if self.rules.len() > MAX_RULES {
            return invalid(
                format!("{} rules are too many", self.rules.len()),
                "keep at most 10000 rules; select by label instead of by name",
            );
        }
        let mut seen = BTreeMap::new();
        for (i, r) in self.rules.iter().enumerate() {
            if r.name.is_empty() {
                return invalid(format!("rules[{i}] has no name"), "give every rule a name");
            }
            if let Some(first) = seen.insert(&r.name, i) {
                return invalid(
                    format!("rules[{i}] and rules[{first}] are both named {:?}", r.name),
                    "give every rule its own name",
                );
            }
            if r.set == Effects::default() {
                return invalid(
                    format!("rules[{i}] ({}) sets nothing", r.name),
                    "set admit, priority or max_tokens",
                );
            }
            if r.set.max_tokens == Some(0) {
                return invalid(
                    format!("rules[{i}] ({}) sets max_tokens to 0", r.name),
                    "use admit: false to refuse requests",
                );
            }
        }
        Ok(())
    }
}
