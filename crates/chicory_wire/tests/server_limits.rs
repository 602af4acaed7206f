//! Messages about limits, rests and leaving servers.

use std::time::Duration;

use chicory_directory::{
    ControlMessage, EntryMessage, EntryReport, PermitAnswer, PermitRequest, ReportedLimit,
    ServerLimitUpdate, ServerRest,
};
use chicory_ranges::ServerIncarnation;
use chicory_wire::proto::site;
use googletest::prelude::*;

fn incarnation() -> ServerIncarnation {
    ServerIncarnation::new("server-1", 7)
}

fn limit(rate_per_s: Option<f64>) -> ReportedLimit {
    ReportedLimit {
        incarnation: incarnation(),
        rate_per_s,
        sent_age: Duration::from_millis(300),
        received_age: Duration::from_millis(200),
    }
}

fn report() -> EntryReport {
    EntryReport {
        limits: vec![limit(Some(6.2)), limit(None)],
        permits: vec![PermitRequest {
            incarnation: incarnation(),
            rank: 2,
            count: 3,
            rate_per_s: 6.2,
        }],
        rests: vec![ServerRest {
            incarnation: incarnation(),
            left: Duration::from_millis(2500),
        }],
        leaving: vec![incarnation()],
        accepts_server_limits: true,
        can_relay: true,
        ..EntryReport::default()
    }
}

#[gtest]
fn report_and_update_arrive_as_sent() {
    let message = EntryMessage::Report(report());
    let received = EntryMessage::try_from(site::EntryMessage::from(message.clone()));
    expect_that!(received, ok(eq(&message)));
    let message = ControlMessage::ServerLimits(ServerLimitUpdate {
        limits: vec![limit(Some(6.2)), limit(None)],
        permits: vec![PermitAnswer {
            incarnation: incarnation(),
            rank: 2,
            granted: 1,
            denied: 2,
            retry_after: Duration::from_millis(160),
        }],
    });
    let received = ControlMessage::try_from(site::ControlMessage::from(message.clone()));
    expect_that!(received, ok(eq(&message)));
}

#[gtest]
fn rate_that_no_limit_can_have_is_rejected() {
    for rate_per_s in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e-300, 1e300] {
        let mut message = site::EntryReport::from(report());
        message.limits[0].rate_per_s = Some(rate_per_s);
        expect_that!(EntryReport::try_from(message), err(anything()));
        let mut message = site::EntryReport::from(report());
        message.permits[0].rate_per_s = rate_per_s;
        expect_that!(EntryReport::try_from(message), err(anything()));
    }
}

#[gtest]
fn report_of_an_earlier_release_asks_for_no_limits() {
    let received = EntryReport::try_from(site::EntryReport::default());
    expect_that!(received, ok(eq(&EntryReport::default())));
}
