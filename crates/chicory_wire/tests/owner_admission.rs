//! Messages about admission to owners.

use chicory_directory::{AdmittedFraction, ControlMessage};
use chicory_ranges::ServerIncarnation;
use chicory_wire::proto::site;
use googletest::prelude::*;

fn message(fraction: f64) -> site::ControlMessage {
    let admitted = AdmittedFraction {
        incarnation: ServerIncarnation::new("a1", 7),
        fraction,
    };
    site::ControlMessage::from(ControlMessage::OwnerAdmission(vec![admitted]))
}

#[gtest]
fn fraction_within_its_range_is_read_as_it_was_written() {
    for fraction in [0.0, 0.05, 1.0] {
        let read = ControlMessage::try_from(message(fraction));
        let expected = AdmittedFraction {
            incarnation: ServerIncarnation::new("a1", 7),
            fraction,
        };
        expect_that!(
            read,
            ok(eq(&ControlMessage::OwnerAdmission(vec![expected])))
        );
    }
}

/// Guards against fractions that would admit everything or nothing for good.
#[gtest]
fn fraction_outside_its_range_is_an_error() {
    for fraction in [-0.01, 1.01, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let read = ControlMessage::try_from(message(fraction));
        expect_that!(read.is_err(), eq(true), "{fraction}");
    }
}
