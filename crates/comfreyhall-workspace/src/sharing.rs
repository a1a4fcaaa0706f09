//! Quotas by sharing: each daemon has a share of every quota that follows its
//! share of the demand.
//!
//! Daemons report their demand to the coordinator of a workspace and receive
//! the demand at all other daemons (flow-proportional shares). No call is made
//! when a request arrives: a daemon spends its own share. Shares are as old as
//! the last settlement, so they add up to the whole quota only while demand is
//! constant.

use comfreyhall_protocol::Map;

use crate::{
    FleetView, GrantLine, Name, PeerProcess, QuotaSnapshot, RateLimiter, ReserveOutcome,
    SettleReply, SettleRequest, Tolerance, UsageLine, demand::DemandRate, limiter::PlacedQuota,
};

/// Interval between two settlements with a coordinator, in ms.
const SETTLE_INTERVAL_MS: u64 = 250;

/// How long a report of a coordinator or a daemon stays valid, in ms.
const REPORT_TTL_MS: u64 = 1_500;

/// Minimum share of a quota, as a fraction of an equal share: it serves the
/// first request of a workspace.
const MIN_SHARE: f64 = 0.5;

/// Fraction of the tolerance that may be held unused beyond the burst.
const UNUSED_FRACTION: f64 = 0.5;

/// Minimum delay before a refused client should retry, in ms.
const MIN_RETRY_MS: u64 = 50;

#[derive(Debug, Clone, Default)]
struct LocalShare {
    balance: f64,
    credited_at_ms: u64,
    demand: DemandRate,
    /// Demand at the other daemons, in units per second, and when it was
    /// reported.
    other_demand: f64,
    reported_at_ms: u64,
}

#[derive(Debug, Default)]
struct CoordinatorLink {
    coordinator: Option<PeerProcess>,
    serial: u64,
    called_at_ms: u64,
}

/// Demand reported by one daemon, and when.
type DemandReport = (f64, u64);

/// Rate limiter that divides quotas by demand.
pub struct SharingLimiter {
    local: PeerProcess,
    tolerance: Tolerance,
    fleet: FleetView,
    quotas: Map<Name, PlacedQuota>,
    links: Map<Name, CoordinatorLink>,
    shares: Map<Name, LocalShare>,
    /// Demand that each daemon reported for each workspace, at its coordinator.
    reports: Map<Name, Map<Name, DemandReport>>,
}

impl SharingLimiter {
    /// Creates a limiter without quotas or known coordinators.
    pub fn new(local: PeerProcess, tolerance: Tolerance) -> Self {
        Self {
            local,
            tolerance,
            fleet: FleetView::default(),
            quotas: Map::default(),
            links: Map::default(),
            shares: Map::default(),
            reports: Map::default(),
        }
    }

    /// Share of a workspace's quota that this daemon may use.
    fn share(&self, local_share: &LocalShare, now: u64) -> f64 {
        let equal = 1.0 / self.fleet.members.max(1) as f64;
        if now.saturating_sub(local_share.reported_at_ms) > REPORT_TTL_MS {
            return equal;
        }
        let own = local_share.demand.rate(now);
        let total = own + local_share.other_demand;
        let own_fraction = if total > 0.0 { own / total } else { 0.0 };
        own_fraction.max(equal * MIN_SHARE)
    }

    /// Accrues credit since the last call and returns the local rate, in units
    /// per second.
    fn accrue(&mut self, workspace: &str, now: u64) -> f64 {
        let Some(placed) = self.quotas.get(workspace) else {
            return 0.0;
        };
        let Some(local_share) = self.shares.get(workspace) else {
            return 0.0;
        };
        let share = self.share(local_share, now);
        let elapsed_s = now.saturating_sub(local_share.credited_at_ms) as f64 / 1_000.0;
        let max_balance = (placed.quota.burst
            + UNUSED_FRACTION * self.tolerance.tolerated_excess(&placed.quota))
            * share;
        let balance =
            (local_share.balance + placed.quota.rate * share * elapsed_s).min(max_balance);
        if let Some(local_share) = self.shares.get_mut(workspace) {
            local_share.balance = balance;
            local_share.credited_at_ms = now;
        }
        placed.quota.rate * share
    }

    fn other_demand(&self, workspace: &str, from: &str, now: u64) -> f64 {
        let reports = self.reports.get(workspace).into_iter().flatten();
        let recent = reports.filter(|(name, (_, at_ms))| {
            &***name != from && now.saturating_sub(*at_ms) <= REPORT_TTL_MS
        });
        recent.map(|(_, (demand, _))| demand).sum()
    }

    fn record_report(&mut self, workspace: &str, from: &str, demand: f64, now: u64) {
        let reports = self.reports.entry(workspace.into()).or_default();
        reports.insert(from.into(), (demand, now));
    }

    /// Settles locally if this daemon is the coordinator.
    fn settle_locally(&mut self, workspace: &str, now: u64) {
        let group = self.quotas.get(workspace).map(|q| q.group.clone());
        let coordinator = group.and_then(|g| self.links.get(&g)?.coordinator.clone());
        if coordinator.as_ref() != Some(&self.local) {
            return;
        }
        let own = self
            .shares
            .get(workspace)
            .map_or(0.0, |s| s.demand.rate(now));
        let local = self.local.peer_addr.clone();
        self.record_report(workspace, &local, own, now);
        let other_demand = self.other_demand(workspace, &local, now);
        if let Some(local_share) = self.shares.get_mut(workspace) {
            local_share.other_demand = other_demand;
            local_share.reported_at_ms = now;
        }
    }
}

impl RateLimiter for SharingLimiter {
    fn set_quotas(&mut self, quotas: Map<Name, PlacedQuota>, groups: &[Name], _now: u64) {
        self.quotas = quotas;
        let quotas = &self.quotas;
        self.shares.retain(|w, _| quotas.contains_key(w));
        self.reports.retain(|w, _| quotas.contains_key(w));
        self.links.retain(|g, _| groups.contains(g));
        for group in groups {
            self.links.entry(group.clone()).or_default();
        }
    }

    fn update_fleet(&mut self, coordinators: &Map<Name, PeerProcess>, fleet: FleetView, _now: u64) {
        self.fleet = fleet;
        for (group, link) in &mut self.links {
            link.coordinator = Some(coordinators.get(group).unwrap_or(&self.local).clone());
        }
    }

    fn record_demand(&mut self, workspace: &str, size: u64, now: u64) {
        if let Some((name, _)) = self.quotas.get_key_value(workspace) {
            let local_share = self.shares.entry(name.clone()).or_default();
            local_share.demand.add(size as f64, now);
        }
    }

    fn try_reserve(&mut self, workspace: &str, size: u64, now: u64) -> ReserveOutcome {
        let size = size as f64;
        self.settle_locally(workspace, now);
        let rate = self.accrue(workspace, now);
        let Some(local_share) = self.shares.get_mut(workspace) else {
            return ReserveOutcome::UsageUnknown {
                retry_ms: SETTLE_INTERVAL_MS,
            };
        };
        if local_share.balance >= size {
            local_share.balance -= size;
            return ReserveOutcome::Granted;
        }
        let missing = (size - local_share.balance) / rate.max(f64::MIN_POSITIVE) * 1_000.0;
        ReserveOutcome::OverQuota {
            retry_ms: (missing as u64).max(MIN_RETRY_MS),
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
        if let Some(local_share) = self.shares.get_mut(workspace) {
            local_share.balance += size as f64;
        }
    }

    fn refund(&mut self, workspace: &str, size: u64) {
        self.release_unsent(workspace, size);
    }

    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)> {
        let due = self.links.iter().filter_map(|(group, link)| {
            let coordinator = link.coordinator.as_ref().filter(|c| **c != self.local)?;
            let elapsed = now.saturating_sub(link.called_at_ms) >= SETTLE_INTERVAL_MS;
            elapsed.then(|| (group.clone(), coordinator.clone()))
        });
        due.collect()
    }

    fn settle_request(
        &mut self,
        group: &Name,
        _coordinator: &PeerProcess,
        now: u64,
    ) -> SettleRequest {
        let in_group = self.shares.iter().filter(|(w, _)| {
            let placed = self.quotas.get(*w);
            placed.is_some_and(|q| q.group == *group)
        });
        let lines = in_group.map(|(workspace, local_share)| UsageLine {
            workspace: workspace.to_string(),
            demand: local_share.demand.rate(now),
            ..UsageLine::default()
        });
        let lines = lines.collect();
        let link = self.links.entry(group.clone()).or_default();
        link.serial += 1;
        link.called_at_ms = now;
        SettleRequest::without_share(&self.local, link.serial, group, lines)
    }

    fn handle_settle(
        &mut self,
        request: &SettleRequest,
        _known_since_ms: u64,
        now: u64,
    ) -> SettleReply {
        for line in &request.lines {
            self.record_report(&line.workspace, &request.from, line.demand, now);
        }
        let lines = request.lines.iter().map(|line| GrantLine {
            workspace: line.workspace.clone(),
            other_demand: self.other_demand(&line.workspace, &request.from, now),
            ..GrantLine::default()
        });
        SettleReply {
            boot: self.local.boot,
            clock_ms: now,
            lendable_share: 1.0,
            lines: lines.collect(),
        }
    }

    fn handle_reply(
        &mut self,
        _group: &Name,
        _coordinator: &PeerProcess,
        reply: Option<&SettleReply>,
        now: u64,
    ) {
        for grant_line in reply.into_iter().flat_map(|r| &r.lines) {
            if let Some(local_share) = self.shares.get_mut(grant_line.workspace.as_str()) {
                local_share.other_demand = grant_line.other_demand;
                local_share.reported_at_ms = now;
            }
        }
    }

    fn last_answered(&self, _group: &Name) -> u64 {
        u64::MAX
    }

    fn process_ended(&mut self, _coordinator: &PeerProcess, _now: u64) {}

    fn snapshot(&self, workspace: &str, now: u64) -> QuotaSnapshot {
        let placed = self.quotas.get(workspace);
        let local_share = self.shares.get(workspace);
        let link = placed.and_then(|q| self.links.get(&q.group));
        QuotaSnapshot {
            rate: placed.map_or(0.0, |q| q.quota.rate),
            coordinator: link.and_then(|l| Some(l.coordinator.as_ref()?.peer_addr.clone())),
            lendable_share: local_share.map_or(0.0, |s| self.share(s, now)),
            lent: 0.0,
            age_ms: local_share.map_or(0, |s| now.saturating_sub(s.reported_at_ms)),
            balance: local_share.map_or(0.0, |c| c.balance),
            demand: local_share.map_or(0.0, |s| s.demand.rate(now)),
        }
    }

    fn quota_group(&self, workspace: &str) -> Option<Name> {
        self.quotas.get(workspace).map(|q| q.group.clone())
    }
}
