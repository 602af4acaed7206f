//! Tests that the checks of the soak detect violated guarantees and report nothing else.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::ValueEnum;
use googletest::prelude::*;
use platform_stand_ins::{
    CallerAnswer, CallerRequest, CallerRequestKind, HeldGrant, Operator, ReadTable, SeenRequest,
    ServerBehaviour, answer_body,
};
use soak::{
    Disturbances, EntryCutGuarantees, FaultKind, FirstTry, KeyGuarantees, NoticeGuarantees, Plan,
    RequestGuarantees, TableGuarantees,
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

#[gtest]
fn fence_is_compared_with_all_former_owners() {
    let mut keys = KeyGuarantees::default();
    for (server, fence) in [("a", 7), ("b", 9)] {
        expect_that!(keys.record_grant(server, grant(0, 9, fence, 10)), none());
        // Its successor may have the same address or id.
        keys.record_end(server);
    }
    expect_that!(keys.record_grant("c", grant(0, 9, 7, 10)), some(anything()));
    keys.record_end("c");
    // An end of a cut excuses grants that overlap, but no fence.
    keys.record_resume();
    expect_that!(keys.record_grant("d", grant(0, 9, 9, 10)), some(anything()));
    // The same grant once more is a renewal.
    expect_that!(keys.record_grant("d", grant(0, 9, 9, 10)), none());
    expect_that!(keys.record_grant("d", grant(0, 9, 10, 10)), none());
    expect_that!(keys.record_grant("d", grant(0, 9, 10, 10)), none());
}

/// Returns guarantees in which `a` and `b` hold keys 50 to 99, just after the end of a cut.
fn shared_keys() -> KeyGuarantees {
    let mut keys = KeyGuarantees::default();
    expect_that!(keys.record_grant("a", grant(0, 99, 1, 10)), none());
    keys.record_resume();
    expect_that!(keys.record_grant("b", grant(50, 149, 2, 10)), none());
    keys
}

/// Time after which no key may be shared.
const TOO_LONG: Duration = Duration::from_millis(550);

#[gtest]
fn keys_that_two_servers_hold_for_too_long_are_detected() {
    let mut keys = shared_keys();
    expect_that!(keys.check_held_keys(), none());
    std::thread::sleep(TOO_LONG);
    expect_that!(
        keys.check_held_keys(),
        some(contains_substring("key 50").and(contains_substring("50 keys")))
    );
    expect_that!(keys.check_held_keys(), none());
}

#[gtest]
fn keys_that_two_servers_held_for_a_short_time_are_allowed() {
    let mut released = shared_keys();
    released.record_release("a", 0, 99);
    let mut ended = shared_keys();
    ended.record_end("a");
    let mut expired = KeyGuarantees::default();
    expect_that!(expired.record_grant("a", grant(0, 99, 1, 0)), none());
    expect_that!(expired.record_grant("b", grant(0, 99, 2, 10)), none());
    std::thread::sleep(TOO_LONG);
    for mut keys in [released, ended, expired] {
        expect_that!(keys.check_held_keys(), none());
        expect_that!(keys.record_request("a", 60), none());
        expect_that!(keys.record_request("b", 60), none());
    }
}

#[gtest]
fn requests_of_two_servers_on_a_key_that_both_hold_are_detected() {
    let mut keys = shared_keys();
    expect_that!(keys.record_request("a", 49), none());
    expect_that!(keys.record_request("a", 60), none());
    expect_that!(keys.record_request("a", 60), none());
    expect_that!(keys.record_request("b", 61), none());
    expect_that!(keys.record_request("b", 60), some(anything()));
}

/// Returns whether it is a violation if the entry VM that is cut off serves `served` of `all` first
/// tries, each sent `after` the begin of the cut, and the other one all of its own.
fn is_cut_violation(disturbances: &Disturbances, served: u32, all: u32, after: Duration) -> bool {
    let cut_off = entry();
    let other = SocketAddr::from(([127, 0, 0, 2], 80));
    let cut_length = Duration::from_secs(8);
    let sent_at = Instant::now() + after;
    let cut = disturbances.record_cut([cut_off].into(), cut_length);
    let mut guarantees = EntryCutGuarantees::default();
    for number in 0..all {
        for (entry, is_served) in [(cut_off, number < served), (other, true)] {
            guarantees.record_try(FirstTry {
                entry,
                sent_at,
                ended_at: sent_at,
                is_served,
            });
        }
    }
    guarantees.check_cut(&cut, disturbances).is_some()
}

#[gtest]
fn entry_vms_without_a_path_to_servers_that_serve_less_than_others_are_detected() {
    let after = Duration::from_secs(4);
    let is_violation = |served, all| is_cut_violation(&Disturbances::default(), served, all, after);
    expect_that!(is_violation(0, 100), eq(true));
    expect_that!(is_violation(66, 100), eq(true));
    expect_that!(is_violation(67, 100), eq(false));
    // Ten may fail, and one in fifty.
    expect_that!(is_violation(0, 10), eq(false));
    expect_that!(is_violation(0, 11), eq(true));
}

#[gtest]
fn callers_in_the_begin_of_a_cut_or_beside_other_faults_are_left_out() {
    let after = Duration::from_secs(4);
    let early = Duration::from_secs(2);
    expect_that!(
        is_cut_violation(&Disturbances::default(), 0, 100, early),
        eq(false)
    );
    let disturb: [fn(&Disturbances); 3] = [
        |disturbances| disturbances.record(Duration::from_secs(2)),
        |disturbances| disturbances.record_for_entry(entry(), Duration::from_secs(2)),
        |disturbances| {
            disturbances.record_cut([].into(), Duration::from_secs(2));
        },
    ];
    for disturb in disturb {
        let disturbances = Disturbances::default();
        disturb(&disturbances);
        expect_that!(is_cut_violation(&disturbances, 0, 100, after), eq(false));
    }
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
fn plans_can_be_limited_to_a_kind_of_fault() {
    for kind in FaultKind::value_variants() {
        let plan = Plan::from_seed(1, 1, 4, 12);
        let whole = plan.to_string();
        let part = plan.only(*kind).to_string();
        expect_that!(part.lines().count(), ge(1), "{kind:?}");
        expect_that!(part.lines().count(), lt(whole.lines().count()), "{kind:?}");
    }
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
