//! Tests of what a run records to explain a violation.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use soak::{MachineUsage, ProcessUsage, UnservedRequests};

#[gtest]
fn usage_is_read_from_the_line_of_a_program_with_spaces_in_its_name() {
    let stat = "4711 (a (odd) name) D 1 2 3 0 -1 4194304 10 0 0 0 250 50 0 0 20 0 9 0 100 8 9";
    let usage = ProcessUsage {
        state: 'D',
        cpu_time: Duration::from_secs(3),
    };
    expect_that!(ProcessUsage::from_stat(stat, 100), some(eq(usage)));
}

#[gtest]
fn malformed_usage_is_not_read() {
    expect_that!(ProcessUsage::from_stat("", 100), none());
    expect_that!(ProcessUsage::from_stat("4711 (name) S 1 2", 100), none());
    let stat = "4711 (name) S 1 2 3 0 -1 0 10 0 0 0 many 50 0 0";
    expect_that!(ProcessUsage::from_stat(stat, 100), none());
}

#[gtest]
fn processor_time_counts_from_an_earlier_reading_of_the_same_process() {
    let usage = |state, cpu_ms| ProcessUsage {
        state,
        cpu_time: Duration::from_millis(cpu_ms),
    };
    let later = usage('R', 700);
    expect_that!(later.since(Some(usage('S', 200))), eq(usage('R', 500)));
    expect_that!(later.since(None), eq(later));
    // The process was started again since then.
    expect_that!(later.since(Some(usage('S', 900))), eq(later));
}

#[gtest]
fn unserved_requests_are_counted_by_entry_route_outcome_and_duration() {
    let [one, other] = [[127, 0, 0, 1], [127, 0, 0, 2]].map(|ip| SocketAddr::from((ip, 7600)));
    let mut unserved = UnservedRequests::default();
    expect_that!(
        unserved.to_string(),
        eq("no request ended without being served")
    );
    unserved.record(
        one,
        "/orders/7?x=1",
        "TimedOut",
        Duration::from_millis(1501),
    );
    unserved.record(
        one,
        "/orders/8?x=1",
        "TimedOut",
        Duration::from_millis(1999),
    );
    unserved.record(other, "/reads/9", "503", Duration::from_millis(2));
    expect_that!(
        unserved.to_string(),
        eq(
            "2 orders at 127.0.0.1:7600 ended with TimedOut after 1500 ms or more; \
            1 reads at 127.0.0.2:7600 ended with 503 after 0 ms or more"
        )
    );
}

#[gtest]
fn times_of_the_machine_are_read_from_the_first_lines() {
    let stat = "cpu  1 2 3 4 5 6 7 250 0 0\ncpu0 1 2 3 4 5 6 7 99 0 0\n";
    let stolen = MachineUsage::stolen_from_stat(stat, 100);
    expect_that!(stolen, some(eq(Duration::from_millis(2500))));
    let pressure = "some avg10=0.00 avg60=1.50 avg300=0.10 total=87363501\n\
                    full avg10=0.00 avg60=0.00 avg300=0.00 total=34274608\n";
    let waited = MachineUsage::waited_from_pressure(pressure);
    expect_that!(waited, some(eq(Duration::from_micros(87_363_501))));
}

#[gtest]
fn malformed_times_of_the_machine_are_not_read() {
    for stat in [
        "",
        "cpu0 1 2 3 4 5 6 7 8",
        "cpu  1 2 3",
        "cpu  1 2 3 4 5 6 7 x",
    ] {
        expect_that!(MachineUsage::stolen_from_stat(stat, 100), none());
    }
    for pressure in ["", "full total=7", "some avg10=0.00", "some total=x"] {
        expect_that!(MachineUsage::waited_from_pressure(pressure), none());
    }
}

#[gtest]
fn machine_usage_is_the_difference_of_two_readings() {
    let usage = |stolen_ms, disk_ms| MachineUsage {
        stolen: Duration::from_millis(stolen_ms),
        waited_for_disk: Duration::from_millis(disk_ms),
        ..MachineUsage::default()
    };
    expect_that!(usage(70, 900).since(usage(50, 400)), eq(usage(20, 500)));
}
