//! Plans of transfers for different loads and owners.

use chicory_ranges::{KeyLoad, KeyRange, PlannedServer, RangePlanner, ServerIncarnation, Transfer};
use googletest::prelude::*;
use std::time::Duration;

fn incarnation(index: usize) -> ServerIncarnation {
    ServerIncarnation::new(format!("server-{index}"), 1)
}

fn servers(capacities: &[f64]) -> Vec<PlannedServer> {
    let servers = capacities.iter().enumerate();
    servers
        .map(|(index, capacity)| PlannedServer {
            incarnation: incarnation(index),
            capacity: *capacity,
        })
        .collect()
}

fn plan(
    capacities: &[f64],
    load: &[(u16, u32)],
    owners: &[(KeyRange, ServerIncarnation)],
) -> Vec<Transfer> {
    let mut key_load = KeyLoad::new(Duration::ZERO);
    for (key, request_count) in load {
        key_load.add(*key, *request_count);
    }
    let planner = RangePlanner::new("archive".into(), servers(capacities), key_load.weights());
    planner.plan(owners)
}

fn halves() -> Vec<(KeyRange, ServerIncarnation)> {
    vec![
        (KeyRange::new(0, 32_767), incarnation(0)),
        (KeyRange::new(32_768, 65_535), incarnation(1)),
    ]
}

#[gtest]
fn first_keys_are_divided_by_capacity() {
    let transfers = plan(&[1.0, 3.0], &[], &[]);
    let counts: Vec<u32> = transfers.iter().map(|t| t.range.key_count()).collect();
    expect_that!(counts, eq(&vec![16_384, 49_152]));
}

#[gtest]
fn even_load_moves_nothing() {
    let load: Vec<(u16, u32)> = (0..64).map(|i| (i * 1024, 10)).collect();
    expect_that!(plan(&[3.0, 3.0], &load, &halves()).len(), eq(0));
}

#[gtest]
fn keys_of_a_departed_server_are_split_among_others() {
    let mut owners = halves();
    owners[1].1 = ServerIncarnation::new("gone", 1);
    let transfers = plan(&[3.0, 3.0, 3.0, 3.0], &[], &owners);
    let to: std::collections::BTreeSet<_> = transfers.iter().map(|t| t.to.clone()).collect();
    let moved: u32 = transfers.iter().map(|t| t.range.key_count()).sum();
    expect_that!(moved, eq(32_768));
    expect_that!(to.len(), ge(2));
}

#[gtest]
fn server_without_keys_gets_some() {
    let transfers = plan(&[3.0, 3.0, 3.0], &[], &halves());
    expect_that!(transfers.iter().any(|t| t.to == incarnation(2)), eq(true));
}
