//! When the holder of a lease may command an engine, so that no two holders take turns
//! there within a lease term.
//!
//! Each command names the number of commands that its engine has accepted before, and an
//! engine carries it out only while its own number is the same. A command that got no
//! answer is *in flight*: it may be carried out at any later moment, or never. What
//! decides it is the engine's number, once it is past the one that the command names, or
//! another boot of the engine. Time decides nothing.
//!
//! From this follows what a holder has to wait for:
//!
//! - If another holder's command came after one of ours, its sender knew the number that
//!   ours had left. So ours was carried out before that holder ceased, and a term after
//!   the start of our own next tenure is enough, however late ours was. If each of ours was
//!   answered, a term after the last answer is enough.
//! - A holder's first command to an engine has to change the engine's number: it decides
//!   all commands that earlier holders have in flight there. A query that changes
//!   nothing decides nothing, and a command under a lower token could follow it.
//! - A process does not know what an earlier process of its instance has in flight.
//! - A term after a holder has changed the number of each engine that it commanded, no
//!   former holder needs to wait any more. It may release the lease as settled then.
//!
//! Pure: all functions take the time as an argument, as a duration since any fixed moment
//! of the process. It is exact: in whole ms, a pause would end up to a ms early.

use std::time::Duration;

use comfreyhall_domain::{Map, Name, Set};

/// Why a command may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// A former holder's turn is not past; wait for this long.
    Pause(Duration),
    /// The first command to an engine has to change its number of accepted commands.
    Undecided,
}

/// The present tenure of a process.
#[derive(Debug)]
struct Tenure {
    token: u64,
    began: Duration,
    /// Whether another holder may have commanded since this instance last did.
    returning: bool,
    /// Whether an earlier process of the instance may have commanded.
    inherited: bool,
    /// Token of the tenure before; 0 if none.
    before: u64,
    /// When the last answered command of the tenures before had been carried out.
    answered: Option<Duration>,
    /// Engines where the tenures before have commands in flight.
    open: Set<Name>,
    /// Engines where nothing of an earlier holder can be carried out any more.
    decided: Set<Name>,
    /// Other engines that were sent a command.
    undecided: Set<Name>,
    /// When the last of them came to be decided.
    decided_at: Duration,
    /// Number of accepted commands that was last reported, and when it changed.
    seen: Map<Name, (u64, Option<Duration>)>,
}

/// What one process knows of its commands in a group of engines.
#[derive(Debug, Default)]
pub struct Turns {
    tenure: Option<Tenure>,
    /// When the last command that was answered had been carried out at the latest.
    answered: Option<Duration>,
    /// Numbers named by the commands in flight, by engine.
    in_flight: Map<Name, Vec<u64>>,
    /// Engines where no earlier process of the instance has a command in flight.
    known: Set<Name>,
    /// Highest token of another holder.
    other: u64,
    /// Highest of them that was handed over, of which the lease's row knows nothing.
    handed_over: u64,
}

impl Turns {
    /// Records that another holder has commanded under `token`; `handed_over`: without the
    /// lease's row.
    pub fn observe_other(&mut self, token: u64, handed_over: bool) {
        self.other = self.other.max(token);
        if handed_over {
            self.handed_over = self.handed_over.max(token);
        }
    }

    /// Highest token of another holder that was observed.
    pub fn highest_other(&self) -> u64 {
        self.other
    }

    /// Token of the tenure that began last; 0 before any.
    pub fn token(&self) -> u64 {
        self.tenure.as_ref().map_or(0, |t| t.token)
    }

    /// Begins the tenure under `token`, if it is another one; returns whether it is.
    ///
    /// `returning`: another holder may have commanded since this instance last did;
    /// `inherited`: an earlier process of the instance may have commanded.
    pub fn begin(&mut self, token: u64, returning: bool, inherited: bool, now: Duration) -> bool {
        if self.token() == token {
            return false;
        }
        let in_flight = self.in_flight.keys();
        self.tenure = Some(Tenure {
            token,
            began: now,
            returning,
            inherited,
            before: self.token(),
            answered: self.answered,
            open: in_flight.cloned().collect(),
            decided: Set::default(),
            undecided: Set::default(),
            decided_at: now,
            seen: Map::default(),
        });
        true
    }

    /// How long no command may be sent to `target`.
    pub fn pause(&self, target: &str, term: Duration, now: Duration) -> Duration {
        let Some(tenure) = &self.tenure else {
            return term;
        };
        let commanded = tenure.before > 0 || tenure.inherited;
        let returning = tenure.returning || commanded && self.handed_over > tenure.before;
        if !returning {
            return Duration::ZERO;
        }
        let unknown = tenure.inherited && !self.known.contains(target);
        let base = match unknown || tenure.open.contains(target) {
            true => Some(tenure.began),
            false => tenure.answered,
        };
        let changed = tenure.seen.get(target).and_then(|(_, changed)| *changed);
        let last = base.max(changed);
        last.map_or(Duration::ZERO, |last| (last + term).saturating_sub(now))
    }

    /// Whether no command of an earlier holder can be carried out at `target` any more.
    pub fn is_decided(&self, target: &str) -> bool {
        let tenure = self.tenure.as_ref();
        tenure.is_some_and(|t| t.decided.contains(target))
    }

    /// Records that a command that names `sequence` is sent to `target`, unless it has to
    /// wait; `advances`: whether it changes the number of accepted commands.
    pub fn send(
        &mut self,
        target: &Name,
        sequence: u64,
        advances: bool,
        term: Duration,
        now: Duration,
    ) -> Result<(), Wait> {
        let pause = self.pause(target, term, now);
        if pause > Duration::ZERO {
            return Err(Wait::Pause(pause));
        }
        let Some(tenure) = &mut self.tenure else {
            return Err(Wait::Undecided);
        };
        if !tenure.decided.contains(target) {
            if !advances {
                return Err(Wait::Undecided);
            }
            tenure.undecided.insert(target.clone());
        }
        self.repeat(target, sequence);
        Ok(())
    }

    /// Records that a command that names `sequence` is sent to `target` once more.
    pub fn repeat(&mut self, target: &Name, sequence: u64) {
        let in_flight = self.in_flight.entry(target.clone()).or_default();
        in_flight.push(sequence);
    }

    /// Records that the command sent last did not leave the process.
    pub fn unsend(&mut self, target: &str) {
        if self.pop(target)
            && let Some(tenure) = &mut self.tenure
        {
            tenure.undecided.remove(target);
        }
    }

    /// Records that `target` has accepted a command of the tenure under `token` that names
    /// `sequence`, and has changed its number.
    pub fn accept(&mut self, target: &Name, token: u64, sequence: u64, now: Duration) {
        self.answer(now);
        self.decide(target, sequence + 1, now);
        if self.token() == token {
            self.mark_decided(target, now);
        }
    }

    /// Records that the last command sent to `target` was answered and changed nothing.
    pub fn reject(&mut self, target: &str, now: Duration) {
        self.answer(now);
        self.pop(target);
    }

    /// Records that a command had been carried out at `now`, if ever.
    fn answer(&mut self, now: Duration) {
        self.answered = self.answered.max(Some(now));
    }

    /// Records the late answer to a command that names `sequence`.
    pub fn answer_late(&mut self, target: &str, sequence: u64, now: Duration) {
        self.answer(now);
        let Some(in_flight) = self.in_flight.get_mut(target) else {
            return;
        };
        if let Some(at) = in_flight.iter().position(|named| *named == sequence) {
            in_flight.remove(at);
        }
        if in_flight.is_empty() {
            self.in_flight.remove(target);
        }
    }

    /// Whether a command is in flight at an engine that is `listed`. One that has ended
    /// answers no more.
    pub fn is_awaiting(&self, listed: impl Fn(&str) -> bool) -> bool {
        self.in_flight.keys().any(|target| listed(target))
    }

    /// Records that another boot of `target` has answered.
    pub fn restart(&mut self, target: &Name, now: Duration) {
        self.decide(target, u64::MAX, now);
        self.mark_decided(target, now);
    }

    /// Records that `target` has reported `sequence` accepted commands.
    pub fn report(&mut self, target: &Name, sequence: u64, now: Duration) {
        self.decide(target, sequence, now);
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        if tenure.decided.contains(target) {
            return;
        }
        let seen = tenure
            .seen
            .entry(target.clone())
            .or_insert((sequence, None));
        if seen.0 != sequence {
            *seen = (sequence, Some(now));
        }
    }

    /// Whether `target` has reported in this tenure.
    pub fn has_reported(&self, target: &str) -> bool {
        let tenure = self.tenure.as_ref();
        tenure.is_some_and(|t| t.seen.contains_key(target) || t.decided.contains(target))
    }

    /// Whether all commands of earlier holders came a term or more before now, wherever
    /// this holder has commanded.
    pub fn is_settled(&self, term: Duration, now: Duration) -> bool {
        let tenure = self.tenure.as_ref();
        tenure.is_some_and(|t| t.undecided.is_empty() && t.decided_at + term <= now)
    }

    /// Whether the present tenure began less than `time` ago.
    pub fn is_new(&self, time: Duration, now: Duration) -> bool {
        let tenure = self.tenure.as_ref();
        tenure.is_some_and(|t| now < t.began + time)
    }

    /// Forgets the command sent last to `target`; returns whether none is in flight there.
    fn pop(&mut self, target: &str) -> bool {
        let Some(in_flight) = self.in_flight.get_mut(target) else {
            return true;
        };
        in_flight.pop();
        let empty = in_flight.is_empty();
        if empty {
            self.in_flight.remove(target);
        }
        empty
    }

    /// Decides what is in flight at `target` and names a number below `sequence`.
    fn decide(&mut self, target: &str, sequence: u64, now: Duration) {
        let Some(in_flight) = self.in_flight.get_mut(target) else {
            return;
        };
        let before = in_flight.len();
        in_flight.retain(|named| *named >= sequence);
        let (decided, empty) = (in_flight.len() < before, in_flight.is_empty());
        if decided {
            self.answer(now);
        }
        if empty {
            self.in_flight.remove(target);
        }
    }

    fn mark_decided(&mut self, target: &Name, now: Duration) {
        self.known.insert(target.clone());
        let Some(tenure) = &mut self.tenure else {
            return;
        };
        tenure.undecided.remove(target);
        tenure.seen.remove(target);
        if tenure.decided.insert(target.clone()) {
            tenure.decided_at = now;
        }
    }
}
