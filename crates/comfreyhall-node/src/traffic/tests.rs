use comfreyhall_protocol::{
    Cession, Daemon, Demand, EnginePace, EngineRun, Evidence, Fact, Holding, LoadHistory, Placed,
    ServiceVersion, SlotUse, TargetNumber, TargetTotal, TargetWord, TargetWork, TargetsProof,
    TotalColumns,
};

use super::*;

/// Guards against bytes that count as another kind, as after a field got a new number.
#[test]
fn parts_each_field_by_kind() {
    // Lengths of more than 127 take two bytes.
    let long = "x".repeat(200);
    let one = |fill: &dyn Fn(&mut News)| {
        let mut gossip = News::default();
        fill(&mut gossip);
        gossip
    };
    macro_rules! field {
        ($kind:ident, $field:ident, $item:expr) => {
            (
                Kind::$kind,
                one(&|g: &mut News| g.$field = [$item, $item].into()),
            )
        };
    }
    macro_rules! row {
        ($kind:ident, $field:ident, $message:ident { $name:ident }) => {
            field!(
                $kind,
                $field,
                $message {
                    $name: long.clone(),
                    ..$message::default()
                }
            )
        };
    }
    let cases = [
        row!(Roster, roster, Daemon { id }),
        field!(Roster, roster_removed, long.clone()),
        field!(Peers, peers, long.clone()),
        field!(Peers, holders, long.clone()),
        row!(Totals, totals, TargetTotal { target }),
        row!(Totals, target_numbers, TargetNumber { target }),
        (
            Kind::Totals,
            one(&|g| {
                g.total_columns = Some(TotalColumns {
                    steps: vec![1; 200],
                    ..TotalColumns::default()
                })
            }),
        ),
        row!(Work, work, TargetWork { target }),
        row!(Work, runs, EngineRun { target }),
        row!(Work, slot_use, SlotUse { group }),
        row!(Settings, settings, Fact { key }),
        row!(Targets, targets, Fact { key }),
        (
            Kind::Targets,
            one(&|g| {
                g.targets_proof = Some(TargetsProof {
                    age_ms: 300,
                    ..TargetsProof::default()
                })
            }),
        ),
        row!(Evidence, evidence, Evidence { target }),
        row!(Notices, words, TargetWord { target }),
        row!(Paces, paces, EnginePace { target }),
        row!(Adapters, demands, Demand { key }),
        row!(Adapters, placed, Placed { target }),
        row!(Adapters, load_histories, LoadHistory { target }),
        row!(Versions, versions, ServiceVersion { service }),
        row!(Leases, holdings, Holding { group }),
        row!(Leases, cessions, Cession { group }),
        (Kind::Head, one(&|g| g.sent_at = 1_000)),
    ];
    for (kind, gossip) in cases {
        let bytes = gossip.encoded_len();
        let counted = parts(&gossip).into_iter().filter(|(_, bytes)| *bytes > 0);
        assert_eq!(counted.collect::<Vec<_>>(), [(kind, bytes)]);
    }
}

/// Guards against gossip whose cost nobody sees.
#[test]
fn gossip_sent_counts_bytes_by_kind() {
    let metrics = crate::metrics::Metrics::new();
    let gossip = News {
        peers: vec!["p".into()],
        sent_at: 1_000,
        ..News::default()
    };
    metrics.gossip_sent(&gossip);
    metrics.peer_sent(Kind::Forwarded, Daemon::default());
    let text = metrics.text();
    for line in [
        "peer_messages_total{call=\"gossip\"} 1",
        "peer_messages_total{call=\"forwarded\"} 1",
        "peer_bytes_total{kind=\"peers\"} 3",
        "peer_bytes_total{kind=\"head\"} 4",
    ] {
        // The exporter adds labels of its own.
        let (name, value) = line.split_once("\"}").expect("each line has a label");
        let found = text
            .lines()
            .any(|l| l.starts_with(name) && l.ends_with(value));
        assert!(found, "{line}: {text}");
    }
}
