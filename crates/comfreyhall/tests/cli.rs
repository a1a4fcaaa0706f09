//! The command line as an operator meets it.

mod support;

use std::process::Command;

use support::Deployment;

fn comfreyhall(args: &[&str]) -> (bool, String, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_comfreyhall"))
        .args(args)
        .output()
        .unwrap();
    (
        out.status.success(),
        String::from_utf8(out.stdout).unwrap(),
        String::from_utf8(out.stderr).unwrap(),
    )
}

#[test]
fn settings_check_sample() {
    let sample = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../samples/cooperative.jsonc"
    );
    let (ok, out, _) = comfreyhall(&["settings", "check", sample]);
    assert!(ok);
    assert!(
        out.ends_with("is valid: deployment cooperative, 7 instances, 9 engines\n"),
        "{out}"
    );
}

#[test]
fn settings_check_bad_field() {
    let dir = std::env::temp_dir().join(format!("comfreyhall-bad-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (text, _) = support::settings_text(1, 1, 2);
    let text = text.replace("slots: 2", "slots: 0");
    let path = dir.join("bad.jsonc");
    std::fs::write(&path, text).unwrap();
    let (ok, _, err) = comfreyhall(&["settings", "check", path.to_str().unwrap()]);
    assert!(!ok);
    insta::assert_snapshot!(err);
}

#[test]
fn daemon_refuses_bad_settings() {
    let dir = std::env::temp_dir().join(format!("comfreyhall-badd-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (text, _) = support::settings_text(1, 1, 2);
    let path = dir.join("bad.jsonc");
    std::fs::write(&path, text.replace("lease_ms: 400", "lease_ms: 150")).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_comfreyhalld"))
        .args(["--settings", path.to_str().unwrap(), "--instance", "d0"])
        .output()
        .unwrap();
    assert!(!out.status.success());
    let err = String::from_utf8(out.stderr).unwrap();
    assert!(
        err.contains("tuning.lease_ms: 150 is shorter than two heartbeats of 100 ms"),
        "{err}"
    );
}

#[test]
fn catalog_commands_print_tables() {
    let d = Deployment::start("cli", 1, 1, 2);
    d.cli_ok(&[
        "customer",
        "create",
        "oduya",
        "--label",
        "region=lagos",
        "--stall-ms",
        "500",
    ]);
    d.cli_ok(&["customer", "create", "coop", "--priority", "1"]);
    d.cli_ok(&["adapter", "create", "narrator", "--customer", "oduya"]);
    d.cli_ok(&["version", "add", "narrator", "v1"]);
    d.cli_ok(&["version", "add", "narrator", "v2"]);
    d.cli_ok(&["adapter", "label", "narrator", "--label", "tier=gold"]);
    insta::assert_snapshot!("customers", d.cli_ok(&["customer", "list"]));
    insta::assert_snapshot!("adapters", d.cli_ok(&["adapter", "list"]));
    let trail = d.cli_ok(&["--json", "audit"]);
    let trail: Vec<serde_json::Value> = serde_json::from_str(&trail).unwrap();
    let actions: Vec<&str> = trail
        .iter()
        .map(|a| a["action"].as_str().unwrap())
        .collect();
    assert_eq!(
        actions,
        [
            "customer.create",
            "customer.create",
            "adapter.create",
            "version.add",
            "version.add",
            "adapter.label"
        ]
    );
    assert!(trail.iter().all(|a| a["actor"] == "test"));
}

#[test]
fn catalog_create_twice_names_remedy() {
    let d = Deployment::start("twice", 1, 1, 2);
    d.cli_ok(&["customer", "create", "oduya"]);
    let out = d.cli(&["customer", "create", "oduya"]);
    assert!(!out.status.success());
    let err = String::from_utf8(out.stderr).unwrap();
    assert_eq!(
        err,
        "error: customer oduya exists already; choose another name\n"
    );
    let out = d.cli(&["adapter", "create", "narrator", "--customer", "nobody"]);
    let err = String::from_utf8(out.stderr).unwrap();
    assert_eq!(
        err,
        "error: customer nobody does not exist; create it first or check the spelling\n"
    );
}

#[test]
fn rules_apply_and_show() {
    let d = Deployment::start("rules-cli", 2, 1, 1);
    let sample = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/rules.jsonc");
    let out = d.cli_ok(&["rules", "apply", sample, "--base", "0", "--wait"]);
    assert!(
        out.starts_with("rules version 1 in force on 2 instances after"),
        "{out}"
    );
    insta::assert_snapshot!("rules", d.cli_ok(&["rules", "show"]));
}

#[test]
fn rules_bad_file_changes_nothing() {
    let d = Deployment::start("rules-bad", 1, 1, 1);
    let path = d.dir.join("bad-rules.jsonc");
    std::fs::write(&path, "{ rules: [ { name: \"x\", set: { priorty: 1 } } ] }").unwrap();
    let out = d.cli(&["rules", "apply", path.to_str().unwrap()]);
    assert!(!out.status.success());
    let err = String::from_utf8(out.stderr).unwrap();
    assert!(
        err.contains("priorty") && err.contains("samples/rules.jsonc"),
        "{err}"
    );
    assert!(d.cli_ok(&["rules", "show"]).starts_with("version 0"));
    assert_eq!(d.cli_ok(&["--json", "audit"]).trim(), "[]");
}
