//! Tests of the settings of the entry process.

use chicory_entry::{EntrySettings, command};
use googletest::prelude::*;

#[gtest]
fn every_fault_is_reported_with_flag_value_and_what_is_allowed() {
    let matches = command().get_matches_from([
        "chicory-entry",
        "--cluster",
        "c 1",
        "--listen",
        "here",
        "--control",
        "vm-1",
        "--log-format",
        "xml",
        "--max-head-bytes",
        "12",
        "--retry-percent",
        "many",
    ]);
    let faults = EntrySettings::read(&matches).expect_err("faults").faults;
    let flags: Vec<&str> = faults.iter().map(|fault| fault.flag.as_str()).collect();
    for flag in [
        "cluster",
        "vm",
        "zone",
        "listen",
        "announce-listen",
        "admin-listen",
        "peer-listen",
        "control",
        "ca",
        "cert",
        "key",
        "log-format",
        "max-head-bytes",
        "retry-percent",
    ] {
        expect_that!(flags, contains(eq(&flag)));
    }
    let head = faults.iter().find(|fault| fault.flag == "max-head-bytes");
    let text = head.expect("a fault").to_string();
    expect_that!(text, contains_substring("12"));
    expect_that!(text, contains_substring("1024"));
}

#[gtest]
fn help_states_units_and_defaults() {
    let help = command().render_long_help().to_string();
    expect_that!(help, contains_substring("[default: 16384]"));
    expect_that!(help, contains_substring("CHICORY_PEER_LISTEN"));
    expect_that!(help, not(contains_substring("fault-file")));
}
