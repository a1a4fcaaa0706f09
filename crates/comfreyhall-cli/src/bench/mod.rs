//! The load and experiment tool.
//!
//! Simulates a fixed number of callers against a running deployment. Each looks
//! up the addresses to use and sends requests for adapters drawn from a Zipf
//! distribution; halfway through the run, a rarely used adapter becomes the most
//! requested one. Meanwhile the tool can inject faults into the stand-ins
//! (`faults`). Every answer is checked, and after the run the answers are
//! compared with what the stand-ins ran (`oracle`). The report has load stalls
//! (time that requests waited for an adapter load), batch efficiency (the used
//! share of the engines' batch steps), and the numbers of requests that were
//! lost, doubled, cut off or misreported. The run is bounded in time and
//! seeded.

mod caller;
mod deadly;
mod faults;
mod oracle;
mod report;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyhall_protocol::{StatusQuery, engine_client::EngineClient};
use comfreyhall_settings::Settings;
use eyre::bail;
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

use crate::{args::BenchCmd, client, instance, output::render};
use caller::{Caller, Plan};
use report::Tally;

pub(crate) use faults::StandIn;
pub(crate) use report::Report;
#[cfg(test)]
pub(crate) use report::text;

/// Total (used, offered) sequence slots of all engine steps so far.
async fn batch_totals(s: &Settings) -> (u64, u64) {
    let mut used = 0;
    let mut offered = 0;
    for e in &s.engines {
        let Ok(mut c) = EngineClient::connect(format!("http://{}", e.listen)).await else {
            continue;
        };
        if let Ok(st) = c.status(StatusQuery {}).await {
            let st = st.into_inner();
            used += st.used;
            offered += st.steps * u64::from(st.width);
        }
    }
    (used, offered)
}

fn check_args(cmd: &BenchCmd) -> eyre::Result<()> {
    if !(1..=600).contains(&cmd.seconds) || !(1..=512).contains(&cmd.callers) || cmd.warmup > 600 {
        bail!("bench takes 1 to 600 --seconds, 0 to 600 --warmup and 1 to 512 --callers");
    }
    let shares = [cmd.once, cmd.plain, cmd.stream];
    if shares.iter().any(|s| !(0.0..=1.0).contains(s)) || cmd.once + cmd.plain > 1.0 {
        bail!(
            "--once, --plain and --stream are shares from 0 to 1; --once and --plain add up to at most 1"
        );
    }
    Ok(())
}

fn plan(s: &Settings, cmd: &BenchCmd) -> Plan {
    let mut order: Vec<u32> = (0..s.workload.adapters).collect();
    order.shuffle(&mut StdRng::seed_from_u64(cmd.seed));
    if let Some(n) = cmd.adapters {
        order.truncate(n.max(1) as usize);
    }
    let warmup = Duration::from_secs(cmd.warmup);
    let end = warmup + Duration::from_secs(cmd.seconds);
    Plan {
        entries: s.instances.iter().map(|i| i.listen.clone()).collect(),
        order,
        zipf: s.workload.zipf,
        max_tokens: cmd.max_tokens,
        seed: cmd.seed,
        once_share: cmd.once,
        plain_share: if s.services.is_empty() {
            0.0
        } else {
            cmd.plain
        },
        stream_share: cmd.stream,
        start: Instant::now(),
        warmup,
        shift: warmup + (end - warmup) / 2,
        end,
    }
}

/// Runs the load tool against the deployment in `settings`.
pub(crate) async fn run(settings: &str, cmd: BenchCmd, json: bool) -> eyre::Result<String> {
    check_args(&cmd)?;
    let s = Settings::load(settings)?;
    let faults = faults::Kind::parse(&cmd.faults)?;
    let client = client::client();
    instance::fetch_addresses(&client, &s).await?;
    let plan = Arc::new(plan(&s, &cmd));
    let mut tasks = Vec::new();
    for id in 0..cmd.callers {
        let caller = Caller::new(id, plan.clone(), client.clone())?;
        tasks.push(tokio::spawn(caller.run()));
    }
    tokio::time::sleep(plan.warmup).await;
    let measured_from = Instant::now();
    let (used0, offered0) = batch_totals(&s).await;
    let until = plan.start + plan.end;
    let injector = tokio::spawn(faults::inject(s.clone(), faults, cmd.seed, until));
    let deadly = tokio::spawn(deadly::send_repeatedly(
        s.clone(),
        client,
        plan.order[0],
        until,
    ));
    let mut tally = Tally::new();
    for t in tasks {
        tally.merge(t.await?);
    }
    let fault_count = injector.await?;
    let deadly = deadly.await?;
    let seconds = measured_from.elapsed().as_secs_f64();
    let (used1, offered1) = batch_totals(&s).await;
    let violations = oracle::count_violations(&s, &tally).await;
    let batch = (used1 - used0, offered1 - offered0);
    let mut report = Report::new(&cmd, seconds, &tally, batch, fault_count, &violations);
    report.deadly = deadly;
    Ok(render(json, &report, || report::text(&report)))
}
