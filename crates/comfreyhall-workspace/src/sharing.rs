//! Caps by sharing: each daemon has a part of every cap that follows its part
//! of what is asked for.
//!
//! Daemons tell the home of a workspace what is asked of them, and hear what is
//! asked of all others (flow-proportional shares). Nothing is asked when a
//! request comes: a daemon spends its own part. Parts are as old as the last
//! settlement, so they add up to the whole only while demand stands still.

use comfreyhall_protocol::Map;

use crate::{
    FleetView, GrantLine, Name, PeerProcess, QuotaSnapshot, RateLimiter, ReserveOutcome,
    SettleReply, SettleRequest, Tolerance, UsageLine, meter::PlacedQuota, pace::Pace,
};

/// Pause between two settlements with a home, in ms.
const SETTLE_MS: u64 = 250;

/// How long what a home or a daemon told counts, in ms.
const TOLD_MS: u64 = 1_500;

/// Least part of a cap, against an equal one: what the first request of a
/// workspace finds.
const LEAST_PART: f64 = 0.5;

/// Part of the tolerance that may lie unused beyond the burst.
const UNUSED_PART: f64 = 0.5;

/// Ms of a cap's rate after which a refused caller should come back at least.
const RETRY_MS: u64 = 50;

#[derive(Debug, Clone, Default)]
struct Part {
    balance: f64,
    credited: u64,
    demand: Pace,
    /// Units a second asked of the others, and when that was told.
    others: f64,
    told: u64,
}

#[derive(Debug, Default)]
struct Link {
    home: Option<PeerProcess>,
    serial: u64,
    called: u64,
}

/// Demand told by one daemon, and when.
type Told = (f64, u64);

/// Caps by sharing.
pub struct SharingLimiter {
    me: PeerProcess,
    tolerance: Tolerance,
    fleet: FleetView,
    kept: Map<Name, PlacedQuota>,
    links: Map<Name, Link>,
    parts: Map<Name, Part>,
    /// What each daemon told of each workspace, at its home.
    told: Map<Name, Map<Name, Told>>,
}

impl SharingLimiter {
    /// Nothing is known yet.
    pub fn new(me: PeerProcess, tolerance: Tolerance) -> Self {
        Self {
            me,
            tolerance,
            fleet: FleetView::default(),
            kept: Map::default(),
            links: Map::default(),
            parts: Map::default(),
            told: Map::default(),
        }
    }

    /// Part of the cap of a workspace that this daemon may use.
    fn share(&self, part: &Part, now: u64) -> f64 {
        let equal = 1.0 / self.fleet.members.max(1) as f64;
        if now.saturating_sub(part.told) > TOLD_MS {
            return equal;
        }
        let own = part.demand.rate(now);
        let all = own + part.others;
        let asked = if all > 0.0 { own / all } else { 0.0 };
        asked.max(equal * LEAST_PART)
    }

    /// Credits what has come since.
    fn credit(&mut self, workspace: &str, now: u64) -> f64 {
        let Some(kept) = self.kept.get(workspace) else {
            return 0.0;
        };
        let Some(part) = self.parts.get(workspace) else {
            return 0.0;
        };
        let share = self.share(part, now);
        let passed = now.saturating_sub(part.credited) as f64 / 1_000.0;
        let most =
            (kept.quota.burst + UNUSED_PART * self.tolerance.tolerated_excess(&kept.quota)) * share;
        let balance = (part.balance + kept.quota.rate * share * passed).min(most);
        if let Some(part) = self.parts.get_mut(workspace) {
            part.balance = balance;
            part.credited = now;
        }
        kept.quota.rate * share
    }

    fn others(&self, workspace: &str, from: &str, now: u64) -> f64 {
        let told = self.told.get(workspace).into_iter().flatten();
        let recent =
            told.filter(|(name, (_, at))| &***name != from && now.saturating_sub(*at) <= TOLD_MS);
        recent.map(|(_, (demand, _))| demand).sum()
    }

    fn note(&mut self, workspace: &str, from: &str, demand: f64, now: u64) {
        let told = self.told.entry(workspace.into()).or_default();
        told.insert(from.into(), (demand, now));
    }

    /// Settles with itself where this daemon is the home.
    fn settle_own(&mut self, workspace: &str, now: u64) {
        let group = self.kept.get(workspace).map(|k| k.group.clone());
        let home = group.and_then(|g| self.links.get(&g)?.home.clone());
        if home.as_ref() != Some(&self.me) {
            return;
        }
        let own = self
            .parts
            .get(workspace)
            .map_or(0.0, |p| p.demand.rate(now));
        let me = self.me.peer_addr.clone();
        self.note(workspace, &me, own, now);
        let others = self.others(workspace, &me, now);
        if let Some(part) = self.parts.get_mut(workspace) {
            part.others = others;
            part.told = now;
        }
    }
}

impl RateLimiter for SharingLimiter {
    fn set_quotas(&mut self, kept: Map<Name, PlacedQuota>, groups: &[Name], _now: u64) {
        self.kept = kept;
        let kept = &self.kept;
        self.parts.retain(|w, _| kept.contains_key(w));
        self.told.retain(|w, _| kept.contains_key(w));
        self.links.retain(|g, _| groups.contains(g));
        for group in groups {
            self.links.entry(group.clone()).or_default();
        }
    }

    fn update_fleet(&mut self, homes: &Map<Name, PeerProcess>, fleet: FleetView, _now: u64) {
        self.fleet = fleet;
        for (group, link) in &mut self.links {
            link.home = Some(homes.get(group).unwrap_or(&self.me).clone());
        }
    }

    fn record_demand(&mut self, workspace: &str, size: u64, now: u64) {
        if let Some((name, _)) = self.kept.get_key_value(workspace) {
            let part = self.parts.entry(name.clone()).or_default();
            part.demand.bump(size as f64, now);
        }
    }

    fn try_reserve(&mut self, workspace: &str, size: u64, now: u64) -> ReserveOutcome {
        let size = size as f64;
        self.settle_own(workspace, now);
        let rate = self.credit(workspace, now);
        let Some(part) = self.parts.get_mut(workspace) else {
            return ReserveOutcome::UsageUnknown {
                retry_ms: SETTLE_MS,
            };
        };
        if part.balance >= size {
            part.balance -= size;
            return ReserveOutcome::Granted;
        }
        let missing = (size - part.balance) / rate.max(f64::MIN_POSITIVE) * 1_000.0;
        ReserveOutcome::OverQuota {
            retry_ms: (missing as u64).max(RETRY_MS),
        }
    }

    fn retry_after_ms(&self, _name: &str, _size: u64, _now: u64) -> u64 {
        0
    }

    fn has_surplus(&self, _name: &str, _now: u64) -> bool {
        false
    }

    fn mark_sent(&mut self, _workspace: &str, _size: u64) {}

    fn release_unsent(&mut self, workspace: &str, size: u64) {
        if let Some(part) = self.parts.get_mut(workspace) {
            part.balance += size as f64;
        }
    }

    fn refund(&mut self, workspace: &str, size: u64) {
        self.release_unsent(workspace, size);
    }

    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)> {
        let due = self.links.iter().filter_map(|(group, link)| {
            let home = link.home.as_ref().filter(|h| **h != self.me)?;
            let rested = now.saturating_sub(link.called) >= SETTLE_MS;
            rested.then(|| (group.clone(), home.clone()))
        });
        due.collect()
    }

    fn settle_request(&mut self, group: &Name, _home: &PeerProcess, now: u64) -> SettleRequest {
        let here = self.parts.iter().filter(|(w, _)| {
            let kept = self.kept.get(*w);
            kept.is_some_and(|k| k.group == *group)
        });
        let lines = here.map(|(workspace, part)| UsageLine {
            workspace: workspace.to_string(),
            demand: part.demand.rate(now),
            ..UsageLine::default()
        });
        let lines = lines.collect();
        let link = self.links.entry(group.clone()).or_default();
        link.serial += 1;
        link.called = now;
        SettleRequest {
            from: self.me.peer_addr.to_string(),
            boot: self.me.boot,
            serial: link.serial,
            group: group.to_string(),
            lines,
            ..SettleRequest::default()
        }
    }

    fn handle_settle(&mut self, call: &SettleRequest, _met: u64, now: u64) -> SettleReply {
        for line in &call.lines {
            self.note(&line.workspace, &call.from, line.demand, now);
        }
        let lines = call.lines.iter().map(|line| GrantLine {
            workspace: line.workspace.clone(),
            other_demand: self.others(&line.workspace, &call.from, now),
            ..GrantLine::default()
        });
        SettleReply {
            boot: self.me.boot,
            clock_ms: now,
            lendable_share: 1.0,
            lines: lines.collect(),
        }
    }

    fn handle_reply(
        &mut self,
        _group: &Name,
        _home: &PeerProcess,
        reply: Option<&SettleReply>,
        now: u64,
    ) {
        for settled in reply.into_iter().flat_map(|r| &r.lines) {
            if let Some(part) = self.parts.get_mut(settled.workspace.as_str()) {
                part.others = settled.other_demand;
                part.told = now;
            }
        }
    }

    fn last_answered(&self, _group: &Name) -> u64 {
        u64::MAX
    }

    fn process_ended(&mut self, _home: &PeerProcess) {}

    fn snapshot(&self, workspace: &str, now: u64) -> QuotaSnapshot {
        let kept = self.kept.get(workspace);
        let part = self.parts.get(workspace);
        let link = kept.and_then(|k| self.links.get(&k.group));
        QuotaSnapshot {
            rate: kept.map_or(0.0, |k| k.quota.rate),
            coordinator: link.and_then(|l| Some(l.home.as_ref()?.peer_addr.clone())),
            lendable_share: part.map_or(0.0, |p| self.share(p, now)),
            lent: 0.0,
            age_ms: part.map_or(0, |p| now.saturating_sub(p.told)),
            balance: part.map_or(0.0, |p| p.balance),
            demand: part.map_or(0.0, |p| p.demand.rate(now)),
        }
    }

    fn quota_group(&self, workspace: &str) -> Option<Name> {
        self.kept.get(workspace).map(|k| k.group.clone())
    }
}
