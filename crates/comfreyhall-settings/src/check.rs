//! Validates a parsed settings file as a whole.
//!
//! Each error names the field by its path in the file and says how to fix it,
//! so that operators need not read the code.

use std::{collections::HashSet, net::SocketAddr};

use thiserror::Error;

use crate::Settings;

/// Why a settings file was rejected.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read {origin}: {detail}; check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        origin: String,
        /// Error message of the operating system.
        detail: String,
    },
    /// The text is not JSON with comments of the expected shape.
    #[error("{origin} is not valid settings: {detail}; compare it with samples/oduya.jsonc")]
    Syntax {
        /// Path of the file.
        origin: String,
        /// Error message of the parser.
        detail: String,
    },
    /// A field holds an invalid value.
    #[error("{field}: {problem}; {remedy}")]
    Field {
        /// Path of the field, such as `engines[2].listen`.
        field: String,
        /// What is wrong.
        problem: String,
        /// How to fix it.
        remedy: String,
    },
}

/// Returns the text of the file at `path`, and its name for errors.
pub(crate) fn read(path: &std::path::Path) -> Result<(String, String), SettingsError> {
    let origin = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((text, origin)),
        Err(e) => Err(SettingsError::Unreadable {
            origin,
            detail: e.to_string(),
        }),
    }
}

fn field_error(field: String, problem: String, remedy: &str) -> SettingsError {
    SettingsError::Field {
        field,
        problem,
        remedy: remedy.to_string(),
    }
}

fn check_address(
    path: String,
    value: &str,
    seen: &mut HashSet<String>,
) -> Result<(), SettingsError> {
    if value.parse::<SocketAddr>().is_err() {
        return Err(field_error(
            path,
            format!("{value:?} is not an ip:port address"),
            "write it as \"127.0.0.1:8101\"",
        ));
    }
    if !seen.insert(value.to_string()) {
        return Err(field_error(
            path,
            format!("{value} is used twice"),
            "give every process its own port",
        ));
    }
    Ok(())
}

fn check_name(path: String, value: &str, seen: &mut HashSet<String>) -> Result<(), SettingsError> {
    let ok = !value.is_empty()
        && value
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
    if !ok {
        return Err(field_error(
            path,
            format!("{value:?} is not a name"),
            "use letters, digits, '-' and '_' only",
        ));
    }
    if !seen.insert(value.to_string()) {
        return Err(field_error(
            path,
            format!("{value} is used twice"),
            "give every instance and engine its own id",
        ));
    }
    Ok(())
}

fn check_range(path: String, value: u64, low: u64, high: u64) -> Result<(), SettingsError> {
    if value < low || value > high {
        return Err(field_error(
            path,
            format!("{value} is out of range"),
            &format!("choose a value from {low} to {high}"),
        ));
    }
    Ok(())
}

/// Checks what deserialisation alone does not.
pub(crate) fn check(s: &Settings) -> Result<(), SettingsError> {
    let mut addrs = HashSet::new();
    let mut names = HashSet::new();
    if s.instances.is_empty() {
        return Err(field_error(
            "instances".into(),
            "no entry instance is listed".into(),
            "list at least one instance with id, domain and listen",
        ));
    }
    if s.engines.is_empty() {
        return Err(field_error(
            "engines".into(),
            "no engine is listed".into(),
            "list at least one engine with id, domain and listen",
        ));
    }
    for (i, inst) in s.instances.iter().enumerate() {
        check_name(format!("instances[{i}].id"), &inst.id, &mut names)?;
        check_address(format!("instances[{i}].listen"), &inst.listen, &mut addrs)?;
    }
    for (i, eng) in s.engines.iter().enumerate() {
        check_name(format!("engines[{i}].id"), &eng.id, &mut names)?;
        check_address(format!("engines[{i}].listen"), &eng.listen, &mut addrs)?;
        check_range(format!("engines[{i}].slots"), eng.slots.into(), 1, 64)?;
        check_range(format!("engines[{i}].width"), eng.width.into(), 1, 1024)?;
    }
    for (i, svc) in s.services.iter().enumerate() {
        check_name(format!("services[{i}].id"), &svc.id, &mut names)?;
        check_address(format!("services[{i}].listen"), &svc.listen, &mut addrs)?;
    }
    check_address("platform.table".into(), &s.platform.table, &mut addrs)?;
    check_address("platform.weights".into(), &s.platform.weights, &mut addrs)?;
    check_address("platform.objects".into(), &s.platform.objects, &mut addrs)?;
    check_address(
        "platform.instances".into(),
        &s.platform.instances,
        &mut addrs,
    )?;
    if !(s.platform.loads_per_sec > 0.0 && s.platform.loads_per_sec <= 1000.0) {
        return Err(field_error(
            "platform.loads_per_sec".into(),
            format!("{} is out of range", s.platform.loads_per_sec),
            "give the weight store's limit, above 0 and at most 1000",
        ));
    }
    let t = &s.tuning;
    check_range("tuning.heartbeat_ms".into(), t.heartbeat_ms, 50, 60_000)?;
    check_range("tuning.poll_ms".into(), t.poll_ms, 10, 10_000)?;
    check_range("tuning.follow_ms".into(), t.follow_ms, 20, 5_000)?;
    check_range("tuning.deadline_ms".into(), t.deadline_ms, 100, 3_600_000)?;
    check_range(
        "tuning.half_life_ms".into(),
        t.half_life_ms,
        100,
        86_400_000,
    )?;
    check_range("tuning.drain_ms".into(), t.drain_ms, 0, 600_000)?;
    if t.lease_ms < 2 * t.heartbeat_ms {
        return Err(field_error(
            "tuning.lease_ms".into(),
            format!(
                "{} is shorter than two heartbeats of {} ms",
                t.lease_ms, t.heartbeat_ms
            ),
            "make lease_ms at least twice heartbeat_ms so one lost heartbeat is not a departure",
        ));
    }
    check_range(
        "tuning.address_ttl_ms".into(),
        t.address_ttl_ms,
        100,
        60_000,
    )?;
    check_range(
        "workload.adapters".into(),
        s.workload.adapters.into(),
        1,
        1_000_000,
    )?;
    check_range(
        "workload.customers".into(),
        s.workload.customers.into(),
        1,
        s.workload.adapters.into(),
    )?;
    Ok(())
}
