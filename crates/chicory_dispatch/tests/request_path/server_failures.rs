//! Backend servers that fail, freeze, shed load, report a wrong health or send wrong answers.

use chicory_dispatch::{Effect, Event, ExchangeFailure, Outcome, RefusalReason, RequestIdEcho};
use chicory_ownership::ServerCondition;
use googletest::prelude::*;

use crate::support::*;

#[gtest]
fn server_killed_during_its_answer_breaks_the_answer() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.server("p1").mode = Mode::TruncatedAnswers;
    world.arrive(head(1, PLANS));
    world.run_for(ms(50));
    expect_that!(world.broken, elements_are![eq(&1)]);
    expect_that!(world.completed(1, 1), eq(0));
    expect_true!(world.all_ended());
}

#[gtest]
fn frozen_owner_is_found_down_and_its_request_refused_as_unknown() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.server("b1").mode = Mode::Frozen;
    world.arrive(head(1, BOARD));
    world.run_for(ms(1_000));
    let expected = (RefusalReason::ServerFailed, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
    let reports = world.group.renewals.iter().flat_map(|r| &r.reports);
    expect_true!(
        reports
            .into_iter()
            .any(|r| r.condition == ServerCondition::Down)
    );
    world.arrive(head(2, BOARD));
    let expected = (RefusalReason::ServerFailed, Outcome::NotRun);
    expect_that!(world.refusal(2), some(eq(expected)));
}

#[gtest]
fn recovered_server_serves_over_new_connections() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.arrive_many(1, 5, ms(10), |id| head(id, BOARD));
    world.freeze("b1");
    world.arrive(head(10, BOARD));
    world.run_for(ms(2_000));
    world.server("b1").mode = Mode::Up;
    world.run_for(ms(2_000));
    world.arrive(head(11, BOARD));
    world.run_for(ms(50));
    expect_true!(world.is_forwarded(11));
}

#[gtest]
fn idempotent_requests_leave_a_frozen_server() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2")]);
    world.arrive_many(1, 50, ms(5), |id| head(id, PLANS));
    world.freeze("p1");
    world.arrive_many(100, 60, ms(20), |id| head(id, PLANS));
    let detected_at = world.now;
    world.run_for(ms(2_000));
    expect_that!(world.completed(100, 60), eq(60));
    let late = |w: &&(_, _, String, _)| w.2 == "p1" && w.0 > detected_at;
    expect_that!(world.writes.iter().filter(late).count(), eq(0));
}

#[gtest]
fn shed_request_goes_to_another_server_or_is_refused_as_not_run() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2"), (BOARD, "b1")]);
    world.server("p1").mode = Mode::Shedding;
    world.server("b1").mode = Mode::Shedding;
    world.arrive_many(1, 20, ms(20), |id| head(id, PLANS));
    world.arrive(head(100, BOARD));
    world.run_for(ms(500));
    expect_that!(world.completed(1, 20), eq(20));
    let expected = (RefusalReason::ServerShed, Outcome::NotRun);
    expect_that!(world.refusal(100), some(eq(expected)));
}

#[gtest]
fn failing_server_that_reports_healthy_is_ejected() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2"), (PLANS, "p3")]);
    world.server("p1").mode = Mode::Failing;
    world.arrive_many(1, 300, ms(5), |id| head(id, PLANS));
    expect_that!(world.path.counters().ejections, ge(1));
    expect_that!(world.server("p1").runs.len(), le(15));
}

#[gtest]
fn working_server_that_reports_unhealthy_is_kept() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2")]);
    world.server("p1").says_healthy = false;
    world.stall_connections("p1");
    world.arrive_many(1, 300, ms(5), |id| head(id, PLANS));
    expect_that!(world.path.counters().ejections, eq(0));
    expect_that!(world.server("p1").runs.len(), ge(100));
}

#[gtest]
fn failures_of_all_servers_do_not_eject_all_of_them() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2"), (PLANS, "p3"), (PLANS, "p4")]);
    for name in ["p1", "p2", "p3", "p4"] {
        world.server(name).mode = Mode::Failing;
    }
    world.arrive_many(1, 200, ms(5), |id| head(id, PLANS));
    expect_that!(world.path.counters().ejections, le(2));
    expect_that!(world.completed(1, 200), eq(200));
}

#[gtest]
fn slow_server_is_ejected_as_an_outlier() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2"), (PLANS, "p3"), (PLANS, "p4")]);
    world.server("p1").service_time = ms(200);
    world.arrive_many(1, 400, ms(5), |id| head(id, PLANS));
    expect_that!(world.path.counters().ejections, ge(1));
}

#[gtest]
fn slow_callers_do_not_make_their_server_an_outlier() {
    let mut world = World::new(&[(PLANS, "p1"), (PLANS, "p2"), (PLANS, "p3"), (PLANS, "p4")]);
    world.server("p1").transfer_time = ms(200);
    world.arrive_many(1, 400, ms(5), |id| head(id, PLANS));
    expect_that!(world.path.counters().ejections, eq(0));
}

#[gtest]
fn mismatched_answer_is_dropped_and_its_connection_closed() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.server("b1").mode = Mode::WrongAnswers;
    world.arrive(head(1, BOARD));
    world.run_for(ms(500));
    let expected = (RefusalReason::AnswerBroken, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
    let closed = world.count_effects(|e| matches!(e, Effect::Close { .. }));
    expect_that!(closed, eq(world.writes.len()));
}

#[gtest]
fn oversized_answer_is_an_error_and_closes_its_connection() {
    let mut world = World::new(&[(PLANS, "p1")]);
    let mut request = head(1, PLANS);
    request.is_replayable = false;
    world.arrive(request);
    world.run_for(ms(2));
    world.feed(Event::ExchangeFailed {
        request: 1,
        failure: ExchangeFailure::Malformed,
    });
    let expected = (RefusalReason::AnswerBroken, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
    expect_that!(
        world.count_effects(|e| matches!(e, Effect::Close { .. })),
        eq(1)
    );
}

#[gtest]
fn answer_after_the_deadline_is_dropped() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.server("p1").service_time = ms(200);
    let mut request = head(1, PLANS);
    request.deadline = Some(ms(100));
    world.arrive(request);
    world.run_for(ms(100));
    let expected = (RefusalReason::DeadlinePassed, Outcome::Unknown);
    expect_that!(world.refusal(1), some(eq(expected)));
    world.feed(Event::AnswerStarted {
        request: 1,
        status: 200,
        echo: RequestIdEcho::Matched,
        refusal: None,
    });
    expect_false!(world.is_forwarded(1));
}

#[gtest]
fn slow_caller_occupies_a_slot_only_until_its_deadline() {
    let mut world = World::new(&[(PLANS, "p1")]);
    let mut request = head(1, PLANS);
    request.deadline = Some(ms(300));
    world.arrive(request);
    world.run_for(ms(3));
    let effects = world.path.reduce(
        world.now,
        Event::AnswerStarted {
            request: 1,
            status: 200,
            echo: RequestIdEcho::Absent,
            refusal: None,
        },
    );
    expect_that!(
        effects,
        contains(matches_pattern!(Effect::ForwardAnswer { .. }))
    );
    world.freeze("p1");
    world.run_for(ms(300));
    expect_that!(world.broken, elements_are![eq(&1)]);
    expect_that!(world.path.open_requests(), eq(0));
}

#[gtest]
fn disconnected_caller_cancels_its_exchange() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world.server("p1").service_time = ms(100);
    world.arrive(head(1, PLANS));
    world.run_for(ms(10));
    world.feed(Event::CallerGone { request: 1 });
    expect_that!(world.path.open_requests(), eq(0));
    expect_that!(
        world.count_effects(|e| matches!(e, Effect::Close { .. })),
        eq(1)
    );
    expect_that!(world.finals, is_empty());
}

#[gtest]
fn load_of_a_started_server_is_ramped_up() {
    let mut world = World::new(&[(PLANS, "p1")]);
    world
        .servers
        .insert("p2".to_owned(), FakeServer::new(ms(5)));
    let added = chicory_ownership::ViewChange::ServerUpserted(record(PLANS, "p2"));
    world.change_view([added, dispatcher("p2", Some(VM), 7)]);
    world.arrive_many(1, 100, ms(5), |id| head(id, PLANS));
    let early = world.server("p2").runs.len();
    world.run_for(ms(5_000));
    world.arrive_many(1_000, 100, ms(5), |id| head(id, PLANS));
    let late = world.server("p2").runs.len() - early;
    expect_that!(early, all![ge(1), le(30)]);
    expect_that!(late, ge(35));
}

#[gtest]
fn renewals_report_a_server_rarely_while_up_and_always_while_down() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.run_for(ms(10_000));
    let reported = world
        .group
        .renewals
        .iter()
        .filter(|r| !r.reports.is_empty());
    expect_that!(reported.count(), le(3));
    world.freeze("b1");
    world.arrive(head(1, BOARD));
    world.run_for(ms(2_000));
    let before = world.group.renewals.len();
    world.run_for(ms(4_000));
    let renewals = &world.group.renewals[before..];
    let reports_down = |r: &&chicory_ownership::RenewRequest| {
        let mut reports = r.reports.iter();
        reports.any(|report| report.condition == ServerCondition::Down)
    };
    expect_that!(renewals.len(), ge(5));
    expect_that!(
        renewals.iter().filter(reports_down).count(),
        eq(renewals.len())
    );
}
