//! Caps by granting: the home of a cap has a bucket, and grants single requests
//! out of it.
//!
//! Nothing lies with the other daemons and nothing is renewed: a daemon asks its
//! home when a request has come that needs credit, and not again before its turn
//! once it was refused. So it suits caps of few requests before many daemons, of
//! which most have none. It rests on there being one home at a time, as the holder
//! of a lease is; without one nothing is granted. A new home begins with an
//! empty bucket, since it does not know what the one before has granted.

use comfreyhall_protocol::Map;

use crate::{
    FleetView, GrantLine, Name, PeerProcess, Quota, QuotaSnapshot, RateLimiter, ReserveOutcome,
    SettleReply, SettleRequest, UsageLine, meter::PlacedQuota,
};

/// Units and seconds of the rate that may gather in the bucket: with a single
/// request, those that come a moment apart would leave part of the rate unused.
const GATHER: f64 = 2.0;
const GATHER_S: f64 = 0.5;

/// How long credit that was granted may wait for its request, in ms.
const KEEP_MS: u64 = 400;

/// Longest that a call may be on its way, in ms.
const CALL_MS: u64 = 400;

/// How long a home that did not answer is not asked, in ms.
const SILENT_MS: u64 = 300;

/// Until a home may be found where none is known, in ms.
const FIND_MS: u64 = 250;

/// Part of the time between two requests after which the next one that was
/// refused is to come back: some of them have gone elsewhere meanwhile.
const TURN_PART: f64 = 0.7;

/// Longest that a refused one is told to wait, in ms.
const LONGEST_MS: f64 = 5_000.0;

/// The bucket of one cap at its home.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    balance: f64,
    /// Up to when it was filled.
    filled: u64,
    /// When the last of those that were refused is to come back.
    turn: u64,
}

impl Bucket {
    fn new(now: u64) -> Self {
        Self {
            balance: 0.0,
            filled: now,
            turn: now,
        }
    }

    /// What there is at `now`.
    fn at(&self, cap: &Quota, now: u64) -> f64 {
        let passed = now.saturating_sub(self.filled) as f64 / 1_000.0;
        (self.balance + passed * cap.rate).min(most(cap))
    }

    /// Takes out what `need` lacks, in whole requests of `least`.
    fn grant(&mut self, cap: &Quota, need: f64, least: f64, now: u64) -> f64 {
        self.balance = self.at(cap, now);
        self.filled = now;
        let least = least.max(f64::MIN_POSITIVE);
        let grant = match self.balance >= need {
            true => need,
            false => (self.balance / least).floor() * least,
        };
        self.balance -= grant;
        grant
    }

    /// Ms until one that was refused should come back: each has a turn of its
    /// own, so that they do not come together.
    fn turn_ms(&mut self, cap: &Quota, size: f64, now: u64) -> u64 {
        let ms = |units: f64| units / cap.rate.max(f64::MIN_POSITIVE) * 1_000.0;
        let there = now as f64 + ms(size - self.at(cap, now));
        let after = self.turn as f64 + ms(size) * TURN_PART;
        let longest = now as f64 + LONGEST_MS;
        let turn = there.max(after);
        if turn > longest {
            // Too many wait: those beyond share the second half of the time.
            let over = (turn - longest) % (LONGEST_MS / 2.0);
            return (LONGEST_MS - over) as u64;
        }
        self.turn = turn as u64;
        self.turn.saturating_sub(now).max(1)
    }
}

/// Most that gathers in a bucket.
fn most(cap: &Quota) -> f64 {
    GATHER + cap.burst + cap.rate * GATHER_S
}

/// Credit for one cap at the daemon that asked for it.
#[derive(Debug, Clone, Copy, Default)]
struct Purse {
    balance: f64,
    until: u64,
    need: f64,
    least: f64,
    refused_until: u64,
}

impl Purse {
    fn take(&mut self, size: f64, now: u64) -> bool {
        let enough = self.balance >= size && now < self.until;
        if enough {
            self.balance -= size;
        }
        enough
    }

    fn lack(&mut self, size: f64) {
        self.least = match self.need > 0.0 {
            true => self.least.min(size),
            false => size,
        };
        self.need += size;
    }

    fn put(&mut self, credit: f64, now: u64) {
        if now >= self.until {
            self.balance = 0.0;
        }
        self.balance += credit;
        self.until = now + KEEP_MS;
    }
}

/// One group, as seen from here.
#[derive(Debug, Default)]
struct Link {
    home: Option<PeerProcess>,
    serial: u64,
    /// The last call that was answered or given up.
    answered: u64,
    called: u64,
    calling: bool,
    /// Whether requests wait for an answer.
    urgent: bool,
    silent_until: u64,
}

impl Link {
    fn busy(&self, now: u64) -> bool {
        self.calling && now.saturating_sub(self.called) < CALL_MS
    }
}

/// Caps by granting.
pub struct GrantingLimiter {
    me: PeerProcess,
    kept: Map<Name, PlacedQuota>,
    links: Map<Name, Link>,
    purses: Map<Name, Purse>,
    buckets: Map<Name, Bucket>,
}

impl GrantingLimiter {
    /// Nothing is known yet.
    pub fn new(me: PeerProcess) -> Self {
        Self {
            me,
            kept: Map::default(),
            links: Map::default(),
            purses: Map::default(),
            buckets: Map::default(),
        }
    }

    fn link_of(&self, cap: &str) -> Option<&Link> {
        self.links.get(&self.kept.get(cap)?.group)
    }

    /// Whether this daemon is the home of `group`.
    fn at_home(&self, group: &str) -> bool {
        let link = self.links.get(group);
        link.is_some_and(|l| l.home.as_ref() == Some(&self.me))
    }

    /// Grants out of the own bucket: how much, and when to come back for the
    /// rest, in ms.
    fn grant(&mut self, name: &str, need: f64, least: f64, now: u64) -> (f64, u64) {
        let Some((name, kept)) = self.kept.get_key_value(name) else {
            return (0.0, FIND_MS);
        };
        let bucket = self.buckets.entry(name.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        let grant = bucket.grant(&kept.quota, need, least, now);
        match grant < need {
            true => (grant, bucket.turn_ms(&kept.quota, least, now)),
            false => (grant, 0),
        }
    }
}

impl RateLimiter for GrantingLimiter {
    fn set_quotas(&mut self, kept: Map<Name, PlacedQuota>, groups: &[Name], now: u64) {
        for (name, new) in &kept {
            // What gathered at the old rate is bounded by the new one.
            if let (Some(bucket), Some(old)) = (self.buckets.get_mut(name), self.kept.get(name)) {
                bucket.balance = bucket.at(&old.quota, now).min(most(&new.quota));
                bucket.filled = now;
            }
        }
        self.kept = kept;
        let kept = &self.kept;
        self.purses.retain(|name, _| kept.contains_key(name));
        self.buckets.retain(|name, _| kept.contains_key(name));
        self.links.retain(|g, _| groups.contains(g));
        for group in groups {
            self.links.entry(group.clone()).or_default();
        }
    }

    fn update_fleet(&mut self, homes: &Map<Name, PeerProcess>, _fleet: FleetView, now: u64) {
        for (group, link) in &mut self.links {
            let home = homes.get(group);
            if link.home.as_ref() == home {
                continue;
            }
            link.home = home.cloned();
            link.silent_until = 0;
            link.calling = false;
            let kept = &self.kept;
            for (name, bucket) in &mut self.buckets {
                if kept.get(name).is_some_and(|k| k.group == *group) {
                    *bucket = Bucket::new(now);
                }
            }
        }
    }

    fn record_demand(&mut self, _name: &str, _size: u64, _now: u64) {}

    fn try_reserve(&mut self, name: &str, size: u64, now: u64) -> ReserveOutcome {
        let unknown = ReserveOutcome::UsageUnknown { retry_ms: FIND_MS };
        let size = size as f64;
        let Some((name, kept)) = self.kept.get_key_value(name) else {
            return unknown;
        };
        let (name, group) = (name.clone(), kept.group.clone());
        if self.purses.entry(name.clone()).or_default().take(size, now) {
            return ReserveOutcome::Granted;
        }
        if self.at_home(&group) {
            return match self.grant(&name, size, size, now) {
                (grant, _) if grant >= size => ReserveOutcome::Granted,
                (_, retry_ms) => ReserveOutcome::OverQuota { retry_ms },
            };
        }
        let (Some(link), Some(purse)) = (self.links.get_mut(&group), self.purses.get_mut(&name))
        else {
            return unknown;
        };
        if now < purse.refused_until {
            let retry_ms = purse.refused_until - now;
            return ReserveOutcome::OverQuota { retry_ms };
        }
        if link.home.is_none() || now < link.silent_until {
            return unknown;
        }
        purse.lack(size);
        link.urgent = true;
        ReserveOutcome::Pending(link.serial + 1)
    }

    fn retry_after_ms(&self, name: &str, size: u64, now: u64) -> u64 {
        let (Some(kept), Some(link)) = (self.kept.get(name), self.link_of(name)) else {
            return FIND_MS;
        };
        if link.home.as_ref() == Some(&self.me) {
            let held = self.buckets.get(name);
            let held = held.map_or(0.0, |b| b.at(&kept.quota, now));
            let missing = (size as f64 - held).max(0.0);
            return (missing / kept.quota.rate * 1_000.0).ceil() as u64;
        }
        let purse = self.purses.get(name).copied().unwrap_or_default();
        if purse.balance >= size as f64 && now < purse.until {
            return 0;
        }
        let known = link.home.is_some();
        let home_ms = if known { 0 } else { FIND_MS };
        let silent_ms = link.silent_until.saturating_sub(now);
        let refused_ms = purse.refused_until.saturating_sub(now);
        home_ms.max(silent_ms).max(refused_ms)
    }

    fn has_surplus(&self, name: &str, now: u64) -> bool {
        let Some(kept) = self.kept.get(name).filter(|k| self.at_home(&k.group)) else {
            return false;
        };
        let held = self.buckets.get(name).map(|b| b.at(&kept.quota, now));
        held.is_some_and(|held| held >= most(&kept.quota))
    }

    fn mark_sent(&mut self, _name: &str, _size: u64) {}

    fn release_unsent(&mut self, name: &str, size: u64) {
        let home = self.kept.get(name).is_some_and(|k| self.at_home(&k.group));
        if let Some(bucket) = self.buckets.get_mut(name).filter(|_| home) {
            bucket.balance += size as f64;
        } else if let Some(purse) = self.purses.get_mut(name) {
            // Its time goes on: it was granted for a request of then.
            purse.balance += size as f64;
        }
    }

    fn refund(&mut self, name: &str, size: u64) {
        self.release_unsent(name, size);
    }

    fn due_settlements(&mut self, now: u64) -> Vec<(Name, PeerProcess)> {
        let due = self.links.iter().filter_map(|(group, link)| {
            let home = link.home.as_ref().filter(|h| **h != self.me)?;
            let asks = link.urgent && !link.busy(now) && now >= link.silent_until;
            asks.then(|| (group.clone(), home.clone()))
        });
        due.collect()
    }

    fn settle_request(&mut self, group: &Name, _home: &PeerProcess, now: u64) -> SettleRequest {
        let kept = &self.kept;
        let here = |name: &Name| kept.get(name).is_some_and(|k| k.group == *group);
        let waiting = self.purses.iter_mut();
        let waiting = waiting.filter(|(name, purse)| purse.need > 0.0 && here(name));
        let lines = waiting.map(|(name, purse)| UsageLine {
            workspace: name.to_string(),
            need: std::mem::take(&mut purse.need),
            min_need: purse.least,
            ..UsageLine::default()
        });
        let lines = lines.collect();
        let link = self.links.entry(group.clone()).or_default();
        link.serial += 1;
        link.called = now;
        link.calling = true;
        link.urgent = false;
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
        let home = self.at_home(&call.group);
        let lines = call.lines.iter().map(|line| {
            let (grant, retry_ms) = match home {
                true => self.grant(&line.workspace, line.need, line.min_need, now),
                false => (0.0, FIND_MS),
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
            boot: self.me.boot,
            clock_ms: now,
            lendable_share: f64::from(u8::from(home)),
            lines,
        }
    }

    fn handle_reply(
        &mut self,
        group: &Name,
        home: &PeerProcess,
        reply: Option<&SettleReply>,
        now: u64,
    ) {
        let Some(link) = self.links.get_mut(group) else {
            return;
        };
        link.calling = false;
        link.answered = link.serial;
        let Some(reply) = reply.filter(|r| r.boot == home.boot) else {
            link.silent_until = now + SILENT_MS;
            return;
        };
        link.silent_until = 0;
        for settled in &reply.lines {
            let Some(purse) = self.purses.get_mut(settled.workspace.as_str()) else {
                continue;
            };
            if settled.grant > 0.0 {
                purse.put(settled.grant, now);
            }
            if settled.retry_ms > 0 {
                purse.refused_until = now + settled.retry_ms;
            }
        }
    }

    fn last_answered(&self, group: &Name) -> u64 {
        self.links.get(group).map_or(u64::MAX, |l| l.answered)
    }

    fn process_ended(&mut self, home: &PeerProcess) {
        for link in self.links.values_mut() {
            if link.home.as_ref() == Some(home) {
                link.home = None;
            }
        }
    }

    fn snapshot(&self, name: &str, now: u64) -> QuotaSnapshot {
        let kept = self.kept.get(name);
        let link = kept.and_then(|k| self.links.get(&k.group));
        let purse = self.purses.get(name).copied().unwrap_or_default();
        QuotaSnapshot {
            rate: kept.map_or(0.0, |k| k.quota.rate),
            coordinator: link.and_then(|l| Some(l.home.as_ref()?.peer_addr.clone())),
            lendable_share: f64::from(u8::from(link.is_some_and(|l| l.home.is_some()))),
            age_ms: link.map_or(0, |l| now.saturating_sub(l.called)),
            balance: purse.balance,
            ..QuotaSnapshot::default()
        }
    }

    fn quota_group(&self, name: &str) -> Option<Name> {
        self.kept.get(name).map(|k| k.group.clone())
    }
}
