use crate::EventSplitter;

#[test]
fn take_event_returns_whole_events_only() {
    let mut events = EventSplitter::default();
    events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(events.take_event().unwrap().id, Some(1));
    assert!(events.take_event().is_none());
    assert!(events.has_partial());
    events.push(b"ta: b\n");
    assert!(events.take_event().is_none());
    events.push(b"\n");
    let event = events.take_event().unwrap();
    assert_eq!(event.id, Some(2));
    assert_eq!(&event.bytes[..], b"id: 2\ndata: b\n\n");
    assert!(!events.has_partial());
}
