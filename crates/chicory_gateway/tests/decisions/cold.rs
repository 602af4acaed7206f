//! Tests which requests are sent to cold servers, without a network.

use std::time::Duration;

use crate::support::{
    START, admit, expect_sent, gateway, in_contact, metadata, owned, ranges, server, table,
};
use chicory_directory::{
    DirectoryUpdate, PermitAnswer, ServerLimitUpdate, ServerRecord, ServerState,
};
use chicory_gateway::{
    Admission, AttemptOutcome, FollowUpStep, Gateway, LimitNotice, NextStep, Recheck,
    RefusalReason, ServerNotices, UpdateOutcome,
};
use chicory_ranges::ServerIncarnation;
use chicory_routes::RouteTableDelta;
use googletest::prelude::*;

const COLD_TIME: Duration = Duration::from_secs(3);
/// Extra time for which a server counts as cold after the stated end.
const MARGIN: Duration = Duration::from_millis(500);

fn id(name: &str) -> ServerIncarnation {
    ServerIncarnation::new(name, 1)
}

fn cold(name: &str, service: &str, cold_for: Duration) -> ServerRecord {
    let mut record = server(name, service, ServerState::Ready);
    record.cold_for = cold_for;
    record
}

/// Applies an update with these servers.
fn put(gateway: &mut Gateway, now: Duration, servers: Vec<ServerRecord>) -> UpdateOutcome {
    let update = DirectoryUpdate {
        version: gateway.directory().version() + 1,
        last_fence: 2,
        servers,
        ..DirectoryUpdate::default()
    };
    gateway.update(now, update)
}

/// Returns a gateway in whose table cold servers of all services have a limit.
fn limited_gateway() -> Gateway {
    let mut gateway = gateway();
    let mut routes = table(2);
    for service in &mut routes.services {
        service.cold_time = Some(COLD_TIME);
        service.cold_rate_millihertz = Some(4_000);
    }
    let update = DirectoryUpdate {
        version: 6,
        last_fence: 2,
        routes: Some(RouteTableDelta::whole(&routes)),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    gateway
}

fn grant(gateway: &mut Gateway, name: &str, granted: u32, denied: u32) {
    let update = ServerLimitUpdate {
        limits: Vec::new(),
        permits: vec![PermitAnswer {
            incarnation: id(name),
            rank: admit(gateway, "/plans/x", None).route().route.rank(),
            granted,
            denied,
            retry_after: Duration::from_millis(400),
        }],
    };
    gateway.record_server_limits(START, update);
}

/// Guards against answers without a limit that lift the limit of a cold server.
#[gtest]
fn request_to_a_cold_owner_waits_for_a_permit_until_the_directory_says_that_it_is_warm() {
    let mut gateway = limited_gateway();
    put(&mut gateway, START, vec![cold("a1", "archive", COLD_TIME)]);
    let unlimited = ServerNotices {
        limit: LimitNotice::Unlimited,
        ..ServerNotices::default()
    };
    gateway.record_limit(START, &id("a1"), START, &unlimited);
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let step = gateway.next_step(START, &mut ticket);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
    let report = gateway.take_limit_report(START).expect("a request");
    expect_that!(report.permits[0].incarnation, eq(&id("a1")));
    expect_that!(report.permits[0].rate_per_s, eq(4.0));
    grant(&mut gateway, "a1", 1, 0);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.has_permit, eq(true));
    // A connection that opens late would bring its request together with those of later permits.
    expect_that!(target.connect_timeout, le(Duration::from_millis(300)));
    put(
        &mut gateway,
        START,
        vec![cold("a1", "archive", Duration::ZERO)],
    );
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.has_permit, eq(false));
}

/// An entry VM counts from when it receives the record, whatever clock the server has.
#[gtest]
fn cold_period_ends_by_itself_and_not_before_the_stated_time() {
    let mut gateway = limited_gateway();
    put(&mut gateway, START, vec![cold("a1", "archive", COLD_TIME)]);
    let is_cold = |gateway: &Gateway, now| {
        let rate_per_s = gateway.directory().cold_rate_per_s(now, &id("a1"));
        rate_per_s.is_some()
    };
    expect_that!(is_cold(&gateway, START + COLD_TIME), eq(true));
    expect_that!(gateway.directory().cold_count(START), eq(1));
    let end = START + COLD_TIME + MARGIN;
    expect_that!(is_cold(&gateway, end), eq(false));
    expect_that!(gateway.directory().cold_count(end), eq(0));
    // An update that is older than the directory counts for nothing.
    let older = DirectoryUpdate {
        version: 2,
        servers: vec![cold("a1", "archive", COLD_TIME)],
        ..DirectoryUpdate::default()
    };
    gateway.update(end, older);
    expect_that!(is_cold(&gateway, end), eq(false));
}

#[gtest]
fn next_incarnation_is_warm_unless_it_says_otherwise() {
    let mut gateway = limited_gateway();
    put(&mut gateway, START, vec![cold("a1", "archive", COLD_TIME)]);
    let mut restarted = server("a1", "archive", ServerState::Ready);
    restarted.incarnation = ServerIncarnation::new("a1", 2);
    let mut owned_again = owned(0, 999, "a1", 3);
    owned_again.owner = restarted.incarnation.clone();
    let update = DirectoryUpdate {
        version: 8,
        last_fence: 3,
        servers: vec![restarted],
        ranges: ranges(vec![owned_again]),
        ..DirectoryUpdate::default()
    };
    gateway.update(START, update);
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.has_permit, eq(false));
}

/// Guards against a request on a connection that was opened before the server turned cold.
#[gtest]
fn request_that_waits_for_a_connection_is_withheld_when_the_server_turns_cold() {
    let mut gateway = limited_gateway();
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(gateway.recheck(START, &target), eq(Recheck::Send));
    put(&mut gateway, START, vec![cold("a1", "archive", COLD_TIME)]);
    expect_that!(gateway.recheck(START, &target), eq(Recheck::Withhold));
}

#[gtest]
fn requests_without_keys_go_to_warm_servers_first() {
    let mut gateway = limited_gateway();
    put(&mut gateway, START, vec![cold("l1", "library", COLD_TIME)]);
    for _ in 0..50 {
        let mut ticket = admit(&mut gateway, "/plans/x", None);
        let target = expect_sent(gateway.next_step(START, &mut ticket));
        expect_that!(target.incarnation, eq(&id("l2")));
    }
    expect_that!(gateway.take_limit_report(START), none());
}

/// A cold server with a free permit is used before a request is refused.
#[gtest]
fn request_that_a_full_server_turned_away_goes_to_a_cold_one() {
    let mut gateway = limited_gateway();
    put(&mut gateway, START, vec![cold("l1", "library", COLD_TIME)]);
    let mut ticket = admit(&mut gateway, "/plans/x", None);
    expect_sent(gateway.next_step(START, &mut ticket));
    gateway.record_attempt_end(START, &mut ticket, AttemptOutcome::Shed);
    let step = gateway.next_step(START, &mut ticket);
    expect_that!(step, matches_pattern!(NextStep::Wait(_)));
    gateway.take_limit_report(START);
    grant(&mut gateway, "l1", 1, 0);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.incarnation, eq(&id("l1")));
    expect_that!(target.has_permit, eq(true));
}

/// All servers of the service are cold and their rate is used up.
#[gtest]
fn request_is_refused_with_the_time_of_the_next_permit() {
    let mut gateway = limited_gateway();
    put(&mut gateway, START, vec![cold("a1", "archive", COLD_TIME)]);
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    gateway.next_step(START, &mut ticket);
    gateway.take_limit_report(START);
    grant(&mut gateway, "a1", 0, 1);
    let NextStep::Refuse(refusal) = gateway.next_step(START, &mut ticket) else {
        panic!("not refused");
    };
    expect_that!(refusal.reason, eq(RefusalReason::ServerLimited));
    expect_that!(refusal.may_have_run, eq(false));
    // The caller has a second, of which a third may pass before it comes back.
    expect_that!(refusal.retry_after, some(le(Duration::from_millis(340))));
    let counts = gateway.take_cold_counts();
    expect_that!((counts.sent, counts.denied), eq((0, 1)));
    let limit = gateway.limit_for(START, &ticket).expect("a limit");
    expect_that!((limit.rate_per_s, limit.is_cold), eq((4.0, true)));
}

/// Guards against an attempt that is abandoned for a server that takes few requests.
#[gtest]
fn no_cold_server_follows_an_attempt_that_lasts_too_long() {
    let mut gateway = limited_gateway();
    let mut ticket = admit(&mut gateway, "/plans/x", None);
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    let cold_servers = ["l1", "l2"].map(|name| cold(name, "library", COLD_TIME));
    put(&mut gateway, START, cold_servers.into());
    let step = gateway.follow_up_step(target.attempt_deadline, &ticket, &target, &[]);
    expect_that!(step, eq(&FollowUpStep::Continue));
}

/// Nobody issues permits, so the entry VM uses a share of its own.
#[gtest]
fn share_of_half_of_the_rate_is_used_without_a_leader() {
    let mut gateway = limited_gateway();
    put(
        &mut gateway,
        START,
        vec![cold("a1", "archive", COLD_TIME * 100)],
    );
    let mut sent = 0;
    // The leader was last heard of at the start.
    let mut now = START + Duration::from_secs(2);
    for _ in 0..2_400 {
        now += Duration::from_millis(25);
        let Admission::Accepted(mut ticket) =
            gateway.admit(now, "host", "/reads/x", &metadata(Some(1)))
        else {
            panic!("refused at arrival");
        };
        match gateway.next_step(now, &mut ticket) {
            NextStep::Send(_) => sent += 1,
            NextStep::Refuse(refusal) => {
                expect_that!(refusal.reason, eq(RefusalReason::ServerLimited));
            }
            NextStep::Wait(_) => panic!("waits without a leader"),
        }
    }
    // Two requests a second for all entry VMs, of which eight are assumed until fewer were reported
    // for long: 15 in a minute.
    expect_that!(sent, all!(ge(14), le(16)));
}

/// Services without a cold limit are served as before.
#[gtest]
fn cold_server_of_a_service_without_a_cold_limit_needs_no_permit() {
    let mut gateway = gateway();
    put(&mut gateway, START, vec![cold("a1", "archive", COLD_TIME)]);
    gateway.record_status(START, &in_contact());
    let mut ticket = admit(&mut gateway, "/reads/x", Some(1));
    let target = expect_sent(gateway.next_step(START, &mut ticket));
    expect_that!(target.has_permit, eq(false));
    expect_that!(gateway.directory().cold_count(START), eq(0));
}
