use crate::Fingerprint;

fn of(parts: &[&str]) -> Fingerprint {
    Fingerprint::of(parts.iter().map(|p| p.as_bytes()))
}

#[test]
fn fingerprint_same_request() {
    assert_eq!(of(&["h", "/p", "body"]), of(&["h", "/p", "body"]));
}

#[test]
fn fingerprint_parts_keep_their_bounds() {
    assert_ne!(of(&["h", "/pb", "ody"]), of(&["h", "/p", "body"]));
    assert_ne!(of(&["h", "/p", "body"]), of(&["i", "/p", "body"]));
    assert_ne!(of(&["h", "", "/p"]), of(&["h", "/p", ""]));
}

#[test]
fn fingerprint_told_and_heard() {
    let print = of(&["h"]);
    assert_eq!(Fingerprint::from_bytes(print.as_bytes()), Some(print));
    assert_eq!(Fingerprint::from_bytes(b"short"), None);
}
