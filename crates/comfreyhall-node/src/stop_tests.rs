use super::bound_ms;

/// Guards against answers that a planned stop cuts though the platform would still wait for
/// them: with a long grace a share of it is seconds.
#[test]
fn bound_ms_uses_whole_grace() {
    for grace_s in [4.0, 8.0, 30.0] {
        let grace_ms = (grace_s * 1_000.0) as u64;
        let bound = bound_ms(grace_s);
        assert!((grace_ms - 450..grace_ms - 300).contains(&bound), "{bound}");
    }
    assert_eq!(bound_ms(0.1), 0);
}
