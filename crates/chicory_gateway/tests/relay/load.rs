//! Tests of the limit of what an entry VM relays.

use std::time::Duration;

use chicory_gateway::{RelayAdmission, RelayLoad, RelaySize};
use chicory_policy::LinkBacklog;
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

fn body(body_bytes: u64) -> RelaySize {
    RelaySize {
        body_bytes,
        answer_bytes: 0,
    }
}

#[gtest]
fn requests_beyond_the_limit_are_refused_until_others_end() {
    let mut load = RelayLoad::default();
    let mut accepted = 0;
    while load.try_begin(NOW, body(0), None) == RelayAdmission::Accepted {
        accepted += 1;
    }
    expect_that!(accepted, eq(256));
    expect_that!(load.try_begin(NOW, body(0), None), eq(RelayAdmission::Full));
    load.end(0);
    expect_that!(
        load.try_begin(NOW, body(0), None),
        eq(RelayAdmission::Accepted)
    );
}

#[gtest]
fn bodies_beyond_the_limit_are_refused_until_others_end() {
    const BODY_BYTES: u64 = 8 * 1024 * 1024;
    let mut load = RelayLoad::default();
    for _ in 0..4 {
        expect_that!(
            load.try_begin(NOW, body(BODY_BYTES), None),
            eq(RelayAdmission::Accepted)
        );
    }
    expect_that!(load.try_begin(NOW, body(1), None), eq(RelayAdmission::Full));
    expect_that!(
        load.try_begin(NOW, body(0), None),
        eq(RelayAdmission::Accepted)
    );
    expect_that!(
        load.try_begin(NOW, body(u64::MAX), None),
        eq(RelayAdmission::Full)
    );
    load.end(BODY_BYTES);
    expect_that!(
        load.try_begin(NOW, body(BODY_BYTES), None),
        eq(RelayAdmission::Accepted)
    );
}

#[gtest]
fn longest_body_is_accepted_beside_none() {
    const LONGEST_BYTES: u64 = 64 * 1024 * 1024;
    let mut load = RelayLoad::default().with_longest_body(LONGEST_BYTES);
    expect_that!(
        load.try_begin(NOW, body(LONGEST_BYTES), None),
        eq(RelayAdmission::Accepted)
    );
    expect_that!(load.try_begin(NOW, body(1), None), eq(RelayAdmission::Full));
    load.end(LONGEST_BYTES);
    expect_that!(
        load.try_begin(NOW, body(LONGEST_BYTES + 1), None),
        eq(RelayAdmission::Full)
    );
}

#[gtest]
fn nothing_is_relayed_while_the_entry_vm_is_overloaded() {
    let mut load = RelayLoad::default();
    load.record_tick_lag(Duration::from_millis(51));
    expect_that!(
        load.try_begin(NOW, body(0), None),
        eq(RelayAdmission::Overloaded)
    );
    load.record_tick_lag(Duration::from_millis(50));
    expect_that!(
        load.try_begin(NOW, body(0), None),
        eq(RelayAdmission::Accepted)
    );
}

#[gtest]
fn large_answers_are_refused_sooner_than_small_ones_when_the_link_is_occupied() {
    let small = RelaySize::default();
    let large = RelaySize {
        body_bytes: 0,
        answer_bytes: 50_000,
    };
    let mut load = RelayLoad::default();
    // A link of 1 MB/s.
    let mut link = LinkBacklog::new(1e6);
    for (more_bytes, small_one, large_one) in [
        (50_000, RelayAdmission::Accepted, RelayAdmission::Accepted),
        (1, RelayAdmission::Accepted, RelayAdmission::LinkFull),
        (99_999, RelayAdmission::Accepted, RelayAdmission::LinkFull),
        (1, RelayAdmission::LinkFull, RelayAdmission::LinkFull),
    ] {
        link.expect(more_bytes);
        expect_that!(load.try_begin(NOW, small, Some(&link)), eq(small_one));
        expect_that!(load.try_begin(NOW, large, Some(&link)), eq(large_one));
    }
}

#[gtest]
fn idle_link_takes_an_answer_of_any_length() {
    let huge = RelaySize {
        body_bytes: 0,
        answer_bytes: 10_000_000,
    };
    let mut load = RelayLoad::default();
    let mut link = LinkBacklog::new(1e6);
    expect_that!(
        load.try_begin(NOW, huge, Some(&link)),
        eq(RelayAdmission::Accepted)
    );
    link.expect(1);
    expect_that!(
        load.try_begin(NOW, huge, Some(&link)),
        eq(RelayAdmission::LinkFull)
    );
}

#[gtest]
fn small_answers_that_were_handed_to_the_link_occupy_it_until_it_has_carried_them() {
    let mut load = RelayLoad::default();
    let mut link = LinkBacklog::new(1e6);
    for _ in 0..250 {
        link.record_sent(NOW, 2_000);
    }
    let mut admission_after = |wait_ms: u64| {
        let now = NOW + Duration::from_millis(wait_ms);
        load.try_begin(now, RelaySize::default(), Some(&link))
    };
    expect_that!(admission_after(0), eq(RelayAdmission::LinkFull));
    expect_that!(admission_after(349), eq(RelayAdmission::LinkFull));
    expect_that!(admission_after(351), eq(RelayAdmission::Accepted));
}
