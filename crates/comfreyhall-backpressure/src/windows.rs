//! Bounds on the unanswered requests to targets of whose room little is known.
//!
//! A target that bears few rejections says so in the first one. Whatever is on its way by
//! then arrives all the same, so only a few requests are sent until answers show that it
//! has room. Each answer that is no rejection makes room for one more.

use comfreyhall_domain::{Map, Name};

/// Least requests on their way to a target that has not answered yet.
const MIN_FIRST: u32 = 4;

/// Targets with so many requests on their way at once are not bounded any more.
const UNBOUNDED: u32 = 64;

/// Requests on their way to a target that has not answered yet and runs `max_running` at
/// once for `daemons`.
pub fn first_requests(max_running: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    (max_running / daemons).max(MIN_FIRST)
}

/// The unanswered requests to one target.
#[derive(Debug, Clone, Copy)]
struct Window {
    unanswered: u32,
    most: u32,
    /// How often it was narrowed. An answer to a request from before that shows no room.
    narrowed: u32,
}

/// One unanswered request.
#[derive(Debug, Clone, Copy)]
pub struct Unanswered {
    narrowed: u32,
}

/// Requests that may be sent by the end of a wait for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// So many.
    Requests(u32),
    /// Any number: the target has shown that it has much room.
    Unbounded,
}

/// How the wait for an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FirstAnswer {
    /// It was no rejection.
    Accepted,
    /// It was a rejection for want of room by a target that bears few of them.
    RejectedBrittle,
    /// Nothing is known of the target's room by it.
    Other,
}

/// The unanswered requests to all targets, by the id of their boot.
#[derive(Debug, Default)]
pub struct SendWindows {
    windows: Map<Name, Window>,
}

impl SendWindows {
    /// Counts one more request to `target`, which gets `first` until it has answered;
    /// `None` if it is to get no more now.
    pub fn try_begin(&mut self, target: &Name, first: u32) -> Option<Unanswered> {
        (!self.is_full(target)).then(|| self.begin(target, first))
    }

    /// Whether `target` is to get no more now.
    pub fn is_full(&self, target: &str) -> bool {
        let room = self.windows.get(target).map(Window::room);
        room == Some(Room::Requests(0))
    }

    /// Counts one more request to `target`, whatever its bound.
    pub fn begin(&mut self, target: &Name, first: u32) -> Unanswered {
        let window = self.windows.entry(target.clone()).or_insert(Window {
            unanswered: 0,
            most: first,
            narrowed: 0,
        });
        window.unanswered += 1;
        Unanswered {
            narrowed: window.narrowed,
        }
    }

    /// Ends the wait for one answer of `target`; returns how many requests it may get now.
    pub fn end(&mut self, target: &Name, request: Unanswered, answer: FirstAnswer) -> Room {
        let Some(window) = self.windows.get_mut(target) else {
            return Room::Unbounded;
        };
        window.unanswered = window.unanswered.saturating_sub(1);
        match answer {
            FirstAnswer::Accepted if request.narrowed == window.narrowed => {
                window.most = window.most.saturating_add(1);
            }
            FirstAnswer::RejectedBrittle => {
                window.most = 1;
                window.narrowed += 1;
            }
            FirstAnswer::Accepted | FirstAnswer::Other => {}
        }
        window.room()
    }

    /// Drops targets for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.windows.retain(|target, _| keep(target));
    }
}

impl Window {
    fn room(&self) -> Room {
        match self.most >= UNBOUNDED {
            true => Room::Unbounded,
            false => Room::Requests(self.most.saturating_sub(self.unanswered)),
        }
    }
}
