//! Commands on the catalog: customers, adapters, versions, rules, audit trail and seeding.

use comfreyhall_catalog::{Adapter, Catalog, Config, Customer, Rule, Rules, Table, Terms, Version};
use comfreyhall_settings::Settings;
use eyre::{bail, eyre};

use crate::{
    args::{AdapterCmd, AuditCmd, CustomerCmd, RulesCmd, SettingsCmd, VersionCmd},
    output::{render, table},
};

fn open_catalog(settings: &str, actor: &str) -> eyre::Result<Catalog> {
    let s = Settings::load(settings)?;
    Ok(Catalog::new(Table::new(&s.platform.table)?, actor))
}

fn parse_labels(raw: &[String]) -> eyre::Result<std::collections::BTreeMap<String, String>> {
    raw.iter()
        .map(|l| {
            l.split_once('=')
                .map(|(k, v)| (k.to_string(), v.to_string()))
                .ok_or_else(|| eyre!("label {l:?} is not key=value; write it as tier=gold"))
        })
        .collect()
}

fn single_label(raw: &[String]) -> eyre::Result<(String, String)> {
    let mut all = parse_labels(raw)?;
    match (all.len(), all.pop_first()) {
        (1, Some(l)) => Ok(l),
        _ => bail!("label takes exactly one --label key=value"),
    }
}

fn require_name(name: Option<String>, what: &str) -> eyre::Result<String> {
    name.ok_or_else(|| eyre!("name the {what}: comfreyhall {what} ACTION NAME"))
}

fn format_labels(l: &std::collections::BTreeMap<String, String>) -> String {
    let parts: Vec<String> = l.iter().map(|(k, v)| format!("{k}={v}")).collect();
    parts.join(",")
}

pub(crate) async fn customer(
    settings: &str,
    actor: &str,
    cmd: CustomerCmd,
    json: bool,
) -> eyre::Result<String> {
    let catalog = open_catalog(settings, actor)?;
    match cmd.action.as_str() {
        "create" => {
            let c = Customer {
                name: require_name(cmd.name, "customer")?,
                labels: parse_labels(&cmd.label)?,
                terms: Terms {
                    stall_ms: cmd.stall_ms,
                    priority: cmd.priority,
                },
            };
            catalog.create_customer(&c).await?;
            Ok(render(json, &c, || {
                format!("created customer {}\n", c.name)
            }))
        }
        "label" => {
            let name = require_name(cmd.name, "customer")?;
            let l = single_label(&cmd.label)?;
            catalog.label("customer", &name, l.clone()).await?;
            Ok(render(json, &l, || {
                format!("labelled customer {name} {}={}\n", l.0, l.1)
            }))
        }
        "list" => {
            let all = catalog.customers().await?;
            Ok(render(json, &all, || {
                let rows: Vec<Vec<String>> = all
                    .iter()
                    .map(|c| {
                        vec![
                            c.name.clone(),
                            c.terms.stall_ms.to_string(),
                            c.terms.priority.to_string(),
                            format_labels(&c.labels),
                        ]
                    })
                    .collect();
                table(&["NAME", "STALL_MS", "PRIORITY", "LABELS"], &rows)
            }))
        }
        other => bail!("customer has no action {other:?}; use create, label or list"),
    }
}

pub(crate) async fn adapter(
    settings: &str,
    actor: &str,
    cmd: AdapterCmd,
    json: bool,
) -> eyre::Result<String> {
    let catalog = open_catalog(settings, actor)?;
    match cmd.action.as_str() {
        "create" => {
            let name = require_name(cmd.name, "adapter")?;
            let owner = cmd
                .customer
                .ok_or_else(|| eyre!("name the owner of the adapter with --customer NAME"))?;
            catalog
                .create_adapter(&name, &owner, parse_labels(&cmd.label)?)
                .await?;
            let result = serde_json::json!({ "adapter": name, "customer": owner });
            Ok(render(json, &result, || {
                format!("created adapter {name} for {owner}\n")
            }))
        }
        "label" => {
            let name = require_name(cmd.name, "adapter")?;
            let l = single_label(&cmd.label)?;
            catalog.label("adapter", &name, l.clone()).await?;
            Ok(render(json, &l, || {
                format!("labelled adapter {name} {}={}\n", l.0, l.1)
            }))
        }
        "list" => {
            let all = catalog.adapters().await?;
            Ok(render(json, &all, || adapter_table(&all)))
        }
        other => bail!("adapter has no action {other:?}; use create, label or list"),
    }
}

fn adapter_table(all: &[Adapter]) -> String {
    let rows: Vec<Vec<String>> = all
        .iter()
        .map(|a| {
            let versions: Vec<&str> = a.versions.iter().map(|v| v.name.as_str()).collect();
            vec![
                a.name.clone(),
                a.customer.clone(),
                versions.join(","),
                format_labels(&a.labels),
            ]
        })
        .collect();
    table(&["NAME", "CUSTOMER", "VERSIONS", "LABELS"], &rows)
}

pub(crate) async fn version(
    settings: &str,
    actor: &str,
    cmd: VersionCmd,
    json: bool,
) -> eyre::Result<String> {
    if cmd.action != "add" {
        bail!("version has no action {:?}; use add", cmd.action);
    }
    let catalog = open_catalog(settings, actor)?;
    let v = Version {
        name: cmd.version,
        labels: parse_labels(&cmd.label)?,
    };
    catalog.add_version(&cmd.adapter, v.clone()).await?;
    Ok(render(json, &v, || {
        format!("added version {} to {}\n", v.name, cmd.adapter)
    }))
}

pub(crate) async fn audit(settings: &str, cmd: AuditCmd, json: bool) -> eyre::Result<String> {
    let catalog = open_catalog(settings, "")?;
    let trail = catalog.audit_trail(cmd.last).await?;
    Ok(render(json, &trail, || {
        let rows: Vec<Vec<String>> = trail
            .iter()
            .map(|a| {
                vec![
                    a.at_ms.to_string(),
                    a.actor.clone(),
                    a.action.clone(),
                    a.key.clone(),
                ]
            })
            .collect();
        table(&["AT_MS", "ACTOR", "ACTION", "KEY"], &rows)
    }))
}

fn read_rules(path: &str) -> eyre::Result<Rules> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| eyre!("cannot read {path}: {e}; check the path and its permissions"))?;
    json5::from_str(&text)
        .map_err(|e| eyre!("{path} is not valid rules: {e}; compare it with samples/rules.jsonc"))
}

pub(crate) async fn rules(
    settings: &str,
    actor: &str,
    cmd: RulesCmd,
    json: bool,
) -> eyre::Result<String> {
    let catalog = open_catalog(settings, actor)?;
    match cmd.action.as_str() {
        "apply" => {
            let file = cmd
                .file
                .ok_or_else(|| eyre!("name the rules file: comfreyhall rules apply FILE"))?;
            let rules = read_rules(&file)?;
            let version = catalog.apply(&rules, cmd.base).await?;
            if cmd.wait {
                return crate::rollout::wait_for_all(settings, version, json).await;
            }
            let result = serde_json::json!({ "version": version });
            Ok(render(json, &result, || {
                format!("rules accepted as version {version}\n")
            }))
        }
        "show" => {
            let config = catalog.config().await?;
            Ok(render(json, &config, || rules_table(&config)))
        }
        other => bail!("rules has no action {other:?}; use apply or show"),
    }
}

fn rules_table(config: &Config) -> String {
    let row = |r: &Rule| {
        let selectors = [
            ("customer", &r.select.customer),
            ("adapter", &r.select.adapter),
            ("version", &r.select.version),
            ("instance", &r.select.instance),
        ];
        let selectors = selectors.iter().filter(|(_, l)| !l.is_empty());
        let selectors = selectors.map(|(k, l)| format!("{k}[{}]", format_labels(l)));
        let set = serde_json::to_string(&r.set).expect("effects serialise");
        vec![r.name.clone(), selectors.collect::<Vec<_>>().join(" "), set]
    };
    let rows: Vec<Vec<String>> = config.rules.iter().map(row).collect();
    let head = format!("version {}\n", config.version);
    head + &table(&["NAME", "COVERS", "SETS"], &rows)
}

/// Name of the seeded customer with index `i`.
pub(crate) fn seed_customer(i: u32) -> String {
    format!("customer-{i:03}")
}

/// Name of the seeded adapter with index `i`.
pub(crate) fn seed_adapter(i: u32) -> String {
    format!("adapter-{i:05}")
}

pub(crate) async fn seed(settings: &str, actor: &str, json: bool) -> eyre::Result<String> {
    let s = Settings::load(settings)?;
    let catalog = Catalog::new(Table::new(&s.platform.table)?, actor);
    let w = &s.workload;
    let customers: Vec<Customer> = (0..w.customers)
        .map(|i| Customer {
            name: seed_customer(i),
            labels: Default::default(),
            terms: Terms {
                stall_ms: 2_000,
                priority: 0,
            },
        })
        .collect();
    let adapters: Vec<Adapter> = (0..w.adapters)
        .map(|i| Adapter {
            name: seed_adapter(i),
            customer: seed_customer(i % w.customers),
            labels: Default::default(),
            versions: vec![Version {
                name: "v1".into(),
                labels: Default::default(),
            }],
        })
        .collect();
    let created = catalog.seed(&customers, &adapters).await?;
    let result = serde_json::json!({ "created": created });
    Ok(render(json, &result, || {
        format!("seeded {created} records\n")
    }))
}

pub(crate) fn settings(cmd: SettingsCmd, json: bool) -> eyre::Result<String> {
    if cmd.action != "check" {
        bail!("settings has no action {:?}; use check", cmd.action);
    }
    let s = Settings::load(&cmd.file)?;
    let result = serde_json::json!({
        "deployment": &*s.deployment,
        "instances": s.instances.len(),
        "engines": s.engines.len(),
    });
    Ok(render(json, &result, || {
        format!(
            "{} is valid: deployment {}, {} instances, {} engines\n",
            cmd.file,
            s.deployment,
            s.instances.len(),
            s.engines.len()
        )
    }))
}
