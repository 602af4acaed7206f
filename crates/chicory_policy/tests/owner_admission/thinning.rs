//! Which requests one entry VM sends, and which fractions the leader decides on.

use std::time::Duration;

use chicory_policy::{AdmittedFractions, ObservedAnswers, OwnerAdmission, OwnerSlots};
use googletest::prelude::*;

const START: Duration = Duration::from_secs(100);
const REPORT_INTERVAL: Duration = Duration::from_millis(350);
const SLOTS: OwnerSlots = OwnerSlots {
    slots: 3,
    latency_target: Duration::from_millis(500),
};

/// Guards against a sender of few requests that admits none or all of them by chance.
#[gtest]
fn few_requests_are_admitted_evenly() {
    for fraction in [0.05, 0.2, 0.5, 0.9] {
        let mut fractions = AdmittedFractions::default();
        fractions.replace(START, [(1, fraction)]);
        let mut admitted = 0.0;
        for request in 1..=40 {
            admitted += f64::from(u8::from(fractions.try_admit(START, &1, 0, 0.5)));
            let even = fraction * f64::from(request);
            expect_that!((admitted - even).abs(), le(1.0), "{fraction} {request}");
        }
    }
}

/// Guards against many senders that all admit their first request.
#[gtest]
fn first_requests_of_many_senders_are_thinned() {
    let admitted = (0..100).filter(|sender| {
        let mut fractions = AdmittedFractions::default();
        fractions.replace(START, [(1, 0.2)]);
        fractions.try_admit(START, &1, 0, f64::from(*sender) / 100.0)
    });
    expect_that!(admitted.count(), all!(ge(19), le(21)));
}

#[gtest]
fn urgent_requests_go_first_and_the_sum_stays() {
    let mut fractions = AdmittedFractions::default();
    fractions.replace(START, [(1, 0.5)]);
    let mut admitted = [0, 0];
    for request in 0..400_u32 {
        // A quarter of the requests is urgent.
        let rank = u32::from(request % 4 != 0);
        if fractions.try_admit(START, &1, rank, 0.5) {
            admitted[rank as usize] += 1;
        }
    }
    expect_that!(admitted[0], ge(99));
    expect_that!(admitted[0] + admitted[1], all!(ge(198), le(202)));
}

#[gtest]
fn requests_of_a_lower_rank_alone_get_the_whole_fraction() {
    for rank in [1, 2, 7] {
        let mut fractions = AdmittedFractions::default();
        fractions.replace(START, [(1, 0.25)]);
        let admitted = (0..40).filter(|_| fractions.try_admit(START, &1, rank, 0.5));
        expect_that!(admitted.count(), all!(ge(9), le(11)), "{rank}");
    }
}

/// Guards against owners that stay throttled without a leader.
#[gtest]
fn fractions_expire_and_are_replaced_as_a_whole() {
    let mut fractions = AdmittedFractions::default();
    fractions.replace(START, [(1, 0.1), (2, 0.1)]);
    fractions.replace(START, [(2, 0.3)]);
    expect_that!(fractions.fraction(START, &1), none());
    let last_valid = START + Duration::from_millis(1499);
    expect_that!(fractions.fraction(last_valid, &2), some(eq(0.3)));
    expect_that!(
        fractions.fraction(START + Duration::from_millis(1500), &2),
        none()
    );
}

/// Reports of one interval from each of ten senders about one owner.
fn report(
    admission: &mut OwnerAdmission<u32, u32>,
    now: Duration,
    senders: u32,
    requested: u32,
    answers: ObservedAnswers,
) {
    for sender in 0..senders {
        admission.record_report(now, &sender);
        admission.record_requests(now, &1, requested);
        admission.record_answers(now, &1, answers);
    }
}

fn full_owner() -> ObservedAnswers {
    ObservedAnswers {
        in_flight: 2,
        answered: 1,
        answer_time: Duration::from_millis(800),
    }
}

fn overloaded(senders: u32) -> OwnerAdmission<u32, u32> {
    let mut admission = OwnerAdmission::new(REPORT_INTERVAL);
    for interval in 0..10 {
        let now = START + REPORT_INTERVAL * interval;
        report(&mut admission, now, senders, 3, full_owner());
        admission.update(now, |_| Some(SLOTS));
    }
    admission
}

#[gtest]
fn fraction_is_within_what_a_full_owner_answers() {
    let mut admission = overloaded(10);
    let now = START + REPORT_INTERVAL * 9;
    let overloads = admission.update(now, |_| Some(SLOTS));
    let overload = overloads[&1];
    // Ten senders with one answer each, and three requests each, in 350 ms.
    expect_that!(overload.capacity_per_s, near(28.6, 3.0));
    expect_that!(overload.demand_per_s, near(85.7, 9.0));
    expect_that!(overload.fraction, all!(ge(0.05), le(1.0 / 3.0)));
}

/// Guards against an owner that gets everything because reports are late, and against one that is
/// throttled for senders that are gone.
#[gtest]
fn demand_of_silent_senders_counts_for_a_second() {
    let mut admission = overloaded(10);
    let last = START + REPORT_INTERVAL * 9;
    let before = admission.update(last, |_| Some(SLOTS))[&1];
    let late = admission.update(last + Duration::from_millis(900), |_| Some(SLOTS))[&1];
    expect_that!(late.demand_per_s, near(before.demand_per_s, 1.0));
    let gone = admission.update(last + Duration::from_secs(1), |_| Some(SLOTS));
    expect_that!(gone.is_empty(), eq(true));
}

/// A server that claims to be full is judged by what it answers, and never gets nothing.
#[gtest]
fn owner_that_rejects_nearly_everything_still_gets_a_part() {
    let mut admission = OwnerAdmission::new(REPORT_INTERVAL);
    let answers = ObservedAnswers {
        in_flight: 20,
        answered: 1,
        answer_time: Duration::from_secs(5),
    };
    for interval in 0..20 {
        let now = START + REPORT_INTERVAL * interval;
        report(&mut admission, now, 10, 50, answers);
        for overload in admission.update(now, |_| Some(SLOTS)).into_values() {
            expect_that!(overload.fraction, ge(0.05));
        }
    }
}

#[gtest]
fn owner_without_a_target_or_without_answers_gets_everything() {
    let mut admission = overloaded(10);
    let now = START + REPORT_INTERVAL * 9;
    expect_that!(admission.update(now, |_| None).is_empty(), eq(true));
    let mut silent = OwnerAdmission::new(REPORT_INTERVAL);
    report(&mut silent, START, 10, 50, ObservedAnswers::default());
    let overloads = silent.update(START, |_| Some(SLOTS));
    expect_that!(overloads.is_empty(), eq(true));
}

#[gtest]
fn owner_that_left_is_forgotten() {
    let mut admission = overloaded(10);
    admission.retain(|owner| *owner != 1);
    let now = START + REPORT_INTERVAL * 9;
    let overloads = admission.update(now, |_| Some(SLOTS));
    expect_that!(overloads.is_empty(), eq(true));
}
