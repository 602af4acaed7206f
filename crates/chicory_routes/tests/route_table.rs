//! Checks of route tables, matching and splits.

use std::time::Duration;

use chicory_routes::{
    RequestKind, Route, RouteMatcher, RouteTable, RouteTableDelta, RouteTableFault, RouteTarget,
    RoutedService, SplitCursor, WeightedService,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn service(name: &str) -> RoutedService {
    RoutedService {
        name: name.into(),
        health_path: Some("/health".into()),
        max_connections: Some(110),
        protocol: None,
        has_tls: None,
        is_keyed: None,
        warmup: None,
        grant_mode: None,
        cold_time: None,
        cold_rate_millihertz: None,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Some(Duration::from_secs(1)),
        latency_target: None,
        priority: Some(0),
        max_attempts: Some(2),
        target: RouteTarget::Service("archive".into()),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable {
        version: 1,
        routes,
        services: vec![service("archive"), service("orders")],
        limits: None,
    }
}

fn fault_of(change: impl FnOnce(&mut Route)) -> RouteTableFault {
    let mut changed = route("a", "host", "/a/");
    change(&mut changed);
    table(vec![changed])
        .check()
        .expect_err("the table has a fault")
}

#[gtest]
fn table_without_faults_passes_its_check() {
    let routes = vec![route("a", "host", "/a/"), route("b", "host", "/a/b/")];
    expect_that!(table(routes).check(), ok(anything()));
}

#[gtest]
fn check_finds_each_fault() {
    expect_that!(
        fault_of(|r| r.host.clear()),
        matches_pattern!(RouteTableFault::EmptyHost { .. })
    );
    expect_that!(
        fault_of(|r| r.path_prefix = "/a".into()),
        matches_pattern!(RouteTableFault::PathPrefix { .. })
    );
    expect_that!(
        fault_of(|r| r.target = RouteTarget::Service("nowhere".into())),
        matches_pattern!(RouteTableFault::UnknownService { .. })
    );
    expect_that!(
        fault_of(|r| r.timeout = Some(Duration::from_secs(601))),
        matches_pattern!(RouteTableFault::TimeoutTooLong { .. })
    );
    expect_that!(
        fault_of(|r| r.timeout = Some(Duration::ZERO)),
        matches_pattern!(RouteTableFault::NoTimeout { .. })
    );
    let weightless = WeightedService {
        service: "archive".into(),
        weight: 0,
    };
    expect_that!(
        fault_of(|r| r.target = RouteTarget::Split(vec![weightless])),
        matches_pattern!(RouteTableFault::NoWeight { .. })
    );
    let twice = table(vec![route("a", "host", "/a/"), route("b", "host", "/a/")]);
    expect_that!(
        twice.check(),
        err(matches_pattern!(RouteTableFault::DuplicatePlace { .. }))
    );
}

#[gtest]
fn longest_prefix_wins() {
    let routes = vec![
        route("root", "host", "/"),
        route("a", "host", "/a/"),
        route("ab", "host", "/a/b/"),
    ];
    let matcher = RouteMatcher::new(&table(routes));
    let name_at = |path| matcher.find("host", path).map(|m| m.route.name.clone());
    expect_that!(name_at("/a/b/c"), some(eq("ab")));
    expect_that!(name_at("/a/bc"), some(eq("a")));
    expect_that!(name_at("/x"), some(eq("root")));
    expect_that!(matcher.find("other", "/a/"), none());
    expect_that!(matcher.find("HOST", "/a/x").is_some(), eq(true));
}

#[gtest]
fn split_gives_each_part_its_share() {
    let cursor = SplitCursor::new([90, 10, 0]);
    let mut counts = [0; 3];
    for _ in 0..200 {
        counts[cursor.next()] += 1;
    }
    expect_that!(counts, eq([180, 20, 0]));
}

/// Returns the route that a search through all prefixes one by one finds.
fn linear_search<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    let matching = routes
        .iter()
        .filter(|r| r.host == host && path.starts_with(&r.path_prefix));
    matching.max_by_key(|r| r.path_prefix.len())
}

proptest! {
    #[test]
    fn matcher_agrees_with_a_linear_search(
        prefixes in proptest::collection::btree_set("(/[ab]{1,2}){0,3}/", 1..12),
        path in "(/[ab]{0,2}){1,4}",
    ) {
        let routes: Vec<Route> = prefixes.iter().map(|p| route(p, "host", p)).collect();
        let matcher = RouteMatcher::new(&table(routes.clone()));
        let found = matcher.find("host", &path).map(|m| m.route.name.clone());
        let expected = linear_search(&routes, "host", &path).map(|r| r.name.clone());
        prop_assert_eq!(found, expected);
    }
}

prop_compose! {
    fn any_table(version: u64)(
        prefixes in prop::collection::btree_map(0..12_u8, 0..3_u32, 0..12),
    ) -> RouteTable {
        let routes = prefixes.into_iter().map(|(place, rank)| Route {
            priority: Some(rank),
            ..route("a", if place < 6 { "host" } else { "HOST2" }, &format!("/{place}/"))
        });
        RouteTable { version, ..table(routes.collect()) }
    }
}

fn sorted(mut table: RouteTable) -> RouteTable {
    table.routes.sort_by_key(Route::place);
    table
}

proptest! {
    #[test]
    fn applied_delta_turns_one_table_into_another(former in any_table(4), latter in any_table(5)) {
        let delta = RouteTableDelta::between(&former, &latter);
        prop_assert!(delta.applies_to(&former) && !delta.applies_to(&latter));
        let mut matcher = RouteMatcher::new(&former);
        matcher.apply(&delta);
        for place in 0..12 {
            for host in ["host", "host2"] {
                let path = format!("/{place}/x");
                let found = matcher.find(host, &path).map(|matched| matched.route.clone());
                let fresh = RouteMatcher::new(&latter);
                let expected = fresh.find(host, &path).map(|matched| matched.route.clone());
                prop_assert_eq!(found, expected);
            }
        }
        prop_assert_eq!(sorted(delta.apply(former)), sorted(latter));
    }
}

#[gtest]
fn unchanged_split_keeps_its_cursor_across_table_updates() {
    let split = |version| {
        let mut split = route("a", "host", "/a/");
        let part = |service: &str, weight| WeightedService {
            service: service.into(),
            weight,
        };
        split.target = RouteTarget::Split(vec![part("archive", 3), part("orders", 1)]);
        let other = route("b", "host", &format!("/b{version}/"));
        RouteTable {
            version,
            ..table(vec![split, other])
        }
    };
    let mut matcher = RouteMatcher::new(&split(1));
    let mut to_orders = 0;
    for version in 2..42 {
        let found = matcher.find("host", "/a/").expect("the route exists");
        to_orders += u32::from(found.next_service() == "orders");
        let delta = if version % 2 == 0 {
            RouteTableDelta::between(&split(version - 1), &split(version))
        } else {
            RouteTableDelta::whole(&split(version))
        };
        matcher.apply(&delta);
    }
    expect_that!(to_orders, eq(10));
}
