//! Tests of the lease rules that the global leader follows, one rule per test.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chicory_ownership::*;
use chicory_table::*;
use common::fixtures::*;
use googletest::prelude::*;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Global group with zones a and b, which share the slots of the archive.
struct Cluster {
    state: GlobalState,
    leader: GlobalLeader,
}

impl Cluster {
    fn new(lease: CustodyLease) -> Self {
        let mut cluster = Self {
            state: GlobalState::default(),
            leader: GlobalLeader::new(secs(0), GlobalLeaderConfig::default()),
        };
        cluster.edit(0, lease);
        for now in 1..=5 {
            cluster.sync(secs(now), "a", 1);
            cluster.sync(secs(now), "b", 1);
            let commands = cluster.leader.plan(secs(now), 0, &cluster.state);
            cluster.apply_all(&commands);
        }
        cluster
    }

    fn edit(&mut self, base_revision: u64, lease: CustodyLease) {
        let policy = ServicePolicy {
            custody_lease: lease,
            ..policy(&["a", "b"])
        };
        let change = TableChange::PutService {
            service: ARCHIVE.to_owned(),
            policy,
        };
        let edit = edit(&format!("e{base_revision}"), base_revision, vec![change]);
        self.apply_all(&[GlobalCommand::EditTable { edit, at_ms: 0 }]);
    }

    fn apply_all(&mut self, commands: &[GlobalCommand]) {
        for command in commands {
            self.state.apply(self.state.applied() + 1, command);
        }
    }

    fn sync(&mut self, now: Duration, zone: &str, in_force_revision: u64) -> CustodyLease {
        let request = ZoneSyncRequest {
            zone: zone.to_owned(),
            group_epoch: 1,
            leader: "vm".to_owned(),
            in_force_revision,
            known_custody_version: self.state.custody_version(),
            known_directories: BTreeMap::new(),
            entries: Vec::new(),
            served: BTreeSet::from([ARCHIVE.to_owned()]),
            releases: Vec::new(),
        };
        match self.leader.on_zone_sync(now, &self.state, &request) {
            ZoneSyncAnswer::Current { custody_leases, .. } => custody_leases[ARCHIVE],
            _ => CustodyLease::Limited(Duration::ZERO),
        }
    }

    fn takeovers(&mut self, now: Duration) -> Vec<GlobalCommand> {
        let commands = self.leader.plan(now, 0, &self.state);
        let is_takeover = |c: &GlobalCommand| {
            let lease_ended = CustodyCause::LeaseEnded;
            matches!(c, GlobalCommand::AssignCustody { cause, .. } if *cause == lease_ended)
        };
        commands.into_iter().filter(is_takeover).collect()
    }
}

#[gtest]
fn custody_in_transfer_is_not_renewed() {
    let mut cluster = Cluster::new(CustodyLease::Limited(CUSTODY_LEASE));
    expect_that!(cluster.takeovers(secs(11)), is_empty());
    cluster.sync(secs(12), "b", 1);
    let commands = cluster.takeovers(secs(12));
    expect_that!(commands, not(is_empty()));
    let none = CustodyLease::Limited(Duration::ZERO);
    expect_that!(cluster.sync(secs(12), "a", 1), eq(none));
    cluster.apply_all(&commands);
    let runs = cluster.state.runs_of(&ARCHIVE.to_owned(), &"a".to_owned());
    expect_that!(runs, is_empty());
}

#[gtest]
fn a_new_global_leader_waits_until_custody_leases_expire() {
    let mut cluster = Cluster::new(CustodyLease::Limited(CUSTODY_LEASE));
    cluster.leader = GlobalLeader::new(secs(20), GlobalLeaderConfig::default());
    cluster.sync(secs(25), "b", 1);
    expect_that!(cluster.takeovers(secs(26)), is_empty());
    cluster.sync(secs(27), "b", 1);
    expect_that!(cluster.takeovers(secs(27)), not(is_empty()));
}

#[gtest]
fn a_lease_change_applies_to_a_zone_once_it_is_in_force_there() {
    let mut cluster = Cluster::new(CustodyLease::Unlimited);
    cluster.edit(1, CustodyLease::Limited(CUSTODY_LEASE));
    // Zone a is cut off and still has the unlimited lease in force.
    for now in 6..30 {
        cluster.sync(secs(now), "b", 2);
        let commands = cluster.leader.plan(secs(now), 0, &cluster.state);
        cluster.apply_all(&commands);
    }
    let runs = cluster.state.runs_of(&ARCHIVE.to_owned(), &"a".to_owned());
    expect_that!(runs, not(is_empty()));
    cluster.sync(secs(30), "a", 2);
    let commands = cluster.leader.plan(secs(30), 0, &cluster.state);
    cluster.apply_all(&commands);
    cluster.sync(secs(37), "b", 2);
    expect_that!(cluster.takeovers(secs(37)), not(is_empty()));
}

#[gtest]
fn a_resent_eviction_and_a_stale_group_change_nothing() {
    let mut cluster = Cluster::new(CustodyLease::Unlimited);
    let evict = GlobalCommand::EvictZone {
        zone: "a".to_owned(),
        operator: "ana".to_owned(),
        edit_id: "x".to_owned(),
        at_ms: 0,
    };
    cluster.apply_all(std::slice::from_ref(&evict));
    let version = cluster.state.custody_version();
    cluster.apply_all(&[
        GlobalCommand::ReadmitZone {
            zone: "a".to_owned(),
        },
        evict,
    ]);
    expect_that!(cluster.state.custody_version(), eq(version));
    expect_that!(cluster.state.zones()["a"].is_evicted, eq(false));
    let reformed = GlobalCommand::RegisterZone {
        zone: "b".to_owned(),
        group_epoch: 2,
        at_ms: 0,
    };
    let before: BTreeMap<_, _> = cluster.state.custody().clone();
    cluster.apply_all(&[reformed]);
    expect_that!(cluster.state.custody(), not(eq(&before)));
    expect_that!(
        cluster.sync(secs(6), "b", 1),
        eq(CustodyLease::Limited(Duration::ZERO))
    );
}
