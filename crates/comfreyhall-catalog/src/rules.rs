//! Configuration rules: selectors over labels, and the effects they set.
//!
//! A [`Config`] is a single document whose version only increases. Each
//! [`Rule`] selects requests by the labels of their customer, adapter and
//! version and of the instance that serves them, and sets effects. Rules are
//! evaluated in order and the first matching rule that sets an effect decides
//! it, so the most specific rules come first.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CatalogError, records::Labels};

/// Maximum number of rules in a configuration.
const MAX_RULES: usize = 10_000;

/// The selector of a rule: every listed label must match; an empty selector
/// matches every request.
///
/// The label `name` matches the name of the record itself.
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

/// The effects of a rule; absent fields are left to later rules.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Effects {
    /// Whether requests are admitted at all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admit: Option<bool>,
    /// Priority, which overrides the one in the customer's terms; higher runs first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// Maximum number of tokens that a request may ask for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
}

/// A configuration rule.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name, shown to operators and in errors.
    pub name: String,
    /// Requests that the rule applies to.
    #[serde(default)]
    pub select: Select,
    /// Effects that the rule sets.
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
    /// The epoch at which it was accepted; 0 before the first configuration.
    pub version: u64,
    /// The rules, most specific first.
    pub rules: Vec<Rule>,
}

/// The names and labels that selectors match a request by.
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

fn matches(required: &Labels, (name, labels): (&str, &Labels)) -> bool {
    required.iter().all(|(k, v)| match k.as_str() {
        "name" => v == name,
        _ => labels.get(k) == Some(v),
    })
}

impl Select {
    fn matches(&self, s: &Subject<'_>) -> bool {
        matches(&self.customer, s.customer)
            && matches(&self.adapter, s.adapter)
            && matches(&self.version, s.version)
            && matches(&self.instance, s.instance)
    }
}

impl Config {
    /// The effects that apply to `subject`.
    pub fn effects(&self, subject: &Subject<'_>) -> Effects {
        let mut out = Effects::default();
        for rule in self.rules.iter().filter(|r| r.select.matches(subject)) {
            out.admit = out.admit.or(rule.set.admit);
            out.priority = out.priority.or(rule.set.priority);
            out.max_tokens = out.max_tokens.or(rule.set.max_tokens);
        }
        out
    }
}

impl Rules {
    /// Checks what deserialisation alone does not.
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
