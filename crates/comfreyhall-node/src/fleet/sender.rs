//! Transfers of settings to other daemons.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
};

use tokio::sync::Semaphore;

/// Concurrent transfers: with one, a daemon that freezes in the middle would
/// block all others; each additional one slows down all of them.
pub(super) const MAX_TRANSFERS: usize = 2;

/// Transfers of settings to other daemons.
pub(super) struct SettingsSender {
    pub(super) permits: Arc<Semaphore>,
    /// Peer addresses of the latest recipients.
    pub(super) recipients: Arc<Mutex<VecDeque<String>>>,
}

impl Default for SettingsSender {
    fn default() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            recipients: Arc::default(),
        }
    }
}

impl SettingsSender {
    pub(super) fn recent_recipients(&self) -> Vec<String> {
        let recipients = self
            .recipients
            .lock()
            .expect("no holder of this lock panics");
        recipients.iter().cloned().collect()
    }
}
