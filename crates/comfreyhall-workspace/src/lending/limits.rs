//! The lending limiter as the other crates see it.

use comfreyhall_protocol::Map;

use super::{
    BACKOFF_MS, LendingLimiter, PREFETCH_INTERVAL_MS, RENEW_INTERVAL_MS, SHARE_TERM_MS,
    credit::CreditBalance, known_unlent_ms, link::ClockReading, refuse,
};
use crate::{
    FleetView, LendingReport, Name, PeerProcess, QuotaSnapshot, RateLimiter, ReserveOutcome,
    SettleReply, SettleRequest, limiter::PlacedQuota,
};

impl RateLimiter for LendingLimiter {
    fn set_quotas(&mut self, quotas: Map<Name, PlacedQuota>, groups: &[Name], now: u64) {
        self.quotas = quotas;
        let quotas = &self.quotas;
        self.credits.retain(|w, _| quotas.contains_key(w));
        for (group, ledger) in &mut self.ledgers {
            let uptime_ms = now.saturating_sub(self.started_at_ms);
            ledger.advance(self.fleet, uptime_ms, now);
            ledger.retain(|w| quotas.get(w).is_some_and(|q| q.group == *group));
        }
        self.links.retain(|g, _| groups.contains(g));
        for group in groups {
            self.links.entry(group.clone()).or_default();
        }
    }

    fn update_fleet(&mut self, coordinators: &Map<Name, PeerProcess>, fleet: FleetView, now: u64) {
        self.fleet = fleet;
        let groups: Vec<Name> = self.links.keys().cloned().collect();
        for group in groups {
            let coordinator = coordinators.get(&group).unwrap_or(&self.local).clone();
            if let Some(link) = self.links.get_mut(&group)
                && link.coordinator.as_ref() != Some(&coordinator)
            {
                let was_local = link.coordinator.as_ref() == Some(&self.local);
                link.coordinator = Some(coordinator.clone());
                link.backoff_until_ms = 0;
                link.lendable_share = 0.0;
                if self.handover {
                    // A call to the earlier coordinator may take its timeout.
                    link.stale_call |= link.in_flight;
                    link.in_flight = false;
                    link.called_at_ms = 0;
                    link.changed_at_ms = now;
                }
                if link.is_assigned_to(&self.local) && coordinator != self.local {
                    // The local ledger drops the share at once, so another
                    // coordinator may have it.
                    link.free_share(&self.local, now);
                    if let Some(ledger) = self.ledgers.get_mut(&group) {
                        ledger.revoke_share(&self.local.peer_addr);
                    }
                }
                if self.handover
                    && was_local
                    && let Some(ledger) = self.ledgers.get_mut(&group)
                {
                    // Its successor begins with an empty bucket: both together would
                    // lend more than one bucket if it became the coordinator again.
                    ledger.drop_credit();
                }
            }
            // The coordinator returns what it does not need, as all others do.
            let lines = match self.handover && coordinator == self.local {
                true => self.usage_lines(&group, now),
                false => Vec::new(),
            };
            self.settle_locally(&group, lines, now);
        }
    }

    fn record_demand(&mut self, workspace: &str, size: u64, now: u64) {
        if let Some((name, _)) = self.quotas.get_key_value(workspace) {
            let credit = self.credits.entry(name.clone()).or_default();
            credit.record_demand(size as f64, now);
        }
    }

    fn try_reserve(&mut self, workspace: &str, size: u64, now: u64) -> ReserveOutcome {
        let usage_unknown = ReserveOutcome::UsageUnknown {
            retry_ms: RENEW_INTERVAL_MS,
        };
        let size = size as f64;
        let Some(group) = self.quotas.get(workspace).map(|q| q.group.clone()) else {
            return usage_unknown;
        };
        let Some(credit) = self.credits.get_mut(workspace) else {
            return usage_unknown;
        };
        if credit.reserve(size) {
            return ReserveOutcome::Granted;
        }
        let link = self.links.get(&group);
        if link.is_some_and(|l| l.coordinator.as_ref() == Some(&self.local)) {
            return self.reserve_locally(workspace, &group, size, now);
        }
        let (Some(link), Some(credit)) =
            (self.links.get_mut(&group), self.credits.get_mut(workspace))
        else {
            return usage_unknown;
        };
        if self.handover && now < link.backoff_until_ms {
            let retry_ms = link.backoff_until_ms - now;
            return ReserveOutcome::UsageUnknown { retry_ms };
        }
        if credit.retry_after_ms(now).is_some() || now < link.backoff_until_ms {
            return refuse(link, credit, self.handover, now);
        }
        credit.add_need(size);
        link.urgent = true;
        ReserveOutcome::Pending(link.serial + 1)
    }

    fn retry_after_ms(&self, name: &str, size: u64, now: u64) -> u64 {
        let credit = self.credits.get(name);
        let low = credit.filter(|c| c.balance() < size as f64);
        low.and_then(|c| c.retry_after_ms(now)).unwrap_or(0)
    }

    fn has_surplus(&self, _name: &str, _now: u64) -> bool {
        false
    }

    fn mark_sent(&mut self, workspace: &str, size: u64) {
        if let Some(credit) = self.credits.get_mut(workspace) {
            credit.mark_sent(size as f64);
        }
    }

    fn release_unsent(&mut self, workspace: &str, size: u64) {
        if let Some(credit) = self.credits.get_mut(workspace) {
            credit.release_unsent(size as f64);
        }
    }

    fn refund(&mut self, workspace: &str, size: u64) {
        if let Some(credit) = self.credits.get_mut(workspace) {
            credit.refund(size as f64);
        }
    }

    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)> {
        let mut due = Vec::new();
        for (group, link) in &self.links {
            // The share is revoked from an earlier coordinator, which may still
            // be running.
            let earlier = link.to_revoke(&self.local, now);
            if let Some(earlier) = earlier.filter(|e| self.handover && !link.is_revoking(e, now)) {
                due.push((group.clone(), earlier.clone()));
            }
            if link.is_busy(now) {
                continue;
            }
            if let Some(earlier) = earlier.filter(|_| !self.handover) {
                due.push((group.clone(), earlier.clone()));
                continue;
            }
            let Some(coordinator) = link.coordinator.as_ref().filter(|c| **c != self.local) else {
                continue;
            };
            let elapsed_ms = now.saturating_sub(link.called_at_ms);
            let in_group = |w: &Name| self.quotas.get(w).is_some_and(|q| q.group == *group);
            let low = || {
                self.credits
                    .iter()
                    .any(|(w, c)| c.is_low(now) && in_group(w))
            };
            let needs_credit = link.urgent && now >= link.backoff_until_ms;
            let assigns = self.handover
                && self.share() > 0.0
                && link.can_assign(now)
                && now >= link.backoff_until_ms;
            if needs_credit
                || assigns
                || elapsed_ms >= RENEW_INTERVAL_MS
                || (elapsed_ms >= PREFETCH_INTERVAL_MS && low())
            {
                due.push((group.clone(), coordinator.clone()));
            }
        }
        due
    }

    fn settle_request(
        &mut self,
        group: &Name,
        coordinator: &PeerProcess,
        now: u64,
    ) -> SettleRequest {
        let share = self.share();
        let current = self.links.get(group).and_then(|l| l.coordinator.clone());
        let is_current = current.as_ref() == Some(coordinator);
        let lines = match is_current {
            true => self.usage_lines(group, now),
            false => Vec::new(),
        };
        let link = self.links.entry(group.clone()).or_default();
        link.serial += 1;
        let last_clock = link.last_clock.clone();
        let last_clock = last_clock.filter(|c| c.coordinator == *coordinator);
        let nothing = self.handover && share <= 0.0;
        let assigns =
            is_current && !nothing && last_clock.is_some() && link.may_assign_to(coordinator, now);
        if is_current || !self.handover {
            link.called_at_ms = now;
            link.in_flight = true;
            link.urgent = false;
        } else {
            link.revoked = Some((coordinator.clone(), now));
        }
        let from_ms = match &last_clock {
            Some(clock) if self.handover => clock.received_at_ms,
            _ => now,
        };
        let unlent_ms = match assigns {
            true => link.assign_to(coordinator, from_ms, now),
            false => 0,
        };
        SettleRequest {
            share: if assigns { share } else { 0.0 },
            as_of: last_clock.map_or(0, |c| c.clock_ms),
            term_ms: SHARE_TERM_MS,
            unlent_ms: known_unlent_ms(unlent_ms, self.started_at_ms, now),
            ..SettleRequest::without_share(&self.local, link.serial, group, lines)
        }
    }

    fn handle_settle(
        &mut self,
        request: &SettleRequest,
        known_since_ms: u64,
        now: u64,
    ) -> SettleReply {
        self.settle_locally(&request.group.as_str().into(), Vec::new(), now);
        self.settle_with_ledger(request, known_since_ms, now)
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
        let is_current = link.coordinator.as_ref() == Some(coordinator);
        if self.handover && !is_current {
            // The share is free if this answers a revocation, or if the process that
            // had it has ended. The answer to a call from before the revocation does
            // not prove that the coordinator knows of it.
            let stale = reply.is_some() && std::mem::take(&mut link.stale_call);
            let revoked = !stale && link.is_revoking(coordinator, now);
            if reply.is_some_and(|r| revoked || r.boot != coordinator.boot) {
                link.free_share(coordinator, now);
            }
            return;
        }
        link.in_flight = false;
        link.last_answered = link.serial;
        let Some(reply) = reply else {
            link.backoff_until_ms = now + BACKOFF_MS;
            return;
        };
        if reply.boot != coordinator.boot {
            // Another process answers at this address: the one that was called
            // has ended.
            let coordinator = coordinator.clone();
            self.process_ended(&coordinator, now);
            return;
        }
        link.backoff_until_ms = 0;
        if !is_current {
            // The coordinator no longer lends on this daemon's behalf.
            link.assigned = None;
            return;
        }
        link.last_clock = Some(ClockReading {
            coordinator: coordinator.clone(),
            clock_ms: reply.clock_ms,
            received_at_ms: now,
        });
        self.apply_reply(group, reply, now);
    }

    fn last_answered(&self, group: &Name) -> u64 {
        self.links.get(group).map_or(u64::MAX, |l| l.last_answered)
    }

    fn take_report(&mut self) -> LendingReport {
        let held = self.units_held();
        let mut report = LendingReport {
            held,
            ..LendingReport::default()
        };
        for (group, ledger) in &mut self.ledgers {
            report.granted += ledger.take_granted();
            let start = ledger.take_start();
            report.starts.extend(start.map(|s| (group.clone(), s)));
        }
        report
    }

    fn process_ended(&mut self, coordinator: &PeerProcess, now: u64) {
        for link in self.links.values_mut() {
            link.free_share(coordinator, now);
        }
    }

    fn snapshot(&self, workspace: &str, now: u64) -> QuotaSnapshot {
        let placed = self.quotas.get(workspace);
        let credit = self.credits.get(workspace);
        let link = placed.and_then(|q| self.links.get(&q.group));
        QuotaSnapshot {
            rate: placed.map_or(0.0, |q| q.quota.rate),
            coordinator: link.and_then(|l| Some(l.coordinator.as_ref()?.peer_addr.clone())),
            lendable_share: link.map_or(0.0, |l| l.lendable_share),
            lent: credit.map_or(0.0, CreditBalance::lent),
            age_ms: link.map_or(0, |l| now.saturating_sub(l.updated_at_ms)),
            balance: credit.map_or(0.0, CreditBalance::balance),
            demand: credit.map_or(0.0, |c| c.demand_rate(now)),
        }
    }

    fn quota_group(&self, workspace: &str) -> Option<Name> {
        self.quotas.get(workspace).map(|q| q.group.clone())
    }
}
