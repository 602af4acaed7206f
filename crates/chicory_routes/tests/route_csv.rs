//! Route tables as CSV.

use std::time::Duration;

use chicory_routes::{
    CallerLimits, RequestKind, Route, RouteCsvFault, RouteTable, RouteTarget, RoutedService,
    WeightedService, parse_route_csv, route_csv,
};
use googletest::prelude::*;

const HEADER: &str = "row,name,host,path_prefix,kind,timeout_ms,latency_target_ms,priority,\
    max_attempts,target,is_keyed,max_header_bytes,max_body_bytes,header_timeout_ms,idle_timeout_ms";

fn service(name: &str, is_keyed: Option<bool>) -> RoutedService {
    RoutedService {
        name: name.into(),
        health_path: Some("/health".into()),
        max_connections: Some(110),
        protocol: None,
        has_tls: Some(false),
        is_keyed,
        warmup: Some(Duration::from_secs(3)),
        grant_mode: Some("direct".into()),
        cold_time: None,
        cold_rate_millihertz: None,
    }
}

fn table() -> RouteTable {
    let split = RouteTarget::Split(vec![
        WeightedService {
            service: "archive".into(),
            weight: 90,
        },
        WeightedService {
            service: "ledger".into(),
            weight: 0,
        },
    ]);
    let route = |name: &str, kind, target| Route {
        name: name.into(),
        host: "one, or \"two\".example".into(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout: Some(Duration::from_millis(1500)),
        latency_target: None,
        priority: Some(2),
        max_attempts: None,
        target,
    };
    RouteTable {
        version: 9,
        routes: vec![
            route("reads", RequestKind::Idempotent, split),
            route(
                "orders",
                RequestKind::Order,
                RouteTarget::Service("ledger".into()),
            ),
            route(
                "plans",
                RequestKind::Download,
                RouteTarget::Service("archive".into()),
            ),
            route(
                "drafts",
                RequestKind::Upload,
                RouteTarget::Service("archive".into()),
            ),
        ],
        services: vec![service("archive", Some(true)), service("ledger", None)],
        limits: Some(CallerLimits::default()),
    }
}

#[gtest]
fn written_table_is_read_back_unchanged() {
    let text = route_csv(&table()).expect("writing the table succeeds");
    expect_that!(parse_route_csv(9, &text), ok(eq(&table())));
}

fn fault_of(rows: &str) -> String {
    let text = format!("{HEADER}\n{rows}\n");
    let fault = parse_route_csv(1, &text).expect_err("the table has a fault");
    fault.to_string()
}

#[gtest]
fn faults_name_the_row_and_the_column() {
    let route = "route,reads,one.example,/reads/,idempotent,1000,,,2,archive,,,,,";
    let archive = "service,archive,,,,,,,,,true,,,,";
    let good = format!("{HEADER}\n{route}\n{archive}\n");
    expect_that!(parse_route_csv(1, &good), ok(anything()));
    for (row, expected) in [
        (
            "route,reads,one.example,/reads/,sometimes,1000,,,2,archive,,,,,",
            "kind",
        ),
        (
            "route,reads,,/reads/,order,1000,,,2,archive,,,,,",
            "row 2: column host",
        ),
        (
            "route,reads,one.example,/reads/,order,soon,,,2,archive,,,,,",
            "timeout_ms",
        ),
        (
            "route,reads,one.example,/reads/,order,1000,,,2,archive:x,,,,,",
            "row 2: column target",
        ),
        (
            "route,reads,one.example,/reads/,order,1000,,,2,elsewhere,,,,,",
            "elsewhere",
        ),
        ("limits,,,,,,,,,,,1,2,3,", "row 2: column idle_timeout_ms"),
        ("detour,,,,,,,,,,,,,,", "detour"),
        ("route,reads", "fields"),
    ] {
        let fault = fault_of(&format!("{archive}\n{row}"));
        expect_that!(fault, contains_substring(expected), "{row}");
    }
    let limits = "limits,,,,,,,,,,,1,2,3,4";
    expect_that!(
        fault_of(&format!("{limits}\n{limits}")),
        contains_substring("row 2")
    );
}

#[gtest]
fn unknown_column_is_rejected() {
    let text = "row,name,colour\nservice,archive,red\n";
    expect_that!(
        parse_route_csv(1, text),
        err(matches_pattern!(RouteCsvFault::Line { .. }))
    );
}
