//! The checks of the soak see what breaks a promise, and nothing else.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use platform_stand_ins::{
    CallerAnswer, CallerRequest, CallerRequestKind, HeldGrant, Operator, ReadTable, SeenRequest,
    answer_body,
};
use soak::{Calm, KeyPromises, Plan, RequestPromises, TablePromises};

fn grant(first: u16, last: u16, fence: u64, hold_s: u64) -> HeldGrant {
    HeldGrant {
        first,
        last,
        fence,
        expires_at: Instant::now() + Duration::from_secs(hold_s),
    }
}

#[gtest]
fn two_owners_of_a_key_are_seen() {
    let mut keys = KeyPromises::default();
    expect_that!(keys.granted("a", grant(0, 99, 1, 10)), none());
    expect_that!(keys.granted("a", grant(0, 99, 1, 10)), none());
    expect_that!(keys.granted("b", grant(100, 199, 2, 10)), none());
    expect_that!(keys.granted("b", grant(99, 99, 3, 10)), some(anything()));
}

#[gtest]
fn keys_may_move_once_they_are_given_up_or_have_run_out() {
    let mut keys = KeyPromises::default();
    expect_that!(keys.granted("a", grant(0, 99, 1, 10)), none());
    keys.released("a", 50, 99);
    expect_that!(keys.granted("b", grant(50, 99, 2, 10)), none());
    keys.ended("a");
    expect_that!(keys.granted("b", grant(0, 49, 3, 0)), none());
    expect_that!(keys.granted("c", grant(0, 49, 4, 10)), none());
}

#[gtest]
fn fence_that_is_not_greater_is_seen() {
    let mut keys = KeyPromises::default();
    expect_that!(keys.granted("a", grant(0, 9, 5, 10)), none());
    keys.released("a", 0, 9);
    expect_that!(keys.granted("b", grant(0, 9, 5, 10)), some(anything()));
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

fn whole(status: u16, is_genuine: bool) -> CallerAnswer {
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

/// What is seen when an order runs on `servers` and gets an answer before or after.
fn broken_by(runs_on: &[(&str, &str)], answer: &CallerAnswer, is_answered_first: bool) -> usize {
    let calm = Calm::default();
    let mut requests = RequestPromises::default();
    let asked = order("o1");
    requests.asks(&asked, &["ledger"]);
    let mut broken = Vec::new();
    if is_answered_first {
        broken.extend(requests.answered(&asked, entry(), false, answer, &calm));
    }
    for (server, service) in runs_on {
        broken.extend(requests.began(server, service, &seen("o1"), &calm));
    }
    if !is_answered_first {
        broken.extend(requests.answered(&asked, entry(), false, answer, &calm));
    }
    broken.len()
}

#[gtest]
fn orders_that_run_twice_or_after_a_refusal_are_seen() {
    let one = [("a", "ledger")];
    let two = [("a", "ledger"), ("b", "ledger")];
    expect_that!(broken_by(&one, &whole(200, true), false), eq(0));
    expect_that!(broken_by(&[], &whole(503, false), false), eq(0));
    expect_that!(broken_by(&one, &whole(502, false), false), eq(0));
    expect_that!(broken_by(&two, &whole(200, true), false), ge(1));
    expect_that!(broken_by(&one, &whole(503, false), false), ge(1));
    expect_that!(broken_by(&one, &whole(429, false), true), ge(1));
    expect_that!(broken_by(&one, &whole(200, false), false), ge(1));
    expect_that!(
        broken_by(&[("a", "archive")], &whole(200, true), false),
        ge(1)
    );
}

#[gtest]
fn requests_that_nobody_sent_or_that_were_changed_are_seen() {
    let calm = Calm::default();
    let mut requests = RequestPromises::default();
    expect_that!(
        requests.began("a", "ledger", &seen("o2"), &calm),
        not(is_empty())
    );
    requests.asks(&order("o3"), &["ledger"]);
    let mut changed = seen("o3");
    changed.path = "/orders/2".into();
    expect_that!(
        requests.began("a", "ledger", &changed, &calm),
        not(is_empty())
    );
}

#[gtest]
fn cut_by_a_planned_stop_is_seen_unless_something_was_disturbed() {
    for is_disturbed in [false, true] {
        let calm = Calm::default();
        let mut requests = RequestPromises::default();
        let asked = order("o1");
        requests.asks(&asked, &["ledger"]);
        expect_that!(
            requests.began("a", "ledger", &seen("o1"), &calm),
            is_empty()
        );
        if is_disturbed {
            calm.disturb(Duration::ZERO);
        }
        let broken = requests.answered(&asked, entry(), true, &CallerAnswer::Broken, &calm);
        expect_that!(broken.is_empty(), eq(is_disturbed));
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
fn tables_that_go_back_or_differ_are_seen() {
    let mut tables = TablePromises::default();
    tables.sends(1, &table(1, "one"), true);
    tables.sends(2, &table(2, "one"), true);
    expect_that!(tables.put_answered(1, Some(200)), none());
    expect_that!(tables.put_answered(2, Some(200)), none());
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    expect_that!(tables.read(now, &read(1, "one")), is_empty());
    expect_that!(tables.read(later, &read(2, "one")), is_empty());
    expect_that!(tables.read(later, &read(1, "one")), not(is_empty()));
    expect_that!(tables.read(later, &read(2, "two")), not(is_empty()));
    expect_that!(tables.read(later, &read(7, "one")), not(is_empty()));
}

#[gtest]
fn wrong_acknowledgements_and_refusals_are_seen() {
    let mut tables = TablePromises::default();
    tables.sends(1, &table(1, "nowhere"), false);
    tables.sends(2, &table(2, "one"), true);
    expect_that!(tables.put_answered(1, Some(400)), none());
    expect_that!(tables.put_answered(2, Some(503)), none());
    expect_that!(tables.put_answered(2, None), none());
    expect_that!(tables.put_answered(1, Some(200)), some(anything()));
    expect_that!(tables.put_answered(2, Some(400)), some(anything()));
}

#[gtest]
fn entry_vm_that_goes_back_or_is_late_is_seen() {
    let calm = Calm::default();
    let mut tables = TablePromises::default();
    tables.sends(1, &table(1, "one"), true);
    expect_that!(tables.put_answered(1, Some(200)), none());
    let now = Instant::now();
    let later = now + Duration::from_secs(3);
    let mut look = |at, is_known| tables.mark_answered(entry(), 1, at, is_known, &calm).len();
    expect_that!(look(now, false), eq(0));
    expect_that!(look(later, false), eq(1));
    expect_that!(look(now, true), eq(0));
    // It has shown the table, and is late besides.
    expect_that!(look(later, false), eq(2));
}

#[gtest]
fn plans_follow_from_their_seeds() {
    let plan = |seed| Plan::of(seed, 2, 4, 12).to_string();
    expect_that!(plan(1), eq(&plan(1)));
    expect_that!(plan(1), not(eq(&plan(2))));
}
