//! Tests that the checks of evacuations and cold servers detect violations and report nothing else.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use soak::{ColdGuarantees, Disturbances, EvacuationGuarantees};

fn entry() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 80))
}

/// Returns guarantees with a server in each of two zones, the first of which is evacuated, and a
/// request. The evacuation was acknowledged this long ago.
fn evacuated(ago: Duration) -> EvacuationGuarantees {
    let mut evacuations = EvacuationGuarantees::default();
    evacuations.record_server("s-0", "zone-0");
    evacuations.record_server("s-1", "zone-1");
    evacuations.record_request("a-1", entry());
    let acknowledged_at = Instant::now().checked_sub(ago).expect("a moment");
    evacuations.record_begin("zone-0", acknowledged_at);
    // The order was sent again.
    evacuations.record_begin("zone-0", Instant::now());
    evacuations
}

#[gtest]
fn requests_to_an_evacuated_zone_after_its_bound_are_detected() {
    let undisturbed = Disturbances::default();
    let mut late = evacuated(Duration::from_millis(5100));
    let violation = late.record_arrival("s-0", "a-1", &undisturbed);
    expect_that!(violation, some(contains_substring("zone-0")));
    expect_that!(late.record_arrival("s-1", "a-1", &undisturbed), none());
    let mut early = evacuated(Duration::from_millis(4500));
    expect_that!(early.record_arrival("s-0", "a-1", &undisturbed), none());
}

#[gtest]
fn requests_are_allowed_once_an_evacuation_is_revoked() {
    let mut evacuations = evacuated(Duration::from_secs(9));
    evacuations.record_finish("zone-0");
    let undisturbed = Disturbances::default();
    expect_that!(evacuations.arrivals("zone-0"), eq(0));
    let violation = evacuations.record_arrival("s-0", "a-1", &undisturbed);
    expect_that!(violation, none());
    expect_that!(evacuations.arrivals("zone-0"), eq(1));
    expect_that!(evacuations.arrivals("zone-1"), eq(0));
}

#[gtest]
fn disturbances_extend_the_bound_of_an_evacuation() {
    let disturbed = Disturbances::default();
    disturbed.record(Duration::ZERO);
    let of_entry = Disturbances::default();
    of_entry.record_for_entry(entry(), Duration::ZERO);
    let of_other = Disturbances::default();
    of_other.record_for_entry(SocketAddr::from(([127, 0, 0, 2], 80)), Duration::ZERO);
    for (disturbances, is_excused) in [(disturbed, true), (of_entry, true), (of_other, false)] {
        let mut evacuations = evacuated(Duration::from_secs(9));
        let violation = evacuations.record_arrival("s-0", "a-1", &disturbances);
        expect_that!(violation.is_none(), eq(is_excused));
    }
}

#[gtest]
fn cold_servers_that_get_too_much_are_detected_unless_requests_were_held_back() {
    let undisturbed = Disturbances::default();
    let mut cold = ColdGuarantees::default();
    let violation = cold.check_overload("s-0", 15, &undisturbed);
    expect_that!(violation, some(contains_substring("15")));
    // Neither lost control VMs nor lost entry VMs excuse it.
    undisturbed.record(Duration::ZERO);
    undisturbed.record_for_entry(entry(), Duration::ZERO);
    let violation = cold.check_overload("s-0", 15, &undisturbed);
    expect_that!(violation, some(anything()));
    cold.record_hindrance("s-0", Duration::ZERO);
    expect_that!(cold.check_overload("s-0", 15, &undisturbed), none());
    expect_that!(
        cold.check_overload("s-1", 15, &undisturbed),
        some(anything())
    );
    undisturbed.record_cut([entry()].into(), Duration::ZERO);
    expect_that!(cold.check_overload("s-1", 15, &undisturbed), none());
}
