//! Concurrent, resent and invalid edits, the audit trail, and a comparison with a naive store.

use std::collections::BTreeMap;
use std::time::Duration;

use chicory_table::*;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn policy(weight: u32) -> ServicePolicy {
    ServicePolicy {
        weight,
        max_in_flight: 0,
        max_connections: 0,
        queue_limit: 8,
        rate_limit_per_s: 0,
        keyed: true,
        idempotent: true,
        deadline: Duration::from_secs(1),
        custody_lease: CustodyLease::Unlimited,
        zones: ["n".to_owned()].into(),
    }
}

fn put(id: &str, base_revision: u64, service: &str, weight: u32) -> TableEdit {
    TableEdit {
        edit_id: id.to_owned(),
        base_revision,
        operator: "ana".to_owned(),
        changes: vec![TableChange::PutService {
            service: service.to_owned(),
            policy: policy(weight),
        }],
    }
}

#[gtest]
fn one_of_two_edits_of_the_same_revision_is_accepted() {
    let mut store = TableStore::default();
    let first = store.apply(&put("a", 0, "s", 1), 10);
    let second = store.apply(&put("b", 0, "s", 2), 11);
    expect_that!(first, eq(&EditOutcome::Accepted { revision: 1 }));
    expect_that!(
        second,
        eq(&EditOutcome::Conflict {
            current_revision: 1
        })
    );
    expect_that!(store.table().services["s"].weight, eq(1));
}

#[gtest]
fn a_resent_edit_gets_the_same_answer() {
    let mut store = TableStore::default();
    let edit = put("a", 0, "s", 1);
    let first = store.apply(&edit, 10);
    store.apply(&put("b", 1, "s", 2), 11);
    expect_that!(store.apply(&edit, 12), eq(&first));
    expect_that!(store.table().services["s"].weight, eq(2));
    expect_that!(store.audit().last_sequence(), eq(2));
}

#[gtest]
fn an_edit_id_cannot_be_reused_for_another_edit() {
    let mut store = TableStore::default();
    store.apply(&put("a", 0, "s", 1), 10);
    let reused = store.apply(&put("a", 1, "s", 2), 11);
    expect_that!(reused, eq(&EditOutcome::EditIdReused));
    expect_that!(store.table().services["s"].weight, eq(1));
}

#[gtest]
fn an_invalid_edit_changes_nothing() {
    let mut store = TableStore::default();
    store.apply(&put("a", 0, "s", 1), 10);
    let mut edit = put("b", 1, "s", 2);
    edit.changes.push(TableChange::PutOverride {
        service: "missing".to_owned(),
        server: "x".to_owned(),
        values: ServerOverride::default(),
    });
    let outcome = store.apply(&edit, 11);
    expect_that!(outcome, matches_pattern!(EditOutcome::Invalid(len(eq(1)))));
    expect_that!(store.table().revision, eq(1));
    expect_that!(store.table().services["s"].weight, eq(1));
}

#[gtest]
fn a_forgotten_edit_is_a_conflict_and_never_applied_twice() {
    let mut store = TableStore::default();
    let edit = put("first", 0, "s", 1);
    store.apply(&edit, 0);
    for revision in 1..=MAX_REMEMBERED_EDITS as u64 {
        store.apply(&put(&format!("e{revision}"), revision, "s", 2), revision);
    }
    let resent = store.apply(&edit, 0);
    expect_that!(resent, matches_pattern!(EditOutcome::Conflict { .. }));
    expect_that!(store.table().services["s"].weight, eq(2));
}

#[gtest]
fn the_audit_trail_is_bounded_and_answers_queries() {
    let mut store = TableStore::default();
    for number in 0..AUDIT_RETENTION_RECORDS as u64 + 10 {
        let operator = if number % 2 == 0 { "ana" } else { "luis" };
        store.record(number, &operator.to_owned(), AuditAction::EditRefused);
    }
    let all = AuditQuery {
        from_sequence: 0,
        operator: None,
        limit: usize::MAX,
    };
    expect_that!(store.audit().query(&all).len(), eq(AUDIT_RETENTION_RECORDS));
    let last_of_luis = AuditQuery {
        from_sequence: store.audit().last_sequence() - 3,
        operator: Some("luis".to_owned()),
        limit: 5,
    };
    let found = store.audit().query(&last_of_luis);
    expect_that!(found.len(), eq(2));
    expect_that!(
        found.iter().all(|record| record.operator == "luis"),
        eq(true)
    );
}

/// A simple reference store, which remembers every edit and keeps a full copy of every revision.
#[derive(Default)]
struct NaiveStore {
    history: Vec<BTreeMap<String, ServicePolicy>>,
    answers: BTreeMap<String, (TableEdit, EditOutcome)>,
}

impl NaiveStore {
    fn apply(&mut self, edit: &TableEdit) -> EditOutcome {
        if let Some((known, outcome)) = self.answers.get(&edit.edit_id) {
            return if known == edit {
                outcome.clone()
            } else {
                EditOutcome::EditIdReused
            };
        }
        let outcome = self.decide(edit);
        let answer = (edit.clone(), outcome.clone());
        self.answers.insert(edit.edit_id.clone(), answer);
        outcome
    }

    fn decide(&mut self, edit: &TableEdit) -> EditOutcome {
        let current_revision = self.history.len() as u64;
        if edit.base_revision != current_revision {
            return EditOutcome::Conflict { current_revision };
        }
        let mut services = self.history.last().cloned().unwrap_or_default();
        for change in &edit.changes {
            if let TableChange::PutService { service, policy } = change {
                services.insert(service.clone(), policy.clone());
            }
        }
        let weight_fault = |(service, policy): (&String, &ServicePolicy)| {
            (policy.weight > 1_000).then(|| TableFault::WeightOutOfRange {
                service: service.clone(),
                weight: policy.weight,
            })
        };
        let faults: Vec<TableFault> = services.iter().filter_map(weight_fault).collect();
        if !faults.is_empty() {
            return EditOutcome::Invalid(faults);
        }
        self.history.push(services);
        EditOutcome::Accepted {
            revision: current_revision + 1,
        }
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_store_agrees_with_a_naive_one(
        edits in prop::collection::vec((0..30_u8, 0..12_u64, "[a-c]", 900..1_010_u32), 1..60),
        restart_at in 0..60_usize,
    ) {
        let mut store = TableStore::default();
        let mut naive = NaiveStore::default();
        for (number, (id, base, service, weight)) in edits.into_iter().enumerate() {
            if number == restart_at {
                store = TableStore::restore(store.snapshot());
            }
            let edit = put(&id.to_string(), base, &service, weight);
            prop_assert_eq!(store.apply(&edit, 0), naive.apply(&edit));
            let services = naive.history.last().cloned().unwrap_or_default();
            prop_assert_eq!(&store.table().services, &services);
            prop_assert_eq!(store.revision(), naive.history.len() as u64);
        }
    }
}

#[gtest]
fn a_keyed_service_has_to_be_idempotent() {
    let mut store = TableStore::default();
    let mut edit = put("a", 0, "s", 1);
    let mut keyed_orders = policy(1);
    keyed_orders.idempotent = false;
    edit.changes.push(TableChange::PutService {
        service: "s".to_owned(),
        policy: keyed_orders,
    });
    let fault = TableFault::KeyedOrders {
        service: "s".to_owned(),
    };
    expect_that!(
        store.apply(&edit, 10),
        eq(&EditOutcome::Invalid(vec![fault]))
    );
    expect_that!(store.table().revision, eq(0));
}
