//! Parsing and formatting of the table as CSV.

use std::time::Duration;

use chicory_table::{CustodyLease, TableContent, parse_csv, to_csv};
use googletest::prelude::*;

const COLUMN_NAMES: &str = "service,server,weight,max_in_flight,max_connections,queue_limit,\
    rate_limit_per_s,keyed,idempotent,deadline_ms,custody_lease_ms,zones";
const ARCHIVE: &str = "archive,*,100,3,100,64,0,true,true,2000,10000,bodega-sur;taller-norte";

fn parse(lines: &[&str]) -> std::result::Result<TableContent, Vec<String>> {
    let text = [&[COLUMN_NAMES], lines].concat().join("\n");
    let parsed = parse_csv(&text);
    parsed.map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

#[gtest]
fn rows_of_services_and_of_servers_are_parsed() {
    let table = parse(&[ARCHIVE, "archive,archive-07,0,,50,,,,,,,"]).expect("no faults");
    let policy = &table.services["archive"];
    expect_that!(policy.keyed, eq(true));
    expect_that!(policy.deadline, eq(Duration::from_secs(2)));
    let lease = CustodyLease::Limited(Duration::from_secs(10));
    expect_that!(policy.custody_lease, eq(lease));
    expect_that!(policy.zones, len(eq(2)));
    let values = table.overrides["archive"]["archive-07"];
    expect_that!(values.weight, some(eq(0)));
    expect_that!(values.max_in_flight, none());
    expect_that!(values.max_connections, some(eq(50)));
}

#[gtest]
fn a_formatted_table_is_parsed_back_unchanged() {
    let orders = "orders,*,100,0,0,64,20,false,false,2000,unlimited,bodega-sur";
    let lines = [ARCHIVE, "archive,archive-07,0,,50,,,,,,,", orders];
    let table = parse(&lines).expect("a valid table");
    expect_that!(parse_csv(&to_csv(&table)), ok(eq(&table)));
}

#[gtest]
fn every_invalid_cell_is_reported_with_line_and_column() {
    let bad = "orders,*,heavy,0,0,64,0,no,false,2000,unlimited,a;;b";
    let faults = parse(&[ARCHIVE, bad]).expect_err("bad cells");
    expect_that!(
        faults,
        elements_are![
            starts_with("line 3, column weight: got \"heavy\""),
            starts_with("line 3, column keyed: got \"no\""),
            starts_with("line 3, column zones: got \"a;;b\"")
        ]
    );
}

#[gtest]
fn the_row_of_a_server_must_not_set_columns_of_the_service() {
    let faults = parse(&[ARCHIVE, "archive,archive-07,0,,,,,true,,,,"]);
    let expected = starts_with("line 3, column keyed: got \"true\", allowed: nothing");
    expect_that!(faults.expect_err("a bad cell"), elements_are![expected]);
}

#[gtest]
fn a_line_with_missing_cells_is_reported() {
    let faults = parse(&[ARCHIVE, "orders,*,100"]).expect_err("a short line");
    expect_that!(faults, elements_are![eq("line 3: 3 cells instead of 12")]);
}

#[gtest]
fn a_row_that_is_listed_twice_is_reported() {
    let faults = parse(&[ARCHIVE, ARCHIVE]).expect_err("a second row");
    expect_that!(faults, elements_are![contains_substring("a second time")]);
}

#[gtest]
fn other_columns_are_rejected() {
    let faults = parse_csv("service,server,wait\n").expect_err("other columns");
    expect_that!(faults, len(eq(1)));
    expect_that!(
        faults[0].to_string(),
        starts_with("line 1: the columns must be")
    );
}

#[gtest]
fn valid_rows_that_form_an_invalid_table_are_rejected() {
    let faults = parse(&["archive,archive-07,0,,,,,,,,,"]).expect_err("no service");
    expect_that!(
        faults,
        elements_are![contains_substring("no row of its own")]
    );
}

#[gtest]
fn comments_and_empty_lines_are_skipped() {
    let table = parse(&["# the studio's own archive", "", ARCHIVE]).expect("a valid table");
    expect_that!(table.services, len(eq(1)));
}

#[gtest]
fn the_example_tables_are_valid() {
    for text in [
        include_str!("../../../examples/heredia.csv"),
        include_str!("../../../examples/mtkvari.csv"),
    ] {
        expect_that!(
            parse_csv(text).map(|table| table.services.len()),
            ok(eq(&3))
        );
    }
}
