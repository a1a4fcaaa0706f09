//! The order of requests by workspace and route.
//!
//! A workspace's rank goes before its route's. Targets and queues know one
//! number, so each pair of ranks that a configuration has gets its place.

use crate::{Caller, Config, Route};

/// Places that targets tell apart.
const PLACES: usize = 10;

/// All pairs of ranks of a configuration, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PriorityTable(Vec<(u8, u8)>);

impl PriorityTable {
    /// The pairs of `config`; none if it has no workspaces.
    pub fn from_config(config: &Config) -> Self {
        let Some(workspaces) = &config.workspaces else {
            return Self::default();
        };
        let mut routes: Vec<u8> = config.routes.iter().map(|r| r.priority).collect();
        routes.sort_unstable();
        routes.dedup();
        let ranks = workspaces.all().iter().map(|w| w.rank);
        let mut ranks: Vec<Option<u8>> = ranks.chain([None]).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let pair = |rank: &Option<u8>, route: u8| (rank.unwrap_or(route), route);
        let pairs = ranks
            .iter()
            .flat_map(|w| routes.iter().map(move |r| pair(w, *r)));
        let mut pairs: Vec<(u8, u8)> = pairs.collect();
        pairs.sort_unstable();
        pairs.dedup();
        Self(pairs)
    }

    /// Place of a request of `caller` on `route`; 0 is first.
    pub fn position(&self, caller: &Caller, route: &Route) -> u8 {
        let rank = caller.workspace().and_then(|w| w.rank);
        let pair = (rank.unwrap_or(route.priority), route.priority);
        if self.0.is_empty() {
            return route.priority;
        }
        let before = self.0.partition_point(|p| *p < pair);
        let place = match self.0.len() > PLACES {
            true => before * PLACES / self.0.len(),
            false => before,
        };
        place as u8
    }
}
