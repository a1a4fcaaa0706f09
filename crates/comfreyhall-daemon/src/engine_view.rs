//! The view and the slot account of an engine, from its status replies.

use std::sync::Arc;

use comfreyhall_capacity::{SlotAccount, Snapshot};
use comfreyhall_placement::{EngineView, SlotView};
use comfreyhall_protocol::{EngineStatus, Slot};
use comfreyhall_settings::Engine;

/// The account of an engine's slots, by `adapter@version`.
pub(crate) type EngineAccount = SlotAccount<Arc<str>>;

/// The view of an engine before its first poll: up and empty.
pub(crate) fn empty_view(engine: &Engine) -> EngineView {
    EngineView {
        id: engine.id.clone(),
        slots: Vec::new(),
        capacity: engine.slots,
        requests: 0,
        batch_width: engine.width,
        up: true,
    }
}

/// Takes an engine's status, asked for at `asked_ms`, into its account.
pub(crate) fn apply_status(account: &mut EngineAccount, status: &EngineStatus, asked_ms: u64) {
    let keys = |loading: bool| {
        let slots = status.slots.iter().filter(move |s| s.loading == loading);
        slots.map(|s| (slot_key(s), 0)).collect()
    };
    account.apply(
        Snapshot {
            sequence: 0,
            held: keys(false),
            loading: keys(true),
        },
        asked_ms,
    );
}

fn slot_key(slot: &Slot) -> Arc<str> {
    format!("{}@{}", slot.adapter, slot.version).into()
}

/// Builds an engine's view from its status reply, and the loads that may be on their way
/// to it.
pub(crate) fn view_of(
    engine: &Engine,
    status: &EngineStatus,
    account: &EngineAccount,
) -> EngineView {
    let unknown = account.unknown().map(|key| SlotView {
        key: key.clone(),
        pins: 0,
        loading: true,
    });
    let slots = status
        .slots
        .iter()
        .map(|slot| SlotView {
            key: slot_key(slot),
            pins: slot.pins,
            loading: slot.loading,
        })
        .chain(unknown)
        .collect();
    EngineView {
        id: engine.id.clone(),
        slots,
        capacity: engine.slots,
        requests: status.queued + status.active,
        batch_width: status.width,
        up: true,
    }
}
