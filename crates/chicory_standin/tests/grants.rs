//! The fenced grants of a stand-in backend server.

use std::time::{Duration, Instant};

use chicory_standin::server::{Admission, AnnounceAnswer, GrantMessage, Grants};
use chicory_types::FencingToken;
use googletest::prelude::*;

const LEASE: Duration = Duration::from_secs(1);

fn answer(version: u64, grants: Option<Vec<GrantMessage>>) -> AnnounceAnswer {
    AnnounceAnswer {
        renew_after_ms: 400,
        dispatcher: None,
        lease_ms: 1000,
        grants_version: version,
        grants,
    }
}

fn grant_message(first: u16, last: u16, token: &str) -> GrantMessage {
    GrantMessage {
        first,
        last,
        token: token.to_owned(),
    }
}

fn grants_with_lease(start: Instant) -> Grants {
    let mut grants = Grants::new(start);
    let answer = answer(1, Some(vec![grant_message(0, 9, "3.41")]));
    grants.apply(start, start, &answer);
    grants
}

#[gtest]
fn only_the_granted_token_of_a_granted_slot_is_admitted() {
    let start = Instant::now();
    let grants = grants_with_lease(start);
    let admit = |slot, counter| grants.admit(start, slot, FencingToken::new(3, counter));
    expect_that!(admit(9, 41), eq(Admission::Granted));
    expect_that!(admit(10, 41), eq(Admission::Refused));
    expect_that!(admit(9, 40), eq(Admission::Refused));
    expect_that!(admit(9, 42), eq(Admission::Refused));
}

#[gtest]
fn the_lease_ends_before_its_length_has_passed_since_the_announcement() {
    let start = Instant::now();
    let mut grants = grants_with_lease(start);
    let token = FencingToken::new(3, 41);
    let end = grants.lease_end().expect("there is a lease");
    expect_that!(end, lt(start + LEASE));
    expect_that!(grants.admit(end, 0, token), eq(Admission::Refused));
    expect_that!(grants.expire(end).is_some(), eq(true));
    expect_that!(grants.version(), eq(0));
}

#[gtest]
fn an_unchanged_version_renews_the_grants() {
    let start = Instant::now();
    let mut grants = grants_with_lease(start);
    let later = start + LEASE / 2;
    grants.apply(later, later, &answer(1, None));
    let token = FencingToken::new(3, 41);
    expect_that!(
        grants.admit(start + LEASE, 0, token),
        eq(Admission::Granted)
    );
}

#[gtest]
fn an_unchanged_version_does_not_restore_void_grants() {
    let start = Instant::now();
    let mut grants = grants_with_lease(start);
    let later = start + LEASE;
    grants.apply(start + LEASE / 2, later, &answer(1, None));
    let token = FencingToken::new(3, 41);
    expect_that!(grants.admit(later, 0, token), eq(Admission::Refused));
}

#[gtest]
fn an_answer_without_a_lease_changes_nothing() {
    let start = Instant::now();
    let mut grants = grants_with_lease(start);
    let without_lease = AnnounceAnswer {
        lease_ms: 0,
        ..answer(0, None)
    };
    grants.apply(start, start, &without_lease);
    let token = FencingToken::new(3, 41);
    expect_that!(grants.admit(start, 0, token), eq(Admission::Granted));
}

#[gtest]
fn grants_that_are_absent_from_a_new_version_are_lost_at_once() {
    let start = Instant::now();
    let mut grants = grants_with_lease(start);
    let later = start + LEASE / 4;
    let next = answer(2, Some(vec![grant_message(5, 9, "3.42")]));
    grants.apply(later, later, &next);
    let admit = |slot, counter| grants.admit(later, slot, FencingToken::new(3, counter));
    expect_that!(admit(0, 41), eq(Admission::Refused));
    expect_that!(admit(5, 42), eq(Admission::Granted));
    expect_that!(grants.lost_at(), eq(later));
}
