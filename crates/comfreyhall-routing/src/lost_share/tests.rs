use super::*;

/// Guards against a share that is reported again and again while it moves around a step, and
/// against one that stays too high.
#[test]
fn update_told_in_steps_with_slack() {
    let mut share = LostShare::default();
    let told = [9, 10, 9, 10, 5, 4, 9, 25, 16, 15, 14, 19, 100, 0].map(|p| share.update(p, 100));
    assert_eq!(told, [0, 10, 10, 10, 10, 0, 0, 20, 20, 20, 10, 10, 100, 0]);
    assert_eq!(share.update(0, 0), 0);
}
