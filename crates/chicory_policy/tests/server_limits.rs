//! Tests which limits are in force and who may send, in virtual time.

use std::time::Duration;

use chicory_policy::{
    ColdAllowance, LimitChange, LimitObservation, NamedLimits, PermitDecision, PermitHolder,
    PermitIssuer, PermitLimit, PermitStep, SenderState, SpacedShare,
};
use googletest::prelude::*;

const START: Duration = Duration::from_secs(100);

fn ms(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

fn observation(rate_per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> LimitObservation {
    LimitObservation {
        rate_per_s,
        sent_at: ms(sent_ms),
        received_at: ms(received_ms),
    }
}

#[gtest]
fn later_answer_decides_in_whichever_order_answers_are_recorded() {
    let older = observation(Some(3.0), 0, 100);
    for newer in [
        observation(None, 100, 200),
        observation(Some(9.0), 150, 200),
    ] {
        let mut limits = NamedLimits::default();
        limits.record(&1, older);
        limits.record(&1, newer);
        expect_that!(limits.rate_per_s(&1), eq(newer.rate_per_s));
        expect_that!(limits.record(&1, older), eq(LimitChange::Unchanged));
        expect_that!(limits.rate_per_s(&1), eq(newer.rate_per_s));
    }
}

#[gtest]
fn stricter_answer_decides_where_either_may_be_the_later_one() {
    let named = [Some(3.0), Some(9.0), None];
    for one in named {
        for other in named {
            let mut limits = NamedLimits::default();
            limits.record(&1, observation(Some(20.0), 0, 10));
            limits.record(&1, observation(one, 100, 200));
            limits.record(&1, observation(other, 150, 250));
            let strictest = match (one, other) {
                (Some(one), Some(other)) => Some(f64::min(one, other)),
                _ => one.or(other),
            };
            expect_that!(limits.rate_per_s(&1), eq(strictest), "{one:?} {other:?}");
        }
    }
}

#[gtest]
fn lifted_limit_is_forgotten_after_a_while_and_another_server_is_not_affected() {
    let mut limits = NamedLimits::default();
    limits.record(&1, observation(Some(3.0), 0, 100));
    limits.record(&2, observation(Some(4.0), 0, 100));
    let lifted = limits.record(&1, observation(None, 200, 300));
    expect_that!(lifted, eq(LimitChange::Lifted));
    limits.remove_expired(ms(5_000));
    expect_that!(limits.observations().count(), eq(2));
    limits.remove_expired(ms(20_000));
    expect_that!(limits.observations().count(), eq(1));
    expect_that!(limits.rate_per_s(&2), some(eq(4.0)));
    limits.retain(|server| *server != 2);
    expect_that!(limits.observations().count(), eq(0));
}

/// Permits are used up to half a second after they were issued.
#[gtest]
fn permits_never_exceed_a_limit_in_any_four_seconds() {
    for rate_per_s in [0.1, 0.5, 1.0, 3.5, 6.2, 40.0, 500.0] {
        let mut issuer = PermitIssuer::default();
        let mut granted_at = Vec::new();
        for step in 0..20_000_u64 {
            // No requests for four seconds out of ten, so that permits accumulate.
            if step % 10_000 < 4_000 {
                continue;
            }
            let now = ms(step);
            let rank = u32::try_from(step % 3).expect("a small number");
            while issuer.decide(now, &"server", rate_per_s, rank) == PermitDecision::Granted {
                granted_at.push(now);
            }
        }
        let window = Duration::from_millis(4_500);
        let allowed = 1.5 * rate_per_s * 4.0 + 5.0;
        for (index, end) in granted_at.iter().enumerate() {
            let since = end.saturating_sub(window);
            let first = granted_at.partition_point(|at| *at <= since);
            let count = u32::try_from(index + 1 - first).expect("a small number");
            assert_that!(
                f64::from(count),
                le(allowed),
                "limit {rate_per_s} at {end:?}"
            );
        }
    }
}

fn sender(has_issuer: bool) -> SenderState {
    SenderState {
        rate_per_s: 3.0,
        sender_count: 10,
        has_issuer,
        random_fraction: 0.5,
    }
}

#[gtest]
fn request_without_an_answer_is_denied_after_a_few_round_trips() {
    let mut holder = PermitHolder::default();
    let step = holder.next_step(START, 0, None, sender(true));
    let PermitStep::Wait(until) = step else {
        panic!("expected to wait, got {step:?}");
    };
    expect_that!(until.saturating_sub(START), le(Duration::from_millis(500)));
    holder.take_requests(START);
    let step = holder.next_step(until, 0, Some(START), sender(true));
    expect_that!(step, matches_pattern!(PermitStep::Deny(_)));
}

#[gtest]
fn denial_binds_later_requests_until_its_time_is_over() {
    let mut holder = PermitHolder::default();
    holder.next_step(START, 0, None, sender(true));
    expect_that!(holder.take_requests(START), eq(&vec![(0, 1)]));
    holder.record_answer(START, 0, 0, 1, Duration::from_millis(400));
    let step = holder.next_step(ms(100), 0, None, sender(true));
    expect_that!(step, eq(PermitStep::Deny(Duration::from_millis(300))));
    expect_that!(holder.take_requests(ms(100)).len(), eq(0));
    let step = holder.next_step(ms(400), 0, None, sender(true));
    expect_that!(step, matches_pattern!(PermitStep::Wait(_)));
}

#[gtest]
fn permit_serves_one_request_of_its_rank_or_a_more_urgent_one() {
    let mut holder = PermitHolder::default();
    holder.record_answer(START, 2, 2, 0, Duration::ZERO);
    let less_urgent = holder.next_step(START, 3, None, sender(true));
    expect_that!(less_urgent, matches_pattern!(PermitStep::Wait(_)));
    for rank in [0, 2] {
        let step = holder.next_step(START, rank, None, sender(true));
        expect_that!(step, eq(PermitStep::Send), "{rank}");
    }
    let step = holder.next_step(START, 2, None, sender(true));
    expect_that!(step, matches_pattern!(PermitStep::Wait(_)));
}

#[gtest]
fn unused_permit_ends() {
    let mut holder = PermitHolder::default();
    holder.record_answer(START, 0, 1, 0, Duration::ZERO);
    let step = holder.next_step(ms(600), 0, None, sender(true));
    expect_that!(step, matches_pattern!(PermitStep::Wait(_)));
}

#[gtest]
fn requests_without_an_answer_are_repeated_to_a_new_issuer() {
    let mut holder = PermitHolder::default();
    holder.next_step(START, 1, None, sender(true));
    expect_that!(holder.take_requests(START), eq(&vec![(1, 1)]));
    holder.record_new_issuer();
    expect_that!(holder.take_requests(ms(50)), eq(&vec![(1, 1)]));
}

#[gtest]
fn senders_without_an_issuer_use_at_most_half_of_the_limit_together() {
    for sender_count in [1, 10, 77, 450] {
        let mut holders: Vec<PermitHolder> = Vec::new();
        holders.resize_with(sender_count as usize, PermitHolder::default);
        let mut sent_at = Vec::new();
        for step in 0..4_000 {
            let now = ms(step * 10);
            // Nothing is sent for ten seconds, in which turns could accumulate.
            if (1_000..2_000).contains(&step) {
                continue;
            }
            for (index, holder) in (0_u32..).zip(&mut holders) {
                let state = SenderState {
                    sender_count,
                    random_fraction: f64::from(index) / f64::from(sender_count),
                    ..sender(false)
                };
                while holder.next_step(now, 0, None, state) == PermitStep::Send {
                    sent_at.push(now);
                }
            }
        }
        for (index, end) in sent_at.iter().enumerate() {
            let since = end.saturating_sub(Duration::from_secs(4));
            let first = sent_at.partition_point(|at| *at <= since);
            expect_that!(index + 1 - first, le(23), "{sender_count} at {end:?}");
        }
        expect_that!(sent_at.len(), ge(20), "{sender_count}");
    }
}

#[gtest]
fn turns_lapse_and_a_higher_rate_takes_effect_at_once() {
    let mut share = SpacedShare::new(START, 0.1, 0.0);
    expect_that!(share.try_use_turn(ms(60_000), 0.1), ok(anything()));
    expect_that!(share.try_use_turn(ms(60_000), 0.1), err(anything()));
    let until_turn = share.try_use_turn(ms(60_000), 2.0);
    expect_that!(until_turn, err(le(Duration::from_millis(500))));
}

/// Permits of up to 1.9 s can arrive within a second, and senders without an issuer send as well.
#[gtest]
fn what_accumulates_for_a_cold_server_leaves_room_for_late_permits() {
    let limit = ColdAllowance::default().permit_limit(4.0);
    expect_that!(limit.rate_per_s, eq(4.0));
    expect_that!(limit.burst + 4.0 * 1.9 + 2.0 * 2.3, le(14.0 + 1e-9));
    let ample = ColdAllowance {
        overage: 1.5,
        slack: 100.0,
    };
    expect_that!(ample.permit_limit(4.0), eq(PermitLimit::named(4.0)));
    // One request needs a whole permit, however little is allowed.
    let narrow = ColdAllowance {
        overage: 0.5,
        slack: 0.0,
    };
    let limit = narrow.permit_limit(4.0);
    expect_that!((limit.rate_per_s, limit.burst), eq((2.0, 1.0)));
}
