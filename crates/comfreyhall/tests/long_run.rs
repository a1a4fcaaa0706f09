//! Randomised runs of a whole deployment under load.
//!
//! The load tool's callers behave as the brief's: they cache addresses, come
//! back as asked, ask again with the same key, and check every answer. Their
//! tool injects faults into the stand-ins while the test kills, freezes and
//! stops daemons. Afterwards the answers to callers are compared with what the
//! stand-ins ran. The daemons and stand-ins assert their own invariants (no
//! eviction of a slot in use) and would end, failing the run.

mod support;

use std::{
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;
use support::Deployment;

/// Seconds of load per run.
const SECONDS: u64 = 12;

/// Time a daemon is frozen: twice its lease of 400 ms.
const FREEZE: Duration = Duration::from_millis(800);

/// Pause between what is done to daemons.
const PAUSE: Duration = Duration::from_millis(400);

const DAEMONS: usize = 3;

/// Runs the load tool while `trouble` happens to daemons, and returns its
/// report and how often something was done to a daemon.
fn run(
    name: &str,
    seed: u64,
    faults: &str,
    trouble: fn(&mut Deployment, usize, &mut StdRng),
) -> (Value, u32) {
    println!("seed {seed}");
    let mut d = Deployment::start(name, DAEMONS, 3, 3);
    d.cli_ok(&["seed"]);
    let bench = Command::new(env!("CARGO_BIN_EXE_comfreyhall"))
        .arg("--settings")
        .arg(&d.settings)
        .args(["--json", "bench", "--callers", "24", "--adapters", "12"])
        .args(["--once", "0.25", "--plain", "0.15", "--stream", "0.4"])
        .args(["--seconds", &SECONDS.to_string()])
        .args(["--seed", &seed.to_string(), "--faults", faults])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let mut done = 0;
    while begun.elapsed() < Duration::from_secs(SECONDS - 1) {
        std::thread::sleep(PAUSE);
        let i = rng.random_range(0..DAEMONS);
        trouble(&mut d, i, &mut rng);
        d.wait_serving(i);
        done += 1;
    }
    let out = bench.wait_with_output().unwrap();
    let err = String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success(), "{err}");
    let report: Value = serde_json::from_slice(&out.stdout).unwrap();
    println!("{report:#}");
    assert!(d.all_running(), "a process ended by itself; see its log");
    (report, done)
}

fn assert_kept(report: &Value, promises: &[&str]) {
    assert!(report["answered"].as_u64().unwrap() > 0, "{report:#}");
    for promise in promises {
        assert_eq!(report[promise], 0, "{promise}: {report:#}");
    }
}

/// Kills, freezes or stops daemon `i`.
fn any_trouble(d: &mut Deployment, i: usize, rng: &mut StdRng) {
    let name = format!("d{i}");
    match rng.random_range(0..3) {
        0 => {
            d.kill(&name);
            d.start_daemon(i);
        }
        1 => {
            d.signal(&name, Signal::SIGSTOP);
            std::thread::sleep(FREEZE);
            d.signal(&name, Signal::SIGCONT);
        }
        _ => planned_stop(d, i, rng),
    }
}

/// Stops daemon `i` as planned and starts it again.
fn planned_stop(d: &mut Deployment, i: usize, _: &mut StdRng) {
    let name = format!("d{i}");
    d.signal(&name, Signal::SIGTERM);
    assert!(d.ended_well(&name), "{name} did not stop by itself");
    d.start_daemon(i);
}

#[test]
fn run_under_every_fault() {
    // A caller whose daemon is killed sees its connection end, so cut-off
    // attempts are expected here; the request must still not be lost.
    for seed in [11, 12] {
        let (report, done) = run("every-fault", seed, "mix", any_trouble);
        assert!(done > 0);
        assert_kept(&report, &["lost", "doubled", "misreported", "wrong"]);
    }
}

#[test]
fn run_under_planned_stops() {
    let (report, done) = run("planned-stops", 21, "mix", planned_stop);
    assert!(done > 0);
    let all = ["lost", "doubled", "misreported", "wrong", "cut_off"];
    assert_kept(&report, &all);
}
