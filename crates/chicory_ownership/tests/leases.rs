//! Tests of the lease rules that zone leaders follow, one rule per test.

mod common;

use std::time::Duration;

use chicory_ownership::*;
use chicory_table::*;
use chicory_types::ClockRateMargin;
use common::fixtures::*;
use googletest::prelude::*;

const SERVER: &str = "s0";

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Zone with entry processes `vm0` and `vm1` and a leader elected at 0 s. `vm0` is the dispatcher
/// of a server of the archive that owns all slots.
struct Zone {
    state: ZoneState,
    leader: ZoneLeader,
}

impl Zone {
    fn new(table: TableContent) -> Self {
        Self::of_group(table, 1)
    }

    fn of_group(table: TableContent, group_epoch: u64) -> Self {
        let mut zone = Self {
            state: ZoneState::new("a".to_owned(), group_epoch),
            leader: ZoneLeader::new(secs(0), ZoneLeaderConfig::default()),
        };
        let table = Table {
            revision: 1,
            services: table.services,
            overrides: table.overrides,
        };
        zone.apply(&ZoneCommand::AdoptTable { table });
        zone.adopt_custody(1);
        for vm in ["vm0", "vm1"] {
            let record = entry_record(vm, 1);
            zone.apply(&ZoneCommand::RegisterEntry { record });
        }
        let record = server_record(SERVER, ARCHIVE, "a", 1);
        zone.apply(&ZoneCommand::RegisterServer { record });
        zone.apply(&ZoneCommand::AssignDispatcher {
            server: SERVER.to_owned(),
            vm: "vm0".to_owned(),
            incarnation: 1,
        });
        zone.apply(&ZoneCommand::AssignSlots {
            service: ARCHIVE.to_owned(),
            runs: vec![ALL_SLOTS],
            server: SERVER.to_owned(),
        });
        zone
    }

    fn unlimited() -> Self {
        let mut table = content(&["a"]);
        let archive = table.services.get_mut(ARCHIVE).unwrap();
        archive.custody_lease = CustodyLease::Unlimited;
        Self::new(table)
    }

    fn apply(&mut self, command: &ZoneCommand) -> ZoneOutcome {
        self.state.apply(self.state.applied() + 1, command)
    }

    fn apply_all(&mut self, commands: &[ZoneCommand]) {
        for command in commands {
            self.apply(command);
        }
    }

    fn adopt_custody(&mut self, version: u64) {
        let custody = Custody {
            zone: "a".to_owned(),
            generation: version,
            cause: CustodyCause::Initial,
            moving_to: None,
        };
        let update = CustodyUpdate {
            version,
            runs: vec![CustodyRun {
                service: ARCHIVE.to_owned(),
                run: ALL_SLOTS,
                custody,
            }],
            handovers: Vec::new(),
        };
        self.apply(&ZoneCommand::AdoptCustody { update, at_ms: 0 });
    }

    fn renew(&mut self, now: Duration, request: &RenewRequest) -> (Duration, Vec<ZoneCommand>) {
        match self.leader.on_renew(now, &self.state, request) {
            (RenewAnswer::Granted { lease, .. }, commands) => (lease, commands),
            (other, _) => panic!("the renewal was not granted: {other:?}"),
        }
    }

    fn lease_of(&mut self, now: Duration, vm: &str) -> Duration {
        let request = renewal(vm, 1, self.state.view_version());
        self.renew(now, &request).0
    }

    /// Handles an answer of the global group to a sync sent at `sent_at`.
    fn sync(&mut self, sent_at: Duration, custody_version: u64) {
        let answer = ZoneSyncAnswer::Current {
            custody_leases: [(ARCHIVE.to_owned(), CustodyLease::Limited(CUSTODY_LEASE))].into(),
            custody_version,
            table: None,
            custody: None,
            zones: Vec::new(),
        };
        self.leader
            .on_sync_answer(sent_at, sent_at, &self.state, &answer);
    }

    fn release_slots(&mut self) {
        self.apply(&ZoneCommand::ReleaseSlots {
            service: ARCHIVE.to_owned(),
            runs: vec![ALL_SLOTS],
            server: SERVER.to_owned(),
        });
    }
}

fn is_release_confirmation(command: &ZoneCommand) -> bool {
    matches!(command, ZoneCommand::ConfirmReleased { .. })
}

fn is_dispatcher_assignment(command: &ZoneCommand) -> bool {
    matches!(command, ZoneCommand::AssignDispatcher { .. })
}

fn is_dispatcher_release(command: &ZoneCommand) -> bool {
    matches!(command, ZoneCommand::ReleaseDispatcher { .. })
}

fn released() -> Vec<ReleasedSlots> {
    vec![ReleasedSlots {
        service: ARCHIVE.to_owned(),
        runs: vec![ALL_SLOTS],
        server: SERVER.to_owned(),
    }]
}

#[gtest]
fn a_process_whose_roles_are_being_revoked_gets_no_lease() {
    let mut zone = Zone::unlimited();
    expect_that!(zone.lease_of(secs(1), "vm1"), eq(DISPATCHER_LEASE));
    let commands = zone.leader.plan(secs(3), &zone.state);
    expect_that!(commands.iter().any(is_dispatcher_release), eq(true));
    // The renewal arrives before the proposed commands are applied.
    expect_that!(zone.lease_of(secs(3), "vm0"), eq(Duration::ZERO));
    zone.apply_all(&commands);
    zone.leader.plan(secs(3), &zone.state);
    expect_that!(zone.lease_of(secs(3), "vm0"), eq(DISPATCHER_LEASE));
    let server = &zone.state.servers()[SERVER];
    expect_that!(server.dispatcher.as_ref().unwrap().vm, eq("vm1"));
}

#[gtest]
fn a_new_leader_waits_until_unknown_leases_expire() {
    let mut zone = Zone::unlimited();
    let end = ClockRateMargin::lease_expiry_for_grantor(secs(0), DISPATCHER_LEASE);
    let just_before = end.saturating_sub(Duration::from_millis(1));
    let commands = zone.leader.plan(just_before, &zone.state);
    expect_that!(commands.iter().any(is_dispatcher_release), eq(false));
    let commands = zone.leader.plan(end, &zone.state);
    expect_that!(commands.iter().any(is_dispatcher_release), eq(true));
}

#[gtest]
fn a_later_incarnation_gets_no_lease_until_earlier_roles_are_released() {
    let mut zone = Zone::unlimited();
    zone.lease_of(secs(3), "vm0");
    let later = renewal("vm0", 2, 0);
    let (lease, commands) = zone.renew(secs(4), &later);
    expect_that!(lease, eq(Duration::ZERO));
    zone.apply_all(&commands);
    let (answer, _) = zone
        .leader
        .on_renew(secs(4), &zone.state, &renewal("vm0", 1, 0));
    let refused = RenewAnswer::Refused(RenewRefusal::SupersededIncarnation);
    expect_that!(answer, eq(&refused));
    let commands = zone.leader.plan(secs(6), &zone.state);
    zone.apply_all(&commands);
    expect_that!(zone.renew(secs(6), &later).0, eq(DISPATCHER_LEASE));
}

#[gtest]
fn a_release_is_accepted_only_from_a_view_that_shows_it() {
    let mut zone = Zone::unlimited();
    let before = zone.state.view_version();
    zone.release_slots();
    let mut request = renewal("vm0", 1, before);
    request.released = released();
    let (_, commands) = zone.renew(secs(3), &request);
    expect_that!(commands.iter().any(is_release_confirmation), eq(false));
    request.known_view = zone.state.view_version();
    let (_, commands) = zone.renew(secs(3), &request);
    expect_that!(commands.iter().any(is_release_confirmation), eq(true));
    // Only the dispatcher of a server may report its slots as released.
    request.entry = entry_record("vm1", 1);
    let (_, commands) = zone.renew(secs(3), &request);
    expect_that!(commands.iter().any(is_release_confirmation), eq(false));
}

#[gtest]
fn a_delayed_resignation_is_ignored() {
    let mut zone = Zone::unlimited();
    let since = zone.state.servers()[SERVER]
        .dispatcher
        .as_ref()
        .unwrap()
        .since;
    let mut request = renewal("vm0", 1, since - 1);
    request.resigned = vec![SERVER.to_owned()];
    let (_, commands) = zone.renew(secs(3), &request);
    expect_that!(commands.iter().any(is_dispatcher_release), eq(false));
    request.known_view = since;
    let (_, commands) = zone.renew(secs(3), &request);
    expect_that!(commands.iter().any(is_dispatcher_release), eq(true));
}

#[gtest]
fn slots_are_freed_only_after_the_leases_of_a_resigned_dispatcher() {
    let mut zone = Zone::unlimited();
    zone.lease_of(secs(3), "vm1");
    zone.lease_of(secs(3), "vm0");
    let mut request = renewal("vm0", 1, zone.state.view_version());
    request.resigned = vec![SERVER.to_owned()];
    let (_, commands) = zone.renew(secs(3), &request);
    zone.apply_all(&commands);
    let commands = zone.leader.plan(secs(3), &zone.state);
    zone.apply_all(&commands);
    zone.release_slots();
    let dispatcher = zone.state.servers()[SERVER].dispatcher.clone().unwrap();
    let mut request = renewal(&dispatcher.vm, 1, zone.state.view_version());
    request.released = released();
    let (_, commands) = zone.renew(secs(4), &request);
    expect_that!(commands.iter().any(is_release_confirmation), eq(false));
    let commands = zone.leader.plan(secs(5), &zone.state);
    expect_that!(commands.iter().any(is_release_confirmation), eq(false));
    let commands = zone.leader.plan(secs(6), &zone.state);
    expect_that!(commands.iter().any(is_release_confirmation), eq(true));
}

#[gtest]
fn a_server_that_was_removed_gets_a_dispatcher_after_a_full_lease() {
    let mut zone = Zone::unlimited();
    zone.apply(&ZoneCommand::ReleaseSlots {
        service: ARCHIVE.to_owned(),
        runs: vec![ALL_SLOTS],
        server: SERVER.to_owned(),
    });
    let token = zone
        .state
        .holds(&ARCHIVE.to_owned())
        .unwrap()
        .get(0)
        .unwrap()
        .token;
    zone.apply(&ZoneCommand::ConfirmReleased {
        service: ARCHIVE.to_owned(),
        runs: vec![ALL_SLOTS],
        server: SERVER.to_owned(),
        token,
    });
    let mut now = secs(3);
    while zone.state.servers().contains_key(SERVER) {
        zone.lease_of(now, "vm0");
        let commands = zone.leader.plan(now, &zone.state);
        // The slots must stay free, so that the server can be removed.
        let kept = commands
            .into_iter()
            .filter(|c| !matches!(c, ZoneCommand::AssignSlots { .. }));
        let kept: Vec<ZoneCommand> = kept.collect();
        zone.apply_all(&kept);
        now += secs(1);
    }
    let record = server_record(SERVER, ARCHIVE, "a", 1);
    zone.apply(&ZoneCommand::RegisterServer { record });
    let commands = zone.leader.plan(now, &zone.state);
    expect_that!(commands.iter().any(is_dispatcher_assignment), eq(false));
    zone.lease_of(now + secs(2), "vm0");
    let commands = zone.leader.plan(now + secs(3), &zone.state);
    expect_that!(commands.iter().any(is_dispatcher_assignment), eq(true));
}

#[gtest]
fn a_dispatchers_lease_ends_before_the_custody_of_its_slots() {
    let mut zone = Zone::new(content(&["a"]));
    expect_that!(zone.lease_of(secs(3), "vm0"), eq(Duration::ZERO));
    zone.sync(secs(3), 1);
    expect_that!(zone.lease_of(secs(3), "vm0"), eq(DISPATCHER_LEASE));
    let custody_end = ClockRateMargin::lease_expiry_for_holder(secs(3), CUSTODY_LEASE);
    let late = secs(8);
    let lease = zone.lease_of(late, "vm0");
    expect_that!(late + lease, le(custody_end));
    expect_that!(lease, gt(Duration::ZERO));
    // The lease of a process without slots of the service is not limited.
    expect_that!(zone.lease_of(late, "vm1"), eq(DISPATCHER_LEASE));
}

#[gtest]
fn slots_are_released_before_their_custody_ends() {
    let mut zone = Zone::new(content(&["a"]));
    zone.sync(secs(3), 1);
    let is_release = |c: &ZoneCommand| matches!(c, ZoneCommand::ReleaseSlots { .. });
    zone.lease_of(secs(4), "vm0");
    let commands = zone.leader.plan(secs(4), &zone.state);
    expect_that!(commands.iter().any(is_release), eq(false));
    zone.lease_of(secs(6), "vm0");
    let commands = zone.leader.plan(Duration::from_millis(6_400), &zone.state);
    expect_that!(commands.iter().any(is_release), eq(true));
}

#[gtest]
fn a_custody_lease_takes_effect_once_its_custody_is_in_force() {
    let mut zone = Zone::new(content(&["a"]));
    zone.sync(secs(3), 2);
    expect_that!(zone.lease_of(secs(3), "vm0"), eq(Duration::ZERO));
    zone.adopt_custody(2);
    expect_that!(zone.lease_of(secs(3), "vm0"), eq(DISPATCHER_LEASE));
}

/// Returns the commands that a leader elected at 0 s proposes at `now` in a group without history.
fn first_plan(group_epoch: u64, now: Duration) -> Vec<ZoneCommand> {
    let mut zone = Zone::unlimited();
    let table = zone.state.table().clone();
    zone.state = ZoneState::new("a".to_owned(), group_epoch);
    zone.apply(&ZoneCommand::AdoptTable { table });
    zone.adopt_custody(1);
    let record = server_record(SERVER, ARCHIVE, "a", 1);
    zone.apply(&ZoneCommand::RegisterServer { record });
    let (_, commands) = zone.renew(now, &renewal("vm0", 1, 0));
    zone.apply_all(&commands);
    zone.leader.plan(now, &zone.state)
}

#[gtest]
fn a_reformed_group_grants_nothing_until_former_leases_expire() {
    let grants = |commands: &[ZoneCommand]| {
        let is_grant = |c: &&ZoneCommand| {
            is_dispatcher_assignment(c) || matches!(c, ZoneCommand::AssignSlots { .. })
        };
        commands.iter().filter(is_grant).count()
    };
    expect_that!(grants(&first_plan(2, secs(2))), eq(0));
    expect_that!(grants(&first_plan(2, secs(3))), eq(2));
    // The first group has no predecessor.
    expect_that!(grants(&first_plan(1, secs(1))), eq(2));
}

#[gtest]
fn role_epochs_exceed_those_of_earlier_groups() {
    let epoch_of = |group_epoch| {
        let zone = Zone::of_group(content(&["a"]), group_epoch);
        zone.state.servers()[SERVER].epoch
    };
    expect_that!(epoch_of(2), gt(epoch_of(1)));
}
