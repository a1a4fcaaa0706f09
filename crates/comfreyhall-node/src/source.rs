//! The events of one answer as they arrive from its target.

use std::{collections::VecDeque, time::Duration};

use comfreyhall_relay::{EndCause, Event, EventOrder, EventSplitter, OrderError};
use futures::StreamExt;
use http::{HeaderMap, StatusCode};

use crate::ports::{Body, BodyError, Framing};

/// Pause between checks whether a silent target has ended.
pub(crate) const END_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The end of an answer whose target is proven to have ended.
pub(crate) fn target_ended() -> BodyError {
    BodyError {
        reason: "the target has ended".to_string(),
        cause: EndCause::TargetEnded,
    }
}

impl From<OrderError> for BodyError {
    fn from(error: OrderError) -> Self {
        Self {
            reason: error.to_string(),
            cause: error.cause(),
        }
    }
}

/// What an answer brings next.
pub(crate) enum Item {
    /// A whole event.
    Event(Event),
    /// Its end; complete unless its framing leaves that open.
    End,
    /// It ended early.
    Broken(BodyError),
}

/// The body of one answer, split into events. Dropping it cancels the run.
pub(crate) struct EventSource {
    body: Body,
    framing: Framing,
    splitter: EventSplitter,
    has_ended: bool,
}

/// A stream whose first new events have arrived.
pub(crate) struct StreamStart {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) source: EventSource,
    /// The order after `events`.
    pub(crate) order: EventOrder,
    pub(crate) events: VecDeque<Event>,
}

impl EventSource {
    pub(crate) fn new(body: Body, framing: Framing) -> Self {
        Self {
            body,
            framing,
            splitter: EventSplitter::default(),
            has_ended: false,
        }
    }

    /// Whether its end shows that it is complete.
    pub(crate) fn has_explicit_end(&self) -> bool {
        self.framing == Framing::Explicit
    }

    /// The next event or the end. Nothing is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> Item {
        loop {
            if let Some(event) = self.splitter.take_event() {
                return Item::Event(event);
            }
            if self.has_ended {
                return Item::End;
            }
            match self.body.next().await {
                Some(Ok(bytes)) => {
                    if let Err(oversize) = self.splitter.push(&bytes) {
                        return Item::Broken(BodyError {
                            reason: oversize.to_string(),
                            cause: EndCause::TooLarge,
                        });
                    }
                }
                Some(Err(error)) => return Item::Broken(error),
                None if self.splitter.has_partial() => {
                    return Item::Broken(BodyError {
                        reason: "the stream ended in the middle of an event".to_string(),
                        cause: EndCause::ConnectionClosed,
                    });
                }
                None => self.has_ended = true,
            }
        }
    }

    /// Cancels the run.
    pub(crate) fn close(&mut self) {
        self.body = Box::pin(futures::stream::empty());
        self.splitter = EventSplitter::default();
    }

    /// The next event that has arrived whole.
    pub(crate) fn take_ready(&mut self) -> Option<Event> {
        self.splitter.take_event()
    }

    /// Reads up to the first event that is new to the caller; returns it with those that come
    /// with it.
    ///
    /// # Errors
    ///
    /// The stream ended before it.
    pub(crate) async fn first_events(
        &mut self,
        order: &mut EventOrder,
    ) -> Result<VecDeque<Event>, BodyError> {
        let mut events = VecDeque::new();
        loop {
            match self.next().await {
                Item::Event(event) => order.accept(event, &mut events)?,
                Item::End => {
                    order.finish(&mut events)?;
                    if !order.has_begun() {
                        return Err(self.ended_empty());
                    }
                }
                Item::Broken(error) => return Err(error),
            }
            if order.has_begun() {
                return Ok(events);
            }
            // Comments before the first event say nothing to the caller yet.
            events.clear();
        }
    }

    /// The end of a stream without an event.
    fn ended_empty(&self) -> BodyError {
        BodyError {
            reason: "the stream ended without an event".to_string(),
            cause: match self.has_explicit_end() {
                true => EndCause::Broken,
                false => EndCause::ConnectionClosed,
            },
        }
    }
}
