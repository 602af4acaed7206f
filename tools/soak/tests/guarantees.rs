//! Tests that the checks of the soak detect violated guarantees and report nothing else.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use platform_stand_ins::{
    CallerAnswer, CallerRequest, CallerRequestKind, HeldGrant, Operator, ReadTable, SeenRequest,
    ServerBehaviour, answer_body,
};
use soak::{
    Disturbances, KeyGuarantees, NoticeGuarantees, Plan, RequestGuarantees, TableGuarantees,
};

fn grant(first: u16, last: u16, fence: u64, hold_s: u64) -> HeldGrant {
    HeldGrant {
        first,
        last,
        fence,
        expires_at: Instant::now() + Duration::from_secs(hold_s),
    }
}

#[gtest]
fn two_owners_of_a_key_are_detected() {
    let mut keys = KeyGuarantees::default();
    expect_that!(keys.record_grant("a", grant(0, 99, 1, 10)), none());
    expect_that!(keys.record_grant("a", grant(0, 99, 1, 10)), none());
    expect_that!(keys.record_grant("b", grant(100, 199, 2, 10)), none());
    expect_that!(
        keys.record_grant("b", grant(99, 99, 3, 10)),
        some(anything())
    );
}

#[gtest]
fn keys_may_move_once_released_or_expired() {
    let mut keys = KeyGuarantees::default();
    expect_that!(keys.record_grant("a", grant(0, 99, 1, 10)), none());
    keys.record_release("a", 50, 99);
    expect_that!(keys.record_grant("b", grant(50, 99, 2, 10)), none());
    keys.record_end("a");
    expect_that!(keys.record_grant("b", grant(0, 49, 3, 0)), none());
    expect_that!(keys.record_grant("c", grant(0, 49, 4, 10)), none());
}

#[gtest]
fn fence_that_is_not_greater_is_detected() {
    let mut keys = KeyGuarantees::default();
    expect_that!(keys.record_grant("a", grant(0, 9, 5, 10)), none());
    keys.record_release("a", 0, 9);
    expect_that!(keys.record_grant("b", grant(0, 9, 5, 10)), some(anything()));
}

fn order(id: &str) -> CallerRequest {
    CallerRequest {
        attempt_id: id.into(),
        host: "host".into(),
        path: "/orders/1".into(),
        kind: CallerRequestKind::Order,
        key: None,
        time_left: Duration::from_secs(1),
    }
}

fn seen(id: &str) -> SeenRequest {
    SeenRequest {
        attempt_id: id.into(),
        method: "POST".into(),
        path: "/orders/1".into(),
        key: None,
        body_bytes: id.len(),
    }
}

fn complete(status: u16, is_genuine: bool) -> CallerAnswer {
    CallerAnswer::Complete {
        status,
        is_genuine,
        has_retry_after: true,
        body: answer_body("o1", 10),
    }
}

fn entry() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 80))
}

/// Returns the number of violations when an order runs on the servers of `runs` and gets `answer`
/// before or after.
fn violations_of(runs: &[(&str, &str)], answer: &CallerAnswer, is_answered_first: bool) -> usize {
    let disturbances = Disturbances::default();
    let mut requests = RequestGuarantees::default();
    let request = order("o1");
    requests.record_request(&request, &["ledger"]);
    let mut violations = Vec::new();
    if is_answered_first {
        violations.extend(requests.record_answer(&request, entry(), false, answer, &disturbances));
    }
    for (server, service) in runs {
        violations.extend(requests.record_run_start(server, service, &seen("o1"), &disturbances));
    }
    if !is_answered_first {
        violations.extend(requests.record_answer(&request, entry(), false, answer, &disturbances));
    }
    violations.len()
}

#[gtest]
fn orders_that_run_twice_or_after_a_refusal_are_detected() {
    let one = [("a", "ledger")];
    let two = [("a", "ledger"), ("b", "ledger")];
    expect_that!(violations_of(&one, &complete(200, true), false), eq(0));
    expect_that!(violations_of(&[], &complete(503, false), false), eq(0));
    expect_that!(violations_of(&one, &complete(502, false), false), eq(0));
    expect_that!(violations_of(&two, &complete(200, true), false), ge(1));
    expect_that!(violations_of(&one, &complete(503, false), false), ge(1));
    expect_that!(violations_of(&one, &complete(429, false), true), ge(1));
    expect_that!(violations_of(&one, &complete(200, false), false), ge(1));
    expect_that!(
        violations_of(&[("a", "archive")], &complete(200, true), false),
        ge(1)
    );
}

#[gtest]
fn requests_that_nobody_sent_or_that_were_changed_are_detected() {
    let disturbances = Disturbances::default();
    let mut requests = RequestGuarantees::default();
    expect_that!(
        requests.record_run_start("a", "ledger", &seen("o2"), &disturbances),
        not(is_empty())
    );
    requests.record_request(&order("o3"), &["ledger"]);
    let mut changed = seen("o3");
    changed.path = "/orders/2".into();
    expect_that!(
        requests.record_run_start("a", "ledger", &changed, &disturbances),
        not(is_empty())
    );
}

#[gtest]
fn answer_cut_by_a_planned_stop_is_detected_unless_something_was_disturbed() {
    for is_disturbed in [false, true] {
        let disturbances = Disturbances::default();
        let mut requests = RequestGuarantees::default();
        let request = order("o1");
        requests.record_request(&request, &["ledger"]);
        expect_that!(
            requests.record_run_start("a", "ledger", &seen("o1"), &disturbances),
            is_empty()
        );
        if is_disturbed {
            disturbances.record(Duration::ZERO);
        }
        let violations = requests.record_answer(
            &request,
            entry(),
            true,
            &CallerAnswer::Broken,
            &disturbances,
        );
        expect_that!(violations.is_empty(), eq(is_disturbed));
    }
}

fn table(version: u64, service: &str) -> serde_json::Value {
    let route = (
        "a".into(),
        "/a/".into(),
        CallerRequestKind::Read,
        service.into(),
    );
    Operator::table(version, "host", &[route], &[], &["one", "two"])
}

fn read(version: u64, service: &str) -> ReadTable {
    ReadTable {
        version,
        content: table(version, service),
    }
}

#[gtest]
fn tables_that_go_back_or_differ_are_detected() {
    let mut tables = TableGuarantees::default();
    tables.record_table(1, &table(1, "one"), true);
    tables.record_table(2, &table(2, "one"), true);
    expect_that!(tables.record_put_answer(1, Some(200)), none());
    expect_that!(tables.record_put_answer(2, Some(200)), none());
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    expect_that!(tables.check_read(now, &read(1, "one")), is_empty());
    expect_that!(tables.check_read(later, &read(2, "one")), is_empty());
    expect_that!(tables.check_read(later, &read(1, "one")), not(is_empty()));
    expect_that!(tables.check_read(later, &read(2, "two")), not(is_empty()));
    expect_that!(tables.check_read(later, &read(7, "one")), not(is_empty()));
}

#[gtest]
fn wrong_acknowledgements_and_refusals_are_detected() {
    let mut tables = TableGuarantees::default();
    tables.record_table(1, &table(1, "nowhere"), false);
    tables.record_table(2, &table(2, "one"), true);
    expect_that!(tables.record_put_answer(1, Some(400)), none());
    expect_that!(tables.record_put_answer(2, Some(503)), none());
    expect_that!(tables.record_put_answer(2, None), none());
    expect_that!(tables.record_put_answer(1, Some(200)), some(anything()));
    expect_that!(tables.record_put_answer(2, Some(400)), some(anything()));
}

#[gtest]
fn entry_vm_that_goes_back_or_is_late_is_detected() {
    let disturbances = Disturbances::default();
    let mut tables = TableGuarantees::default();
    tables.record_table(1, &table(1, "one"), true);
    expect_that!(tables.record_put_answer(1, Some(200)), none());
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut marker_violations = |at, is_known| {
        tables
            .record_marker_answer(entry(), 1, at, is_known, &disturbances)
            .len()
    };
    expect_that!(marker_violations(now, false), eq(0));
    expect_that!(marker_violations(later, false), eq(1));
    expect_that!(marker_violations(now, true), eq(0));
    // The entry VM had applied the table before, and is late too: two violations.
    expect_that!(marker_violations(later, false), eq(2));
}

#[gtest]
fn plans_follow_from_their_seeds() {
    let plan = |seed| Plan::from_seed(seed, 2, 4, 12).to_string();
    expect_that!(plan(1), eq(&plan(1)));
    expect_that!(plan(1), not(eq(&plan(2))));
}

/// Plays one request from its caller to a server and back. Returns the violations.
fn exchange(
    notices: &mut NoticeGuarantees,
    id: &str,
    behaviour: ServerBehaviour,
    disturbances: &Disturbances,
) -> Vec<String> {
    let entry = SocketAddr::from(([127, 0, 0, 1], 1));
    notices.record_request(id, entry);
    let violations = notices.record_arrival("s", id, disturbances);
    notices.record_server_answer("s", id, behaviour);
    notices.record_answer(id);
    violations
}

#[gtest]
fn requests_in_a_rest_are_detected() {
    let disturbances = Disturbances::default();
    let mut notices = NoticeGuarantees::default();
    let resting = ServerBehaviour::Resting(Duration::from_secs(5));
    let found = exchange(&mut notices, "r0", resting, &disturbances);
    expect_that!(found, is_empty());
    std::thread::sleep(Duration::from_millis(550));
    let mut found = Vec::new();
    for id in ["r1", "r2", "r3"] {
        expect_that!(found, is_empty(), "{id}");
        found = exchange(&mut notices, id, ServerBehaviour::Normal, &disturbances);
    }
    expect_that!(found, not(is_empty()));
}

#[gtest]
fn requests_beyond_a_limit_are_detected_once_it_binds() {
    let disturbances = Disturbances::default();
    let mut notices = NoticeGuarantees::default();
    let limited = ServerBehaviour::Limited(1.0);
    let mut send = |index: usize| {
        let id = format!("r{index}");
        exchange(&mut notices, &id, limited, &disturbances)
    };
    for index in 0..30 {
        expect_that!(send(index), is_empty());
    }
    std::thread::sleep(Duration::from_millis(3050));
    // Eleven requests are allowed.
    for index in 30..41 {
        expect_that!(send(index), is_empty(), "{index}");
    }
    expect_that!(send(41), not(is_empty()));
}

#[gtest]
fn requests_to_a_server_that_says_that_it_leaves_are_detected() {
    let disturbances = Disturbances::default();
    let mut notices = NoticeGuarantees::default();
    let leaving = ServerBehaviour::Leaving;
    expect_that!(
        exchange(&mut notices, "r1", leaving, &disturbances),
        is_empty()
    );
    expect_that!(
        exchange(&mut notices, "r2", leaving, &disturbances),
        is_empty()
    );
    std::thread::sleep(Duration::from_millis(2050));
    let found = exchange(&mut notices, "r3", leaving, &disturbances);
    expect_that!(found, not(is_empty()));
}
