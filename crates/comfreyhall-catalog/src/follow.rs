//! A cache of catalog records that follows the catalog and never goes back.
//!
//! A [`Follower`] polls the `epoch` row. When the epoch has advanced, the audit
//! entries since the last poll name the changed records; those are removed from
//! the cache, and the configuration is reread if it is among them. Between polls
//! records are served from the cache, so adapters that are already cached keep
//! working during a table outage.
//!
//! Failures it guards against:
//!
//! - An older configuration arrives late (a slow read, a peer that is behind)
//!   and would undo a newer one. [`Follower::apply_sync`] activates a
//!   configuration only if its version is higher than the active one.
//! - A record is read, changes, is invalidated by a poll, and the result of the
//!   old read is then cached, where it would stay. A read notes the count of
//!   invalidations before it starts, and its result is not cached if that count
//!   has changed.
//! - This instance loses the connection to the table while others keep theirs,
//!   and would keep an old configuration. It then fetches changes from its peers
//!   ([`Follower::changes_since`] on the peer, [`Follower::apply_sync`] here).
//! - The table comes back from a copy with a lower epoch, and changes made after that
//!   would be passed over. Epochs are compared in the table's era ([`epoch_in`]); what
//!   is cached and active stays until such a change replaces it.
//! - The process restarts and has no configuration, so it must not serve before
//!   the first poll has succeeded ([`Follower::synced`]).

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_protocol::{Map, Row, SyncReply};

use crate::{
    Adapter, Catalog, CatalogError, Config, Customer, Rows, Table,
    change::{EPOCH_KEY, epoch_in},
    records::BULK_KEY,
    store::{CONFIG_KEY, adapter_key, decode},
};

/// Recent changes kept for peers that are behind.
const MAX_RECENT_CHANGES: usize = 1_024;

/// Maximum reads of a record while changes keep invalidating the cache.
const MAX_READ_ATTEMPTS: u32 = 3;

#[derive(Default)]
struct State {
    synced: bool,
    epoch: u64,
    /// When the table last answered a poll.
    last_answer: Option<Instant>,
    config: Arc<Config>,
    adapters: Map<Arc<str>, Arc<Adapter>>,
    customers: Map<Arc<str>, Arc<Customer>>,
    /// Count of cache invalidations; a read that raced one is not cached.
    invalidations: u64,
    /// Epoch and key of recent changes, oldest first.
    recent_changes: VecDeque<(u64, String)>,
}

impl State {
    fn activate(&mut self, config: Config) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.config = Arc::new(config);
        true
    }

    /// Whether the result of a read begun at this count of invalidations may be cached.
    fn may_cache(&self, invalidations: u64) -> bool {
        self.synced && self.invalidations == invalidations
    }

    fn invalidate(&mut self, key: &str) {
        self.invalidations += 1;
        if key == BULK_KEY {
            self.adapters.clear();
            self.customers.clear();
        } else if let Some(name) = key.strip_prefix("adapter/") {
            self.adapters.remove(name);
        } else if let Some(name) = key.strip_prefix("customer/") {
            self.customers.remove(name);
        }
    }

    fn record_change(&mut self, epoch: u64, key: String) {
        self.invalidate(&key);
        self.recent_changes.push_back((epoch, key));
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }
}

/// An epoch of the catalog that the follower has not caught up with.
#[derive(Debug, Clone, Copy)]
pub struct NewEpoch {
    epoch: u64,
}

/// A cache of catalog records and the active configuration.
pub struct Follower<R: Rows = Table> {
    catalog: Catalog<R>,
    state: Mutex<State>,
}

impl<R: Rows> Follower<R> {
    /// A follower of `catalog` with an empty cache.
    pub fn new(catalog: Catalog<R>) -> Self {
        Self {
            catalog,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Whether a poll has succeeded since this process started.
    pub fn synced(&self) -> bool {
        self.state().synced
    }

    /// The last epoch caught up with.
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// The active configuration of this instance.
    pub fn config(&self) -> Arc<Config> {
        self.state().config.clone()
    }

    /// Time since the table last answered a poll; zero before the first.
    pub fn poll_age(&self) -> Duration {
        let last_answer = self.state().last_answer;
        last_answer.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Number of adapter records in the cache.
    pub fn cached(&self) -> usize {
        self.state().adapters.len()
    }

    /// Reads the changes since the last poll; true if a new configuration was
    /// activated.
    pub async fn poll(&self) -> Result<bool, CatalogError> {
        match self.check_epoch().await? {
            Some(new_epoch) => self.catch_up(new_epoch).await,
            None => Ok(false),
        }
    }

    /// Checks whether anything changed since the last poll. The reply is small, so
    /// it shows quickly whether the table is reachable.
    pub async fn check_epoch(&self) -> Result<Option<NewEpoch>, CatalogError> {
        let row = self.catalog.rows().get(EPOCH_KEY).await?;
        let stored: u64 = row.as_ref().map_or(Ok(0), decode)?;
        let epoch = epoch_in(self.catalog.rows().era(), stored);
        let mut state = self.state();
        state.last_answer = Some(Instant::now());
        let advanced = !state.synced || epoch > state.epoch;
        Ok(advanced.then_some(NewEpoch { epoch }))
    }

    /// Reads the changes up to `new_epoch`, which may be large; true if a new
    /// configuration was activated.
    pub async fn catch_up(&self, new_epoch: NewEpoch) -> Result<bool, CatalogError> {
        let NewEpoch { epoch } = new_epoch;
        let (known_epoch, synced) = {
            let state = self.state();
            (state.epoch, state.synced)
        };
        let changes = if synced {
            self.catalog.audit_after(known_epoch).await?
        } else {
            Vec::new()
        };
        let config_changed = !synced || changes.iter().any(|c| c.key == CONFIG_KEY);
        let config = if config_changed {
            Some(self.catalog.config().await?)
        } else {
            None
        };
        let mut state = self.state();
        for c in changes {
            state.record_change(c.epoch, c.key);
        }
        state.synced = true;
        state.epoch = state.epoch.max(epoch);
        Ok(config.is_some_and(|c| state.activate(c)))
    }

    /// The changes known here after `epoch`, for a peer that lost the table.
    pub async fn changes_since(&self, epoch: u64) -> SyncReply {
        let (own_epoch, config, keys) = {
            let state = self.state();
            let keys: Vec<String> = state
                .recent_changes
                .iter()
                .filter(|(e, _)| *e > epoch)
                .map(|(_, k)| k.clone())
                .collect();
            (state.epoch, state.config.clone(), keys)
        };
        let mut rows = Vec::new();
        if config.version > epoch {
            rows.push(Row {
                key: CONFIG_KEY.to_string(),
                value: serde_json::to_vec(&*config).expect("configurations serialise"),
                version: 0,
            });
        }
        if own_epoch > epoch {
            for key in keys.iter().filter(|k| *k != CONFIG_KEY) {
                if let Ok(Some(row)) = self.catalog.rows().get(key).await {
                    rows.push(row);
                }
            }
        }
        SyncReply {
            epoch: own_epoch,
            rows,
        }
    }

    /// Applies the changes in a peer's reply; true if a new configuration was
    /// activated.
    ///
    /// The local epoch does not advance, so a later poll of the table still reads
    /// whatever the peer did not know. Records are applied only from a peer that
    /// is ahead: a slow reply may be older than what a poll has read since, and
    /// nothing would invalidate its records again.
    pub fn apply_sync(&self, reply: &SyncReply) -> Result<bool, CatalogError> {
        let mut state = self.state();
        let mut activated = false;
        let peer_ahead = reply.epoch > state.epoch;
        for row in &reply.rows {
            if row.key == CONFIG_KEY {
                activated |= state.activate(decode(row)?);
                continue;
            }
            if !peer_ahead {
                continue;
            }
            state.invalidate(&row.key);
            if let Some(name) = row.key.strip_prefix("adapter/") {
                state.adapters.insert(name.into(), Arc::new(decode(row)?));
            } else if let Some(name) = row.key.strip_prefix("customer/") {
                state.customers.insert(name.into(), Arc::new(decode(row)?));
            }
        }
        Ok(activated)
    }

    /// Returns an adapter from the cache or the table.
    pub async fn adapter(&self, name: &str) -> Result<Arc<Adapter>, CatalogError> {
        self.cached_or_read(name, |s| &mut s.adapters, || self.catalog.adapter(name))
            .await
    }

    /// Returns a customer from the cache or the table.
    pub async fn customer(&self, name: &str) -> Result<Arc<Customer>, CatalogError> {
        self.cached_or_read(name, |s| &mut s.customers, || self.catalog.customer(name))
            .await
    }

    /// Returns the record `name` from the map that `cache` selects, or calls `read`.
    async fn cached_or_read<T, F>(
        &self,
        name: &str,
        cache: impl Fn(&mut State) -> &mut Map<Arc<str>, Arc<T>>,
        read: impl Fn() -> F,
    ) -> Result<Arc<T>, CatalogError>
    where
        F: Future<Output = Result<T, CatalogError>>,
    {
        let mut attempts = 1;
        loop {
            let invalidations = {
                let mut state = self.state();
                if let Some(found) = cache(&mut state).get(name) {
                    return Ok(found.clone());
                }
                state.invalidations
            };
            let record = Arc::new(read().await?);
            let mut state = self.state();
            if state.may_cache(invalidations) {
                cache(&mut state).insert(name.into(), record.clone());
            } else if attempts < MAX_READ_ATTEMPTS {
                attempts += 1;
                continue;
            }
            return Ok(record);
        }
    }

    /// Invalidates the cached record of an adapter and reads it from the table.
    pub async fn refresh(&self, name: &str) -> Result<Arc<Adapter>, CatalogError> {
        self.state().invalidate(&adapter_key(name));
        self.adapter(name).await
    }
}
