//! The capacity page: tables between its markers, and reported differences between the page and the runs.
#![allow(missing_docs)]

mod common;

use std::path::PathBuf;

use chalksill_scale::page::{BEGIN, END, MarkerError, difference, tables, with_tables};
use chalksill_scale::plot;
use chalksill_scale::record::{FleetState, RunRecord};
use chalksill_scale::report::{fit_all, terminal_table};

fn records(sizes: &[u32]) -> Vec<(PathBuf, RunRecord)> {
    vec![("made-up.json".into(), common::record(sizes))]
}

fn empty() -> String {
    format!("# Title\n\nBefore.\n\n{BEGIN}\n{END}\n\nAfter.\n")
}

#[test]
fn writing_tables_keeps_the_rest_of_the_page_and_is_idempotent() {
    let tables = tables(&records(&[50, 100, 200, 400]));
    let page = with_tables(&empty(), &tables).unwrap();
    assert!(page.starts_with("# Title\n\nBefore.\n") && page.ends_with("\n\nAfter.\n"), "{page}");
    assert_eq!(
        difference(&page, &with_tables(&page, &tables).unwrap()),
        None,
        "writing again changes nothing"
    );
}

#[test]
fn a_changed_value_is_reported_with_its_line() {
    let before = with_tables(&empty(), &tables(&records(&[50, 100, 200, 400]))).unwrap();
    let mut changed = records(&[50, 100, 200, 400]);
    changed[0].1.runs[11].spreads[0].last_s = 9.0;
    let after = with_tables(&before, &tables(&changed)).unwrap();
    let found = difference(&before, &after).expect("one value of one run has changed");
    let line = before.split('\n').nth(found.line - 1).unwrap();
    assert_eq!(line, found.page);
    assert!(line.contains("change of list") && found.runs.contains("| not known |"), "{found}");
    assert!(!before.contains("400: 4 (±") && after.contains("400: 4 (±"), "the mean of 1.5, 1.5 and 9");
    let again = with_tables(&before, &tables(&changed)).unwrap();
    assert_eq!(difference(&again, &after), None);
}

#[test]
fn missing_duplicate_or_swapped_markers_are_rejected() {
    let found = |page: &str| with_tables(page, "x").unwrap_err();
    assert_eq!(found("no markers"), MarkerError::Missing(BEGIN));
    assert_eq!(found(BEGIN), MarkerError::Missing(END));
    assert_eq!(found(&format!("{BEGIN}\n{BEGIN}\n{END}")), MarkerError::Duplicate(BEGIN));
    assert_eq!(found(&format!("{BEGIN}\n{END}\n{END}")), MarkerError::Duplicate(END));
    assert_eq!(found(&format!("{END}\n{BEGIN}")), MarkerError::Order);
}

#[test]
fn a_truncated_page_differs_in_its_last_line() {
    let found = difference("one\ntwo", "one\ntwo\nthree").unwrap();
    assert_eq!((found.line, found.page.as_str(), found.runs.as_str()), (3, "nothing", "three"));
}

#[test]
fn an_exceeded_bound_is_listed_with_its_size_and_source() {
    let text = tables(&records(&[10, 20, 30, 40, 300]));
    let exceeded = |subject: &str| {
        let table = text.split("### Where bounds are passed").nth(1).unwrap();
        table.lines().find(|line| line.contains(subject)).unwrap_or_default().to_owned()
    };
    // 300 nodes with a minimum of 2 calls each exceed 80. 100 + 3 n bytes exceed 19,000 at 6,300 nodes.
    assert!(exceeded("sum of origin-outstanding").contains("| 300 |"), "{}", exceeded("sum of origin"));
    let budget = exceeded("hollow-node");
    let nodes: f64 = budget.split(" | ").nth(1).unwrap().parse().unwrap();
    assert!((nodes - 6_300.0).abs() < 100.0 && budget.contains("the slope"), "{budget}");
}

#[test]
fn a_bound_that_grows_with_the_size_is_compared_at_each_size() {
    let mut records = records(&[10, 20, 40, 80]);
    for run in &mut records[0].1.runs {
        let sum = &mut run.sums[0];
        let nodes = f64::from(run.size.nodes);
        // Exceeds the bound only by a rounding error.
        (sum.bound, sum.allowed, sum.peak) = (nodes, nodes * (1.0 + f64::EPSILON), 1.0);
    }
    let exceeded = |records: &[(PathBuf, RunRecord)]| {
        let text = tables(records);
        let table = text.split("### Where bounds are passed").nth(1).unwrap().to_owned();
        table.lines().find(|line| line.contains("sum of origin-outstanding")).map(str::to_owned)
    };
    assert_eq!(exceeded(&records), None, "values equal to the bound at their own size do not exceed it");
    records[0].1.runs[3].sums[0].allowed = 90.0;
    assert!(
        exceeded(&records).unwrap().contains("allowed over 20 |"),
        "the mean of 90, 20 and 20 at 20 nodes is 43.3"
    );
}

#[test]
fn too_few_sizes_are_reported_and_not_fitted() {
    let record = common::record(&[50, 100, 200]);
    let fits = fit_all(&record.runs.iter().collect::<Vec<_>>());
    assert!(!fits.is_empty() && fits.iter().all(|fitted| fitted.outcome.is_err()));
    assert!(terminal_table(&fits).contains("no fit: 3 of at least 4 sizes"), "{}", terminal_table(&fits));
    assert!(plot::svg(&fits).is_err(), "there is nothing to draw");
    let page = tables(&records(&[50, 100, 200]));
    assert!(
        page.contains("- made-up (virtual-clock, calm): 6 series have no fit: 3 of at least 4 sizes."),
        "{page}"
    );
}

#[test]
fn a_change_on_which_not_all_nodes_acted_is_marked() {
    let mut record = common::record(&[50, 100, 200, 400]);
    record.runs[3].spreads[0].acted -= 1;
    let fits = fit_all(&record.runs.iter().collect::<Vec<_>>());
    assert!(terminal_table(&fits).contains("in 1 of 12 runs not all acted"), "{}", terminal_table(&fits));
}

#[test]
fn the_chart_shows_series_names_and_fits() {
    let record = common::record(&[50, 100, 200, 400]);
    let fits = fit_all(&record.runs.iter().collect::<Vec<_>>());
    let chart = plot::svg(&fits).unwrap();
    assert!(chart.starts_with("<svg") && chart.contains("<circle") && chart.contains("<polygon"));
    assert!(chart.contains("agreement-leader: messages/s over nodes, linear"));
    let bound = "stroke=\"#C85046\"";
    assert_eq!(
        chart.matches(bound).count(),
        5,
        "a node's bytes and memory, the leader's bytes, and both sums"
    );
}

#[test]
fn zones_that_grow_with_the_axis_are_reported() {
    let mut record = common::record(&[50, 100, 200, 400]);
    let constant_zones = terminal_table(&fit_all(&record.runs.iter().collect::<Vec<_>>()));
    record.runs[0].size.zones = 2;
    let growing_zones = terminal_table(&fit_all(&record.runs.iter().collect::<Vec<_>>()));
    assert!(growing_zones.contains("0.5 changes a second; 2 to 4 zones along)"), "{growing_zones}");
    assert!(!constant_zones.contains("zones along"), "{constant_zones}");
}

#[test]
fn a_role_at_the_target_is_measured_if_possible_and_extrapolated_otherwise() {
    let role = |sizes: &[u32], role: &str| {
        let text = tables(&records(sizes));
        let roles = text.split("### Roles in calm").nth(1).unwrap().split("###").next().unwrap().to_owned();
        roles.lines().find(|line| line.contains(role)).unwrap().to_owned()
    };
    let fitted = role(&[50, 100, 200, 400], "agreement-leader | messages/s");
    assert!(fitted.contains("| 13,200 ±") && fitted.contains("slope up to 400 nodes"), "{fitted}");
    let measured = role(&[50, 100, 200, 6_600], "agreement-leader | messages/s");
    assert!(measured.contains("| 13,200 ±") && measured.contains("measured: made-up"), "{measured}");
    let over = role(&[50, 100, 200, 400], "hollow-node | bytes/s");
    assert!(over.contains("| 19,900 ±") && over.contains("none: 1.05 times it"), "{over}");
    let unknown = role(&[50, 100, 200], "hollow-node | bytes/s");
    assert!(unknown.contains("not known"), "{unknown}");
}

#[test]
fn roles_at_the_target_use_only_calm_runs_and_prefer_measurements() {
    let mut all = records(&[6_600]);
    all[0].1.scenario = "at-target".into();
    all.extend(records(&[50, 100, 200, 400]));
    all.extend(records(&[6_600]));
    let with_fault = &mut all[2].1;
    (with_fault.scenario, with_fault.state) = ("a-troubled-one".into(), FleetState::ZoneLost);
    for run in &mut with_fault.runs {
        run.spreads[0].last_s = 99.0;
    }
    for order in [[0, 1, 2], [2, 1, 0]] {
        let records: Vec<_> = order.into_iter().map(|place| all[place].clone()).collect();
        let text = tables(&records);
        let roles = text.split("### Roles in calm").nth(1).unwrap().split("###").next().unwrap();
        let list = roles.lines().find(|line| line.contains("change of list")).unwrap();
        assert!(list.contains("| 1.5 ±") && list.contains("measured: at-target"), "{list}");
    }
    all[0].1.scenario = "z-later-by-name".into();
    let text = tables(&all);
    assert!(text.contains("measured: z-later-by-name (virtual-clock, calm)"), "{text}");
}

#[test]
fn a_single_run_is_marked_and_has_no_spread() {
    let mut one = records(&[6_600]);
    one[0].1.runs.truncate(1);
    let text = tables(&one);
    let of_leader = |line: &&str| line.contains("agreement-leader | messages/s");
    let lines: Vec<&str> = text.lines().filter(of_leader).collect();
    assert!(
        lines[0].contains("| 13,200 (one run) |") && lines[1].contains("6,600: 13,200 (one run)"),
        "{lines:?}"
    );
}
