//! The sends of one request whose outcome is not known yet.

use comfreyhall_domain::Name;

/// Targets of open sends, and of those that were cancelled as another answer went on.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenSends {
    /// In the order of the sends.
    open: Vec<Name>,
    cancelled: Vec<Name>,
}

impl OpenSends {
    /// It is sent to `target`.
    pub(super) fn begin(&mut self, target: &Name) {
        self.cancelled.retain(|t| t != target);
        self.open.push(target.clone());
    }

    /// The outcome at `target` is known.
    pub(super) fn settle(&mut self, target: &Name) {
        if let Some(at) = self.open.iter().rposition(|t| t == target) {
            self.open.remove(at);
        }
    }

    /// The run at `target` was cancelled.
    pub(super) fn cancel(&mut self, target: &Name) {
        self.settle(target);
        self.cancelled.push(target.clone());
    }

    /// All but the first `kept` were cancelled; returns how many.
    pub(super) fn cancel_after(&mut self, kept: u32) -> usize {
        let kept = self.open.len().min(kept as usize);
        let cancelled = self.open.split_off(kept);
        let count = cancelled.len();
        self.cancelled.extend(cancelled);
        count
    }

    pub(super) fn len(&self) -> u32 {
        self.open.len() as u32
    }

    /// Whether it may go to `target` again: it was sent there before, and that run did not
    /// fail but was cancelled. The target has received it, so that it counts as one attempt
    /// and no more.
    pub(super) fn may_repeat(&self, target: &Name) -> bool {
        self.open.is_empty() && self.cancelled.contains(target)
    }

    /// Whether it may go to any target again.
    pub(super) fn may_repeat_any(&self) -> bool {
        self.open.is_empty() && !self.cancelled.is_empty()
    }
}
