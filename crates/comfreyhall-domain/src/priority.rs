//! Combined priority of requests by workspace and route.
//!
//! A workspace's rank takes precedence over its route's priority. Targets and
//! queues understand only a single number, so each (workspace, route) pair that
//! occurs in a configuration is mapped to a position in one order.

use crate::{Caller, Config, Route};

/// Number of priority levels that targets distinguish.
const LEVELS: usize = 10;

/// All priority pairs of a configuration, in ascending order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PriorityTable(Vec<(u8, u8)>);

impl PriorityTable {
    /// The pairs in `config`; empty if it has no workspaces.
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

    /// Priority level of a request from `caller` on `route`; 0 is served first.
    pub fn position(&self, caller: &Caller, route: &Route) -> u8 {
        let rank = caller.workspace().and_then(|w| w.rank);
        let pair = (rank.unwrap_or(route.priority), route.priority);
        if self.0.is_empty() {
            return route.priority;
        }
        let before = self.0.partition_point(|p| *p < pair);
        let level = match self.0.len() > LEVELS {
            true => before * LEVELS / self.0.len(),
            false => before,
        };
        level as u8
    }
}
