use super::*;

/// Guards against a cut path that passes for the end of a target: one peer that reaches it
/// outweighs all that do not.
#[test]
fn ended_peer_that_reaches_it_decides() {
    let mut answers = PeerAnswers::default();
    assert_eq!(answers.ended(), None);
    answers.add(ProbeResult::NoAnswer);
    assert_eq!(answers.ended(), None);
    answers.add(ProbeResult::Refused);
    assert_eq!(answers.ended(), Some(true));
    answers.add(ProbeResult::Alive);
    answers.add(ProbeResult::OtherBoot);
    assert_eq!(answers.ended(), Some(false));
}

#[test]
fn from_wire_reads_what_to_wire_wrote() {
    use ProbeResult::*;
    for result in [Alive, OtherBoot, Refused, NoAnswer] {
        assert_eq!(ProbeResult::from_wire(result.to_wire()), result);
    }
}

#[test]
fn next_delay_ends() {
    let mut check = EndCheck::default();
    let delays = std::iter::from_fn(|| check.next_delay());
    assert_eq!(delays.count(), PROBE_DELAYS_MS.len());
}
