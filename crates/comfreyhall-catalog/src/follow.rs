//! Following the catalog: a cache of its records that never goes backwards.
//!
//! A [`Follower`] polls the `epoch` row. When it moved, the audit entries
//! since the last poll name the records that changed; those leave the cache
//! and the configuration is read anew. Between polls records are served from
//! the cache, so a table outage stops no adapter that is already known.
//!
//! What can go wrong, and what prevents it:
//!
//! - An older configuration arrives late (a slow read, a peer that is
//!   behind): it would undo a newer one. [`Follower::apply_sync`] takes a
//!   configuration only if its version is higher than the one in force.
//! - A record is read, changes, is dropped from the cache by the poll, and
//!   then the old read is put into the cache, where it would stay. A read
//!   notes the count of drops before it starts and is not kept if that count
//!   moved.
//! - This instance loses touch with the table while others do not: it would
//!   keep an old configuration. It then learns from its peers
//!   ([`Follower::changes_since`] on their side, [`Follower::apply_sync`] on ours).
//! - The process restarts: it knows no configuration, so it must not serve
//!   before the first poll succeeded ([`Follower::synced`]).

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use comfreyhall_protocol::{Map, Row, SyncReply};

use crate::{
    Adapter, Catalog, CatalogError, Config, Customer, Rows, Table,
    change::EPOCH_KEY,
    records::BULK_KEY,
    store::{CONFIG_KEY, adapter_key, decode},
};

/// Changes remembered for peers that are behind.
const LOG_LIMIT: usize = 1_024;

/// Times a record is read when changes keep dropping it from the cache.
const READ_TRIES: u32 = 3;

#[derive(Default)]
struct State {
    synced: bool,
    epoch: u64,
    /// When the table last answered a poll.
    heard: Option<Instant>,
    config: Arc<Config>,
    adapters: Map<Arc<str>, Arc<Adapter>>,
    customers: Map<Arc<str>, Arc<Customer>>,
    /// Counts cache drops, to keep reads that raced one out of the cache.
    drops: u64,
    /// Epoch and key of the latest changes, oldest first.
    log: VecDeque<(u64, String)>,
}

impl State {
    fn adopt(&mut self, config: Config) -> bool {
        if config.version <= self.config.version {
            return false;
        }
        self.config = Arc::new(config);
        true
    }

    /// Whether a read begun at this count of drops may go into the cache.
    fn keeps(&self, drops: u64) -> bool {
        self.synced && self.drops == drops
    }

    fn forget(&mut self, key: &str) {
        self.drops += 1;
        if key == BULK_KEY {
            self.adapters.clear();
            self.customers.clear();
        } else if let Some(name) = key.strip_prefix("adapter/") {
            self.adapters.remove(name);
        } else if let Some(name) = key.strip_prefix("customer/") {
            self.customers.remove(name);
        }
    }

    fn note(&mut self, epoch: u64, key: String) {
        self.forget(&key);
        self.log.push_back((epoch, key));
        if self.log.len() > LOG_LIMIT {
            self.log.pop_front();
        }
    }
}

/// Something changed in the catalog, up to this epoch.
#[derive(Debug, Clone, Copy)]
pub struct NewEpoch {
    epoch: u64,
}

/// A cache of catalog records and the configuration in force.
pub struct Follower<R: Rows = Table> {
    catalog: Catalog<R>,
    state: Mutex<State>,
}

impl<R: Rows> Follower<R> {
    /// A follower of `catalog` that knows nothing yet.
    pub fn new(catalog: Catalog<R>) -> Self {
        Self {
            catalog,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// Whether a configuration was read since this process started.
    pub fn synced(&self) -> bool {
        self.state().synced
    }

    /// The last epoch followed.
    pub fn epoch(&self) -> u64 {
        self.state().epoch
    }

    /// The configuration in force here.
    pub fn config(&self) -> Arc<Config> {
        self.state().config.clone()
    }

    /// Time since the table last answered a poll; zero before the first.
    pub fn poll_age(&self) -> Duration {
        let heard = self.state().heard;
        heard.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Adapter records in the cache.
    pub fn cached(&self) -> usize {
        self.state().adapters.len()
    }

    /// Reads what changed since the last poll; true if a new configuration
    /// came into force.
    pub async fn poll(&self) -> Result<bool, CatalogError> {
        match self.check_epoch().await? {
            Some(moved) => self.catch_up(moved).await,
            None => Ok(false),
        }
    }

    /// Asks whether anything changed since the last poll: one small answer, which
    /// tells at once whether the table answers.
    pub async fn check_epoch(&self) -> Result<Option<NewEpoch>, CatalogError> {
        let row = self.catalog.rows().get(EPOCH_KEY).await?;
        let epoch: u64 = row.as_ref().map_or(Ok(0), decode)?;
        let mut state = self.state();
        state.heard = Some(Instant::now());
        let moved = !state.synced || epoch > state.epoch;
        Ok(moved.then_some(NewEpoch { epoch }))
    }

    /// Reads what changed, which may be large; true if a new configuration came into
    /// force.
    pub async fn catch_up(&self, moved: NewEpoch) -> Result<bool, CatalogError> {
        let NewEpoch { epoch } = moved;
        let (known, synced) = {
            let state = self.state();
            (state.epoch, state.synced)
        };
        let changes = if synced {
            self.catalog.changes(known).await?
        } else {
            Vec::new()
        };
        let touched = !synced || changes.iter().any(|c| c.key == CONFIG_KEY);
        let config = if touched {
            Some(self.catalog.config().await?)
        } else {
            None
        };
        let mut state = self.state();
        for c in changes {
            state.note(c.epoch, c.key);
        }
        state.synced = true;
        state.epoch = state.epoch.max(epoch);
        Ok(config.is_some_and(|c| state.adopt(c)))
    }

    /// What this follower knows past `epoch`, for a peer that lost the table.
    pub async fn changes_since(&self, epoch: u64) -> SyncReply {
        let (mine, config, keys) = {
            let state = self.state();
            let keys: Vec<String> = state
                .log
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
        if mine > epoch {
            for key in keys.iter().filter(|k| *k != CONFIG_KEY) {
                if let Ok(Some(row)) = self.catalog.rows().get(key).await {
                    rows.push(row);
                }
            }
        }
        SyncReply { epoch: mine, rows }
    }

    /// Takes over a peer's news; true if a new configuration came into force.
    ///
    /// Our epoch stays as it is, so that a later poll of the table still
    /// reads whatever the peer could not tell. Records are taken over only
    /// from a peer that is ahead: an answer that was slow may be older than
    /// what a poll read meanwhile, and nothing would drop it again.
    pub fn apply_sync(&self, news: &SyncReply) -> Result<bool, CatalogError> {
        let mut state = self.state();
        let mut fresh = false;
        let ahead = news.epoch > state.epoch;
        for row in &news.rows {
            if row.key == CONFIG_KEY {
                fresh |= state.adopt(decode(row)?);
                continue;
            }
            if !ahead {
                continue;
            }
            state.forget(&row.key);
            if let Some(name) = row.key.strip_prefix("adapter/") {
                state.adapters.insert(name.into(), Arc::new(decode(row)?));
            } else if let Some(name) = row.key.strip_prefix("customer/") {
                state.customers.insert(name.into(), Arc::new(decode(row)?));
            }
        }
        Ok(fresh)
    }

    /// One adapter, from the cache or the table.
    pub async fn adapter(&self, name: &str) -> Result<Arc<Adapter>, CatalogError> {
        self.cached_or(name, |s| &mut s.adapters, || self.catalog.adapter(name))
            .await
    }

    /// One customer, from the cache or the table.
    pub async fn customer(&self, name: &str) -> Result<Arc<Customer>, CatalogError> {
        self.cached_or(name, |s| &mut s.customers, || self.catalog.customer(name))
            .await
    }

    /// The record `name` in the cache that `cache` picks, or `read` anew.
    async fn cached_or<T, F>(
        &self,
        name: &str,
        cache: impl Fn(&mut State) -> &mut Map<Arc<str>, Arc<T>>,
        read: impl Fn() -> F,
    ) -> Result<Arc<T>, CatalogError>
    where
        F: Future<Output = Result<T, CatalogError>>,
    {
        let mut tries = 1;
        loop {
            let drops = {
                let mut state = self.state();
                if let Some(found) = cache(&mut state).get(name) {
                    return Ok(found.clone());
                }
                state.drops
            };
            let record = Arc::new(read().await?);
            let mut state = self.state();
            if state.keeps(drops) {
                cache(&mut state).insert(name.into(), record.clone());
            } else if tries < READ_TRIES {
                tries += 1;
                continue;
            }
            return Ok(record);
        }
    }

    /// One adapter from the table, whatever the cache holds.
    pub async fn refresh(&self, name: &str) -> Result<Arc<Adapter>, CatalogError> {
        self.state().forget(&adapter_key(name));
        self.adapter(name).await
    }
}
