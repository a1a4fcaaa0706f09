//! Quotas by granting: the coordinator of a quota has a token bucket and grants
//! credit for single requests out of it.
//!
//! The other daemons hold no credit in stock and renew nothing: a daemon asks
//! the coordinator when a request that needs credit has arrived, and after a
//! refusal not before the retry time it was given. So this suits quotas of few
//! requests spread over many daemons, most of which have none. It relies on
//! there being one coordinator at a time, as for the holder of a lease; without
//! a coordinator nothing is granted. A new coordinator starts with an empty
//! bucket, since it does not know what its predecessor has granted.

mod bucket;
mod credit;

use comfreyhall_protocol::Map;

use self::{
    bucket::{Bucket, capacity},
    credit::{CoordinatorLink, CreditBalance},
};
use crate::{
    FleetView, GrantLine, Name, PeerProcess, QuotaSnapshot, RateLimiter, ReserveOutcome,
    SettleReply, SettleRequest, UsageLine, limiter::PlacedQuota,
};

/// Pause before a coordinator that did not answer is called again, in ms.
const BACKOFF_MS: u64 = 300;

/// Delay until a coordinator may be found where none is known, in ms.
const DISCOVERY_MS: u64 = 250;

/// Rate limiter that grants credit for single requests.
pub struct GrantingLimiter {
    local: PeerProcess,
    quotas: Map<Name, PlacedQuota>,
    links: Map<Name, CoordinatorLink>,
    credits: Map<Name, CreditBalance>,
    buckets: Map<Name, Bucket>,
}

impl GrantingLimiter {
    /// Creates a limiter without quotas or known coordinators.
    pub fn new(local: PeerProcess) -> Self {
        Self {
            local,
            quotas: Map::default(),
            links: Map::default(),
            credits: Map::default(),
            buckets: Map::default(),
        }
    }

    fn link_for(&self, name: &str) -> Option<&CoordinatorLink> {
        self.links.get(&self.quotas.get(name)?.group)
    }

    /// Whether this daemon is the coordinator of `group`.
    fn is_coordinator(&self, group: &str) -> bool {
        let link = self.links.get(group);
        link.is_some_and(|l| l.coordinator.as_ref() == Some(&self.local))
    }

    /// Grants credit out of the local bucket. Returns the grant and the retry
    /// delay for the rest, in ms.
    fn grant(&mut self, name: &str, need: f64, min_need: f64, now: u64) -> (f64, u64) {
        let Some((name, placed)) = self.quotas.get_key_value(name) else {
            return (0.0, DISCOVERY_MS);
        };
        let bucket = self.buckets.entry(name.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        let grant = bucket.grant(&placed.quota, need, min_need, now);
        match grant < need {
            true => (grant, bucket.retry_delay_ms(&placed.quota, min_need, now)),
            false => (grant, 0),
        }
    }
}

impl RateLimiter for GrantingLimiter {
    fn set_quotas(&mut self, quotas: Map<Name, PlacedQuota>, groups: &[Name], now: u64) {
        for (name, new) in &quotas {
            // Credit gathered at the old rate is bounded by the new capacity.
            if let (Some(bucket), Some(old)) = (self.buckets.get_mut(name), self.quotas.get(name)) {
                bucket.balance = bucket.level(&old.quota, now).min(capacity(&new.quota));
                bucket.filled_at_ms = now;
            }
        }
        self.quotas = quotas;
        let quotas = &self.quotas;
        self.credits.retain(|name, _| quotas.contains_key(name));
        self.buckets.retain(|name, _| quotas.contains_key(name));
        self.links.retain(|g, _| groups.contains(g));
        for group in groups {
            self.links.entry(group.clone()).or_default();
        }
    }

    fn update_fleet(&mut self, coordinators: &Map<Name, PeerProcess>, _fleet: FleetView, now: u64) {
        for (group, link) in &mut self.links {
            let coordinator = coordinators.get(group);
            if link.coordinator.as_ref() == coordinator {
                continue;
            }
            link.coordinator = coordinator.cloned();
            link.backoff_until_ms = 0;
            link.in_flight = false;
            let quotas = &self.quotas;
            for (name, bucket) in &mut self.buckets {
                if quotas.get(name).is_some_and(|q| q.group == *group) {
                    *bucket = Bucket::new(now);
                }
            }
        }
    }

    fn record_demand(&mut self, _name: &str, _size: u64, _now: u64) {}

    fn try_reserve(&mut self, name: &str, size: u64, now: u64) -> ReserveOutcome {
        let usage_unknown = ReserveOutcome::UsageUnknown {
            retry_ms: DISCOVERY_MS,
        };
        let size = size as f64;
        let Some((name, placed)) = self.quotas.get_key_value(name) else {
            return usage_unknown;
        };
        let (name, group) = (name.clone(), placed.group.clone());
        if self
            .credits
            .entry(name.clone())
            .or_default()
            .try_take(size, now)
        {
            return ReserveOutcome::Granted;
        }
        if self.is_coordinator(&group) {
            return match self.grant(&name, size, size, now) {
                (grant, _) if grant >= size => ReserveOutcome::Granted,
                (_, retry_ms) => ReserveOutcome::OverQuota { retry_ms },
            };
        }
        let (Some(link), Some(credit)) = (self.links.get_mut(&group), self.credits.get_mut(&name))
        else {
            return usage_unknown;
        };
        if now < credit.refused_until_ms {
            let retry_ms = credit.refused_until_ms - now;
            return ReserveOutcome::OverQuota { retry_ms };
        }
        if link.coordinator.is_none() || now < link.backoff_until_ms {
            return usage_unknown;
        }
        credit.add_need(size);
        link.urgent = true;
        ReserveOutcome::Pending(link.serial + 1)
    }

    fn retry_after_ms(&self, name: &str, size: u64, now: u64) -> u64 {
        let (Some(placed), Some(link)) = (self.quotas.get(name), self.link_for(name)) else {
            return DISCOVERY_MS;
        };
        if link.coordinator.as_ref() == Some(&self.local) {
            let level = self.buckets.get(name);
            let level = level.map_or(0.0, |b| b.level(&placed.quota, now));
            let missing = (size as f64 - level).max(0.0);
            return (missing / placed.quota.rate * 1_000.0).ceil() as u64;
        }
        let credit = self.credits.get(name).copied().unwrap_or_default();
        if credit.balance >= size as f64 && now < credit.expires_at_ms {
            return 0;
        }
        let known = link.coordinator.is_some();
        let discovery_ms = if known { 0 } else { DISCOVERY_MS };
        let backoff_ms = link.backoff_until_ms.saturating_sub(now);
        let refused_ms = credit.refused_until_ms.saturating_sub(now);
        discovery_ms.max(backoff_ms).max(refused_ms)
    }

    fn has_surplus(&self, name: &str, now: u64) -> bool {
        let Some(placed) = self
            .quotas
            .get(name)
            .filter(|q| self.is_coordinator(&q.group))
        else {
            return false;
        };
        let level = self.buckets.get(name).map(|b| b.level(&placed.quota, now));
        level.is_some_and(|level| level >= capacity(&placed.quota))
    }

    fn mark_sent(&mut self, _name: &str, _size: u64) {}

    fn release_unsent(&mut self, name: &str, size: u64) {
        let is_coordinator = self
            .quotas
            .get(name)
            .is_some_and(|q| self.is_coordinator(&q.group));
        if let Some(bucket) = self.buckets.get_mut(name).filter(|_| is_coordinator) {
            bucket.balance += size as f64;
        } else if let Some(credit) = self.credits.get_mut(name) {
            // The expiry time stays: the credit was granted for a request at
            // that time.
            credit.balance += size as f64;
        }
    }

    fn refund(&mut self, name: &str, size: u64) {
        self.release_unsent(name, size);
    }

    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)> {
        let due = self.links.iter().filter_map(|(group, link)| {
            let coordinator = link.coordinator.as_ref().filter(|c| **c != self.local)?;
            let needs_credit = link.urgent && !link.is_busy(now) && now >= link.backoff_until_ms;
            needs_credit.then(|| (group.clone(), coordinator.clone()))
        });
        due.collect()
    }

    fn settle_request(
        &mut self,
        group: &Name,
        _coordinator: &PeerProcess,
        now: u64,
    ) -> SettleRequest {
        let quotas = &self.quotas;
        let in_group = |name: &Name| quotas.get(name).is_some_and(|q| q.group == *group);
        let waiting = self.credits.iter_mut();
        let waiting = waiting.filter(|(name, credit)| credit.need > 0.0 && in_group(name));
        let lines = waiting.map(|(name, credit)| UsageLine {
            workspace: name.to_string(),
            need: std::mem::take(&mut credit.need),
            min_need: credit.min_need,
            ..UsageLine::default()
        });
        let lines = lines.collect();
        let link = self.links.entry(group.clone()).or_default();
        link.serial += 1;
        link.called_at_ms = now;
        link.in_flight = true;
        link.urgent = false;
        SettleRequest::without_share(&self.local, link.serial, group, lines)
    }

    fn handle_settle(
        &mut self,
        request: &SettleRequest,
        _known_since_ms: u64,
        now: u64,
    ) -> SettleReply {
        let is_coordinator = self.is_coordinator(&request.group);
        let lines = request.lines.iter().map(|line| {
            let (grant, retry_ms) = match is_coordinator {
                true => self.grant(&line.workspace, line.need, line.min_need, now),
                false => (0.0, DISCOVERY_MS),
            };
            GrantLine {
                workspace: line.workspace.clone(),
                grant,
                retry_ms,
                ..GrantLine::default()
            }
        });
        let lines = lines.collect();
        SettleReply {
            boot: self.local.boot,
            clock_ms: now,
            lendable_share: f64::from(u8::from(is_coordinator)),
            lines,
        }
    }

    fn handle_reply(
        &mut self,
        group: &Name,
        coordinator: &PeerProcess,
        reply: Option<&SettleReply>,
        now: u64,
    ) {
        let Some(link) = self.links.get_mut(group) else {
            return;
        };
        link.in_flight = false;
        link.last_answered = link.serial;
        let Some(reply) = reply.filter(|r| r.boot == coordinator.boot) else {
            link.backoff_until_ms = now + BACKOFF_MS;
            return;
        };
        link.backoff_until_ms = 0;
        for grant_line in &reply.lines {
            let Some(credit) = self.credits.get_mut(grant_line.workspace.as_str()) else {
                continue;
            };
            if grant_line.grant > 0.0 {
                credit.deposit(grant_line.grant, now);
            }
            if grant_line.retry_ms > 0 {
                credit.refused_until_ms = now + grant_line.retry_ms;
            }
        }
    }

    fn last_answered(&self, group: &Name) -> u64 {
        self.links.get(group).map_or(u64::MAX, |l| l.last_answered)
    }

    fn process_ended(&mut self, coordinator: &PeerProcess, _now: u64) {
        for link in self.links.values_mut() {
            if link.coordinator.as_ref() == Some(coordinator) {
                link.coordinator = None;
            }
        }
    }

    fn snapshot(&self, name: &str, now: u64) -> QuotaSnapshot {
        let placed = self.quotas.get(name);
        let link = placed.and_then(|q| self.links.get(&q.group));
        let credit = self.credits.get(name).copied().unwrap_or_default();
        QuotaSnapshot {
            rate: placed.map_or(0.0, |q| q.quota.rate),
            coordinator: link.and_then(|l| Some(l.coordinator.as_ref()?.peer_addr.clone())),
            lendable_share: f64::from(u8::from(link.is_some_and(|l| l.coordinator.is_some()))),
            age_ms: link.map_or(0, |l| now.saturating_sub(l.called_at_ms)),
            balance: credit.balance,
            ..QuotaSnapshot::default()
        }
    }

    fn quota_group(&self, name: &str) -> Option<Name> {
        self.quotas.get(name).map(|q| q.group.clone())
    }
}
