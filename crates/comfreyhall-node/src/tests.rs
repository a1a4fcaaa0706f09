use crate::events::Events;

#[test]
fn next_whole_events_only() {
    let mut e = Events::default();
    e.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(e.next().unwrap().id, Some(1));
    assert!(e.next().is_none());
    assert!(e.partial());
    e.push(b"ta: b\n");
    assert!(e.next().is_none());
    e.push(b"\n");
    let event = e.next().unwrap();
    assert_eq!(event.id, Some(2));
    assert_eq!(&event.bytes[..], b"id: 2\ndata: b\n\n");
    assert!(!e.partial());
}
