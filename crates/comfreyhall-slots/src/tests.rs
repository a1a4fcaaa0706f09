use crate::*;

#[test]
fn used_ms_halves_each_half_life() {
    let mut ledger = SlotLedger::default();
    let share = SlotShare::workspace("w");
    ledger.add_use(&share, 100.0, 1_000);
    assert_eq!(ledger.used_ms(&share, 3_000), 50.0);
    assert_eq!(ledger.used_ms(&SlotShare::priority(0), 3_000), 0.0);
}
