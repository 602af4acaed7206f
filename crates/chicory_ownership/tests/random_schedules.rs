//! Runs random schedules of failures and checks after each step that no slot has two owners, that
//! no order runs twice, and that tables never return to an earlier revision.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_ownership::*;
use chicory_table::{CustodyLease, EditOutcome, TableChange};
use chicory_types::SlotRun;
use common::fixtures::*;
use common::world::*;
use common::world_groups::ZoneGroup;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;

/// Failure, change or waiting time in a schedule.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Run {
        span_ms: u64,
    },
    PauseEntry {
        entry: usize,
        span_ms: u64,
    },
    CrashEntry {
        entry: usize,
    },
    RestartEntry {
        entry: usize,
    },
    FreezeServer {
        server: usize,
        span_ms: u64,
    },
    RestartServer {
        server: usize,
    },
    DrainServer {
        server: usize,
    },
    LoseZoneLeader {
        zone: usize,
        kept: usize,
        election_ms: u64,
    },
    LoseGlobalLeader {
        kept: usize,
        election_ms: u64,
    },
    CutOff {
        zone: usize,
    },
    Reconnect {
        zone: usize,
    },
    Reform {
        zone: usize,
    },
    MoveCustody {
        service: usize,
        from: usize,
        to: usize,
        first: u16,
        len: u16,
    },
    EditLease {
        service: usize,
        lease_ms: Option<u64>,
        is_stale: bool,
    },
    Claim {
        zone: usize,
        key: u8,
        attempt: u64,
        copies: u8,
    },
    NotRun {
        zone: usize,
        key: u8,
    },
    Answered {
        zone: usize,
        key: u8,
    },
    Network {
        loss_percent: u32,
        copy_percent: u32,
    },
}

fn fault() -> impl Strategy<Value = Fault> {
    let zone = 0..ZONES.len();
    let span = 100..6_000_u64;
    prop_oneof![
        6 => (50..2_500_u64).prop_map(|span_ms| Fault::Run { span_ms }),
        2 => (0..6_usize, span.clone()).prop_map(|(entry, span_ms)| Fault::PauseEntry { entry, span_ms }),
        1 => (0..6_usize).prop_map(|entry| Fault::CrashEntry { entry }),
        2 => (0..6_usize).prop_map(|entry| Fault::RestartEntry { entry }),
        2 => (0..12_usize, span.clone()).prop_map(|(server, span_ms)| Fault::FreezeServer { server, span_ms }),
        1 => (0..12_usize).prop_map(|server| Fault::RestartServer { server }),
        1 => (0..12_usize).prop_map(|server| Fault::DrainServer { server }),
        2 => (zone.clone(), 0..6_usize, 100..1_200_u64)
            .prop_map(|(zone, kept, election_ms)| Fault::LoseZoneLeader { zone, kept, election_ms }),
        1 => (0..4_usize, 100..1_200_u64)
            .prop_map(|(kept, election_ms)| Fault::LoseGlobalLeader { kept, election_ms }),
        2 => zone.clone().prop_map(|zone| Fault::CutOff { zone }),
        2 => zone.clone().prop_map(|zone| Fault::Reconnect { zone }),
        1 => zone.clone().prop_map(|zone| Fault::Reform { zone }),
        2 => (0..3_usize, zone.clone(), zone.clone(), 0..16_000_u16, 1..6_000_u16)
            .prop_map(|(service, from, to, first, len)| Fault::MoveCustody { service, from, to, first, len }),
        1 => (0..2_usize, prop::option::of(5_000..9_000_u64), any::<bool>())
            .prop_map(|(service, lease_ms, is_stale)| Fault::EditLease { service, lease_ms, is_stale }),
        3 => (zone.clone(), 0..6_u8, 0..4_u64, 1..3_u8)
            .prop_map(|(zone, key, attempt, copies)| Fault::Claim { zone, key, attempt, copies }),
        1 => (zone.clone(), 0..6_u8).prop_map(|(zone, key)| Fault::NotRun { zone, key }),
        1 => (zone, 0..6_u8).prop_map(|(zone, key)| Fault::Answered { zone, key }),
        1 => (0..30_u32, 0..30_u32)
            .prop_map(|(loss_percent, copy_percent)| Fault::Network { loss_percent, copy_percent }),
    ]
}

fn order_key(key: u8) -> String {
    format!("order-{key}")
}

fn ms(span_ms: u64) -> Duration {
    Duration::from_millis(span_ms)
}

fn apply_fault(world: &mut World, fault: Fault) {
    let now = world.now;
    match fault {
        Fault::Run { span_ms } => world.run_for(ms(span_ms)),
        Fault::PauseEntry { entry, span_ms } => {
            world.entries[entry].paused_until = now + ms(span_ms);
        }
        Fault::CrashEntry { entry } => world.entries[entry].is_alive = false,
        Fault::RestartEntry { entry } => world.entries[entry].restart(now),
        Fault::FreezeServer { server, span_ms } => {
            world.servers[server].frozen_until = now + ms(span_ms);
        }
        Fault::RestartServer { server } => restart_server(world, server),
        Fault::DrainServer { server } => {
            let record = &mut world.servers[server].record;
            record.draining = !record.draining;
        }
        Fault::LoseZoneLeader {
            zone,
            kept,
            election_ms,
        } => {
            let group = world.zones.get_mut(ZONES[zone]).unwrap();
            group.lose_leader(now, kept, ms(election_ms));
        }
        Fault::LoseGlobalLeader { kept, election_ms } => {
            world.global.lose_leader(now, kept, ms(election_ms));
        }
        Fault::CutOff { zone } => world.zones.get_mut(ZONES[zone]).unwrap().is_cut_off = true,
        Fault::Reconnect { zone } => world.zones.get_mut(ZONES[zone]).unwrap().is_cut_off = false,
        Fault::Reform { zone } => reform(world, ZONES[zone]),
        Fault::MoveCustody {
            service,
            from,
            to,
            first,
            len,
        } => {
            let run = SlotRun::new(first, first.saturating_add(len).min(ALL_SLOTS.last));
            let command = GlobalCommand::RequestCustodyMove {
                service: [BOARD, ARCHIVE, ORDERS][service].to_owned(),
                runs: vec![run],
                from_zone: ZONES[from].to_owned(),
                to_zone: ZONES[to].to_owned(),
            };
            world.global.propose(now, vec![command]);
        }
        Fault::EditLease {
            service,
            lease_ms,
            is_stale,
        } => {
            edit_lease(world, [BOARD, ARCHIVE][service], lease_ms, is_stale);
        }
        Fault::Claim {
            zone,
            key,
            attempt,
            copies,
        } => {
            let vm = format!("{}-vm{}", ZONES[zone], attempt % 2);
            for _ in 0..copies {
                world.claim(ZONES[zone], claim_by(ORDERS, &order_key(key), &vm, attempt));
            }
        }
        Fault::NotRun { zone, key } => resolve(world, zone, key, ClaimResolution::NotRun),
        Fault::Answered { zone, key } => {
            let answer = StoredAnswer {
                status: 200,
                content_type: String::new(),
                body: Some(vec![key]),
            };
            resolve(world, zone, key, ClaimResolution::Answered(answer));
        }
        Fault::Network {
            loss_percent,
            copy_percent,
        } => {
            world.loss_percent = loss_percent;
            world.copy_percent = copy_percent;
        }
    }
}

fn restart_server(world: &mut World, server: usize) {
    let model = &mut world.servers[server];
    model.record.incarnation += 1;
    model.is_alive = true;
    model.lease_end = Duration::ZERO;
    model.granted_at = Duration::ZERO;
    model.slots = RunMap::default();
}

fn reform(world: &mut World, zone: &str) {
    let now = world.now;
    let clock = world.any_clock();
    let group = world.zones.get_mut(zone).unwrap();
    let mut formed = ZoneGroup::new(zone, group.state.group_epoch() + 1);
    formed.term = group.term;
    formed.is_cut_off = group.is_cut_off;
    formed.elect(now, clock);
    *group = formed;
}

fn edit_lease(world: &mut World, service: &str, lease_ms: Option<u64>, is_stale: bool) {
    let table = world.global.state.table();
    let Some(policy) = table.services.get(service) else {
        return;
    };
    let mut policy = policy.clone();
    policy.custody_lease = lease_ms.map_or(CustodyLease::Unlimited, |lease_ms| {
        CustodyLease::Limited(ms(lease_ms))
    });
    let base_revision = table.revision.saturating_sub(u64::from(is_stale));
    let id = format!("edit-{}", world.rng.random::<u64>());
    let change = TableChange::PutService {
        service: service.to_owned(),
        policy,
    };
    // The edit, its resend, and a conflicting edit based on the same revision.
    world.edit(edit(&id, base_revision, vec![change.clone()]));
    world.edit(edit(&id, base_revision, vec![change.clone()]));
    world.edit(edit(&format!("{id}-rival"), base_revision, vec![change]));
}

fn resolve(world: &mut World, zone: usize, key: u8, resolution: ClaimResolution) {
    let key = order_key(key);
    let Some(claimant) = world
        .runs
        .get_mut(&key)
        .and_then(|runs| runs.first().cloned())
    else {
        return;
    };
    if resolution == ClaimResolution::NotRun {
        world.runs.remove(&key);
    }
    let at = world.now + ms(30);
    let command = ZoneCommand::ResolveClaim {
        service: ORDERS.to_owned(),
        order_key: key,
        claimant,
        resolution,
    };
    let group = world.zones.get_mut(ZONES[zone]).unwrap();
    group.propose(at, vec![command]);
}

fn check_edits(world: &World) {
    let mut outcomes: BTreeMap<String, EditOutcome> = BTreeMap::new();
    let mut last = 0;
    for (edit, outcome) in &world.edits {
        if let Some(first) = outcomes.get(&edit.edit_id) {
            assert_eq!(first, outcome, "a resent edit got a different outcome");
            continue;
        }
        if let EditOutcome::Accepted { revision } = outcome {
            assert!(
                *revision > last,
                "an accepted edit did not increase the revision"
            );
            last = *revision;
        }
        outcomes.insert(edit.edit_id.clone(), outcome.clone());
    }
    assert_eq!(world.global.state.table().revision, last);
}

/// Maximum time for which a planned move takes a slot out of service.
const MOVE_LIMIT: Duration = Duration::from_secs(6);

/// Ends all failures and checks that every slot is served again.
fn recover(world: &mut World) {
    world.loss_percent = 0;
    world.copy_percent = 0;
    for entry in 0..world.entries.len() {
        if !world.entries[entry].is_alive {
            world.entries[entry].restart(world.now);
        }
    }
    for server in &mut world.servers {
        server.record.draining = false;
    }
    for group in world.zones.values_mut() {
        group.is_cut_off = false;
    }
    world.run_for(Duration::from_secs(30));
    for slot in [0, 5_460, 5_461, 10_922, 10_923, 16_383] {
        for service in [BOARD, ARCHIVE] {
            // A slot may currently be in transfer.
            let end = world.now + MOVE_LIMIT;
            while world.serving(service, slot).is_none() {
                assert!(
                    world.now < end,
                    "slot {slot} of {service} remains unserved\n{}",
                    world.describe(service, slot)
                );
                world.step();
            }
        }
    }
    for group in world.zones.values() {
        assert_eq!(group.state.table(), world.global.state.table());
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 100,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_slot_has_two_owners(seed in any::<u64>(), faults in prop::collection::vec(fault(), 1..40)) {
        let mut world = World::new(seed);
        world.run_for(Duration::from_secs(5));
        for fault in faults {
            apply_fault(&mut world, fault);
        }
        world.run_for(Duration::from_secs(5));
        check_edits(&world);
        recover(&mut world);
    }
}
