use super::*;

#[test]
fn table_aligns_columns() {
    let rows = vec![
        vec!["narrator".to_string(), "oduya".to_string()],
        vec!["ute-writer".to_string(), "coop".to_string()],
    ];
    insta::assert_snapshot!(output::table(&["NAME", "CUSTOMER"], &rows));
}

#[test]
fn text_bench_report() {
    let r = bench::Report {
        label: "frequency".into(),
        seed: 7,
        seconds: 10.0,
        requests: 1200,
        attempts: 1290,
        answered: 1190,
        refused: 8,
        not_run: 90,
        unknown: 2,
        lost: 0,
        doubled: 0,
        cut_off: 0,
        misreported: 0,
        wrong: 0,
        stall_p50_ms: 0,
        stall_p95_ms: 350,
        stall_p99_ms: 900,
        stall_max_ms: 1500,
        stall_total_s: 42.5,
        stalled_share: 0.125,
        batch_efficiency: 0.61,
        faults: 12,
        deadly: None,
    };
    insta::assert_snapshot!(bench::text(&r));
}

#[test]
fn cli_parses_generate() {
    let cli = <Cli as argh::FromArgs>::from_args(
        &["comfreyhall"],
        &[
            "--settings",
            "s.jsonc",
            "generate",
            "narrator@v2",
            "hello",
            "--max-tokens",
            "4",
        ],
    )
    .unwrap();
    assert_eq!(cli.settings, "s.jsonc");
    match cli.command {
        args::Command::Generate(g) => {
            assert_eq!(g.model, "narrator@v2");
            assert_eq!(g.max_tokens, 4);
        }
        other => panic!("parsed as {other:?}"),
    }
}
