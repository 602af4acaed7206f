//! Announcements of backend servers.

use chicory_dispatch::AnnouncementError;
use googletest::prelude::*;

use crate::support::*;

#[gtest]
fn new_server_is_reported_to_the_zone_group_at_once() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.run_for(ms(50));
    let before = world.group.renewals.len();
    world
        .servers
        .insert("b2".to_owned(), FakeServer::new(ms(5)));
    let answer = world
        .announce_record(record(BOARD, "b2"), 0)
        .expect("accepted");
    expect_that!(answer.lease, eq(ms(0)));
    expect_that!(answer.grants, none());
    let reported = world.group.renewals.get(before);
    expect_that!(reported.map(|r| r.announcements.len()), some(eq(1)));
}

#[gtest]
fn unchanged_announcement_of_a_dispatched_server_is_not_reported() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.run_for(ms(500));
    let before = world.group.renewals.len();
    for _ in 0..5 {
        world.announce("b1", 0);
        world.run_for(ms(400));
    }
    let reported: usize = world.group.renewals[before..]
        .iter()
        .map(|renewal| renewal.announcements.len())
        .sum();
    expect_that!(reported, eq(0));
    world.announce_as("b1", |record| record.draining = true);
    let reported = world.group.renewals.last().map(|r| r.announcements.len());
    expect_that!(reported, some(eq(1)));
}

#[gtest]
fn dispatcher_answers_with_all_grants_once() {
    let mut world = World::new(&[(BOARD, "b1")]);
    let answer = world.announce("b1", 0);
    expect_that!(answer.dispatcher_address, some(eq("entry-1:2")));
    expect_that!(answer.grants.as_ref().map(Vec::len), some(eq(1)));
    expect_that!(answer.lease, all![gt(ms(1_500)), le(ms(2_200))]);
    let again = world.announce("b1", answer.grants_version);
    expect_that!(again.grants, none());
    expect_that!(again.lease, gt(ms(0)));
}

#[gtest]
fn lease_of_a_server_ends_before_that_of_its_dispatcher() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.group.is_reachable = false;
    world.run_for(ms(1_500));
    expect_that!(world.announce("b1", 0).lease, le(ms(700)));
    world.run_for(ms(1_500));
    expect_that!(world.announce("b1", 0).lease, eq(ms(0)));
}

#[gtest]
fn server_is_referred_to_its_dispatcher() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.change_view([dispatcher("b1", Some(PEER), 9)]);
    let answer = world.announce("b1", 0);
    expect_that!(answer.dispatcher_address, some(eq("entry-2:2")));
    expect_that!(answer.lease, eq(ms(0)));
}

#[gtest]
fn wrong_announcements_are_refused() {
    let mut world = World::new(&[(BOARD, "b1")]);
    let mut far = record(BOARD, "b9");
    far.zone = FAR_ZONE.to_owned();
    let wrong_zone = world.announce_record(far, 0);
    expect_that!(
        wrong_zone,
        err(matches_pattern!(AnnouncementError::WrongZone { .. }))
    );
    let unknown = world.announce_record(record("nothing", "b9"), 0);
    expect_that!(
        unknown,
        err(matches_pattern!(AnnouncementError::UnknownService { .. }))
    );
    let mut old = record(BOARD, "b1");
    old.incarnation = 0;
    let superseded = world.announce_record(old, 0);
    let expected = matches_pattern!(AnnouncementError::SupersededIncarnation { .. });
    expect_that!(superseded, err(expected));
    expect_that!(world.path.counters().announcements_refused, eq(3));
}

#[gtest]
fn missed_announcements_only_start_a_probe() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.announce("b1", 0);
    world.run_for(ms(2_000));
    expect_that!(world.server("b1").probes, ge(1));
    expect_that!(world.path.counters().servers_down, eq(0));
    world.freeze("b1");
    world.run_for(ms(2_000));
    expect_that!(world.path.counters().servers_down, eq(1));
}

#[gtest]
fn addresses_are_left_out_of_renewals_once_the_view_shows_them() {
    let mut world = World::new(&[(BOARD, "b1")]);
    world.run_for(ms(900));
    let is_brief = |renewal: &chicory_ownership::RenewRequest| renewal.entry.lacks_addresses();
    expect_that!(world.group.renewals.first().map(is_brief), some(eq(false)));
    expect_that!(world.group.renewals.last().map(is_brief), some(eq(true)));
    world.change_view([chicory_ownership::ViewChange::Reset]);
    world.run_for(ms(900));
    expect_that!(world.group.renewals.last().map(is_brief), some(eq(false)));
}
