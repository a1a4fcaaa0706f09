//! In which order requests that wait for a place get one.
//!
//! The load answered here is a burst of rare adapters: more requests want a
//! place than places fall free, and the queue grows. Served in order of
//! arrival, every request then waits past its latency objective, and none
//! gets what it was promised. So those that can still meet their objective
//! go first, by rank and then by [`Order`]; those that cannot any more are
//! served with what is left.

/// Which of several requests of one rank goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// In order of arrival: fair while the queue is short.
    Oldest,
    /// The newest. In order of arrival a queue that grows makes everyone wait
    /// until just before it is too late, and what comes after the place (the
    /// load, the prompt) then ends late. The newest has all its time before
    /// it, and those that are passed over are told so in time to come back.
    Newest,
}

/// One request that waits for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Rank of its route; 0 first.
    pub priority: u32,
    /// When it came, in ms.
    pub since: u64,
    /// Until when a load must begin for it to meet its objective, in ms.
    pub aim: u64,
}

impl Waiting {
    /// Sorts the next to be served first.
    pub fn rank(&self, now: u64, order: Order) -> (bool, u32, u64) {
        let age = match order {
            Order::Oldest => self.since,
            Order::Newest => u64::MAX - self.since,
        };
        (now > self.aim, self.priority, age)
    }
}
