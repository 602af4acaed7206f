//! Tests of reading and checking settings.

use chicory_settings::{SettingsReader, setting};
use clap::{ArgMatches, Command};
use googletest::prelude::*;

fn parse_arguments(args: &[&str]) -> ArgMatches {
    Command::new("test")
        .arg(setting("vm", "NAME", ""))
        .arg(setting("peer-listen", "ADDRESS", ""))
        .arg(setting("control", "LIST", ""))
        .arg(setting("limit", "COUNT", "").default_value("10"))
        .get_matches_from(std::iter::once(&"test").chain(args))
}

#[gtest]
fn every_fault_is_reported_at_once() {
    let matches = parse_arguments(&[
        "--peer-listen",
        "nowhere",
        "--control",
        "a=1",
        "--limit",
        "11",
    ]);
    let mut reader = SettingsReader::new(&matches);
    reader.name("vm");
    reader.address("peer-listen");
    reader.addresses_by_vm("control");
    reader.count("limit", 1..=10);
    let faults = reader.finish(()).unwrap_err().faults;
    let flags: Vec<_> = faults.iter().map(|fault| fault.flag.as_str()).collect();
    expect_that!(
        flags,
        elements_are![eq(&"vm"), eq(&"peer-listen"), eq(&"control"), eq(&"limit")]
    );
    expect_that!(faults[3].to_string(), contains_substring("got \"11\""));
}

#[gtest]
fn valid_settings_are_returned() {
    let matches = parse_arguments(&[
        "--vm",
        "vm-1",
        "--peer-listen",
        "127.0.0.1:1",
        "--control",
        "a=127.0.0.1:2,b=127.0.0.1:3",
    ]);
    let mut reader = SettingsReader::new(&matches);
    let vm = reader.name("vm");
    let control = reader.addresses_by_vm("control");
    let settings = reader.finish((vm, control.len())).unwrap();
    expect_that!(settings, eq(&("vm-1".to_owned(), 2)));
}
